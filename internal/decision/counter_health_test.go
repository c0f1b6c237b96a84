package decision

import (
	"fmt"
	"testing"
)

// While the counter is down, calls must pause, and the slices must not change.
func TestFailingCounterPausesCallsAndLeavesTheSlice(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Rejected, ConnectionRefused} {
		g := startedGateway(t, testSettings(), servingBackend("x"))
		calls := 0
		for i := 0; i < 400; i++ {
			now := float64(i) * tickInterval
			for j := 0; j < 3; j++ { // three customers with a demand of 20 units per second each
				r := testRequest(uint64(1000+i*3+j), "safe", "rate")
				r.Customer = fmt.Sprint("c", j)
				g.Handle(now, r)
			}
			out := g.Handle(now, Timer{"tick"})
			for _, call := range actionsOf[CounterCall](out) {
				calls++
				g.Handle(now, CounterReply{Name: call.Name, Outcome: outcome})
			}
		}
		for _, c := range g.customerList {
			if c.bucket.slice != 5 {
				t.Errorf("%v: slice moved to %v", outcome, c.bucket.slice)
			}
		}
		if calls == 0 || calls > 25 {
			t.Errorf("%v: %d calls in 20 s to a counter that is down", outcome, calls)
		}
	}
}

// Guards against quotas that are not enforced for minutes after the counter was lost for seconds: calls to a
// lost counter get no reply, but must not count as calls that an overloaded counter could not handle.
func TestCallsResumeAfterCounterLoss(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "sparse", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1}}
	g, id := startedGateway(t, s, servingBackend("b")), uint64(0)
	// customers sends a request of each of 20 customers per second and replies to their counter calls with an
	// outcome. It returns the number of calls.
	customers := func(from, to Seconds, outcome Outcome) (calls int) {
		for now := from; now < to; now += tickInterval {
			out := g.Handle(now, Timer{"tick"})
			id++
			e := testRequest(id, "safe", "sparse")
			e.Customer, e.Gateways = fmt.Sprint("c", id%20), 5
			out = append(out, g.Handle(now, e)...)
			for _, a := range actionsOf[CounterCall](out) {
				calls++
				out = append(out, g.Handle(now, CounterReply{Name: a.Name, Outcome: outcome, Total: 1})...)
			}
			for _, a := range actionsOf[Send](out) {
				g.Handle(now, AttemptEnded{
					ID: a.ID, Backend: a.Backend, Outcome: Succeeded, Duration: 0.01, Answered: true,
				})
			}
		}
		return calls
	}
	before := customers(0, 5, Succeeded)
	customers(5, 11, TimedOut)
	customers(11, 13, Succeeded) // the first replies after the loss
	if after := customers(13, 18, Succeeded); before < 50 || after < before*3/4 {
		t.Errorf("%d calls in 5 s before the loss, %d after it", before, after)
	}
}

// A reply that cannot be decoded, or a broken connection, does not show that the counter is overloaded. If it
// counted as overload, one corrupt reply in thirty would reduce the calls so much that quotas would hardly be
// enforced.
func TestOnlyAnOverloadedCounterIsCalledLess(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		less    bool
	}{
		{Failed, false},
		{ConnectionRefused, false},
		{ConnectionReset, false},
		{Rejected, true},
		{TimedOut, true},
	} {
		g := startedGateway(t, testSettings())
		for range 3 {
			g.Handle(1, CounterReply{Name: "c/1", Outcome: tc.outcome})
		}
		if less := g.counter.callProbability < 1; less != tc.less {
			t.Errorf("outcome %d: call probability %v", tc.outcome, g.counter.callProbability)
		}
	}
}

// A stall of the counter leaves many simultaneous calls unanswered. When each of them reduced the call
// probability, quotas were hardly enforced for the rest of the day, because the few remaining calls
// brought few replies to raise it again (fleet day: 4% of calls for 15 s).
func TestCounterStallReducesCallsOnce(t *testing.T) {
	g := startedGateway(t, testSettings())
	for range 10 {
		g.Handle(1, CounterReply{Name: "c/1", Outcome: TimedOut})
	}
	if g.counter.callProbability != callProbabilityDecrease {
		t.Errorf("call probability %v after a stall", g.counter.callProbability)
	}
	g.counter.callProbability = minCallProbability
	for range 200 {
		g.Handle(2, CounterReply{Name: "c/1", Outcome: Succeeded, Total: 1})
	}
	if g.counter.callProbability < 1 {
		t.Errorf("call probability %v after 200 replies", g.counter.callProbability)
	}
}

// Guards against calls that an overloaded counter keeps rejecting: 51% of them were rejected, so that all
// samples were noise (trebic-later).
func TestCallsFallWhenTheCounterRejectsThem(t *testing.T) {
	s := testSettings()
	g := startedGateway(t, s, servingBackend("x"))
	calls := map[bool]int{}
	for i := range 400 {
		r := testRequest(uint64(i+1), "safe", "rate")
		r.Customer, r.Gateways = fmt.Sprint("c", i), 200
		now := float64(i) * 2 // longer than the pause after failed calls
		for _, call := range actionsOf[CounterCall](g.Handle(now, r)) {
			calls[i >= 200]++
			g.Handle(now, CounterReply{Name: call.Name, Outcome: Rejected})
		}
	}
	if calls[false] < 5 || calls[true] > 30 {
		t.Errorf("%d calls for the first 200 requests, %d for the next 200", calls[false], calls[true])
	}
}

// A request that waits for a counter reply that never comes must be decided without it.
func TestRequestIsAnsweredWithoutACounterReply(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "rate")
	r.Gateways = 200
	if len(actionsOf[CounterCall](g.Handle(0, r))) != 1 {
		t.Fatal("the counter was not called")
	}
	if out := runTicks(g, 0.05, 1); len(actionsOf[Send](out))+len(actionsOf[Reject](out)) != 1 {
		t.Errorf("got %v", out)
	}
}

// While the counter is overloaded, customers whose excess costs must all be sampled at a lower rate, and
// calls must stop first for customers whose excess is forwarded.
func TestOverloadedCounterIsCalledForAllWhereExcessCosts(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{
		{Name: "costs", Rate: 3, Burst: 15, ValueWeight: 1, ExcessCost: 1},
		{Name: "earns", Rate: 20, Burst: 40, ValueWeight: 1, ExcessValue: 0.3},
	}
	gateways, _ := newTestFleet(80, 60)
	calls := map[string]int{}
	g := New(s, 1)
	g.Handle(0, Start{})
	for i, plan := range []string{"costs", "earns"} {
		for n := range 400 {
			g.counter.callProbability = 0.4
			r := testRequest(uint64(i*1000+n+1), "safe", plan)
			r.Customer, r.Gateways, r.Units = fmt.Sprint(plan, n), len(gateways), 2
			calls[plan] += len(actionsOf[CounterCall](g.Handle(1, r)))
		}
	}
	if n := calls["costs"]; n < 120 || n > 200 { // two fifths of them, each with the same probability
		t.Errorf("%d calls for 400 first requests of a plan whose excess costs", n)
	}
	if n := calls["earns"]; n > 60 {
		t.Errorf("%d calls for 400 requests that are forwarded in any case", n)
	}
}
