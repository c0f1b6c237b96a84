package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/plans"
)

// counter keeps the calls that it is given, and answers none.
type counter struct{ calls chan string }

func (c counter) Add(name string, amount float64, keep decision.Seconds) { c.calls <- name }

func settings() decision.Settings {
	return decision.Settings{
		Gateways: 1, MaxAttempts: 2, MayCancel: true, HasCounter: true, CounterTimeout: 0.03, MaxUnits: 1, MayRetryAfter: true, MaxRetryAfter: 1,
		Classes: []decision.Class{{Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent},
			{Name: "send", LatencyTarget: 20, Deadline: 30, Value: 1}},
		Plans: []decision.Plan{{Name: "p", Rate: 1000, Burst: 1000, ValueWeight: 1}, {Name: "thin", Rate: 0.5, Burst: 0.9, ValueWeight: 1}},
	}
}

func started(c Counter) *Engine { return startedWith(settings(), c) }

func startedWith(s decision.Settings, c Counter) *Engine {
	e := New(decision.New(s, 1), &s, NewClock())
	e.Start(c)
	e.SetBackends(decision.Backends{Complete: true, List: []decision.Backend{{ID: "b", Serving: true, Size: 1}}})
	return e
}

func request(class, plan string, doors int) decision.Request {
	return decision.Request{Class: class, Plan: plan, Customer: "c", TimeLeft: 30, Units: 1, Gateways: doors}
}

var noTimes = cmpopts.IgnoreFields(Decision{}, "Deadline", "RetryAfter")

// What came of the attempts decides what is next, down to the final answer; nothing is left behind.
func TestDecisions(t *testing.T) {
	send := Decision{Kind: Send, Backend: "b"}
	for _, tc := range []struct {
		name, class string
		outcomes    []decision.Outcome
		want        []Decision
	}{
		{"served", "read", []decision.Outcome{decision.Succeeded}, []Decision{send}},
		{"safe again, refused after the last", "read", []decision.Outcome{decision.ConnectionReset, decision.Failed}, []Decision{send, send, {Kind: Reject}}},
		{"unsafe that may have run fails", "send", []decision.Outcome{decision.ConnectionReset}, []Decision{send, {Kind: Fail}}},
		{"unsafe that timed out fails", "send", []decision.Outcome{decision.TimedOut}, []Decision{send, {Kind: Fail}}},
		{"unsafe that has not run is refused", "send", []decision.Outcome{decision.Rejected}, []Decision{send, {Kind: Reject}}},
		{"unsafe that was skipped goes again", "send", []decision.Outcome{decision.NotSent, decision.Succeeded}, []Decision{send, send}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := started(nil)
			ticket := e.Submit(request(tc.class, "p", 1), func() {})
			var got []Decision
			for _, o := range tc.outcomes {
				got = append(got, ticket.Next())
				ticket.AttemptEnded(o)
			}
			if len(tc.want) > len(tc.outcomes) {
				got = append(got, ticket.Next())
			}
			if diff := cmp.Diff(tc.want, got, noTimes); diff != "" {
				t.Error(diff)
			}
			if e.dispatcher.Pending() != 0 || len(ticket.decisions) != 0 {
				t.Errorf("%d requests and %d decisions left behind", e.dispatcher.Pending(), len(ticket.decisions))
			}
		})
	}
}

// A client that leaves ends its attempt, and its request once that has ended.
func TestLeaveWithAnAttemptOut(t *testing.T) {
	e, cancelled := started(nil), 0
	ticket := e.Submit(request("send", "p", 1), func() { cancelled++ })
	ticket.Next()
	ticket.ClientDisconnected()
	ticket.ClientDisconnected() // once is enough
	if cancelled != 1 || e.dispatcher.Pending() != 1 {
		t.Errorf("cancelled %d times, %d requests kept; want 1 and 1", cancelled, e.dispatcher.Pending())
	}
	ticket.AttemptEnded(decision.Cancelled)
	if diff := cmp.Diff(Decision{Kind: NoAnswer}, ticket.Next()); diff != "" || e.dispatcher.Pending() != 0 {
		t.Errorf("%d requests kept\n%s", e.dispatcher.Pending(), diff)
	}
}

