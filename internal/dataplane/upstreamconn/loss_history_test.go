package upstreamconn

import (
	"testing"

	"mulleinrouter/internal/decision"
)

// The last byte is held back exactly if the server lost a connection within lossRetention, the request must be executed
// at most once, or the connection has been idle for longer than longIdleTime. Otherwise the pause would delay requests
// for nothing, or a request would be lost without proof that it was not executed.
func TestHoldLastByte(t *testing.T) {
	var h LossHistory
	h.Record("lossy", 100)
	for _, tc := range []struct {
		name       string
		server     string
		now        decision.Seconds
		conditions WriteConditions
		want       bool
	}{
		{"new", "sound", 101, WriteConditions{New: true}, false},
		{"idle shortly", "sound", 101, WriteConditions{IdleFor: 0.5}, false},
		{"idle for long", "sound", 101, WriteConditions{IdleFor: 1.5}, true},
		{"new, at most once", "sound", 101, WriteConditions{New: true, AtMostOnce: true}, true},
		{"idle shortly, at most once", "sound", 101, WriteConditions{IdleFor: 0.01, AtMostOnce: true}, true},
		{"new, a loss 1 s ago", "lossy", 101, WriteConditions{New: true}, true},
		{"a loss 9 s ago", "lossy", 109, WriteConditions{IdleFor: 0.01}, true},
		{"a loss 11 s ago", "lossy", 111, WriteConditions{IdleFor: 0.01}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := h.HoldLastByte(tc.server, tc.now, tc.conditions); got != tc.want {
				t.Errorf("%s at %g, %+v: got %v, want %v", tc.server, tc.now, tc.conditions, got, tc.want)
			}
		})
	}
	h.Expire(105)
	if len(h.lastLoss) != 1 {
		t.Errorf("%d losses remembered after 5 s, want 1", len(h.lastLoss))
	}
	h.Expire(111)
	if len(h.lastLoss) != 0 {
		t.Errorf("%d losses remembered after 11 s, want none", len(h.lastLoss))
	}
}
