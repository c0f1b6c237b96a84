package replication

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRetryNow checks that RetryNow dials a source at once if a dial hangs because the source was without power, or if
// the client is in backoff. It must not affect an established connection.
func TestRetryNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &fakeSource{}
		source.restart(1)
		unreachable := true
		var mu sync.Mutex
		dials := 0
		client := &Client{
			Node:        "n",
			Class:       ClassAgent,
			Incarnation: 7,
			Store:       NewStore(7),
			Clock:       NewClock(func() float64 { return 0 }),
			Dial: func(ctx context.Context) (net.Conn, error) {
				mu.Lock()
				dials++
				hangs := unreachable
				mu.Unlock()
				if hangs {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return source.dial(ctx)
			},
		}
		client.RetryNow() // before it runs
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { client.Run(ctx) })
		time.Sleep(10 * time.Second) // by now the backoff is at its longest
		synctest.Wait()
		mu.Lock()
		unreachable = false
		mu.Unlock()
		began := time.Now()
		client.RetryNow()
		for !client.Connected() {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		is.True(time.Since(began) < initialBackoff)
		mu.Lock()
		before := dials
		mu.Unlock()
		for range 5 {
			client.RetryNow()
			time.Sleep(time.Second)
			synctest.Wait()
		}
		mu.Lock()
		is.Equal(dials, before)
		mu.Unlock()
		is.True(client.Connected())
		cancel()
		all.Wait()
		source.disconnect()
		synctest.Wait()
	})
}
