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
	return configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: fmt.Sprint("s", n)}, Version: version,
		Body: fmt.Appendf(nil, `{"healthPath":"/health","maxConns":%d}`, version)}
}

// A plain store keeps everything with the number of its last change, and looks through all of it.
type plain struct {
	seq   uint64
	items map[string]configuration.Item
	lines map[string]registry.Instance
	at    map[string]uint64
}

func (p *plain) note(key string) { p.seq++; p.at[key] = p.seq }

func (p *plain) since(seq uint64) (keys []string) {
	for key, at := range p.at {
		if at > seq {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(p.at[a], p.at[b]) })
	return keys
}

func TestStoreAgainstPlain(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		odds := rand.New(rand.NewPCG(seed, 4))
		s := NewStore(9)
		p := &plain{items: map[string]configuration.Item{}, lines: map[string]registry.Instance{}, at: map[string]uint64{}}
		cursor := uint64(0)
		for range 1500 {
			switch odds.IntN(10) {
			case 0, 1, 2:
				i := item(odds.IntN(12), uint64(odds.IntN(60)))
				name := "item" + i.Key.Name
				changed := s.MergeItems([]configuration.Item{i})
				old, known := p.items[name]
				news := !known || i.Version > old.Version
				is.Equal(len(changed) == 1, news)
				if news {
					p.items[name] = i
				}
				if news || old.Version > i.Version {
					p.note(name)
				}
			case 3:
				if id := fmt.Sprint("i", odds.IntN(20)); odds.IntN(4) == 0 {
					s.ForgetInstances([]string{id})
					delete(p.lines, id)
					delete(p.at, "line"+id)
				}
			default:
				l := registry.Instance{ID: fmt.Sprint("i", odds.IntN(20)), Service: "a", Seq: uint64(odds.IntN(100)), Phase: registry.Phase(odds.IntN(16) / 5)}
				changed := s.MergeInstances([]registry.Instance{l})
				old, known := p.lines[l.ID]
				news := !known || l.Supersedes(old) && l.DiffersFrom(old)
				is.Equal(len(changed) == 1, news)
				if news || old.Supersedes(l) && l.DiffersFrom(old) {
					p.note("line" + l.ID)
				}
				if !known || l.Supersedes(old) {
					p.lines[l.ID] = l
				}
			}
			is.Equal(s.Seq(), p.seq)
			if odds.IntN(4) > 0 {
				continue
			}
			// Either what is behind the cursor, a piece at a time, or behind any number.
			seq, most := cursor, 1+odds.IntN(200)
			if odds.IntN(3) == 0 {
				seq, most = uint64(odds.Int64N(int64(p.seq)+1)), 1<<20
			}
			items, ls, last, whole := s.ChangesSince(seq, most)
			want := p.since(seq)
			if whole {
				is.Equal(last, p.seq)
			} else {
				is.True(len(items)+len(ls) > 0)
				want = slices.DeleteFunc(want, func(key string) bool { return p.at[key] > last })
			}
			var got []string
			for _, i := range items {
				i.History = nil // the directory's own
				is.Equal(i, p.items["item"+i.Key.Name])
				got = append(got, "item"+i.Key.Name)
			}
			for _, l := range ls {
				is.Equal(l, p.lines[l.ID])
				got = append(got, "line"+l.ID)
			}
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(got, want)
			if seq == cursor {
				cursor = last
			}
		}
		is.True(len(s.log) <= 64+2*len(s.slots))
		s.ForgetInactive(p.seq)
		for _, l := range s.Instances() {
			is.True(l.Phase == registry.Serving || l.Phase == registry.Draining)
		}
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	odds := rand.New(rand.NewPCG(5, 5))
	base, last := 0.0, 0.0
	c := NewClock(func() float64 { return base })
	c.Observe(1e6, 0)
	is.Equal(c.Now(), 1e6) // the first time may be anywhere
	for range 10000 {
		base += odds.Float64()
		before := c.Now()
		c.Observe(before+(odds.Float64()-0.7)*1e5, odds.Float64()/100)
		now := c.Now()
		is.True(now >= before && now >= last && now-before <= 3601)
		last = now
	}
	c.Observe(c.Now()+0.004, 0)
	is.Equal(c.Now(), last)
}

// exchange is a source that can be started anew and cut off, with no network.
type exchange struct {
	mu     sync.Mutex
	source *Source
	conns  []net.Conn
}

