package replication

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

func item(n int, version uint64) configuration.Item {
	return configuration.Item{
		Key:     configuration.Key{Kind: configuration.Services, Name: fmt.Sprint("s", n)},
		Version: version,
		Body:    fmt.Appendf(nil, `{"healthPath":"/health","maxConns":%d}`, version),
	}
}

// modelStore is a simple model of a Store: it has every entry with the sequence number of its last change, and searches
// all of them.
type modelStore struct {
	seq       uint64
	items     map[string]configuration.Item
	instances map[string]registry.Instance
	changedAt map[string]uint64
}

func (m *modelStore) recordChange(key string) {
	m.seq++
	m.changedAt[key] = m.seq
}

func (m *modelStore) since(seq uint64) (keys []string) {
	for key, at := range m.changedAt {
		if at > seq {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(m.changedAt[a], m.changedAt[b]) })
	return keys
}

// TestStoreAgainstModel makes random changes to a Store. The store must report the same changes as the model after any
// sequence number, and its log must stay bounded.
func TestStoreAgainstModel(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 4))
		s := NewStore(9)
		model := &modelStore{
			items:     map[string]configuration.Item{},
			instances: map[string]registry.Instance{},
			changedAt: map[string]uint64{},
		}
		cursor := uint64(0)
		for range 1500 {
			switch random.IntN(10) {
			case 0, 1, 2:
				i := item(random.IntN(12), uint64(random.IntN(60)))
				name := "item" + i.Key.Name
				changed := s.MergeItems([]configuration.Item{i})
				old, known := model.items[name]
				isNew := !known || i.Version > old.Version
				is.Equal(len(changed) == 1, isNew)
				if isNew {
					model.items[name] = i
				}
				if isNew || old.Version > i.Version {
					model.recordChange(name)
				}
			case 3:
				if id := fmt.Sprint("i", random.IntN(20)); random.IntN(4) == 0 {
					s.ForgetInstances([]string{id})
					delete(model.instances, id)
					delete(model.changedAt, "instance"+id)
				}
			default:
				instance := registry.Instance{
					ID:      fmt.Sprint("i", random.IntN(20)),
					Service: "a",
					Seq:     uint64(random.IntN(100)),
					Phase:   registry.Phase(random.IntN(16) / 5),
				}
				changed := s.MergeInstances([]registry.Instance{instance})
				old, known := model.instances[instance.ID]
				isNew := !known || instance.Supersedes(old) && instance.DiffersFrom(old)
				is.Equal(len(changed) == 1, isNew)
				if isNew || old.Supersedes(instance) && instance.DiffersFrom(old) {
					model.recordChange("instance" + instance.ID)
				}
				if !known || instance.Supersedes(old) {
					model.instances[instance.ID] = instance
				}
			}
			is.Equal(s.Seq(), model.seq)
			if random.IntN(4) > 0 {
				continue
			}
			// Read either the changes after the cursor, one chunk at a time, or all changes after a random number.
			seq, maxBytes := cursor, 1+random.IntN(200)
			if random.IntN(3) == 0 {
				seq, maxBytes = uint64(random.Int64N(int64(model.seq)+1)), 1<<20
			}
			changes := s.ChangesSince(seq, maxBytes)
			want := model.since(seq)
			if changes.Complete {
				is.Equal(changes.Seq, model.seq)
			} else {
				is.True(len(changes.Items)+len(changes.Instances) > 0)
				want = slices.DeleteFunc(want, func(key string) bool { return model.changedAt[key] > changes.Seq })
			}
			var got []string
			for _, i := range changes.Items {
				i.History = nil // only the snapshot has it, the model doesn't
				is.Equal(i, model.items["item"+i.Key.Name])
				got = append(got, "item"+i.Key.Name)
			}
			for _, instance := range changes.Instances {
				is.Equal(instance, model.instances[instance.ID])
				got = append(got, "instance"+instance.ID)
			}
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			if seq == cursor {
				cursor = changes.Seq
			}
		}
		is.True(len(s.log) <= 64+2*len(s.slots))
		s.ForgetInactive(model.seq)
		for _, instance := range s.Instances() {
			is.True(instance.Phase == registry.Serving || instance.Phase == registry.Draining)
		}
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 5))
	base, last := 0.0, 0.0
	client := NewClock(func() float64 { return base })
	client.Observe(1e6, 0)
	is.Equal(client.Now(), 1e6) // the first observed time may be ahead by any amount
	for range 10000 {
		base += random.Float64()
		before := client.Now()
		client.Observe(before+(random.Float64()-0.7)*1e5, random.Float64()/100)
		now := client.Now()
		is.True(now >= before && now >= last && now-before <= 3601) // maxStep, and 1 s of slack
		last = now
	}
	client.Observe(client.Now()+0.004, 0) // less than maxSkew
	is.Equal(client.Now(), last)
}

// fakeSource is a source over in-memory connections that can be restarted and disconnected.
type fakeSource struct {
	mu     sync.Mutex
	source *Source
	conns  []net.Conn
}

