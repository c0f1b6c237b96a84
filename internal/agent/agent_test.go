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

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/logging/logtest"
)

// fakeControlPlane simulates a set of control nodes. A node that is down accepts no connections.
type fakeControlPlane struct {
	mu    sync.Mutex           // guards nodes, and the fields down, conns, adds and ready of each node
	nodes map[string]*fakeNode // by internal address

	voters []string // control addresses of the voters, as reported by every node
}

type fakeNode struct {
	replication.Source
	addr      string
	down      bool
	inContact atomic.Bool // reports contact with a majority
	conns     []net.Conn
	adds      []string        // names of the counters in the calls received
	ready     map[string]bool // last readiness that each edge node reported in a renewal
}

func (fc *fakeControlPlane) start(n int, quorum bool) *fakeNode {
	addr := fmt.Sprintf("10.0.0.%d:7560", n)
	started := &fakeNode{addr: addr, ready: map[string]bool{}}
	started.inContact.Store(quorum)
	began := time.Now()
	started.Source = replication.Source{
		Store:   replication.NewStore(uint64(100 + n)),
		Clock:   replication.NewClock(func() float64 { return 5 + time.Since(began).Seconds() }),
		Ready:   func() bool { return true },
		Quorum:  started.inContact.Load,
		Voters:  func() []string { return fc.voters },
		Members: func() int { return 10 + n },
		OnRenewal: func(h *transport.Hello, ready bool) {
			fc.mu.Lock()
			defer fc.mu.Unlock()
			started.ready[h.Node] = ready
		},
	}
	started.Store.MergeItems([]configuration.Item{{
		Key:     configuration.Key{Kind: configuration.Tenants, Name: fmt.Sprint("t", n)},
		Version: 1,
		Body:    []byte(`{"apiKeys":["k"]}`),
	}})
	started.Store.MergeInstances([]registry.Instance{{ID: fmt.Sprint("i", n), Seq: 1}})
	started.Store.SetEpoch(uint64(n))
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.nodes[addr] = started
	return started
}

func (fc *fakeControlPlane) dial(_ context.Context, addr string) (net.Conn, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	dialed := fc.nodes[addr]
	if dialed == nil || dialed.down {
		return nil, net.ErrClosed
	}
	clientEnd, serverEnd := net.Pipe()
	dialed.conns = append(dialed.conns, clientEnd)
	go func() {
		conn := transport.NewConn(serverEnd)
		if f, err := conn.Receive(); err == nil {
			dialed.Serve(conn, f.Hello, func(f *transport.Frame) *transport.Frame {
				fc.mu.Lock()
				defer fc.mu.Unlock()
				dialed.adds = append(dialed.adds, f.CounterAdd.Name)
				if f.CounterAdd.Name == "nobody's" {
					return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
				}
				return &transport.Frame{
					CounterTotal: &transport.CounterTotal{
						OK:        f.CounterAdd.Name != "unsure",
						Sum:       f.CounterAdd.Amount,
						Reporters: 1,
					},
				}
			})
		}
	}()
	return clientEnd, nil
}

func (fc *fakeControlPlane) stop(stopped *fakeNode) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	stopped.down = true
	for _, conn := range stopped.conns {
		conn.Close()
	}
}

