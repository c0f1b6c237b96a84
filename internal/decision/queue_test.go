package decision

import (
	"reflect"
	"testing"
)

func TestQueueMostValuableFirstThenNewest(t *testing.T) {
	g := startedGateway(t, testSettings())
	g.classes["dear"] = &Class{Name: "dear", LatencyTarget: 1, Deadline: 3, Value: 5}
	for i, class := range []string{"safe", "dear", "safe", "dear"} {
		g.Handle(float64(i)*0.01, testRequest(uint64(i), class, "free"))
	}
	var order []uint64
	out := g.Handle(0.05, Backends{List: []Backend{servingBackend("x"), servingBackend("y")}})
	out = append(out, g.Handle(0.06, Timer{"tick"})...)
	for _, s := range actionsOf[Send](out) {
		order = append(order, s.ID)
	}
	if !reflect.DeepEqual(order, []uint64{3, 1, 2, 0}) {
		t.Errorf("sent in order %v", order)
	}
}

// Trebic-later: 14% served, but too late.
func TestRetryTooLateToEarnIsNotQueued(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValue = 0
	g := startedGateway(t, s, servingBackend("x"))
	g.Handle(1, testRequest(1, "safe", "free")) // leaves 3 s, the full deadline
	id := uint64(1)
	repeat := func(left Seconds) []Action {
		id++
		r := testRequest(id, "safe", "free")
		r.TimeLeft, r.ClientRetry = left, true
		return g.Handle(1, r)
	}
	if out := repeat(2.5); len(actionsOf[Send](out)) != 1 || actionsOf[Send](out)[0].Timeout > 0.61 {
		t.Errorf("first asked half a second ago, the aim is 1 s: %v", out)
	}
	if out := repeat(1.5); len(actionsOf[Send](out)) != 1 {
		t.Errorf("too late, but there is room: %v", out)
	}
	if out := repeat(1.5); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("too late, and half of the bound is in use: %v", out)
	}
	if out := repeat(2.5); len(actionsOf[Send](out)) != 1 {
		t.Errorf("in time, and there is room: %v", out)
	}
	r := testRequest(99, "safe", "free")
	if r.TimeLeft = 1.5; len(actionsOf[Send](g.Handle(1, r))) != 1 {
		t.Error("not a repeat: its client is in a hurry, no more")
	}
}

// A late request that earns nothing any more leaves free capacity to others until its deadline in the queue.
func TestQueuedRequestWithoutValueWaitsForItsDeadline(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValue = 0
	g := startedGateway(t, s, servingBackend("x"))
	g.defaultPool.latency = 2 // too late from the start
	g.backends["x"].limit = 2 // one for late ones
	g.Handle(1, testRequest(1, "safe", "free"))
	if out := g.Handle(1, testRequest(2, "safe", "free")); len(out) != 0 {
		t.Fatalf("not queued: %v", out)
	}
	g.backends["x"].limit = 12
	if sent := actionsOf[Send](runTicks(g, 1.05, 1.35)); len(sent) != 0 {
		t.Errorf("sent %v before the deadline", sent)
	}
	if sent := actionsOf[Send](runTicks(g, 1.4, 1.5)); len(sent) != 1 || sent[0].ID != 2 {
		t.Errorf("sent %v at the deadline, want 2", sent)
	}
}
