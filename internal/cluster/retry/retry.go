package retry

import (
	"context"
	"net"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

// Policy is the number of attempts and the interval between two of them.
type Policy struct {
	Attempts int
	Interval time.Duration
}

// Sleep waits for a time. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool { return !AwaitClosed(ctx.Done(), d) }

// AwaitClosed waits until a channel is closed. It returns false if the limit passes first.
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

// Listen listens on host:port. It retries because the previous process may hold the port for a moment longer. It
// returns the error of the last attempt, or that of the context if it ends first.
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
