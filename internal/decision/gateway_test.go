package decision

import (
	"fmt"
	"reflect"
	"testing"
)

// A gateway with zero settings must serve requests, without counter calls.
func TestZeroSettings(t *testing.T) {
	s := Settings{
		Plans: []Plan{{Name: "rate", Rate: 10, Burst: 20, ValueWeight: 1}, {Name: "none", ValueWeight: 1}},
	}
	for _, plan := range []string{"rate", "none"} {
		g := startedGateway(t, s, servingBackend("x"))
		r := testRequest(1, "any", plan)
		r.Gateways = 0 // not known, so this counts as the only gateway: the full quota without calls
		out := g.Handle(0, r)
		out = append(out, runTicks(g, 0.05, 20)...)
		if len(actionsOf[Send](out)) != 1 || len(actionsOf[CounterCall](out)) != 0 {
			t.Errorf("%s: got %v, want one Send and no CounterCall", plan, out)
		}
	}
}

// Events of requests, attempts and timers that are not known must have no effect.
func TestStaleEventsAreIgnored(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	for _, e := range []Event{
		AttemptEnded{ID: 99}, ClientDisconnected{ID: 99}, Timer{"old"},
	} {
		if out := g.Handle(1, e); len(out) != 0 {
			t.Errorf("%T: got %v, want no action", e, out)
		}
	}
	g.Handle(1, testRequest(1, "safe", "free"))
	for _, attempt := range []int{-1, 7} {
		g.Handle(1, AttemptEnded{ID: 1, Attempt: attempt, Backend: "x", Outcome: Succeeded})
	}
	if len(g.requests) != 1 {
		t.Error("the outcome of an unknown attempt ended the request")
	}
}

// Equal settings, seed and events must give equal actions, so map iteration must not influence decisions.
func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		g := startedGateway(
			t, testSettings(), servingBackend("x"), servingBackend("y"), servingBackend("z"),
		)
		for i := uint64(0); i < 300; i++ {
			now := float64(i) * 0.02
			r := testRequest(
				i, []string{"safe", "keyed", "unsafe"}[i%3], []string{"rate", "open", "earns"}[i%3],
			)
			r.Customer = fmt.Sprint("c", i%7)
			all = append(all, g.Handle(now, r)...)
			all = append(all, g.Handle(now, Timer{"tick"})...)
			ended := AttemptEnded{ID: i - i%4, Backend: "x", Outcome: Outcome(i % 8), Duration: 0.1}
			all = append(all, g.Handle(now, ended)...)
		}
		return all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("two equal gateways returned different actions")
	}
}

// Guards against simultaneous counter calls: when all gateways ticked at the same time, the counter rejected
// 25% of the calls (i151ab8).
func TestGatewaysDoNotTickInStep(t *testing.T) {
	first := actionsOf[SetTimer](New(testSettings(), 1).Handle(0, Start{}))[0].At
	second := actionsOf[SetTimer](New(testSettings(), 2).Handle(0, Start{}))[0].At
	if first == second {
		t.Errorf("both tick at %v", first)
	}
}

// Input that cannot be right must not keep a gateway from serving other customers: too many gateways, a total
// that is too large, a clock that steps back, and hundreds of backends that are then removed.
func TestOddInputAtScale(t *testing.T) {
	g := startedGateway(t, testSettings())
	r := testRequest(1, "safe", "rate")
	r.Gateways = 100000 // more gateways than exist, and than a packed total can hold
	g.Handle(1, r)
	g.Handle(1, CounterReply{
		Name: g.customers["c"].counterName(g.customers["c"].cycle.number), Outcome: Succeeded,
		Total: 9e15,
	})
	var list []Backend
	for i := range 700 {
		list = append(list, servingBackend(fmt.Sprint("b", i)))
	}
	g.Handle(1, Backends{Complete: true, List: list})
	other := testRequest(2, "safe", "free")
	other.Customer = "d"
	if len(actionsOf[Send](g.Handle(1.1, other))) != 1 {
		t.Error("nothing sent with 700 backends")
	}
	g.Handle(0.5, Timer{"tick"}) // the clock steps back
	g.Handle(2, Backends{Complete: true})
	if out := runTicks(g, 2, 6); len(actionsOf[Send](out)) != 0 {
		t.Error("sent to a backend that was removed from the list")
	}
}

func BenchmarkHandle(b *testing.B) { // 100 backends, 400 customers
	g := New(testSettings(), 1)
	g.Handle(0, Start{})
	var list []Backend
	for i := range 100 {
		list = append(list, servingBackend(fmt.Sprint("b", i)))
	}
	g.Handle(0, Backends{Complete: true, List: list})
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 0.01
		r := testRequest(uint64(i+1), "safe", "free")
		r.Customer = fmt.Sprint("c", i%400)
		for _, s := range actionsOf[Send](g.Handle(now, r)) {
			g.Handle(now, AttemptEnded{
				ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Answered: true, Duration: 0.01,
			})
		}
		if i%5 == 0 {
			g.Handle(now, Timer{"tick"})
		}
	}
}
