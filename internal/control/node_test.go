package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/logging/logtest"
)

// testCluster is a cluster of control nodes that are connected by pipes, use disks in memory, and run in simulated
// time.
type testCluster struct {
	*is.I
	t     *testing.T
	seeds []string

	mu           sync.Mutex // guards the fields below, and meter; the test reads nodes without it while it changes none
	nodes        map[string]*testNode
	killed       []*testNode // nodes that have lost power, and whose goroutines may still be ending
	incarnations uint64
	partitioned  map[string]bool // nodes that are separated from all others

	meter *linkMeter          // measures all links and limits their rate; nil if they are neither measured nor limited
	links *partitionableLinks // partitions the links without an error at either end; nil if none is to be partitioned

	clauses map[string]bool // clauses in force (settings.Settings.Clauses)
	bounds  settings.Bounds // bounds of the nodes that are started

	machineLosses int // machine losses at one time that the nodes which are started tolerate; 0 means one

	gracePeriod time.Duration // grace period of the nodes that are started; with 0, a stopped node ends at once
}

// testNode is a control node of a testCluster with its disk.
type testNode struct {
	*Node
	addr         string
	fs           *vfs.MemFS
	stallingDisk *stallingFS
	internal     *pipeListener
	control      *pipeListener
	clockSkew    atomic.Int64 // nanoseconds by which the clock of its majority lease is fast
	stop         context.CancelFunc
	ended        chan error
	crashed      bool // it has lost power and reaches no other node; guarded by the mutex of the cluster
}

// pipeListener is a net.Listener that accepts connections over pipes.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex // guards dialed
	dialed []net.Conn // dialing ends of the connections from and to the node
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// closeDialed closes the connections from and to the node.
func (p *pipeListener) closeDialed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.dialed {
		conn.Close()
	}
	p.dialed = nil
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// stallingFS is a file system whose syncs block while it is stalled.
type stallingFS struct {
	vfs.FS
	mu     sync.Mutex    // guards resume
	resume chan struct{} // closed when the stall ends; nil if not stalled
}

type stallingFile struct {
	vfs.File
	fs *stallingFS
}

