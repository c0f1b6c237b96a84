package retry

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

func TestSleep(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration // timeout of the context
		want    bool
	}{
		"the time passes":        {timeout: time.Minute, want: true},
		"the context ends first": {timeout: time.Millisecond, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				if got := Sleep(ctx, time.Second); got != c.want {
					t.Errorf("got %t, want %t", got, c.want)
				}
			})
		})
	}
}

func TestAwaitClosed(t *testing.T) {
	for name, c := range map[string]struct {
		closesAfter time.Duration
		want        bool
	}{
		"the channel closes": {closesAfter: time.Millisecond, want: true},
		"the time passes":    {closesAfter: time.Minute, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				channel := make(chan struct{})
				time.AfterFunc(c.closesAfter, func() { close(channel) })
				start := time.Now()
				got := AwaitClosed(channel, time.Second)
				if waited := time.Since(start); got != c.want || waited != min(c.closesAfter, time.Second) {
					t.Errorf("got %t after %v, want %t after %v", got, waited, c.want, min(c.closesAfter, time.Second))
				}
			})
		})
	}
}

// TestListen binds an address that another listener holds. Listen fails when the attempts are used up or the context
// ends, and succeeds once the address is free.
func TestListen(t *testing.T) {
	blocker, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer blocker.Close()
	addr := blocker.Addr().String()
	if _, err := Listen(t.Context(), addr, Policy{
		Attempts: 3,
		Interval: time.Millisecond,
	}); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("all attempts: got %v, want %v", err, syscall.EADDRINUSE)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Listen(ended, addr, Policy{Attempts: 3, Interval: time.Hour}); !errors.Is(err, context.Canceled) {
		t.Errorf("ended context: got %v, want %v", err, context.Canceled)
	}
	bound := make(chan error, 1)
	go func() {
		listener, err := Listen(t.Context(), addr, Policy{Attempts: 10_000, Interval: time.Millisecond})
		if err == nil {
			err = listener.Close()
		}
		bound <- err
	}()
	if err := blocker.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-bound; err != nil {
		t.Errorf("free address: got %v, want none", err)
	}
}