// TestAgentAmongControlNodes runs an agent while control nodes start, stop and are replaced. A proxy that is connected
// to the agent must get the merged updates of the nodes, must be told that they are not sufficient as long as no
// majority is in contact, and must reach an owner of each counter.
func TestAgentAmongControlNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		controlPlane := &fakeControlPlane{nodes: map[string]*fakeNode{}}
		a := New(7, logtest.Discard())
		a.dial = controlPlane.dial
		ctx, cancel := context.WithCancel(t.Context())
		p := &settings.Settings{
			Node:       "edge-1",
			InnerFirst: 7560,
			Seeds:      []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"},
		}
		a.Follow(ctx, p)

		// The proxy connects first. It receives the available updates, marked as not sufficient.
		store := replication.NewStore(8)
		proxy := &replication.Client{
			Node:        "edge-1",
			Class:       replication.ClassProxy,
			Incarnation: 8,
			Store:       store,
			Clock:       replication.NewClock(func() float64 { return 0 }),
			Ready:       func() bool { return true },
			Dial: func(context.Context) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				go a.serveConnection(serverEnd)
				return clientEnd, nil
			},
		}
		a.tasks.Go(func() { proxy.Run(ctx) })
		advance := func(d time.Duration) { time.Sleep(d); synctest.Wait() }
		one := controlPlane.start(1, false)
		advance(10 * time.Second)
		is.Equal(store.Snapshot().Len(), 1)
		is.True(!proxy.State().Ready && !proxy.State().Quorum)
		is.Equal(proxy.State().Members, 0) // a node without contact to a majority is ignored
		two := controlPlane.start(2, true)
		one.inContact.Store(true)
		advance(3 * time.Second)
		is.Equal(store.Snapshot().Len(), 2)
		is.True(proxy.State().Ready && proxy.State().Quorum)
		is.Equal(proxy.State().Members, 12)
		is.Equal(store.Epoch(), uint64(2))
		ready := func(x *fakeNode) bool {
			controlPlane.mu.Lock()
			defer controlPlane.mu.Unlock()
			return x.ready["edge-1"]
		}
		is.True(ready(one) && ready(two))

		// Counter calls go to the owner of the counter, and to the next node if the owner does not accept them.
		liveAddrs := []string{one.addr, two.addr}
		for i := range 20 {
			name := fmt.Sprint("tenant-", i)
			answer, err := proxy.Call(time.Second, &transport.Frame{
				CounterAdd: &transport.CounterAdd{Name: name, Amount: float64(i)},
			})
			is.NoErr(err)
			is.Equal(*answer.CounterTotal, transport.CounterTotal{OK: true, Sum: float64(i), Reporters: 1})
			is.True(slices.Contains(controlPlane.nodes[quota.Owner(name, liveAddrs)].adds, name))
		}
		answer, err := proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: "nobody's"}})
		is.NoErr(err)
		is.True(!answer.CounterTotal.OK)
		is.True(slices.Contains(one.adds, "nobody's") && slices.Contains(two.adds, "nobody's"))
		// If an owner accepts a report but may not have the reports of other ingresses yet (OK is false), the next node
		// is not called.
		answer, err = proxy.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: "unsure"}})
		is.NoErr(err)
		is.Equal(*answer.CounterTotal, transport.CounterTotal{Reporters: 1})
		is.True(slices.Contains(one.adds, "unsure") != slices.Contains(two.adds, "unsure"))

		// One node stops. The agent remains ready but no longer has a quorum, and the calls for the counters of the
		// stopped node go to the other one.
		controlPlane.stop(one)
		advance(3 * time.Second)
		is.True(proxy.State().Ready && !proxy.State().Quorum)
		for i := range 20 {
			answer, err := proxy.Call(time.Second, &transport.Frame{
				CounterAdd: &transport.CounterAdd{Name: fmt.Sprint("tenant-", i)},
			})
			is.NoErr(err)
			is.True(answer.CounterTotal.OK)
		}

		// The settings change to another set of control nodes. The agent receives the changes of the new node.
		four := controlPlane.start(4, true)
		a.Follow(ctx, &settings.Settings{
			Node:       "edge-1",
			InnerFirst: 7560,
			Seeds:      []string{"10.0.0.2:80", "10.0.0.4:80"},
		})
		advance(3 * time.Second)
		is.True(proxy.State().Quorum)
		l, ok := store.Instance("i4")
		is.True(ok && l.Seq == 1)
		is.Equal(proxy.State().Members, 14)
		is.True(ready(four))
		cancel()
		a.tasks.Wait()
	})
}

// TestEvaluate checks in which states of the sources there is a quorum, and in which their updates are sufficient to
// serve requests.
func TestEvaluate(t *testing.T) {
	now := time.Unix(100, 0)
	status := func(ago time.Duration, complete, quorum bool) sourceStatus {
		return sourceStatus{
			addr:         "a",
			connected:    true,
			syncComplete: complete,
			State: replication.State{
				Incarnation:  1,
				Ready:        complete,
				Quorum:       quorum,
				LastUpdateAt: now.Add(-ago),
			},
		}
	}
	never := sourceStatus{}
	complete, incomplete := status(0, true, true), status(0, false, true)
	noContact, outdated := status(0, true, false), status(3*time.Second, true, true)
	for name, c := range map[string]struct {
		statuses               []sourceStatus
		sinceStart             time.Duration
		wantQuorum, sufficient bool
	}{
		"a majority is complete":    {[]sourceStatus{complete, complete, never}, 0, true, true},
		"one of two is complete":    {[]sourceStatus{complete, incomplete, never}, 0, true, false},
		"one of three, soon":        {[]sourceStatus{complete, never, never}, time.Second, false, false},
		"one of three, later":       {[]sourceStatus{complete, never, never}, 6 * time.Second, false, true},
		"one without contact":       {[]sourceStatus{noContact, never, never}, 6 * time.Second, false, false},
		"one with an old update":    {[]sourceStatus{outdated, never, never}, 6 * time.Second, false, false},
		"the only source":           {[]sourceStatus{complete}, 0, true, true},
		"no sources are configured": {nil, 6 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			view := evaluate(c.statuses, now, c.sinceStart)
			if view.quorum != c.wantQuorum || view.sufficient != c.sufficient {
				t.Errorf("got quorum %t, sufficient %t, want %t, %t",
					view.quorum, view.sufficient, c.wantQuorum, c.sufficient)
			}
		})
	}
}

// TestDiscoversVoters starts an agent whose seeds are a partitioned node and a node that is down. The agent must
// discover the voters from the partitioned node and evaluate the quorum from the voters alone. It must keep the voters
// when the settings are reread, and remove sources that are no longer voters.
func TestDiscoversVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		controlPlane := &fakeControlPlane{
			nodes:  map[string]*fakeNode{},
			voters: []string{"10.0.0.1:80", "10.0.0.3:80", "10.0.0.4:80"},
		}
		a := New(7, logtest.Discard())
		a.dial = controlPlane.dial
		ctx, cancel := context.WithCancel(t.Context())
		advance := func(d time.Duration) { time.Sleep(d); synctest.Wait() }
		partitioned := controlPlane.start(9, false) // it reports the highest number of ingresses
		controlPlane.mu.Lock()
		controlPlane.nodes["10.0.0.1:7560"], controlPlane.nodes["10.0.0.9:7560"] = partitioned, nil
		controlPlane.mu.Unlock()
		three, four := controlPlane.start(3, true), controlPlane.start(4, true)
		three.Store.SetEpoch(10)
		four.Store.SetEpoch(10)
		a.Follow(ctx, &settings.Settings{
			Node:       "edge-1",
			InnerFirst: 7560,
			Seeds:      []string{"10.0.0.1:80", "10.0.0.2:80"},
		})
		advance(3 * time.Second)
		view := a.view()
		is.True(view.quorum && view.sufficient && a.ready.Load())
		is.Equal(view.members, 14) // not the 19 of the partitioned node
		is.Equal(view.live, []string{"10.0.0.3:7560", "10.0.0.4:7560"})

		// The voters change: node 5 replaces node 3.
		controlPlane.mu.Lock()
		controlPlane.voters = []string{"10.0.0.1:80", "10.0.0.4:80", "10.0.0.5:80"}
		controlPlane.mu.Unlock()
		four.Store.SetEpoch(11)
		five := controlPlane.start(5, true)
		five.Store.SetEpoch(11)
		advance(3 * time.Second)
		view = a.view()
		is.Equal(view.live, []string{"10.0.0.4:7560", "10.0.0.5:7560"})
		is.True(view.quorum)
		// Discovered voters are kept when the settings are reread. If no node is in contact, there is no quorum.
		a.Follow(ctx, &settings.Settings{Node: "edge-1", InnerFirst: 7560, Seeds: []string{"10.0.0.1:80"}})
		four.inContact.Store(false)
		five.inContact.Store(false)
		advance(time.Second)
		view = a.view()
		is.True(!view.quorum && !view.sufficient && view.members == 0 && view.peers == 0 && len(view.live) == 0)
		four.inContact.Store(true)
		five.inContact.Store(true)
		advance(time.Second)
		is.Equal(a.view().live, []string{"10.0.0.4:7560", "10.0.0.5:7560"})
		cancel()
		a.tasks.Wait()
	})
}

// TestEvaluateByContact checks that a node that does not have all changes of another node is not sufficient, and that
// the majority is computed from the voters that a node in contact reported.
func TestEvaluateByContact(t *testing.T) {
	now := time.Unix(100, 0)
	status := func(fromVoters, quorum bool, epoch uint64, members int, voters ...string) sourceStatus {
		return sourceStatus{
			addr:         "a",
			fromVoters:   fromVoters,
			connected:    true,
			syncComplete: true,
			State: replication.State{
				Incarnation:  1,
				Ready:        true,
				Quorum:       quorum,
				Epoch:        epoch,
				Members:      members,
				Rank:         members,
				ZonePeers:    20,
				Voters:       voters,
				LastUpdateAt: now,
			},
		}
	}
	five := []string{"a", "b", "c", "d", "e"}
	for name, c := range map[string]struct {
		statuses               []sourceStatus
		wantQuorum, sufficient bool
		members                int
	}{
		"the highest count in contact": {
			[]sourceStatus{status(false, true, 7, 3), status(false, true, 7, 4), status(false, false, 7, 9)},
			true, true, 4,
		},
		"one lacks changes of another": {
			[]sourceStatus{status(false, true, 7, 3), status(false, true, 8, 4), status(false, false, 7, 9)},
			true, false, 4,
		},
		"a newer one is out of contact": {
			[]sourceStatus{status(false, true, 7, 3), status(false, false, 8, 4), status(false, true, 7, 9)},
			true, false, 9,
		},
		"two of five voters": {
			[]sourceStatus{status(false, true, 7, 3, five...), status(false, true, 7, 4, five...)},
			false, false, 4,
		},
		"three of five voters, one discovered": {
			[]sourceStatus{
				status(false, true, 7, 3, five...),
				status(false, true, 7, 4, five...),
				status(true, true, 7, 5, five...),
			},
			true, true, 5,
		},
		"voters reported without contact do not count": {
			[]sourceStatus{status(false, false, 7, 3, five...), status(false, true, 7, 4, "a")},
			true, true, 4,
		},
		"nobody in contact": {
			[]sourceStatus{status(false, false, 9, 3, "a"), status(false, false, 7, 4, "a")},
			false, false, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			view := evaluate(c.statuses, now, time.Second)
			if view.quorum != c.wantQuorum || view.sufficient != c.sufficient || view.members != c.members {
				t.Errorf("got %+v, want quorum %t, sufficient %t, members %d",
					view, c.wantQuorum, c.sufficient, c.members)
			}
			if view.rank != c.members {
				t.Errorf("got rank %d, want that of the node with the most members, %d", view.rank, c.members)
			}
		})
	}
}
