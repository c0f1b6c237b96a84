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

// silentCounter sends the names of its calls to a channel, and never replies.
type silentCounter struct{ calls chan string }

func (c silentCounter) Add(name string, _ float64, _ decision.Seconds) { c.calls <- name }

func settings() decision.Settings {
	return decision.Settings{
		Gateways:       1,
		MaxAttempts:    2,
		MayCancel:      true,
		HasCounter:     true,
		CounterTimeout: 0.03,
		MaxUnits:       1,
		MayRetryAfter:  true,
		MaxRetryAfter:  1,
		Classes: []decision.Class{
			{Name: "read", LatencyTarget: 20, Deadline: 30, Value: 1, Effect: decision.Idempotent},
			{Name: "send", LatencyTarget: 20, Deadline: 30, Value: 1},
		},
		Plans: []decision.Plan{
			{Name: "p", Rate: 1000, Burst: 1000, ValueWeight: 1},
			{Name: "thin", Rate: 0.5, Burst: 0.9, ValueWeight: 1},
		},
	}
}

// backends returns a complete list with one backend.
func backends() decision.Backends {
	return decision.Backends{Complete: true, List: []decision.Backend{{ID: "b", Serving: true, Size: 1}}}
}

func start(c Counter) *Engine { return startWith(settings(), c) }

func startWith(s decision.Settings, c Counter) *Engine {
	e := New(decision.New(s, 1), &s, NewClock())
	e.Start(c)
	e.SetBackends(backends())
	return e
}

func request(class, plan string, gateways int) decision.Request {
	return decision.Request{Class: class, Plan: plan, Customer: "c", TimeLeft: 30, Units: 1, Gateways: gateways}
}

var ignoreTimes = cmpopts.IgnoreFields(Decision{}, "Deadline", "RetryAfter")

// The outcome of each attempt determines the next decision, up to the final one. No request stays pending.
func TestDecisions(t *testing.T) {
	send := Decision{Kind: Send, Backend: "b"}
	for _, tc := range []struct {
		name, class string
		outcomes    []decision.Outcome
		want        []Decision
	}{
		{"served", "read", []decision.Outcome{decision.Succeeded}, []Decision{send}},
		{
			"idempotent retried, rejected after the last attempt", "read",
			[]decision.Outcome{decision.ConnectionReset, decision.Failed}, []Decision{send, send, {Kind: Reject}},
		},
		{
			"non-idempotent that may have run fails", "send",
			[]decision.Outcome{decision.ConnectionReset}, []Decision{send, {Kind: Fail}},
		},
		{
			"non-idempotent that timed out fails", "send",
			[]decision.Outcome{decision.TimedOut}, []Decision{send, {Kind: Fail}},
		},
		{
			"non-idempotent that has not run is rejected", "send",
			[]decision.Outcome{decision.Rejected}, []Decision{send, {Kind: Reject}},
		},
		{
			"non-idempotent that was not sent is retried", "send",
			[]decision.Outcome{decision.NotSent, decision.Succeeded}, []Decision{send, send},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := start(nil)
			ticket := e.Submit(request(tc.class, "p", 1), func() {})
			var got []Decision
			for _, o := range tc.outcomes {
				got = append(got, ticket.Next())
				ticket.AttemptEnded(o)
			}
			if len(tc.want) > len(tc.outcomes) {
				got = append(got, ticket.Next())
			}
			if diff := cmp.Diff(tc.want, got, ignoreTimes); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
			if e.dispatcher.Pending() != 0 || len(ticket.decisions) != 0 {
				t.Errorf("%d requests and %d decisions pending, want none",
					e.dispatcher.Pending(), len(ticket.decisions))
			}
		})
	}
}

// If a client disconnects, its attempt is cancelled, and the request ends when the attempt has ended.
func TestClientDisconnectsWithAnAttemptInFlight(t *testing.T) {
	e, cancelled := start(nil), 0
	ticket := e.Submit(request("send", "p", 1), func() { cancelled++ })
	ticket.Next()
	ticket.ClientDisconnected()
	ticket.ClientDisconnected() // a second call changes nothing
	if cancelled != 1 || e.dispatcher.Pending() != 1 {
		t.Errorf("cancelled %d times, %d requests pending; want 1 and 1", cancelled, e.dispatcher.Pending())
	}
	ticket.AttemptEnded(decision.Cancelled)
	if diff := cmp.Diff(Decision{Kind: NoAnswer}, ticket.Next()); diff != "" || e.dispatcher.Pending() != 0 {
		t.Errorf("%d requests pending, want none (-want +got):\n%s", e.dispatcher.Pending(), diff)
	}
}

