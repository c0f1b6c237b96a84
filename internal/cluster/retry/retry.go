package retry

import (
	"context"
	"net"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

// Policy says how often something is attempted, and the interval between two attempts.
type Policy struct {
	Attempts int
	Interval time.Duration
}

// Sleep waits for a time; false: the context ended before.
func Sleep(ctx context.Context, d time.Duration) bool { return !AwaitClosed(ctx.Done(), d) }

// AwaitClosed waits until a channel is closed; false: it was not within the limit.
func AwaitClosed(channel <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-channel:
		return true
	case <-timer.C:
		return false
	}
}

// Listen listens on host:port, which the process before may hold for a moment longer. It returns the error of the last
// attempt, or that of the context if it ends before.
func Listen(ctx context.Context, addr string, policy Policy) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := transport.Listen(addr)
		if err == nil {
			return listener, nil
		}
		if attempt >= policy.Attempts {
			return nil, err
		}
		if !Sleep(ctx, policy.Interval) {
			return nil, ctx.Err()
		}
	}
}