func (x *exchange) restart(life uint64) *Store {
	s := NewStore(life)
	x.mu.Lock()
	defer x.mu.Unlock()
	clock := NewClock(func() float64 { return 50 })
	x.source = &Source{Store: s, Clock: clock, Quorum: func() bool { return true }, OnInstances: func(ls []registry.Instance) { s.MergeInstances(ls) }}
	return s
}

func (x *exchange) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.conns {
		c.Close()
	}
	x.conns = nil
}

func (x *exchange) dial(context.Context) (net.Conn, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.source == nil {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	x.conns = append(x.conns, here)
	s := x.source
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

func TestSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := &exchange{}
		from := x.restart(1)
		for n := range 3000 {
			from.MergeItems([]configuration.Item{item(n, 1)})
		}
		from.MergeInstances([]registry.Instance{{ID: "i", Seq: 1}, {ID: "dead", Seq: 1}})

		var mu sync.Mutex
		got, feeds := map[string]int{}, 0 // how often each came
		to := NewStore(77)
		var c *Client
		c = &Client{Node: "n", Class: ClassAgent, Incarnation: 77, Store: to, Clock: NewClock(func() float64 { return 0 }), Dial: x.dial, RepairSource: true,
			Ready: func() bool { return true }, Consume: func(f *transport.Update) {
				mu.Lock()
				defer mu.Unlock()
				feeds++
				for _, i := range f.Items {
					got[i.Key.Name]++
				}
				for _, l := range f.Instances {
					got[l.ID]++
				}
				c.merge(f)
			}}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { c.Run(ctx) })
		synctest.Wait()
		is.True(c.Connected() && c.State().Complete && c.State().Quorum)
		is.Equal(to.Snapshot().Len(), 3000)
		is.Equal(c.Clock.Now(), 50.0)
		// once takes what has come since it was last asked: so many things, and each of them once.
		once := func(things int) (in int) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(got), things)
			for key, n := range got {
				if n != 1 {
					t.Fatal(key, "came", n, "times")
				}
			}
			in, feeds = feeds, 0
			clear(got)
			return in
		}
		is.True(once(3002) > 1)

		// News comes at once, and in few feeds.
		for n := range 100 {
			from.MergeItems([]configuration.Item{item(n, 2)})
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		is.True(once(100) <= 5)

		// A cut: only what changed meanwhile comes, once.
		x.cut()
		synctest.Wait()
		is.True(!c.Connected())
		from.MergeItems([]configuration.Item{item(5, 3), item(6, 3)})
		from.MergeInstances([]registry.Instance{{ID: "i", Seq: 2, Phase: registry.Draining}})
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(c.Connected())
		once(3)
		l, _ := to.Instance("i")
		is.Equal(l.Phase, registry.Draining)

		// The source starts anew, knows less, and has its numbers begin anew too: nothing is missed, and it learns what it lost.
		from = x.restart(2)
		from.MergeItems([]configuration.Item{item(7, 9)})
		from.MergeInstances([]registry.Instance{{ID: "i", Seq: 3, Phase: registry.Draining}})
		x.cut()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c.State().Incarnation, uint64(2))
		once(2)
		time.Sleep(5 * time.Second)
		l, ok := from.Instance("dead")
		is.True(ok && l.Phase == registry.Serving)
		l, _ = from.Instance("i")
		is.Equal(l.Seq, uint64(3))
		i, _ := to.Snapshot().Get(item(7, 9).Key)
		is.Equal(i.Version, uint64(9))

		// Heartbeats keep it up, and it ends with its context.
		time.Sleep(30 * time.Second)
		is.True(c.Connected() && c.State().UpdatedWithin(time.Second))
		cancel()
		all.Wait()
		x.cut()
		synctest.Wait()
		is.True(!c.Connected())
	})
}

// Whoever holds an older instance or item is told the newer one by whoever hears of it, also where that is no news to others.
func TestReadsMend(t *testing.T) {
	is := is.New(t)
	s := NewStore(1)
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 4}})
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 9}}) // a heartbeat like the one before
	_, _, seq, _ := s.ChangesSince(0, 1<<20)
	is.Equal(len(s.MergeInstances([]registry.Instance{{ID: "i", Seq: 7, Phase: registry.Silent}})), 0)
	_, ls, _, _ := s.ChangesSince(seq, 1<<20)
	is.Equal(ls, []registry.Instance{{ID: "i", Seq: 9}})
	_, _, seq, _ = s.ChangesSince(0, 1<<20)
	s.MergeInstances([]registry.Instance{{ID: "i", Seq: 9, Address: "another"}}) // neither wins: not passed back and forth for ever
	is.Equal(s.Seq(), seq)
}