func (h *stallingFS) setStalled(stalled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stalled {
		h.resume = make(chan struct{})
	} else if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

func (h *stallingFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := h.FS.Create(name, c)
	return stallingFile{f, h}, err
}

func (f stallingFile) wait() {
	f.fs.mu.Lock()
	gate := f.fs.resume
	f.fs.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (f stallingFile) Sync() error     { f.wait(); return f.File.Sync() }
func (f stallingFile) SyncData() error { f.wait(); return f.File.SyncData() }

func newCluster(t *testing.T, n int) *testCluster { return newClusterOver(t, n, nil) }

func newClusterOver(t *testing.T, size int, links *partitionableLinks) *testCluster {
	c := newTestCluster(t, links)
	c.startFirst(size)
	return c
}

// newTestCluster returns a cluster without nodes.
func newTestCluster(t *testing.T, links *partitionableLinks) *testCluster {
	return &testCluster{
		I: is.New(t), t: t, nodes: map[string]*testNode{}, partitioned: map[string]bool{}, links: links,
		bounds: settings.Bounds{Contact: 5, CatchUp: 6},
	}
}

// newCoordinationCluster returns a cluster of three nodes that serves coordination calls of applications.
func newCoordinationCluster(t *testing.T) *testCluster { return newCoordinationClusterOver(t, nil) }

func newCoordinationClusterOver(t *testing.T, links *partitionableLinks) *testCluster {
	return startCoordinationCluster(t, links, 0)
}

// startCoordinationCluster returns a cluster of three nodes that serves coordination calls of applications. Its nodes
// are started with the given grace period.
func startCoordinationCluster(t *testing.T, links *partitionableLinks, gracePeriod time.Duration) *testCluster {
	c := newTestCluster(t, links)
	c.clauses = map[string]bool{"coord": true}
	c.gracePeriod = gracePeriod
	c.startFirst(3)
	return c
}

// startFirst starts size seeds on empty disks.
func (c *testCluster) startFirst(size int) {
	for i := range size {
		c.seeds = append(c.seeds, fmt.Sprintf("10.0.0.%d:81", i+1))
	}
	for _, a := range c.seeds {
		c.start(a, vfs.NewCrashableMem(), true)
	}
}

func (c *testCluster) start(addr string, fs *vfs.MemFS, bootstrap bool) *testNode {
	c.mu.Lock()
	c.incarnations++
	incarnation := c.incarnations
	c.mu.Unlock()
	n := &testNode{
		addr:         addr,
		fs:           fs,
		stallingDisk: &stallingFS{FS: fs},
		internal:     newPipeListener(),
		control:      newPipeListener(),
		ended:        make(chan error, 1),
	}
	var err error
	host, _, _ := net.SplitHostPort(addr)
	n.Node, err = New(Config{
		Settings: &settings.Settings{
			Node:              "core-" + host,
			Host:              host,
			Zone:              "z" + host,
			ControlAddr:       addr,
			DataPath:          "d",
			InnerFirst:        75,
			Seeds:             c.seeds,
			HeartbeatInterval: 1.5,
			Bootstrap:         bootstrap,
			Clauses:           c.clauses,
			Tolerance:         settings.Tolerance{Machines: cmp.Or(c.machineLosses, 1)},
			Bounds:            c.bounds,
		},
		Log: logtest.Discard(), FS: n.stallingDisk, Incarnation: incarnation, Control: n.control,
		Internal: n.internal,
		Dial:     func(_ context.Context, inner string) (net.Conn, error) { return c.dial(n, inner) },
	})
	c.NoErr(err)
	n.gracePeriod = c.gracePeriod
	n.leaseClock = func() time.Duration { return time.Since(n.started) + time.Duration(n.clockSkew.Load()) }
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	c.mu.Lock()
	c.nodes[addr] = n
	c.mu.Unlock()
	go func() { n.ended <- n.Run(ctx) }()
	return n
}

// dial connects a control node to the node with an internal address.
func (c *testCluster) dial(dialer *testNode, inner string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dialer.crashed {
		return nil, net.ErrClosed
	}
	from := dialer.addr
	for _, n := range c.nodes {
		partitioned := n.crashed || c.partitioned[n.addr] || c.partitioned[from]
		if n.settings.InternalAddrOf(n.addr) != inner || partitioned || c.links.severedBetween(from, n.addr) {
			continue
		}
		here, there := net.Pipe()
		if c.meter != nil {
			here, there = c.meter.wrap(here), c.meter.wrap(there)
		}
		if c.links != nil {
			here, there = c.links.wrap(from, n.addr, here, there)
		}
		for _, x := range []*testNode{n, dialer} {
			x.internal.mu.Lock()
			x.internal.dialed = append(x.internal.dialed, here)
			x.internal.mu.Unlock()
		}
		select {
		case n.internal.conns <- there:
			return here, nil
		case <-n.internal.closed:
		}
	}
	return nil, net.ErrClosed
}

// dialFromOutside connects a process that is no control node to the node with an internal address.
func (c *testCluster) dialFromOutside(inner string) (net.Conn, error) {
	return c.dial(&testNode{internal: newPipeListener()}, inner)
}

// partition separates a node from the others if on is true, and connects it again otherwise. It closes the node's
// connections.
func (c *testCluster) partition(addr string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[addr] = on
	c.nodes[addr].internal.closeDialed()
}

// crash makes a node lose power. Messages in flight and about half of the unsynced data are lost. It returns the node's
// disk.
func (c *testCluster) crash(addr string) *vfs.MemFS {
	c.mu.Lock()
	n := c.nodes[addr]
	n.crashed = true
	c.killed = append(c.killed, n)
	random := rand.New(rand.NewPCG(c.incarnations, 1))
	c.mu.Unlock()
	n.internal.closeDialed()
	disk := n.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: random})
	n.stallingDisk.setStalled(false)
	n.stop()
	return disk
}

// crashAll makes all seeds lose power. It returns their disks.
func (c *testCluster) crashAll() map[string]*vfs.MemFS {
	disks := map[string]*vfs.MemFS{}
	for _, addr := range c.seeds {
		disks[addr] = c.crash(addr)
	}
	return disks
}

// newDisk returns an empty disk.
func newDisk() *vfs.MemFS { return vfs.NewCrashableMem() }

func (c *testCluster) stopAll() {
	for _, n := range c.nodes {
		n.stallingDisk.setStalled(false)
		n.stop()
		c.NoErr(<-n.ended)
	}
	for _, n := range c.killed {
		c.NoErr(<-n.ended)
	}
	synctest.Wait()
}