// If a client disconnects while its request waits for the counter, the request ends. The late reply has no effect.
func TestClientDisconnectsWhileWaiting(t *testing.T) {
	c, s := silentCounter{make(chan string, 1)}, settings()
	s.CounterTimeout = 20 // so long that a delay of the test does not send the request without the counter
	e := startWith(s, c)
	ticket := e.Submit(request("read", "thin", 2), func() { t.Error("cancelled, but no attempt was in flight") })
	name := <-c.calls
	ticket.ClientDisconnected()
	if diff := cmp.Diff(Decision{Kind: NoAnswer}, ticket.Next()); diff != "" {
		t.Error(diff)
	}
	e.CounterReplied(name, decision.Succeeded, 1)
	if e.dispatcher.Pending() != 0 {
		t.Errorf("%d requests pending, want none", e.dispatcher.Pending())
	}
}

// A counter that never replies does not block a request: the decision module's timer ends the wait.
func TestCounterDoesNotReply(t *testing.T) {
	c := silentCounter{make(chan string, 1)}
	e := start(c)
	ticket := e.Submit(request("read", "thin", 2), func() {})
	<-c.calls
	if diff := cmp.Diff(Decision{Kind: Send, Backend: "b"}, ticket.Next(), ignoreTimes); diff != "" {
		t.Error(diff)
	}
	ticket.AttemptEnded(decision.Succeeded)
}

// If the settings have a counter but the engine has none, each call fails and the request is sent without it.
func TestNoCounter(t *testing.T) {
	e := start(nil)
	ticket := e.Submit(request("read", "thin", 2), func() {})
	if diff := cmp.Diff(Decision{Kind: Send, Backend: "b"}, ticket.Next(), ignoreTimes); diff != "" {
		t.Error(diff)
	}
	ticket.AttemptEnded(decision.Succeeded)
}

// A member's terms come from the catalogue, whatever plan the client names, and change when they are due.
func TestCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const member = "00000000000000aa"
		small := decision.Plan{Name: "small", Rate: 0.001, Burst: 1, ValueWeight: 1, ExcessCost: 1}
		large := decision.Plan{Name: "large", Rate: 1e9, Burst: 1e9, ValueWeight: 1, ExcessCost: 1}
		clock := NewClock()
		s := settings()
		e := New(decision.New(s, 1), &s, clock)
		e.Start(nil)
		e.SetBackends(backends())
		state := plans.NewState(settings().Plans)
		revision := func(n uint64, holds decision.Seconds, plan string) plans.Revision {
			return plans.Revision{
				Number:      n,
				EffectiveAt: holds,
				Authority:   plans.AuthorityCatalogue,
				Plans:       []decision.Plan{small, large},
				Members:     map[string]string{member: plan},
			}
		}
		e.SetCatalogue(func(now decision.Seconds) Catalogue {
			state.Offer(revision(1, now, "small"), now)
			state.Offer(revision(2, now+2, "large"), now)
			state.Offer(revision(3, now+5, "small"), now)
			return state
		})
		submit := func() (kind Kind, plan string, revision uint64) {
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
			if k, p, r := submit(); k != kind || p != plan || r != revision {
				t.Errorf("got %v by plan %s of revision %d, want %v by %s of %d", k, p, r, kind, plan, revision)
			}
		}
		check(Send, "small", 1)
		check(Reject, "small", 1)
		time.Sleep(3 * time.Second)
		check(Send, "large", 2)
		time.Sleep(3 * time.Second)
		check(Send, "small", 3) // the tokens of the large plan are kept, up to the burst of the small one
		check(Reject, "small", 3)
		other := e.Submit(request("read", "p", 1), func() {})
		if d := other.Next(); d.Kind != Send || other.Plan != "p" || other.Revision != 3 {
			t.Errorf("customer that is not listed: got %v by plan %s of revision %d, want send by p of 3",
				d.Kind, other.Plan, other.Revision)
		}
		other.AttemptEnded(decision.Succeeded)
	})
}

// The counts of decisions are logged at most once in countsLogInterval, each count once, and not at all if nothing was
// counted.
func TestCountersAreLoggedEveryTenSeconds(t *testing.T) {
	var c decisionCounts
	for _, step := range []struct {
		now  decision.Seconds
		sent int // decisions since the previous step
		due  bool
		want int // logged number of decisions
	}{
		{now: 100, sent: 2},
		{now: 109, sent: 1},
		{now: 110, due: true, want: 3},
		{now: 111, sent: 4},
		{now: 125, due: true, want: 4},
		{now: 140},
	} {
		c.decided[Send] += step.sent
		due, counted := c.rotate(step.now)
		if due != step.due || counted.decided[Send] != step.want {
			t.Errorf("at %v: due %v with %d sent, want %v with %d",
				step.now, due, counted.decided[Send], step.due, step.want)
		}
	}
}
