package quotashare

import (
	"fmt"
	"slices"
	"strings"
)

// The counter's health. It is not trusted while it is silent, and for a while behind an answer that cannot be: a total below what
// this ingress and the other doors know to be in it, for it came back empty or as it was before, or each part of the fleet
// sees another one.
const (
	silentCalls = 4   // in a row without an answer
	silentFor   = 1.0 // s since the last one
	doubtFor    = 8.0 // s behind an impossible total, longer than a cycle; twice as long each time that it comes again
	doubtMost   = 64.0
	doubtLapse  = 120.0 // s without one, and the next is the first again
	soundCalls  = 3     // answers in a row before it is trusted again
	slack       = 2e-5
	mostNames   = 4096
	mostSums    = 4  // names of a member that are told
	mostCalls   = 16 // of a name, that are out
)

// Sum is what a door has added to a name of the counter, as far as the counter has answered.
type Sum struct {
	Name  string  `cbor:"1,keyasint"`
	Total float64 `cbor:"2,keyasint"`
}

// name is one of the counter's.
type name struct {
	own    float64
	others map[string]float64 // by door
	calls  []call             // that are out, in their order
	until  Seconds
}

type call struct{ amount, least float64 }

type health struct {
	counter  bool
	sound    bool
	why      string
	names    map[string]*name
	answered Seconds
	missed   int
	good     int
	doubtful Seconds // until then
	doubt    Seconds // how long the last one took
}

func newHealth(now Seconds, counter bool) health {
	return health{counter: counter, sound: counter, names: map[string]*name{}, answered: now}
}

// least is what a total must be at the least.
func (n *name) least() float64 {
	sum := n.own
	for _, o := range n.others {
		sum += o
	}
	return sum
}

// adding notes what is known to be in a name as a call leaves: what is heard later may have come behind it.
func (h *health) adding(now Seconds, e Adding) {
	n := h.names[e.Name]
	if n == nil {
		if len(h.names) >= mostNames || len(e.Name) > mostName {
			return
		}
		// The counter forgets a name some time after whoever came first: before that, what is known of it is.
		n = &name{others: map[string]float64{}, until: now + 0.8*min(60, e.Keep)}
		h.names[e.Name] = n
	}
	if len(n.calls) < mostCalls {
		n.calls = append(n.calls, call{e.Amount, n.least()})
	}
}

// counted goes by an answer.
func (h *health) counted(now Seconds, e Counted) (actions []Action) {
	n := h.names[e.Name]
	var c call
	known := n != nil && len(n.calls) > 0
	if known {
		c = n.calls[0]
		n.calls = slices.Delete(n.calls, 0, 1)
	}
	if !e.Answered {
		h.missed++
		h.good = 0
		return nil
	}
	h.answered, h.missed = now, 0
	h.good++
	if !e.Done || !known {
		return nil
	}
	n.own += c.amount
	if least := c.least + c.amount; e.Total < least*(1-slack)-1e-6 && now < n.until && !mutated("totals-believed") {
		// A counter that is split is right often enough to be trusted, over and over, where nobody asks at the other half.
		if h.doubt = min(doubtMost, 2*h.doubt); h.doubt == 0 || now > h.doubtful+doubtLapse {
			h.doubt = doubtFor
		}
		if !h.sound {
			h.doubt = max(doubtFor, h.doubt/2) // still the same one
		}
		h.doubtful, h.good = max(h.doubtful, now+h.doubt), 0
		return h.turn(false, fmt.Sprintf("%s has %.7g, at least %.7g were added", e.Name, e.Total, least))
	}
	return nil
}

// told notes what another door says it has added.
func (h *health) told(now Seconds, from string, sums []Sum) {
	for _, s := range sums[:min(len(sums), mostSums)] {
		if n := h.names[s.Name]; n != nil && fits(s.Total) && (n.others[from] != 0 || len(n.others) < 16) {
			n.others[from] = max(n.others[from], s.Total)
		}
	}
}

// sums are a member's names that are in use.
func (h *health) sums(now Seconds, member string) (all []Sum) {
	for _, k := range sortedKeys(h.names) {
		if n := h.names[k]; strings.HasPrefix(k, member+"/") && n.own > 0 && now < n.until {
			all = append(all, Sum{k, n.own})
		}
	}
	return all[max(0, len(all)-mostSums):]
}

func (h *health) tick(now Seconds) []Action {
	for k, n := range h.names {
		if now > n.until {
			delete(h.names, k)
		}
	}
	switch {
	case !h.counter:
	case h.sound && h.missed >= silentCalls && now > h.answered+silentFor:
		return h.turn(false, "it does not answer")
	case !h.sound && h.good >= soundCalls && now >= h.doubtful:
		return h.turn(true, "")
	}
	return nil
}

func (h *health) turn(sound bool, why string) []Action {
	if h.sound == sound {
		return nil
	}
	h.sound, h.why = sound, why
	return []Action{Turned{sound, why}}
}
