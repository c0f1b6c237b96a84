package decision

import (
	"testing"
)

// Requests over quota must be rejected with a delay of at most MaxRetryAfter, so that clients do not retry at
// once.
func TestShortfallIsRejectedWithRetryAfter(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	refused := 0
	for i := uint64(0); i < 60; i++ {
		for _, a := range actionsOf[Reject](g.Handle(0, testRequest(i, "safe", "rate"))) {
			refused++
			if a.RetryAfter <= 0 || a.RetryAfter > 1 {
				t.Errorf("retry after %v s, want more than 0 and at most 1", a.RetryAfter)
			}
		}
	}
	if refused < 40 {
		t.Errorf("only %d of 60 requests rejected with a burst of 20", refused)
	}
}

// Excess that earns something must be forwarded, but only within the low-priority share of the limits.
func TestExcessThatEarnsIsForwardedWithinCapacity(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	sent := 0
	for i := uint64(0); i < 60; i++ {
		r := testRequest(i, "safe", "earns")
		r.Units = 20 // more than a slice of 5 units per second and 10 units of burst ever admit
		g.customerFor(r, g.plans["earns"]).bucket.tokens = -100
		sent += len(actionsOf[Send](g.Handle(0, r)))
	}
	if sent != initialLimit/2/2 { // each of two gateways has half of the limit, and low priority half of that
		t.Errorf("%d forwarded, want %v", sent, initialLimit/2/2)
	}
}

// Two gateways cannot divide a limit of two attempts evenly over time, so each estimates the attempts of the
// other one. A gateway must never exceed the limit by itself.
func TestInFlightLimitOfTwoIsSharedByProbability(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "safe", "open")))) != 1 {
		t.Error("the first request of an idle customer was not sent")
	}
	g.defaultPool.latency = 2 // with slow answers the other gateway most likely uses its part
	if len(actionsOf[Reject](g.Handle(0.1, testRequest(2, "safe", "open")))) != 1 {
		t.Error("forwarded although the limit is most likely reached")
	}
	g.defaultPool.latency = 0.01
	g.Handle(5, testRequest(3, "safe", "open"))
	if len(actionsOf[Reject](g.Handle(9, testRequest(4, "safe", "open")))) != 1 {
		t.Error("a third concurrent attempt was forwarded")
	}
}

// Guards against rejections within the even share of a limit on attempts in flight: with an estimate of the
// other gateways' attempts alone, only 0.70 of the requests within a limit of 2 were admitted (trebic big-1).
func TestEvenShareOfAnInFlightLimitAlwaysConforms(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	for i := uint64(0); i < 20; i++ { // a burst: the estimate for the other gateways then fills the limit
		g.Handle(1, testRequest(i, "safe", "open"))
	}
	for id := range g.requests {
		g.Handle(1, AttemptEnded{ID: id, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1})
	}
	g.defaultPool.latency = 5
	if len(actionsOf[Send](g.Handle(1.01, testRequest(99, "safe", "open")))) != 1 {
		t.Error(
			"rejected within the even share: two gateways with one attempt each cannot exceed a limit of two",
		)
	}
}

// A request of an unknown class counts as non-idempotent, so after a timeout it must be failed and not be
// sent again.
func TestUnknownPlanAndClassGetOneSafeAnswer(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"), servingBackend("y"))
	if len(actionsOf[Send](g.Handle(0, testRequest(1, "?", "?")))) != 1 {
		t.Fatal("not sent")
	}
	out := g.Handle(1, AttemptEnded{ID: 1, Backend: "x", Outcome: TimedOut, Duration: 1})
	if len(actionsOf[Fail](out)) != 1 || len(actionsOf[Send](out)) != 0 || len(actionsOf[Reject](out)) != 0 {
		t.Errorf("got %v, want one Fail", out)
	}
}

// A request that no backend can serve must be rejected exactly once before the client's deadline, and its
// state must be deleted.
func TestNoRequestIsLost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		backends []Backend
		left     Seconds
	}{
		{"no backend", nil, 3},
		{"no backend and no time (h440035)", nil, 0.02},
		{"only draining", []Backend{{ID: "x"}}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := startedGateway(t, testSettings(), tc.backends...)
			r := testRequest(1, "unsafe", "free")
			r.TimeLeft = tc.left
			out := g.Handle(0, r)
			out = append(out, runTicks(g, 0.001, tc.left)...)
			if len(actionsOf[Reject](out)) != 1 || len(actionsOf[Send](out)) != 0 || len(g.requests) != 0 {
				t.Errorf("got %v, want one Reject and no pending request", out)
			}
		})
	}
}

// Units beyond the estimate must be taken from the bucket even if it does not hold them, so that too low
// estimates do not raise the quota.
func TestSettledUnitsOverdrawTheBucket(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	g.Handle(0, testRequest(1, "safe", "rate"))
	c := g.customers["c"]
	c.bucket.tokens = 1
	g.Handle(
		0, AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Answered: true, Duration: 0.1, Units: 4},
	)
	if c.bucket.tokens != -2 {
		t.Errorf("bucket holds %v tokens, want -2", c.bucket.tokens)
	}
}