// call makes an HTTP call to a node.
func (c *testCluster) call(addr, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	c.nodes[addr].api.HTTPServer().Handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func advance(d time.Duration) {
	time.Sleep(d) // simulated time
	synctest.Wait()
}

func serviceJSON(name string, version int) string {
	const body = `%q:{"healthPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false,"generation":"%08x"}`
	return fmt.Sprintf(body, name, version)
}

func routeJSON(name, host, to string, version int) string {
	const body = `%q:{"authority":%q,"pathPrefix":"/a/","routeKind":"idempotent","deadlineMs":1000,"targetMs":400,` +
		`"priority":2,"backend":%q,"maxTries":2,"public":false,"generation":"%08x"}`
	return fmt.Sprintf(body, name, host, to, version)
}

func patchBody(services, routes []string) string {
	return `{"upsert":{"services":{` + strings.Join(services, ",") + `},"routes":{` + strings.Join(routes, ",") + `}}}`
}

func heartbeatJSON(phase string, seq int) string {
	const body = `{"address":"10.1.0.9:80","summary":{"backend":"s","generation":"v1","zone":"z","capacity":2},` +
		`"observed":{"phase":%q,"callSeq":%d,"coldLeftMs":0}}`
	return fmt.Sprintf(body, phase, seq)
}

// counterAdd returns a call that adds to a quota counter; retention is in seconds.
func counterAdd(name string, retention float64) *transport.Frame {
	return &transport.Frame{CounterAdd: &transport.CounterAdd{
		Name:      name,
		Cycle:     1,
		Reporter:  "edge-0",
		Amount:    2,
		Retention: retention,
	}}
}

func (c *testCluster) patch(addr, body string) int {
	status, _ := c.call(addr, "PATCH", "/config", body)
	return status
}

// readAll reads the configuration from each node, checks that all nodes agree, and returns it.
func (c *testCluster) readAll() string {
	c.Helper()
	read := map[string]bool{}
	for _, a := range slices.Sorted(maps.Keys(c.nodes)) {
		status, text := c.call(a, "GET", "/config", "")
		c.Equal(status, 200)
		read[text] = true
	}
	c.Equal(len(read), 1)
	for text := range read {
		return text
	}
	return ""
}

// Guards against nodes whose configurations differ, after concurrent changes that conflict, after the loss of a disk or
// of power, and when a learner joins.
func TestConfigurationChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		first := patchBody([]string{serviceJSON("s", 1)}, []string{routeJSON("r0", "h0", "s", 1)})
		c.Equal(c.patch(c.seeds[0], first), 200)
		c.Equal(c.patch(c.seeds[1], first), 200) // the same change again, at another node
		for i, a := range c.seeds {
			c.Equal(c.patch(a, patchBody(nil, []string{routeJSON(fmt.Sprint("n", i), fmt.Sprint("n", i), "s", 1)})),
				200)
		}
		c.Equal(c.patch(c.seeds[2], patchBody(nil, []string{routeJSON("bad", "bad", "nobody", 1)})), 400)

		// In each round, all nodes get changes at once that are valid each by itself and conflict with one another. One
		// of them is applied.
		for round := range 20 {
			var mu sync.Mutex
			var got sync.WaitGroup
			applied := 0
			for k := range 6 {
				got.Go(func() {
					name, host := fmt.Sprintf("x%d-%d", round, k), fmt.Sprint("x", round)
					if status := c.patch(
						c.seeds[k%3],
						patchBody(nil, []string{routeJSON(name, host, "s", 1)}),
					); status == 200 {
						mu.Lock()
						applied++
						mu.Unlock()
					} else {
						c.Equal(status, 400)
					}
				})
			}
			got.Wait()
			c.Equal(applied, 1)
		}
		text := c.readAll()
		c.Equal(strings.Count(text, `"authority"`), 24)

		// A node that has lost its disk becomes a voter again.
		c.crash(c.seeds[1])
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("t", 2)}, nil)), 200)
		c.start(c.seeds[1], vfs.NewCrashableMem(), false)
		advance(4 * time.Second)
		_, votes := c.nodes[c.seeds[1]].replica.Voters()
		c.True(votes)
		disk := c.crash(c.seeds[0])
		c.Equal(c.patch(c.seeds[1], patchBody([]string{serviceJSON("u", 3)}, nil)), 200)
		c.Equal(c.patch(c.seeds[2], patchBody([]string{serviceJSON("u", 3)}, nil)), 200)
		c.start(c.seeds[0], disk, false)
		advance(2 * time.Second)
		text = c.readAll()
		c.Equal(strings.Count(text, "healthPath"), 3)

		// All nodes lose power. Then a fourth node joins as a learner, which accepts changes as the others do.
		disks := map[string]*vfs.MemFS{}
		for _, a := range c.seeds {
			disks[a] = c.crash(a)
		}
		for _, a := range c.seeds {
			c.start(a, disks[a], false)
		}
		fourth := c.start("10.0.0.4:81", vfs.NewCrashableMem(), false)
		advance(4 * time.Second)
		c.Equal(c.readAll(), text)
		voters, votes := fourth.replica.Voters()
		c.Equal(voters, c.seeds)
		c.True(!votes)
		c.Equal(c.patch(fourth.addr, patchBody([]string{serviceJSON("v", 4)}, nil)), 200)
		c.Equal(strings.Count(c.readAll(), "healthPath"), 4)
		// The learner accepts heartbeats as well, and passes them on to the other nodes.
		status, _ := c.call(fourth.addr, "PUT", "/instances/i-9", heartbeatJSON("serving", 1))
		c.Equal(status, 200)
		advance(time.Second)
		for _, a := range c.seeds {
			l, ok := c.nodes[a].store.Instance("i-9")
			c.True(ok && l.Phase == registry.Serving)
		}
		c.stopAll()
	})
}

