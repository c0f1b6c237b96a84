package decision

import (
	"math"
	"testing"
)

const (
	requestedAt = 10.0 // s, when the request of a case arrives
	slowAfter   = 1.0  // s: the latency target, as answers are quick
)

// abandonCase asks whether the first attempt of a request is to be given up as slow.
type abandonCase struct {
	name   string
	class  string // empty: safe
	others []Backend
	before func(g *Gateway) // the request arrives
	while  func(g *Gateway) // the attempt is in flight
	at     Seconds
	want   bool
}

var abandonCases = []abandonCase{
	{
		name: "another is there", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		want: true,
	},
	{name: "there is none", at: requestedAt + slowAfter},
	{name: "it drains", others: []Backend{{ID: "y", Zone: "a"}}, at: requestedAt + slowAfter},
	{
		name: "it is full", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.backends["y"].overloadedUntil = math.Inf(1) },
	},
	{name: "no time is left", others: []Backend{servingBackend("y")}, at: requestedAt + 2.99},
	{
		name: "the budget is spent", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) {
			for g.defaultPool.retryBudget.Take(g.now, false, false) {
			}
		},
	},
	{
		name: "it must not run twice", class: "unsafe", others: []Backend{servingBackend("y")},
		at: requestedAt + slowAfter,
	},
	{
		name: "it must not run twice under its key", class: "keyed",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
	},
	{
		name: "it has ended", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) {
			ended := AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Duration: 0.5, Answered: true}
			g.Handle(requestedAt+0.5, ended)
		},
	},
	{
		name: "its client has left", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.Handle(requestedAt+0.5, ClientDisconnected{1}) },
	},
	{
		name: "planned before", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) { g.ExpectDisruption(requestedAt + 0.01) },
	},
	{
		name: "planned long before", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) { g.ExpectDisruption(requestedAt - 0.01) }, want: true,
	},
	{
		name: "planned meanwhile", others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		while: func(g *Gateway) { g.ExpectDisruption(requestedAt + 0.6) },
	},
	{
		name:   "planned, its end known after a later one",
		others: []Backend{servingBackend("y")}, at: requestedAt + slowAfter,
		before: func(g *Gateway) {
			g.ExpectDisruption(requestedAt + 0.01)
			g.ExpectDisruption(requestedAt - 1)
		},
	},
	{
		name: "it leaves for good", others: []Backend{
			servingBackend("y"),
		}, at: requestedAt + slowAfter + 1,
		while: func(g *Gateway) { g.ExpectDisruption(math.Inf(1)) },
	},
}

// A slow attempt is given up only where another backend takes the request, and never during what is planned.
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
		t.Errorf("given up: %v, want %v", got, tc.want)
	}
	if g.defaultPool.retryBudget != tokens {
		t.Error("asking took something of the retry budget")
	}
	if !tc.want {
		return
	}
	ended := AttemptEnded{ID: 1, Backend: "x", Outcome: TimedOut, Duration: tc.at - requestedAt}
	out := g.Handle(tc.at, ended)
	again := actionsOf[Send](out)
	if len(again) != 1 || again[0].Backend != "y" || again[0].SlowAfter != 0 {
		t.Errorf("given up, and then %+v", out)
	}
}
