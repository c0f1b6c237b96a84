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
	maxUnansweredCalls   = 4   // in a row without an answer
	answerTimeout        = 1.0 // s since the last one
	initialDistrust      = 8.0 // s behind an impossible total, longer than a cycle; twice as long each time that it comes again
	maxDistrust          = 64.0
	distrustResetAfter   = 120.0 // s without one, and the next is the first again
	answersToTrust       = 3     // answers in a row before it is trusted again
	totalTolerance       = 2e-5
	maxCounterNames      = 4096
	maxTotalsPerCustomer = 4  // names of a member that are told
	maxCallsInFlight     = 16 // of a name, that are out
)

// CounterTotal is what a door has added to a name of the counter, as far as the counter has answered.
type CounterTotal struct {
	Name  string  `cbor:"1,keyasint"`
	Total float64 `cbor:"2,keyasint"`
}

// counterName is one of the counter's.
type counterName struct {
	ownTotal   float64
	peerTotals map[string]float64 // by door
	inFlight   []counterCall      // that are out, in their order
	expiresAt  Seconds
}

type counterCall struct{ amount, minTotal float64 }

type counterHealth struct {
	configured      bool
	trusted         bool
	reason          string
	names           map[string]*counterName
	lastAnswer      Seconds
	unanswered      int
	answeredInRow   int
	distrustedUntil Seconds // until then
	distrustFor     Seconds // how long the last one took
}

func newCounterHealth(now Seconds, counter bool) counterHealth {
	return counterHealth{configured: counter, trusted: counter, names: map[string]*counterName{}, lastAnswer: now}
}

// minTotal is what a total must be at the least.
func (n *counterName) minTotal() float64 {
	sum := n.ownTotal
	for _, o := range n.peerTotals {
		sum += o
	}
	return sum
}

// callStarted notes what is known to be in a name as a call leaves: what is heard later may have come behind it.
func (h *counterHealth) callStarted(now Seconds, e CounterCall) {
	n := h.names[e.Name]
	if n == nil {
		if len(h.names) >= maxCounterNames || len(e.Name) > maxNameBytes {
			return
		}
		// The counter forgets a name some time after whoever came first: before that, what is known of it is.
		n = &counterName{peerTotals: map[string]float64{}, expiresAt: now + 0.8*min(60, e.TTL)}
		h.names[e.Name] = n
	}
	if len(n.inFlight) < maxCallsInFlight {
		n.inFlight = append(n.inFlight, counterCall{e.Amount, n.minTotal()})
	}
}

// callAnswered goes by an answer.
func (h *counterHealth) callAnswered(now Seconds, e CounterAnswer) (actions []Action) {
	n := h.names[e.Name]
	var c counterCall
	known := n != nil && len(n.inFlight) > 0
	if known {
		c = n.inFlight[0]
		n.inFlight = slices.Delete(n.inFlight, 0, 1)
	}
	if !e.Answered {
		h.unanswered++
		h.answeredInRow = 0
		return nil
	}
	h.lastAnswer, h.unanswered = now, 0
	h.answeredInRow++
	if !e.HasTotal || !known {
		return nil
	}
	n.ownTotal += c.amount
	if least := c.minTotal + c.amount; e.Total < least*(1-totalTolerance)-1e-6 && now < n.expiresAt && !mutated("totals-believed") {
		// A counter that is split is right often enough to be trusted, over and over, where nobody asks at the other half.
		if h.distrustFor = min(maxDistrust, 2*h.distrustFor); h.distrustFor == 0 || now > h.distrustedUntil+distrustResetAfter {
			h.distrustFor = initialDistrust
		}
		if !h.trusted {
			h.distrustFor = max(initialDistrust, h.distrustFor/2) // still the same one
		}
		h.distrustedUntil, h.answeredInRow = max(h.distrustedUntil, now+h.distrustFor), 0
		return h.setTrusted(false, fmt.Sprintf("%s has %.7g, at least %.7g were added", e.Name, e.Total, least))
	}
	return nil
}

// recordPeerTotals notes what another door says it has added.
func (h *counterHealth) recordPeerTotals(now Seconds, from string, sums []CounterTotal) {
	for _, s := range sums[:min(len(sums), maxTotalsPerCustomer)] {
		if n := h.names[s.Name]; n != nil && isValidRate(s.Total) && (n.peerTotals[from] != 0 || len(n.peerTotals) < 16) {
			n.peerTotals[from] = max(n.peerTotals[from], s.Total)
		}
	}
}

// ownTotals are a member's names that are in use.
func (h *counterHealth) ownTotals(now Seconds, member string) (all []CounterTotal) {
	for _, k := range sortedKeys(h.names) {
		if n := h.names[k]; strings.HasPrefix(k, member+"/") && n.ownTotal > 0 && now < n.expiresAt {
			all = append(all, CounterTotal{k, n.ownTotal})
		}
	}
	return all[max(0, len(all)-maxTotalsPerCustomer):]
}

func (h *counterHealth) tick(now Seconds) []Action {
	for k, n := range h.names {
		if now > n.expiresAt {
			delete(h.names, k)
		}
	}
	switch {
	case !h.configured:
	case h.trusted && h.unanswered >= maxUnansweredCalls && now > h.lastAnswer+answerTimeout:
		return h.setTrusted(false, "it does not answer")
	case !h.trusted && h.answeredInRow >= answersToTrust && now >= h.distrustedUntil:
		return h.setTrusted(true, "")
	}
	return nil
}

func (h *counterHealth) setTrusted(sound bool, why string) []Action {
	if h.trusted == sound {
		return nil
	}
	h.trusted, h.reason = sound, why
	return []Action{CounterTrustChanged{sound, why}}
}