// An acknowledged change survives the loss of the node that acknowledged it, even with its disk. A partitioned node
// neither accepts changes nor answers reads.
func TestAcknowledgedChangesSurviveLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		for round := range 6 {
			at, version := c.seeds[round%3], round+1
			c.Equal(c.patch(at, patchBody([]string{serviceJSON("s", version)}, nil)), 200)
			disk := c.crash(at)
			if round%2 == 0 {
				disk = vfs.NewCrashableMem()
			}
			advance(800 * time.Millisecond)
			for _, a := range c.seeds {
				if i, _ := c.nodes[a].store.Snapshot().Get(
					configuration.Key{Kind: configuration.Services, Name: "s"},
				); a != at {
					c.Equal(i.Version, uint64(version))
				}
			}
			c.start(at, disk, false)
			advance(5 * time.Second)
			c.True(strings.Contains(c.readAll(), fmt.Sprintf("%08x", version)))
		}

		partitioned := c.seeds[2]
		c.partition(partitioned, true)
		began := time.Now()
		c.Equal(c.patch(partitioned, patchBody([]string{serviceJSON("s", 20)}, nil)), 503)
		status, _ := c.call(partitioned, "GET", "/config", "")
		c.Equal(status, 503)
		c.True(time.Since(began) < 2*time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 21)}, nil)), 200)
		c.nodes[c.seeds[1]].stallingDisk.setStalled(true) // a second node's disk stalls too
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 22)}, nil)), 503)
		c.partition(partitioned, false)
		advance(3 * time.Second)
		c.Equal(c.patch(c.seeds[1], patchBody([]string{serviceJSON("s", 23)}, nil)), 200)
		c.nodes[c.seeds[1]].stallingDisk.setStalled(false)
		advance(2 * time.Second)
		c.True(strings.Contains(c.readAll(), "00000017"))
		c.stopAll()
	})
}

