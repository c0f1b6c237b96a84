package quotashare

import (
	"fmt"
	"slices"
	"testing"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// rule is a property of one part, checked by a short dialogue. It returns what is wrong; empty: nothing.
type rule struct {
	name  string
	check func() (violation string)
}

var rules = []rule{
	{"impossible totals of the counter", checkImpossibleTotals},
	{"votes against servers", checkVotes},
}

func newTestAllocator() *Allocator {
	return New(0, Options{
		Name:        "n0",
		Zone:        "a",
		Ingresses:   2,
		Incarnation: membership.Incarnation{Boot: 1, Nonce: 1},
		HasCounter:  true,
	})
}

// call has the counter answer a call.
func (a *Allocator) call(now Seconds, name string, amount, total float64) {
	a.Step(now, CounterCall{Name: name, Amount: amount, TTL: simulatedTTL})
	a.Step(now+0.01, CounterAnswer{Name: name, Answered: true, HasTotal: true, Total: total})
}

// checkImpossibleTotals: a total below what is known to be in a name means that the counter was restarted
// empty, or that parts of the fleet use different ones.
func checkImpossibleTotals() string {
	a := newTestAllocator()
	a.call(1, "m/1", 5, 5)
	a.call(1.2, "m/1", 0, 12)
	if trusted, reason := a.CounterTrusted(); !trusted {
		return "a counter to which others add is not trusted: " + reason
	}
	// What another gateway reported before a call must be in its total. What it reports during the call need not.
	a.Step(1.3, CounterCall{Name: "m/1", TTL: simulatedTTL})
	a.Step(1.31, Received{From: "n1", Message: Message{
		Incarnation:    [2]uint64{1, 1},
		Seq:            1,
		CounterTrusted: true,
		Customers:      []CustomerReport{{Customer: "m", Totals: []CounterTotal{{"m/1", 20}}}},
	}})
	a.Step(1.32, CounterAnswer{Name: "m/1", Answered: true, HasTotal: true, Total: 12})
	if trusted, reason := a.CounterTrusted(); !trusted {
		return "an answer that may have been in flight is not trusted: " + reason
	}
	a.call(1.4, "m/1", 0, 12)
	if trusted, _ := a.CounterTrusted(); trusted {
		return "a total without what another gateway added is trusted"
	}
	for now := Seconds(2); now < 20; now += 0.5 {
		a.call(now, fmt.Sprint("m/", now), 1, 1)
		a.Step(now, Tick{})
	}
	if trusted, reason := a.CounterTrusted(); !trusted {
		return "the counter is not trusted again: " + reason
	}
	return ""
}

// checkVotes: one voter is not enough, however often it votes; three of two zones are; the number of warned servers is
// bounded; votes expire.
func checkVotes() string {
	a := newTestAllocator()
	tick := Tick{ServerCount: simulatedList}
	vote := func(from, zone string, seq uint64, servers ...string) {
		a.Step(20, Received{From: from, Message: Message{
			Incarnation:      [2]uint64{9, 1},
			Seq:              seq,
			Zone:             zone,
			UnhealthyServers: servers,
			ServerCount:      simulatedList,
		}})
	}
	vote("n1", "a", 2, "s1", "s1", "s1")
	vote("n2", "b", 1)
	vote("n3", "b", 1)
	a.Step(20, tick)
	if got := a.WarnedServers(); len(got) > 0 {
		return fmt.Sprintf("one voter is enough against %v", got)
	}
	vote("n2", "b", 2, "s1", "s2", "s3")
	vote("n3", "b", 2, "s1", "s2", "s3")
	vote("n4", "b", 1, "s4", "s2", "s3")
	vote("n5", "b", 1, "s4", "s2", "s5")
	vote("n6", "c", 1, "s4", "s5", "s2")
	vote("n7", "c", 1, "s4", "s5", "s3")
	vote("liar", "c", 1, "s1", "s2", "s3", "s4", "s5", "s6", "s7")
	a.Step(20, tick)
	if got, want := a.WarnedServers(), []string{"s2", "s3", "s4"}; !slices.Equal(got, want) {
		return fmt.Sprintf("warned of %v, want %v", got, want)
	}
	a.Step(27, tick)
	if got := a.WarnedServers(); len(got) > 0 {
		return fmt.Sprintf("votes against %v don't expire", got)
	}
	return ""
}

func TestRules(t *testing.T) {
	for _, r := range rules {
		t.Run(r.name, func(t *testing.T) {
			if violation := r.check(); violation != "" {
				t.Error(violation)
			}
		})
	}
}