func (fs *fakeSource) restart(incarnation uint64) *Store {
	s := NewStore(incarnation)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	clock := NewClock(func() float64 { return 50 })
	fs.source = &Source{
		Store:       s,
		Clock:       clock,
		Quorum:      func() bool { return true },
		OnInstances: func(instances []registry.Instance) { s.MergeInstances(instances) },
	}
	return s
}

func (fs *fakeSource) disconnect() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for _, client := range fs.conns {
		client.Close()
	}
	fs.conns = nil
}

func (fs *fakeSource) dial(context.Context) (net.Conn, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.source == nil {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	fs.conns = append(fs.conns, here)
	s := fs.source
	go func() {
		conn := transport.NewConn(there)
		f, err := conn.Receive()
		if err != nil {
			return
		}
		s.Serve(conn, f.Hello, nil)
	}()
	return here, nil
}

// TestSubscription checks what a client receives at first, after changes, after a lost connection and after a restart
// of the source: every missing entry, and each only once.
func TestSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &fakeSource{}
		store := source.restart(1)
		for n := range 3000 {
			store.MergeItems([]configuration.Item{item(n, 1)})
		}
		store.MergeInstances([]registry.Instance{{ID: "i", Seq: 1}, {ID: "dead", Seq: 1}})

		var mu sync.Mutex
		got, updates := map[string]int{}, 0 // got: how many times each entry was received
		replica := NewStore(77)
		var client *Client
		client = &Client{
			Node:         "n",
			Class:        ClassAgent,
			Incarnation:  77,
			Store:        replica,
			Clock:        NewClock(func() float64 { return 0 }),
			Dial:         source.dial,
			RepairSource: true,
			Ready:        func() bool { return true },
			Consume: func(f *transport.Update) {
				mu.Lock()
				defer mu.Unlock()
				updates++
				for _, i := range f.Items {
					got[i.Key.Name]++
				}
				for _, instance := range f.Instances {
					got[instance.ID]++
				}
				client.merge(f)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { client.Run(ctx) })
		synctest.Wait()
		is.True(client.Connected() && client.State().Complete && client.State().Quorum)
		is.Equal(replica.Snapshot().Len(), 3000)
		is.Equal(client.Clock.Now(), 50.0)
		// once checks that since its last call the given number of entries was received, each of them once. It returns
		// the number of updates since then.
		once := func(entries int) (in int) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(got), entries)
			for key, n := range got {
				if n != 1 {
					t.Fatalf("%s came %d times, want once", key, n)
				}
			}
			in, updates = updates, 0
			clear(got)
			return in
		}
		is.True(once(3002) > 1)

		// Changes are sent at once, and in few updates.
		for n := range 100 {
			store.MergeItems([]configuration.Item{item(n, 2)})
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.True(once(100) <= 5)

		// After a lost connection only the changes since then are sent, each once.
		source.disconnect()
		synctest.Wait()
		is.True(!client.Connected())
		store.MergeItems([]configuration.Item{item(5, 3), item(6, 3)})
		store.MergeInstances([]registry.Instance{{ID: "i", Seq: 2, Phase: registry.Draining}})
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(client.Connected())
		once(3)
		instance, _ := replica.Instance("i")
		is.Equal(instance.Phase, registry.Draining)

		// The source restarts without some of its entries, and its sequence numbers begin again. The client must not
		// miss any change, and the source must receive the instances that it lost.
		store = source.restart(2)
		store.MergeItems([]configuration.Item{item(7, 9)})
		store.MergeInstances([]registry.Instance{{ID: "i", Seq: 3, Phase: registry.Draining}})
		source.disconnect()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(client.State().Incarnation, uint64(2))
		once(2)
		time.Sleep(5 * time.Second)
		instance, ok := store.Instance("dead")
		is.True(ok && instance.Phase == registry.Serving)
		instance, _ = store.Instance("i")
		is.Equal(instance.Seq, uint64(3))
		i, _ := replica.Snapshot().Get(item(7, 9).Key)
		is.Equal(i.Version, uint64(9))

		// Empty updates keep the connection alive, and Run ends with its context.
		time.Sleep(30 * time.Second)
		is.True(client.Connected() && client.State().UpdatedWithin(time.Second))
		cancel()
		all.Wait()
		source.disconnect()
		synctest.Wait()
		is.True(!client.Connected())
	})
}

// TestOutdatedInstanceIsRepaired checks that merging an outdated instance makes the stored one count as changed, so
// that the sender of the outdated one receives it.
func TestOutdatedInstanceIsRepaired(t *testing.T) {
	is := is.New(t)
	s := NewStore(1)
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 4}})
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 9}}) // a later heartbeat with the same content
	seq := s.ChangesSince(0, 1<<20).Seq
	is.Equal(len(s.MergeInstances([]registry.Instance{{ID: "i", Seq: 7, Phase: registry.Silent}})), 0)
	is.Equal(s.ChangesSince(seq, 1<<20).Instances, []registry.Instance{{ID: "i", Seq: 9}})
	seq = s.ChangesSince(0, 1<<20).Seq
	// If neither instance supersedes the other, they must not be sent back and forth endlessly.
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 9, Address: "another"}})
	is.Equal(s.Seq(), seq)
}