// A client that leaves while its request waits for the counter leaves nothing to do; the late answer harms nobody.
func TestLeaveWhileWaiting(t *testing.T) {
	c, patient := counter{make(chan string, 1)}, settings()
	patient.CounterTimeout = 20 // else the request is sent without the counter, should the test be held up
	e := startedWith(patient, c)
	ticket := e.Submit(request("read", "thin", 2), func() { t.Error("cancelled, but nothing was out") })
	name := <-c.calls
	ticket.ClientDisconnected()
	if diff := cmp.Diff(Decision{Kind: NoAnswer}, ticket.Next()); diff != "" {
		t.Error(diff)
	}
	e.CounterReplied(name, decision.Succeeded, 1)
	if e.dispatcher.Pending() != 0 {
		t.Errorf("%d requests kept", e.dispatcher.Pending())
	}
}

// A counter that never answers does not keep a request: the module's timer goes on without it.
func TestCounterSilent(t *testing.T) {
	c := counter{make(chan string, 1)}
	e := started(c)
	ticket := e.Submit(request("read", "thin", 2), func() {})
	<-c.calls
	if diff := cmp.Diff(Decision{Kind: Send, Backend: "b"}, ticket.Next(), noTimes); diff != "" {
		t.Error(diff)
	}
	ticket.AttemptEnded(decision.Succeeded)
}

// Where the settings promise a counter and there is none, each call is told to have failed.
func TestNoCounter(t *testing.T) {
	e := started(nil)
	ticket := e.Submit(request("read", "thin", 2), func() {})
	if diff := cmp.Diff(Decision{Kind: Send, Backend: "b"}, ticket.Next(), noTimes); diff != "" {
		t.Error(diff)
	}
	ticket.AttemptEnded(decision.Succeeded)
}

// A member's terms come from the catalogue, whatever the client names, and change at their time also where nobody asks.
func TestCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const member = "00000000000000aa"
		small := decision.Plan{Name: "small", Rate: 0.001, Burst: 1, ValueWeight: 1, ExcessCost: 1}
		large := decision.Plan{Name: "large", Rate: 1e9, Burst: 1e9, ValueWeight: 1, ExcessCost: 1}
		clock := NewClock()
		s := settings()
		e := New(decision.New(s, 1), &s, clock)
		e.Start(nil)
		e.SetBackends(decision.Backends{Complete: true, List: []decision.Backend{{ID: "b", Serving: true, Size: 1}}})
		state := plans.NewState(settings().Plans)
		revision := func(n uint64, holds decision.Seconds, plan string) plans.Revision {
			return plans.Revision{Number: n, Holds: holds, Authority: plans.AuthorityCatalogue, Plans: []decision.Plan{small, large}, Members: map[string]string{member: plan}}
		}
		e.SetCatalogue(func(now decision.Seconds) Catalogue {
			state.Offer(revision(1, now, "small"), now)
			state.Offer(revision(2, now+2, "large"), now)
			state.Offer(revision(3, now+5, "small"), now)
			return state
		})
		ask := func() (kind Kind, plan string, revision uint64) {
			r := request("read", "p", 1)
			r.Customer = member
			ticket := e.Submit(r, func() {})
			d := ticket.Next()
			if d.Kind == Send {
				ticket.AttemptEnded(decision.Succeeded)
			}
			return d.Kind, ticket.Plan, ticket.Revision
		}
		check := func(kind Kind, plan string, revision uint64) {
			t.Helper()
			if k, p, r := ask(); k != kind || p != plan || r != revision {
				t.Errorf("%v on %s of revision %d, want %v on %s of %d", k, p, r, kind, plan, revision)
			}
		}
		check(Send, "small", 1)
		check(Reject, "small", 1)
		time.Sleep(3 * time.Second)
		check(Send, "large", 2)
		time.Sleep(3 * time.Second)
		check(Send, "small", 3) // what the store of the large plan left, up to the small one's burst
		check(Reject, "small", 3)
		other := e.Submit(request("read", "p", 1), func() {})
		if d := other.Next(); d.Kind != Send || other.Plan != "p" || other.Revision != 3 {
			t.Errorf("one that is not listed: %v on %s of revision %d", d.Kind, other.Plan, other.Revision)
		}
		other.AttemptEnded(decision.Succeeded)
	})
}

func TestCountsAreToldOnceInTenSeconds(t *testing.T) {
	var c counters
	for _, step := range []struct {
		now  float64
		sent int
		due  bool
		want int
	}{{100, 2, false, 0}, {109, 1, false, 0}, {110, 0, true, 3}, {111, 4, false, 0}, {125, 0, true, 4}, {140, 0, false, 0}} {
		c.decided[Send] += step.sent
		if due, told := c.rotate(step.now); due != step.due || told.decided[Send] != step.want {
			t.Errorf("at %v: %v, %d sent", step.now, due, told.decided[Send])
		}
	}
}
