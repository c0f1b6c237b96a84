package shards

import (
	"context"
	"errors"
	"testing"
	"time"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/logging/logtest"
)

// Guards against a put that a process forwards after it was suspended beyond the put's deadline, when its caller has
// repeated it elsewhere: the deadline is compared with the clock, because the context's timer may run later.
func TestExpiredCallIsNotForwarded(t *testing.T) {
	s := New(Options{Clock: func() time.Duration { return 0 }, Peers: noPeers{}, Log: logtest.Discard()})
	defer s.stop()
	put := coordination.Request{Kind: coordination.PutCell, Name: "g.a", Value: "v"}
	_, _, err := s.forward(lateContext{t.Context()}, "10.0.0.2:81", put)
	if !errors.Is(err, errNotLeaseholder) || len(s.outboxes) != 0 {
		t.Errorf("got %v with %d outboxes, want %v and nothing queued", err, len(s.outboxes), errNotLeaseholder)
	}
}

// noPeers reaches no other node.
type noPeers struct{}

func (noPeers) Send(string, *transport.Frame) error { return replication.ErrNotConnected }

func (noPeers) SendTo(string, uint64, *transport.Frame) error { return replication.ErrNotConnected }

// lateContext is a context whose deadline has passed and whose timer has not run yet.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }
