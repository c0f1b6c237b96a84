package agent

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

// core is the control nodes that run, by address. A node that is out takes no connection.
type core struct {
	mu    sync.Mutex
	nodes map[string]*node

	voters []string // as all tell
}

type node struct {
	replication.Source
	addr  string
	out   bool
	held  atomic.Bool // in contact with a majority
	conns []net.Conn
	adds  []string // counters added to
	ready map[string]bool
}

func (c *core) start(n int, quorum bool) *node {
	addr := fmt.Sprintf("10.0.0.%d:7560", n)
	x := &node{addr: addr, ready: map[string]bool{}}
	x.held.Store(quorum)
	began := time.Now()
	x.Source = replication.Source{Store: replication.NewStore(uint64(100 + n)), Clock: replication.NewClock(func() float64 { return 5 + time.Since(began).Seconds() }),
		Ready: func() bool { return true }, Quorum: x.held.Load, Voters: func() []string { return c.voters }, Members: func() int { return 10 + n },
		OnRenewal: func(h *transport.Hello, ready bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			x.ready[h.Node] = ready
		}}
	x.Store.MergeItems([]configuration.Item{{Key: configuration.Key{Kind: configuration.Tenants, Name: fmt.Sprint("t", n)}, Version: 1, Body: []byte(`{"apiKeys":["k"]}`)}})
	x.Store.MergeInstances([]registry.Instance{{ID: fmt.Sprint("i", n), Seq: 1}})
	x.Store.SetEpoch(uint64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[addr] = x
	return x
}

func (c *core) dial(_ context.Context, addr string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.nodes[addr]
	if x == nil || x.out {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	x.conns = append(x.conns, here)
	go func() {
		conn := transport.NewConn(there)
		if f, err := conn.Receive(); err == nil {
			x.Serve(conn, f.Hello, func(f *transport.Frame) *transport.Frame {
				c.mu.Lock()
				defer c.mu.Unlock()
				x.adds = append(x.adds, f.CounterAdd.Name)
				if f.CounterAdd.Name == "nobody's" {
					return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
				}
				return &transport.Frame{CounterTotal: &transport.CounterTotal{OK: f.CounterAdd.Name != "unsure", Sum: f.CounterAdd.Amount, Reporters: 1}}
			})
		}
	}()
	return here, nil
}

func (c *core) stop(x *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.out = true
	for _, conn := range x.conns {
		conn.Close()
	}
}

func TestFinder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &core{nodes: map[string]*node{}}
		f := New(7, log.NewNopLogger())
		f.dial = c.dial
		ctx, cancel := context.WithCancel(t.Context())
		p := &settings.Settings{Node: "edge-1", InnerFirst: 7560, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
		f.Follow(ctx, p)

		// The proxy comes first. It is served what there is, and told that this is not enough.
		store := replication.NewStore(8)
		proxy := &replication.Client{Node: "edge-1", Class: replication.ClassProxy, Incarnation: 8, Store: store, Clock: replication.NewClock(func() float64 { return 0 }),
			Ready: func() bool { return true }, Dial: func(context.Context) (net.Conn, error) {
				here, there := net.Pipe()
				go f.proxy(there)
				return here, nil
			}}
		f.all.Go(func() { proxy.Run(ctx) })
		pass := func(d time.Duration) { time.Sleep(d); synctest.Wait() }
		one := c.start(1, false)
		pass(10 * time.Second)
		is.Equal(store.Snapshot().Len(), 1)
		is.True(!proxy.State().Ready && !proxy.State().Quorum)
		is.Equal(proxy.State().Members, 0) // nor do its counts count
		two := c.start(2, true)
		one.held.Store(true)
		pass(3 * time.Second)
		is.Equal(store.Snapshot().Len(), 2)
		is.True(proxy.State().Ready && proxy.State().Quorum)
		is.Equal(proxy.State().Members, 12)
		is.Equal(store.Epoch(), uint64(2))
		ready := func(x *node) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return x.ready["edge-1"]
		}
		is.True(ready(one) && ready(two))

		// Counter calls go to the keeper that all see, and to the next one where that does not answer for them.
		living := []string{one.addr, two.addr}
		for i := range 20 {
			name := fmt.Sprint("tenant-", i)
			a, err := proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: name, Amount: float64(i)}})
			is.NoErr(err)
			is.Equal(*a.CounterTotal, transport.CounterTotal{OK: true, Sum: float64(i), Reporters: 1})
			is.True(slices.Contains(c.nodes[quota.Owner(name, living)].adds, name))
		}
		a, err := proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: "nobody's"}})
		is.NoErr(err)
		is.True(!a.CounterTotal.OK)
		is.True(slices.Contains(one.adds, "nobody's") && slices.Contains(two.adds, "nobody's"))
		// A keeper that took an add and is not sure of the others yet is its keeper: the next one is not asked.
		a, err = proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: "unsure"}})
		is.NoErr(err)
		is.Equal(*a.CounterTotal, transport.CounterTotal{Reporters: 1})
		is.True(slices.Contains(one.adds, "unsure") != slices.Contains(two.adds, "unsure"))

		// One goes: what is here stays enough, but it is no quorum any more, and its counters go to the other.
		c.stop(one)
		pass(3 * time.Second)
		is.True(proxy.State().Ready && !proxy.State().Quorum)
		for i := range 20 {
			a, err := proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: fmt.Sprint("tenant-", i)}})
			is.NoErr(err)
			is.True(a.CounterTotal.OK)
		}

		// Other settings: another core, whose news comes through.
		four := c.start(4, true)
		f.Follow(ctx, &settings.Settings{Node: "edge-1", InnerFirst: 7560, Seeds: []string{"10.0.0.2:80", "10.0.0.4:80"}})
		pass(3 * time.Second)
		is.True(proxy.State().Quorum)
		l, ok := store.Instance("i4")
		is.True(ok && l.Seq == 1)
		is.Equal(proxy.State().Members, 14)
		is.True(ready(four))
		cancel()
		f.all.Wait()
	})
}

