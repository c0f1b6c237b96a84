package decision

import (
	"reflect"
	"testing"
)

// Queued requests must be sent in order of value, and among equal values the newest first, because one that
// has waited long would be late anyway.
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
		t.Errorf("sent in order %v, want [3 1 2 0]", order)
	}
}

// Guards against serving retries that can no longer earn anything: 14% of the requests were served, but too
// late (trebic-later).
func TestRetryTooLateToEarnIsNotQueued(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValue = 0
	g := startedGateway(t, s, servingBackend("x"))
	g.Handle(1, testRequest(1, "safe", "free")) // has 3 s left, the full deadline
	id := uint64(1)
	retry := func(left Seconds) []Action {
		id++
		r := testRequest(id, "safe", "free")
		r.TimeLeft, r.ClientRetry = left, true
		return g.Handle(1, r)
	}
	if out := retry(2.5); len(actionsOf[Send](out)) != 1 || actionsOf[Send](out)[0].Timeout > 0.61 {
		t.Errorf("first sent half a second ago, with a latency target of 1 s: %v", out)
	}
	if out := retry(1.5); len(actionsOf[Send](out)) != 1 {
		t.Errorf("too late, but there is capacity: %v", out)
	}
	if out := retry(1.5); len(actionsOf[Reject](out)) != 1 {
		t.Errorf("too late, and half of the limit is in use: %v", out)
	}
	if out := retry(2.5); len(actionsOf[Send](out)) != 1 {
		t.Errorf("in time, and there is capacity: %v", out)
	}
	r := testRequest(99, "safe", "free")
	if r.TimeLeft = 1.5; len(actionsOf[Send](g.Handle(1, r))) != 1 {
		t.Error("a first request with a short deadline was taken for a retry")
	}
}

// A late request that no longer earns anything leaves free capacity to others until its queue deadline.
func TestQueuedRequestWithoutValueWaitsForItsDeadline(t *testing.T) {
	s := testSettings()
	s.Classes[0].LateValue = 0
	g := startedGateway(t, s, servingBackend("x"))
	g.defaultPool.latency = 2 // every request is expected to be late
	g.backends["x"].limit = 2 // allows one attempt of a late request
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
