package decision

import (
	"math"
	"testing"
)

const (
	requestedAt = 10.0 // s, arrival time of the request of a case
	slowAfter   = 1.0  // s, equal to the latency target because answers are fast
)

// abandonCase is a case of whether the first attempt of a request is abandoned as slow.
type abandonCase struct {
	name   string
	class  string // class of the request; empty: safe
	others []Backend
	before func(g *Gateway) // called before the request arrives
	while  func(g *Gateway) // called while the attempt is in flight
	at     Seconds
	want   bool
}

var abandonCases = []abandonCase{
	{
		name:   "another backend is available",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		want: true,
	},
	{name: "no other backend", at: requestedAt + slowAfter},
	{name: "the other backend drains", others: []Backend{{ID: "y", Zone: "a"}}, at: requestedAt + slowAfter},
	{
		name:   "the other backend is overloaded",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.backends["y"].overloadedUntil = math.Inf(1) },
	},
	{name: "no time is left", others: []Backend{servingBackend("y")}, at: requestedAt + 2.99},
	{
		name:   "the retry budget is used up",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) {
			for g.defaultPool.retryBudget.Take(g.now, false, false) {
			}
		},
	},
	{
		name: "non-idempotent", class: "unsafe", others: []Backend{servingBackend("y")},
		at: requestedAt + slowAfter,
	},
	{
		name: "idempotent by key", class: "keyed",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
	},
	{
		name: "the attempt has ended", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) {
			ended := AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Duration: 0.5, Answered: true}
			g.Handle(requestedAt+0.5, ended)
		},
	},
	{
		name:   "the client has disconnected",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.Handle(requestedAt+0.5, ClientDisconnected{1}) },
	},
	{
		name:   "disruption before the request",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) { g.ExpectDisruption(requestedAt + 0.01) },
	},
	{
		name:   "disruption that has ended",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) { g.ExpectDisruption(requestedAt - 0.01) }, want: true,
	},
	{
		name:   "disruption during the attempt",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.ExpectDisruption(requestedAt + 0.6) },
	},
	{
		name:   "disruption with an earlier end than the last",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) {
			g.ExpectDisruption(requestedAt + 0.01)
			g.ExpectDisruption(requestedAt - 1)
		},
	},
	{
		name: "the process shuts down", others: []Backend{
			servingBackend("y"),
		}, at: requestedAt + slowAfter + 1,
		while: func(g *Gateway) { g.ExpectDisruption(math.Inf(1)) },
	},
}

// A slow attempt is abandoned only if another backend can serve the request, and never during a planned
// disruption.
func TestShouldAbandon(t *testing.T) {
	for _, tc := range abandonCases {
		t.Run(tc.name, tc.run)
	}
}

func (tc abandonCase) run(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].SlowAttemptFactor = 6
	}
	g := startedGateway(t, s, servingBackend("x"))
	g.defaultPool.latency = 0.01
	if tc.before != nil {
		tc.before(g)
	}
	class := tc.class
	if class == "" {
		class = "safe"
	}
	sent := actionsOf[Send](g.Handle(requestedAt, testRequest(1, class, "free")))
	if len(sent) != 1 || sent[0].Timeout != 0 || (sent[0].SlowAfter == slowAfter) != (class == "safe") {
		t.Fatalf("sent %+v", sent)
	}
	g.Handle(requestedAt+0.1, Backends{List: tc.others})
	if tc.while != nil {
		tc.while(g)
	}
	tokens := g.defaultPool.retryBudget
	if got := g.ShouldAbandon(tc.at, 1); got != tc.want {
		t.Errorf("abandoned: %v, want %v", got, tc.want)
	}
	if g.defaultPool.retryBudget != tokens {
		t.Error("ShouldAbandon changed the retry budget")
	}
	if !tc.want {
		return
	}
	ended := AttemptEnded{ID: 1, Backend: "x", Outcome: TimedOut, Duration: tc.at - requestedAt}
	out := g.Handle(tc.at, ended)
	again := actionsOf[Send](out)
	if len(again) != 1 || again[0].Backend != "y" || again[0].SlowAfter != 0 {
		t.Errorf("after the abandoned attempt: %+v", out)
	}
}