func TestLook(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	said := func(ago time.Duration, whole, quorum bool) sourceStatus {
		return sourceStatus{addr: "a", up: true, complete: whole, State: replication.State{Incarnation: 1, Ready: whole, Quorum: quorum, LastUpdateAt: now.Add(-ago)}}
	}
	never := sourceStatus{}
	for _, x := range []struct {
		words          []sourceStatus
		since          time.Duration
		quorum, enough bool
	}{
		{[]sourceStatus{said(0, true, true), said(0, true, true), never}, 0, true, true},
		{[]sourceStatus{said(0, true, true), said(0, false, true), never}, 0, true, false},
		{[]sourceStatus{said(0, true, true), never, never}, time.Second, false, false},
		{[]sourceStatus{said(0, true, true), never, never}, 6 * time.Second, false, true},
		{[]sourceStatus{said(0, true, false), never, never}, 6 * time.Second, false, false},
		{[]sourceStatus{said(3*time.Second, true, true), never, never}, 6 * time.Second, false, false},
		{[]sourceStatus{said(0, true, true)}, 0, true, true},
		{nil, 6 * time.Second, false, false},
	} {
		o := evaluate(x.words, now, x.since)
		is.Equal(o.quorum, x.quorum)
		is.Equal(o.sufficient, x.enough)
	}
}

// A newcomer whose seeds are a node that is cut off and one that is down finds the voters by the word of the one, goes by them alone, and
// keeps them; who is no voter any more is left.
func TestNewcomerFindsTheVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &core{nodes: map[string]*node{}, voters: []string{"10.0.0.1:80", "10.0.0.3:80", "10.0.0.4:80"}}
		f := New(7, log.NewNopLogger())
		f.dial = c.dial
		ctx, cancel := context.WithCancel(t.Context())
		pass := func(d time.Duration) { time.Sleep(d); synctest.Wait() }
		cut := c.start(9, false) // it counts the most
		c.mu.Lock()
		c.nodes["10.0.0.1:7560"], c.nodes["10.0.0.9:7560"] = cut, nil
		c.mu.Unlock()
		three, four := c.start(3, true), c.start(4, true)
		three.Store.SetEpoch(10)
		four.Store.SetEpoch(10)
		f.Follow(ctx, &settings.Settings{Node: "edge-1", InnerFirst: 7560, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80"}})
		pass(3 * time.Second)
		o := f.view()
		is.True(o.quorum && o.sufficient && f.ready.Load())
		is.Equal(o.members, 14) // not the 19 of the one that is cut off
		is.Equal(o.living, []string{"10.0.0.3:7560", "10.0.0.4:7560"})

		// The voters change: three goes, five comes.
		c.mu.Lock()
		c.voters = []string{"10.0.0.1:80", "10.0.0.4:80", "10.0.0.5:80"}
		c.mu.Unlock()
		four.Store.SetEpoch(11)
		five := c.start(5, true)
		five.Store.SetEpoch(11)
		pass(3 * time.Second)
		o = f.view()
		is.Equal(o.living, []string{"10.0.0.4:7560", "10.0.0.5:7560"})
		is.True(o.quorum)
		// Those told are kept when the settings are read anew, and nothing in contact is no quorum.
		f.Follow(ctx, &settings.Settings{Node: "edge-1", InnerFirst: 7560, Seeds: []string{"10.0.0.1:80"}})
		four.held.Store(false)
		five.held.Store(false)
		pass(time.Second)
		o = f.view()
		is.True(!o.quorum && !o.sufficient && o.members == 0 && o.peers == 0 && len(o.living) == 0)
		four.held.Store(true)
		five.held.Store(true)
		pass(time.Second)
		is.Equal(f.view().living, []string{"10.0.0.4:7560", "10.0.0.5:7560"})
		cancel()
		f.all.Wait()
	})
}

// Who is behind another feeds nobody anew, and a majority is one of the voters told by who is in contact.
func TestLookGoesByContact(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	said := func(told, quorum bool, epoch uint64, members int, voters ...string) sourceStatus {
		return sourceStatus{addr: "a", learned: told, up: true, complete: true, State: replication.State{Incarnation: 1, Ready: true, Quorum: quorum, Epoch: epoch, Members: members, Rank: members, ZonePeers: 20,
			Voters: voters, LastUpdateAt: now}}
	}
	five := []string{"a", "b", "c", "d", "e"}
	for i, x := range []struct {
		words          []sourceStatus
		quorum, enough bool
		members        int
	}{
		{[]sourceStatus{said(false, true, 7, 3), said(false, true, 7, 4), said(false, false, 7, 9)}, true, true, 4},
		{[]sourceStatus{said(false, true, 7, 3), said(false, true, 8, 4), said(false, false, 7, 9)}, true, false, 4},
		{[]sourceStatus{said(false, true, 7, 3), said(false, false, 8, 4), said(false, true, 7, 9)}, true, false, 9},
		{[]sourceStatus{said(false, true, 7, 3, five...), said(false, true, 7, 4, five...)}, false, false, 4},
		{[]sourceStatus{said(false, true, 7, 3, five...), said(false, true, 7, 4, five...), said(true, true, 7, 5, five...)}, true, true, 5},
		{[]sourceStatus{said(false, false, 7, 3, five...), said(false, true, 7, 4, "a")}, true, true, 4},
		{[]sourceStatus{said(false, false, 9, 3, "a"), said(false, false, 7, 4, "a")}, false, false, 0},
	} {
		o := evaluate(x.words, now, time.Second)
		if o.quorum != x.quorum || o.sufficient != x.enough || o.members != x.members {
			t.Errorf("%d: %+v", i, o)
		}
		is.Equal(o.rank, x.members)
	}
}
