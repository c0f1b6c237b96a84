package decision

import (
	"math"
	"testing"
)

// Patience ends an attempt only where another backend takes the request, and never round what is planned.
func TestPatienceEndsOnlyWhatAnotherTakes(t *testing.T) {
	const asked, early = 10.0, 1.0 // the aim, answers being quick
	for _, tc := range []struct {
		name   string
		class  string
		others []Backend
		before func(g *Gateway) // the request comes
		while  func(g *Gateway) // it is out
		at     Seconds
		want   bool
	}{
		{name: "another is there", others: []Backend{up("y", 0)}, at: asked + early, want: true},
		{name: "there is none", at: asked + early},
		{name: "it drains", others: []Backend{{ID: "y", Zone: "a"}}, at: asked + early},
		{name: "it is full", others: []Backend{up("y", 0)}, at: asked + early, while: func(g *Gateway) { g.backends["y"].overloadedUntil = math.Inf(1) }},
		{name: "no time is left", others: []Backend{up("y", 0)}, at: asked + 2.99},
		{name: "the budget is spent", others: []Backend{up("y", 0)}, at: asked + early, while: func(g *Gateway) {
			for g.defaultPool.retryBudget.Take(g.now, false, false) {
			}
		}},
		{name: "it must not run twice", class: "unsafe", others: []Backend{up("y", 0)}, at: asked + early},
		{name: "it must not run twice under its key", class: "keyed", others: []Backend{up("y", 0)}, at: asked + early},
		{name: "it has ended", others: []Backend{up("y", 0)}, at: asked + early, while: func(g *Gateway) {
			g.Handle(asked+0.5, AttemptEnded{ID: 1, Backend: "x", Outcome: Succeeded, Duration: 0.5, Answered: true})
		}},
		{name: "its client has left", others: []Backend{up("y", 0)}, at: asked + early, while: func(g *Gateway) { g.Handle(asked+0.5, ClientDisconnected{1}) }},
		{name: "planned before", others: []Backend{up("y", 0)}, at: asked + early, before: func(g *Gateway) { g.ExpectDisruption(asked + 0.01) }},
		{name: "planned long before", others: []Backend{up("y", 0)}, at: asked + early, before: func(g *Gateway) { g.ExpectDisruption(asked - 0.01) }, want: true},
		{name: "planned meanwhile", others: []Backend{up("y", 0)}, at: asked + early, while: func(g *Gateway) { g.ExpectDisruption(asked + 0.6) }},
		{name: "planned, the end of it told after a later one", others: []Backend{up("y", 0)}, at: asked + early, before: func(g *Gateway) {
			g.ExpectDisruption(asked + 0.01)
			g.ExpectDisruption(asked - 1)
		}},
		{name: "it leaves for good", others: []Backend{up("y", 0)}, at: asked + early + 1, while: func(g *Gateway) { g.ExpectDisruption(math.Inf(1)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testSettings()
			for i := range s.Classes {
				s.Classes[i].SlowAttemptFactor = 6
			}
			g := started(t, s, up("x", 0))
			g.defaultPool.latency = 0.01
			if tc.before != nil {
				tc.before(g)
			}
			class := tc.class
			if class == "" {
				class = "safe"
			}
			sent := of[Send](g.Handle(asked, ask(1, class, "free")))
			if len(sent) != 1 || sent[0].Timeout != 0 || (sent[0].SlowAfter == early) != (class == "safe") {
				t.Fatalf("sent %+v", sent)
			}
			g.Handle(asked+0.1, Backends{List: tc.others})
			if tc.while != nil {
				tc.while(g)
			}
			tokens := g.defaultPool.retryBudget
			if got := g.ShouldAbandon(tc.at, 1); got != tc.want {
				t.Errorf("given up: %v, want %v", got, tc.want)
			}
			if g.defaultPool.retryBudget != tokens {
				t.Error("asking took something of the budget")
			}
			if !tc.want {
				return
			}
			out := g.Handle(tc.at, AttemptEnded{ID: 1, Backend: "x", Outcome: TimedOut, Duration: tc.at - asked})
			if again := of[Send](out); len(again) != 1 || again[0].Backend != "y" || again[0].SlowAfter != 0 {
				t.Errorf("given up, and then %+v", out)
			}
		})
	}
}
