package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// TestNewSubscribersShareChunks subscribes many agents at once, as after a power failure, while instances and the
// configuration change. Each agent must end with all entries of the source, the source must encode few chunks for all
// of them, and no chunk may have a status, which would be out of date.
func TestNewSubscribersShareChunks(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkSharedChunks(t, seed) })
		})
	}
}

func checkSharedChunks(t *testing.T, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 8))
	store := NewStore(1)
	clock := func() *Clock { return NewClock(func() float64 { return 0 }) }
	source := &Source{
		Store:   store,
		Clock:   clock(),
		Members: func() int { return 3 },
		Ready:   func() bool { return true },
		Quorum:  func() bool { return true },
	}
	change := func(n int) {
		instance := registry.Instance{
			ID:      fmt.Sprint("i", n),
			Service: "s",
			Address: fmt.Sprint("10.0.0.1:", n),
			Seq:     random.Uint64N(1 << 40),
		}
		if random.IntN(5) == 0 {
			instance.Phase = registry.Gone
		}
		store.MergeInstances([]registry.Instance{instance})
		store.MergeItems([]configuration.Item{item(n%300, random.Uint64N(1<<30))})
	}
	const instances, subscribers = 4000, 60
	for n := range instances {
		change(n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	var clients []*Client
	var withStatus atomic.Int64 // chunks that carry a status
	for n := range subscribers {
		client := &Client{
			Node:        fmt.Sprint("n", n),
			Class:       ClassAgent,
			Incarnation: uint64(100 + n),
			Store:       NewStore(uint64(100 + n)),
			Clock:       clock(),
		}
		client.Dial = func(context.Context) (net.Conn, error) {
			here, there := net.Pipe()
			go func() {
				conn := transport.NewConn(there)
				if f, err := conn.Receive(); err == nil && f.Hello != nil {
					source.Serve(conn, f.Hello, nil)
				}
			}()
			return here, nil
		}
		client.Consume = func(f *transport.Update) {
			// Only a chunk is incomplete and has this many entries.
			if !f.Complete && len(f.Items)+len(f.Instances) > 500 && (f.Quorum || f.Ready || f.Members > 0) {
				withStatus.Add(1)
			}
			client.merge(f)
		}
		clients = append(clients, client)
		all.Go(func() {
			time.Sleep(time.Duration(n%20) * 10 * time.Millisecond)
			client.Run(ctx)
		})
	}
	for range 400 {
		time.Sleep(time.Millisecond)
		change(random.IntN(instances))
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
	chunks := len(source.cache.chunks)
	want := map[string]registry.Instance{}
	for _, instance := range store.Instances() {
		want[instance.ID] = instance
	}
	for _, client := range clients {
		is.True(client.State().Complete && client.State().Quorum && client.State().Ready)
		is.Equal(client.Store.Snapshot().Len(), store.Snapshot().Len())
		for _, instance := range client.Store.Instances() {
			// the agent has no outdated instance
			is.True(!instance.DiffersFrom(want[instance.ID]) || want[instance.ID].Supersedes(instance))
			is.Equal(instance.Phase, want[instance.ID].Phase)
		}
		is.Equal(len(client.Store.Instances()), len(want))
		for i := range store.Snapshot().All() {
			known, _ := client.Store.Snapshot().Get(i.Key)
			is.Equal(known.Version, i.Version)
		}
	}
	is.Equal(withStatus.Load(), int64(0))
	is.True(chunks > 0 && chunks < 100) // 60 subscribers with 8 chunks each would be 480
	cancel()
	all.Wait()
}
