package decision

import "testing"

// TestReconfigureKeepsTheClassOfPendingRequests checks that a pending request keeps the class that it
// started with when the classes change, and that a later request is decided by the new class.
func TestReconfigureKeepsTheClassOfPendingRequests(t *testing.T) {
	s := Settings{Gateways: 1, MaxAttempts: 4, SlowStartTime: 1,
		Classes: []Class{{Name: "c", LatencyTarget: 1, Deadline: 3, Value: 1, Effect: Idempotent}},
		Plans:   []Plan{{Name: "p", Rate: 100, Burst: 100, ValueWeight: 1}}}
	g := New(s, 1)
	g.Handle(0, Start{})
	g.Handle(0, Backends{Complete: true, List: []Backend{{ID: "b", Serving: true, Size: 1}}})
	g.Handle(0, Request{ID: 1, Class: "c", Plan: "p", Customer: "m", Units: 1, TimeLeft: 3})
	g.Reconfigure(
		[]Class{
			{Name: "c", LatencyTarget: 2, Deadline: 6, Value: 5, Effect: NonIdempotent},
			{Name: "d", LatencyTarget: 1, Deadline: 3, Value: 1},
		},
		2,
	)
	g.Handle(0, Request{ID: 2, Class: "c", Plan: "p", Customer: "m", Units: 1, TimeLeft: 3})
	g.Handle(0, Request{ID: 3, Class: "d", Plan: "p", Customer: "m", Units: 1, TimeLeft: 3})
	if r := g.requests[1]; r == nil || r.class.Effect != Idempotent || r.class.LatencyTarget != 1 {
		t.Fatalf("the pending request lost its class: %+v", r)
	}
	if r := g.requests[2]; r == nil || r.class.Effect != NonIdempotent || r.class.Value != 5 {
		t.Fatalf("a later request does not have the new class: %+v", r)
	}
	if r := g.requests[3]; r == nil || r.class.Name != "d" {
		t.Fatalf("the added class is not known: %+v", r)
	}
	if g.settings.MaxAttempts != 2 {
		t.Errorf("attempts %d, want 2", g.settings.MaxAttempts)
	}
}
