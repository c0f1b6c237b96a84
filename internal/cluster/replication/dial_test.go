package replication

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unreachableHost is a host that, like a machine without power, never answers connections begun before it is reachable:
// they stay pending until their time-out. For the last part of that time it may instead refuse connections, like a
// machine on which the process doesn't listen yet.
type unreachableHost struct {
	source          *fakeSource
	reachableAt     time.Time
	refusesFrom     time.Time // time from which it refuses connections, until it is reachable
	dialsStarted    atomic.Int64
	pendingDials    atomic.Int64
	maxPendingDials atomic.Int64 // most dials that were pending at the same time
}

func (uh *unreachableHost) dial(ctx context.Context) (net.Conn, error) {
	uh.dialsStarted.Add(1)
	uh.maxPendingDials.Store(max(uh.maxPendingDials.Load(), uh.pendingDials.Add(1)))
	defer uh.pendingDials.Add(-1)
	switch now := time.Now(); {
	case now.Before(uh.reachableAt) && !now.Before(uh.refusesFrom):
		return nil, errors.New("connection refused")
	case now.Before(uh.reachableAt):
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return uh.source.dial(ctx)
}

// runUntilConnected starts a client of a host, and returns once it is connected. stop ends the client.
func runUntilConnected(t *testing.T, class string, host *unreachableHost) (client *Client, stop func()) {
	client = &Client{
		Node:        "n",
		Class:       class,
		Incarnation: 7,
		Store:       NewStore(7),
		Clock:       NewClock(func() float64 { return 0 }),
		Dial:        host.dial,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { client.Run(ctx) })
	for !client.Connected() {
		time.Sleep(time.Millisecond)
		synctest.Wait()
	}
	return client, func() {
		cancel()
		all.Wait()
	}
}

// TestReconnectsToReturningHost starts a client of a source that is unreachable for some time. The client must be
// connected within two eager intervals of the source's return, or within the usual backoff if the source returns after
// the eager period. It must have a bounded number of pending connections, and begin only few after the eager period.
func TestReconnectsToReturningHost(t *testing.T) {
	for name, c := range map[string]struct {
		unreachable, refuses time.Duration // refuses: last part of unreachable, in which it refuses connections
		within               time.Duration // longest time to connect after that
	}{
		"at once":                      {0, 0, time.Millisecond},
		"for a moment":                 {330 * time.Millisecond, 0, 2 * eagerInterval},
		"then not listening":           {480 * time.Millisecond, 200 * time.Millisecond, 2 * eagerInterval},
		"for a second":                 {1040 * time.Millisecond, 0, 2 * eagerInterval},
		"just under the eager period":  {2900 * time.Millisecond, 0, 2 * eagerInterval},
		"longer than the eager period": {20 * time.Second, 0, maxBackoff + dialTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &fakeSource{}
				source.restart(1)
				host := &unreachableHost{
					source:      source,
					reachableAt: time.Now().Add(c.unreachable),
					refusesFrom: time.Now().Add(c.unreachable - c.refuses),
				}
				client, stop := runUntilConnected(t, ClassAgent, host)
				is.True(time.Since(host.reachableAt) <= c.within+2*time.Millisecond)
				is.True(host.maxPendingDials.Load() <= int64(eagerTimeout/eagerInterval)+1)
				is.True(host.dialsStarted.Load() <=
					int64(eagerPeriod/eagerInterval)+1+int64(2*c.unreachable/maxBackoff))
				time.Sleep(2 * time.Second) // by then the other pending connections are closed
				synctest.Wait()
				is.Equal(host.pendingDials.Load(), int64(0))
				is.True(client.Connected())
				stop()
				source.disconnect()
				synctest.Wait()
			})
		})
	}
}

// TestReconnectsToReturningAgent starts a proxy while the agent on its machine refuses connections for some time. The
// proxy must be connected within localBackoff of the agent's return, or within the usual backoff if the agent returns
// after the eager period.
func TestReconnectsToReturningAgent(t *testing.T) {
	for name, c := range map[string]struct{ down, within time.Duration }{
		"at once":                      {0, 0},
		"started a little later":       {30 * time.Millisecond, localBackoff},
		"killed and restarted":         {520 * time.Millisecond, localBackoff},
		"just under the eager period":  {2900 * time.Millisecond, localBackoff},
		"longer than the eager period": {20 * time.Second, maxBackoff},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &fakeSource{}
				source.restart(1)
				begin := time.Now()
				agent := &unreachableHost{source: source, refusesFrom: begin, reachableAt: begin.Add(c.down)}
				_, stop := runUntilConnected(t, ClassProxy, agent)
				is.True(time.Since(agent.reachableAt) <= c.within+2*time.Millisecond)
				is.True(agent.dialsStarted.Load() <= 1+int64(2*eagerPeriod/localBackoff)+int64(2*c.down/maxBackoff)+10)
				stop()
				source.disconnect()
				synctest.Wait()
			})
		})
	}
}
