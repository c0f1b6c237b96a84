package decision

import (
	"fmt"
	"math"
	"testing"
)

// A request that may have been executed must not be sent again, unless its class is idempotent.
func TestAtMostOnce(t *testing.T) {
	backends := []Backend{servingBackend("x"), servingBackend("y"), servingBackend("z")}
	for _, tc := range []struct {
		class   string
		outcome Outcome
		at      Seconds // time at which the first attempt ends
		want    string  // the next action
	}{
		{
			"unsafe", ConnectionRefused, 0.1, "send",
		},
		{"unsafe", Rejected, 0.1, "send"},
		{"unsafe", NotSent, 0.1, "send"},
		{"unsafe", TimedOut, 0.1, "fail"},
		{
			"unsafe", ConnectionReset, 0.1, "fail",
		},
		{"unsafe", Failed, 0.1, "fail"},
		{
			"keyed", ConnectionReset, 0.1, "fail",
		},
		{"keyed", Rejected, 0.1, "send"},
		{"safe", ConnectionReset, 0.1, "send"},
	} {
		t.Run(fmt.Sprint(tc.class, tc.outcome, tc.at), func(t *testing.T) {
			g := startedGateway(t, testSettings(), backends...)
			first := actionsOf[Send](g.Handle(0, testRequest(1, tc.class, "free")))[0]
			out := g.Handle(
				tc.at, AttemptEnded{ID: 1, Backend: first.Backend, Outcome: tc.outcome, Duration: tc.at},
			)
			sends, fails := actionsOf[Send](out), actionsOf[Fail](out)
			switch tc.want {
			case "fail":
				if len(sends) != 0 || len(fails) != 1 || len(actionsOf[Reject](out)) != 0 {
					t.Errorf("got %v, want one Fail", out)
				}
			default:
				if len(sends) != 1 {
					t.Errorf("got %v, want one Send", out)
				}
			}
		})
	}
}

// Guards against sending to a backend that still works on attempts that have timed out: without counting
// these, 52% of the attempts timed out (ib60ee1).
func TestAbandonedAttemptsStillCount(t *testing.T) {
	g := startedGateway(t, testSettings(), servingBackend("x"))
	b := g.backends["x"]
	for i := uint64(0); i < 4; i++ {
		g.Handle(0, testRequest(i, "unsafe", "free"))
	}
	for i := uint64(0); i < 4; i++ {
		g.Handle(3, AttemptEnded{ID: i, Backend: "x", Outcome: TimedOut, Duration: 3})
	}
	b.ejectedUntil, b.limit = 0, 4
	if len(actionsOf[Send](g.Handle(3.001, testRequest(9, "unsafe", "free")))) != 0 {
		t.Error("sent to a backend that still works on attempts that have timed out")
	}
}

// A failed request must be answered at once: a gateway must not delay the answer to keep the client from
// retrying.
func TestFailedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, tc := range []struct {
		class   string
		outcome Outcome
		refused bool // rejected; false: failed, because it may have been executed
	}{
		{"safe", Rejected, true},
		{"safe", TimedOut, true},
		{"keyed", Rejected, true},
		{
			"keyed", ConnectionReset, false,
		},
		{"unsafe", ConnectionRefused, true},
		{"unsafe", TimedOut, false},
		{"unsafe", Failed, false},
	} {
		s := testSettings()
		s.MaxAttempts = 1
		g := startedGateway(t, s, servingBackend("x"))
		send := actionsOf[Send](g.Handle(1, testRequest(1, tc.class, "free")))
		if len(send) != 1 {
			t.Fatalf("%v: not sent", tc)
		}
		out := g.Handle(1.5, AttemptEnded{ID: 1, Backend: "x", Outcome: tc.outcome, Duration: 0.5})
		refusals, failures := actionsOf[Reject](out), actionsOf[Fail](out)
		if tc.refused && (len(refusals) != 1 || refusals[0].RetryAfter <= 0) ||
			!tc.refused && len(failures) != 1 {
			t.Errorf("%v: got %v for the outcome, want the final answer", tc, out)
		}
	}
	g := startedGateway(t, testSettings(), servingBackend("x"))
	r := testRequest(1, "safe", "rate")
	g.customerFor(r, g.plans["rate"]).bucket.tokens = -100 // over quota, which earns nothing
	if out := actionsOf[Reject](g.Handle(0, r)); len(out) != 1 || out[0].RetryAfter <= 0 {
		t.Errorf("over quota: got %v", out)
	}
	// Without any backend, the request waits for a bounded time and is then rejected.
	g = startedGateway(t, testSettings())
	g.Handle(1, testRequest(1, "safe", "free"))
	if out := runTicks(g, 1.01, 1+queueTimeFraction+2*tickInterval); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("no backend: got %v within %v of the latency target", out, queueTimeFraction)
	}
}

// The first attempt of an idempotent request times out early enough for a second one, if answers are
// typically fast.
func TestLostFirstAttemptLeavesTimeForARetry(t *testing.T) {
	for _, tc := range []struct {
		typicalLatency Seconds
		class          string
		want           Seconds
	}{{0.01, "safe", 0.3}, {0.5, "safe", 1.05}, {0.01, "unsafe", 0}} {
		s := testSettings()
		s.Classes[0].LateValue = 0
		g := startedGateway(t, s, servingBackend("b"))
		g.defaultPool.latency = tc.typicalLatency
		sent := actionsOf[Send](g.Handle(1, testRequest(1, tc.class, "free")))
		if len(sent) != 1 || math.Abs(sent[0].Timeout-tc.want) > 1e-9 {
			t.Errorf(
				"%s, typical latency %v s: got %v, want a timeout of %v", tc.class, tc.typicalLatency, sent,
				tc.want,
			)
		}
	}
}
