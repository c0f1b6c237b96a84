package histories

import (
	"net/http"
	"testing"
	"time"
)

func ok(kind Kind, app int, sent, received time.Duration) Call {
	return Call{App: app, Kind: kind, Sent: sent, Received: received, Status: http.StatusOK}
}

func withFence(c Call, fence uint64, hold time.Duration) Call {
	c.Fence, c.Hold = fence, hold
	return c
}

func numbered(c Call, number uint64, value string) Call {
	c.Number, c.Value = number, value
	return c
}

func expecting(c Call, revision uint64) Call {
	c.Expected = &revision
	return c
}

func withStatus(c Call, status int) Call {
	c.Status = status
	return c
}

// TestChecks checks that each check reports the violation that it is meant to detect, and accepts correct histories.
func TestChecks(t *testing.T) {
	for _, test := range []struct {
		name  string
		check func(string, []Call) string
		calls []Call
		wrong bool
	}{
		{"locks in turn", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 1, 10), withFence(ok(Acquire, 2, 11, 12), 2, 10),
		}, false},
		{"two holders", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 1, 10), withFence(ok(Acquire, 2, 8, 9), 2, 10),
		}, true},
		{"two holders because of a renewal", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 1, 10), withFence(ok(Renew, 1, 8, 9), 1, 10),
			withFence(ok(Acquire, 2, 12, 13), 2, 10),
		}, true},
		{"a renewal that came too late", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 1, 10), withFence(ok(Renew, 1, 8, 11), 1, 10),
			withFence(ok(Acquire, 2, 12, 13), 2, 10),
		}, false},
		{"a release", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 1, 100), withFence(withStatus(ok(Release, 1, 5, 6), 0), 1, 100),
			withFence(ok(Acquire, 2, 7, 8), 2, 10),
		}, false},
		{"a decreasing fencing token", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 5, 10), withFence(ok(Acquire, 2, 11, 12), 4, 10),
		}, true},
		{"one fencing token twice", checkLock, []Call{
			withFence(ok(Acquire, 1, 0, 1), 5, 10), withFence(ok(Acquire, 2, 11, 12), 5, 10),
		}, true},
		{"concurrent numbers", checkNumbers, []Call{
			numbered(ok(Number, 1, 0, 9), 5, ""), numbered(ok(Number, 2, 1, 8), 4, ""),
		}, false},
		{"a decreasing number", checkNumbers, []Call{
			numbered(ok(Number, 1, 0, 1), 5, ""), numbered(ok(Number, 2, 2, 3), 4, ""),
		}, true},
		{"a number twice", checkNumbers, []Call{
			numbered(ok(Number, 1, 0, 9), 5, ""), numbered(ok(Number, 2, 1, 8), 5, ""),
		}, true},
		{"a cell", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"), numbered(ok(Get, 2, 2, 3), 1, "a"),
			expecting(numbered(ok(Put, 1, 4, 5), 2, "b"), 1),
		}, false},
		{"a stale read", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"), numbered(ok(Put, 1, 2, 3), 2, "b"),
			numbered(ok(Get, 2, 4, 5), 1, "a"),
		}, true},
		{"a put over a later revision", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"), numbered(ok(Put, 1, 2, 3), 2, "b"),
			expecting(numbered(ok(Put, 2, 4, 5), 3, "c"), 1),
		}, true},
		{"a rejected put that takes effect", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"),
			expecting(numbered(withStatus(ok(Put, 2, 2, 3), http.StatusPreconditionFailed), 1, "b"), 0),
			numbered(ok(Get, 2, 4, 5), 2, "b"),
		}, true},
		{"a put without an answer that takes effect", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"), numbered(withStatus(ok(Put, 2, 2, 3), 504), 0, "b"),
			numbered(ok(Get, 2, 4, 5), 2, "b"),
		}, false},
		{"absent after a put", checkCell, []Call{
			numbered(ok(Put, 1, 0, 1), 1, "a"), withStatus(ok(Get, 2, 2, 3), http.StatusNotFound),
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.check("it", test.calls); (got != "") != test.wrong {
				t.Errorf("got %q", got)
			}
		})
	}
}

// TestCheckWatches checks that a watch is accepted only if its events have increasing revisions within its range, and
// include each put in that range with its value.
func TestCheckWatches(t *testing.T) {
	puts := map[uint64]string{1: "a", 2: "b", 3: "c"}
	for _, test := range []struct {
		name  string
		watch Watch
		wrong bool
	}{
		{"all", Watch{1, 3, []Event{{"x", "b", 2}, {"x", "c", 3}}}, false},
		{"one skipped", Watch{1, 3, []Event{{"x", "c", 3}}}, true},
		{"out of order", Watch{1, 3, []Event{{"x", "c", 3}, {"x", "b", 2}}}, true},
		{"beyond its end", Watch{1, 2, []Event{{"x", "b", 2}, {"x", "c", 3}}}, true},
		{"another value", Watch{1, 2, []Event{{"x", "z", 2}}}, true},
		{"nothing", Watch{3, 3, nil}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := checkWatches("g.", puts, []Watch{test.watch}); (got != "") != test.wrong {
				t.Errorf("got %q", got)
			}
		})
	}
}
