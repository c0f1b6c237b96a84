package quotashare

import (
	"fmt"
	"slices"
	"testing"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// rule is a property of one component, checked by a short sequence of events. check returns a description of the
// violation; empty if there is none.
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

// call simulates a call to the counter and its answer.
func (a *Allocator) call(now Seconds, name string, amount, total float64) {
	a.Step(now, CounterCall{Name: name, Amount: amount, TTL: simulatedTTL})
	a.Step(now+0.01, CounterAnswer{Name: name, Answered: true, HasTotal: true, Total: total})
}

// checkImpossibleTotals checks that the counter is distrusted after a total below the sum of the known additions, which
// means that the counter was restarted empty or that parts of the fleet use different counters. It also checks that
// plausible totals don't cause distrust, and that the counter is trusted again later.
func checkImpossibleTotals() string {
	a := newTestAllocator()
	a.call(1, "m/1", 5, 5)
	a.call(1.2, "m/1", 0, 12)
	if trusted, reason := a.CounterTrusted(); !trusted {
		return "the counter is not trusted after a total that includes amounts of others: " + reason
	}
	// The total of a call must include the amounts that another gateway reported before the call, but may lack those
	// reported during the call.
	a.Step(1.3, CounterCall{Name: "m/1", TTL: simulatedTTL})
	a.Step(1.31, Received{From: "n1", Message: Message{
		Incarnation:    [2]uint64{1, 1},
		Seq:            1,
		CounterTrusted: true,
		Customers:      []CustomerReport{{Customer: "m", Totals: []CounterTotal{{"m/1", 20}}}},
	}})
	a.Step(1.32, CounterAnswer{Name: "m/1", Answered: true, HasTotal: true, Total: 12})
	if trusted, reason := a.CounterTrusted(); !trusted {
		return "the counter is not trusted after an answer that may lack a total reported during the call: " + reason
	}
	a.call(1.4, "m/1", 0, 12)
	if trusted, _ := a.CounterTrusted(); trusted {
		return "the counter is trusted after a total that lacks the amount added by another gateway"
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

// checkVotes checks that one voter is not enough to warn of a server, however often it votes, that three voters from
// two zones are enough, that the number of warned servers is limited, and that votes expire.
func checkVotes() string {
	a := newTestAllocator()
	tick := Tick{ServerCount: simulatedServers}
	vote := func(from, zone string, seq uint64, servers ...string) {
		a.Step(20, Received{From: from, Message: Message{
			Incarnation:      [2]uint64{9, 1},
			Seq:              seq,
			Zone:             zone,
			UnhealthyServers: servers,
			ServerCount:      simulatedServers,
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