// An acknowledged departure of a server stays known to all nodes, whichever of them is lost.
func TestDeparturesSurviveLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		phase := func(addr, id string) string {
			l, ok := c.nodes[addr].store.Instance(id)
			if !ok {
				return "unknown"
			}
			return l.Phase.String()
		}
		put := func(addr, id, phase string, seq int) int {
			status, text := c.call(addr, "PUT", "/instances/"+id, heartbeatJSON(phase, seq))
			if status == 200 {
				c.Equal(text, "{}")
			}
			return status
		}
		for i := range 6 {
			c.Equal(put(c.seeds[i%3], fmt.Sprint("i-", i), "serving", 1), 200)
		}
		c.Equal(put(c.seeds[0], "i-0", "asleep", 2), 400)
		advance(100 * time.Millisecond)
		c.Equal(phase(c.seeds[1], "i-0"), "serving")
		c.Equal(put(c.seeds[1], "i-0", "draining", 2), 200)
		c.Equal(put(c.seeds[1], "i-0", "draining", 3), 200)
		status, _ := c.call(c.seeds[2], "DELETE", "/instances/i-1", "")
		c.Equal(status, 200)

		// A node whose disk is stalled stores a departure on the other nodes' disks. If one of these is missing too, it
		// rejects the call in time.
		c.nodes[c.seeds[0]].stallingDisk.setStalled(true)
		c.Equal(put(c.seeds[0], "i-2", "draining", 2), 200)
		c.partition(c.seeds[1], true)
		began := time.Now()
		c.Equal(put(c.seeds[0], "i-3", "draining", 2), 503)
		c.True(time.Since(began) < time.Second)
		c.partition(c.seeds[1], false)
		c.nodes[c.seeds[0]].stallingDisk.setStalled(false)
		advance(3 * time.Second)

		// All nodes lose power, and one also loses its disk.
		disks := map[string]*vfs.MemFS{}
		for _, a := range c.seeds {
			disks[a] = c.crash(a)
		}
		disks[c.seeds[0]] = vfs.NewCrashableMem()
		for _, a := range c.seeds {
			c.start(a, disks[a], false)
		}
		advance(4 * time.Second)
		for _, a := range c.seeds {
			c.Equal(phase(a, "i-0"), "draining")
			c.Equal(phase(a, "i-1"), "gone")
			c.Equal(phase(a, "i-2"), "draining")
			c.Equal(phase(a, "i-5"), "serving") // known from the disks, before any heartbeat
		}
		// Heartbeats make the other instances known again, but a late heartbeat does not revive a departed instance.
		// All nodes detect the same silent instances.
		for round := range 8 {
			for i := range 5 {
				c.Equal(put(c.seeds[(i+round)%3], fmt.Sprint("i-", i+5), "serving", 10+round), 200)
			}
			c.Equal(put(c.seeds[round%3], "i-1", "serving", 1), 200)
			if round < 2 {
				c.Equal(put(c.seeds[round%3], "i-10", "serving", 10+round), 200)
			}
			advance(1500 * time.Millisecond)
		}
		for _, a := range c.seeds {
			c.Equal(phase(a, "i-1"), "gone")
			c.Equal(phase(a, "i-5"), "serving")
			c.Equal(phase(a, "i-10"), "silent")
		}
		c.stopAll()
	})
}

// Agents receive all updates and are counted, and they are told whether they may serve with the state that they
// receive.
func TestAgentsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		ctx, stop := context.WithCancel(context.Background())
		var agents sync.WaitGroup
		var clients []*replication.Client
		for i := range 5 {
			for _, a := range c.seeds {
				x := &replication.Client{
					Node:        fmt.Sprint("edge-", i),
					Class:       replication.ClassAgent,
					Incarnation: uint64(100 + i),
					Seed:        1,
					Store:       replication.NewStore(uint64(100 + i)),
					Clock:       replication.NewClock(func() float64 { return 0 }),
					Ready:       func() bool { return i < 4 },
				}
				x.Dial = func(context.Context) (net.Conn, error) {
					return c.dialFromOutside(c.nodes[a].settings.InternalAddrOf(a))
				}
				clients = append(clients, x)
				agents.Go(func() { x.Run(ctx) })
			}
		}
		advance(3 * time.Second)
		for _, x := range clients {
			c.True(x.State().Quorum && !x.State().Ready) // there is no configuration yet
		}
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
		status, _ := c.call(c.seeds[1], "PUT", "/instances/i-1", heartbeatJSON("serving", 1))
		c.Equal(status, 200)
		advance(10 * time.Millisecond)
		for _, x := range clients {
			c.Equal(x.Store.Snapshot().Len(), 1)
			l, ok := x.Store.Instance("i-1")
			c.True(ok && l.Phase == registry.Serving)
		}
		advance(time.Second)
		for _, x := range clients {
			c.True(x.State().Ready)
			c.Equal(x.State().Members, 4)
		}

		// One node answers for each quota counter, and it is not on the minority side of a partition.
		owners := func() (n int) {
			for _, x := range clients[:3] {
				if r, err := x.Call(time.Second, counterAdd("t", 10)); err == nil && r.CounterTotal.OK {
					c.Equal(*r.CounterTotal, transport.CounterTotal{OK: true, Sum: 2, Reporters: 1})
					n++
				}
			}
			return n
		}
		c.Equal(owners(), 1)
		c.partition(c.seeds[0], true)
		advance(5 * time.Second)
		c.Equal(owners(), 1)
		c.True(!c.nodes[c.seeds[0]].ready())
		status, text := c.call(c.seeds[0], "GET", "/view", "")
		c.Equal(status, 200)
		c.True(strings.Contains(text, "does not hear more than half"))
		stop()
		agents.Wait()
		c.stopAll()
	})
}
