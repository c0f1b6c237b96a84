package control

import (
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
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

// core is a few control nodes in fake time, over pipes, on disks in memory.
type core struct {
	*is.I
	t     *testing.T
	seeds []string
	nodes map[string]*machine
	lives uint64

	mu  sync.Mutex
	off map[string]bool // cut off from all others

	links          *meter          // nil: they are as fast as can be, and nobody counts
	severableLinks *severableLinks // cuts that nobody is told of; nil: there are none
}

// machine is one of them with its disk.
type machine struct {
	*Node
	addr      string
	fs        *vfs.MemFS
	hang      *hanging
	inner     *pipes
	control   *pipes
	clockSkew atomic.Int64 // nanoseconds by which the clock of its majority lease is ahead
	stop      context.CancelFunc
	ended     chan error
}

// pipes is a listener for pipes.
type pipes struct {
	come chan net.Conn
	once sync.Once
	end  chan struct{}
	mu   sync.Mutex
	all  []net.Conn
}

func newPipes() *pipes { return &pipes{come: make(chan net.Conn), end: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.come:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.end) })
	return nil
}

// hanging is a disk whose syncs wait while it hangs.
type hanging struct {
	vfs.FS
	mu   sync.Mutex
	gate chan struct{} // nil: it does not hang
}

type hangingFile struct {
	vfs.File
	h *hanging
}

func (h *hanging) set(hangs bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hangs {
		h.gate = make(chan struct{})
	} else if h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
}

func (h *hanging) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := h.FS.Create(name, c)
	return hangingFile{f, h}, err
}

func (f hangingFile) wait() {
	f.h.mu.Lock()
	gate := f.h.gate
	f.h.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (f hangingFile) Sync() error     { f.wait(); return f.File.Sync() }
func (f hangingFile) SyncData() error { f.wait(); return f.File.SyncData() }

func newCore(t *testing.T, n int) *core { return newCoreOver(t, n, nil) }

func newCoreOver(t *testing.T, n int, v *severableLinks) *core {
	c := &core{I: is.New(t), t: t, nodes: map[string]*machine{}, off: map[string]bool{}, severableLinks: v}
	for i := range n {
		c.seeds = append(c.seeds, fmt.Sprintf("10.0.0.%d:81", i+1))
	}
	for _, a := range c.seeds {
		c.start(a, vfs.NewCrashableMem(), true)
	}
	return c
}

func (c *core) start(addr string, fs *vfs.MemFS, bootstrap bool) *machine {
	c.lives++
	m := &machine{addr: addr, fs: fs, hang: &hanging{FS: fs}, inner: newPipes(), control: newPipes(), ended: make(chan error, 1)}
	var err error
	host, _, _ := net.SplitHostPort(addr)
	m.Node, err = New(Config{
		Settings: &settings.Settings{Node: "core-" + host, Host: host, ControlAddr: addr, DataPath: "d", InnerFirst: 75, Seeds: c.seeds, HeartbeatInterval: 1.5, Bootstrap: bootstrap,
			Zone: "z" + host, Tolerance: settings.Tolerance{Machines: 1}, Bounds: settings.Bounds{Contact: 5}},
		Log: log.NewNopLogger(), FS: m.hang, Incarnation: c.lives, Control: m.control, Internal: m.inner,
		Dial: func(_ context.Context, inner string) (net.Conn, error) { return c.dial(addr, inner) },
	})
	c.NoErr(err)
	m.linger = 0
	m.leaseClock = func() time.Duration { return time.Since(m.started) + time.Duration(m.clockSkew.Load()) }
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	c.mu.Lock()
	c.nodes[addr] = m
	c.mu.Unlock()
	go func() { m.ended <- m.Run(ctx) }()
	return m
}

func (c *core) dial(from, inner string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.nodes {
		if m.settings.InternalAddrOf(m.addr) != inner || c.off[m.addr] || c.off[from] || c.severableLinks.between(from, m.addr) {
			continue
		}
		here, there := net.Pipe()
		if c.links != nil {
			here, there = c.links.wrap(here), c.links.wrap(there)
		}
		if c.severableLinks != nil {
			here, there = c.severableLinks.over(from, m.addr, here, there)
		}
		for _, x := range []*machine{m, c.nodes[from]} {
			if x != nil {
				x.inner.mu.Lock()
				x.inner.all = append(x.inner.all, here)
				x.inner.mu.Unlock()
			}
		}
		select {
		case m.inner.come <- there:
			return here, nil
		case <-m.inner.end:
		}
	}
	return nil, net.ErrClosed
}

// cut cuts a node off from the others, or no longer.
func (c *core) cut(addr string, off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off[addr] = off
	m := c.nodes[addr]
	m.inner.mu.Lock()
	for _, nc := range m.inner.all {
		nc.Close()
	}
	m.inner.all = nil
	m.inner.mu.Unlock()
}

// kill has a machine lose power: what was not synced is lost, with all that was under way. It returns its disk.
func (c *core) kill(addr string) *vfs.MemFS {
	m := c.nodes[addr]
	c.cut(addr, true)
	disk := m.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rand.New(rand.NewPCG(c.lives, 1))})
	m.hang.set(false)
	m.stop()
	<-m.ended
	c.cut(addr, false)
	return disk
}

func (c *core) end() {
	for _, m := range c.nodes {
		m.hang.set(false)
		m.stop()
		c.NoErr(<-m.ended)
	}
	synctest.Wait()
}

// ask makes a call of a node.
func (c *core) ask(addr, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	c.nodes[addr].api.HTTPServer().Handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

func pass(d time.Duration) {
	time.Sleep(d) // of the bubble's time
	synctest.Wait()
}

func service(name string, version int) string {
	return fmt.Sprintf(`%q:{"healthPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false,"generation":"%08x"}`, name, version)
}

func route(name, host, to string, version int) string {
	return fmt.Sprintf(`%q:{"authority":%q,"pathPrefix":"/a/","routeKind":"idempotent","deadlineMs":1000,"targetMs":400,"priority":2,"backend":%q,"maxTries":2,"public":false,"generation":"%08x"}`,
		name, host, to, version)
}

func upsert(services, routes []string) string {
	return `{"upsert":{"services":{` + strings.Join(services, ",") + `},"routes":{` + strings.Join(routes, ",") + `}}}`
}

func call1(phase string, seq int) string {
	return fmt.Sprintf(`{"address":"10.1.0.9:80","summary":{"backend":"s","generation":"v1","zone":"z","capacity":2},"observed":{"phase":%q,"callSeq":%d,"coldLeftMs":0}}`, phase, seq)
}

func (c *core) patch(addr, body string) int {
	status, _ := c.ask(addr, "PATCH", "/config", body)
	return status
}

// all reads the configuration back at each node, and returns it: they must agree.
func (c *core) all() string {
	c.Helper()
	read := map[string]bool{}
	for _, a := range slices.Sorted(maps.Keys(c.nodes)) {
		status, text := c.ask(a, "GET", "/config", "")
		c.Equal(status, 200)
		read[text] = true
	}
	c.Equal(len(read), 1)
	for text := range read {
		return text
	}
	return ""
}

func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		pass(2 * time.Second)
		first := upsert([]string{service("s", 1)}, []string{route("r0", "h0", "s", 1)})
		c.Equal(c.patch(c.seeds[0], first), 200)
		c.Equal(c.patch(c.seeds[1], first), 200) // once more, elsewhere
		for i, a := range c.seeds {
			c.Equal(c.patch(a, upsert(nil, []string{route(fmt.Sprint("n", i), fmt.Sprint("n", i), "s", 1)})), 200)
		}
		c.Equal(c.patch(c.seeds[2], upsert(nil, []string{route("bad", "bad", "nobody", 1)})), 400)

		// Calls that are valid alone and invalid together, at all nodes at once: one of each is taken.
		for round := range 20 {
			var mu sync.Mutex
			var got sync.WaitGroup
			taken := 0
			for k := range 6 {
				got.Go(func() {
					name, host := fmt.Sprintf("x%d-%d", round, k), fmt.Sprint("x", round)
					if status := c.patch(c.seeds[k%3], upsert(nil, []string{route(name, host, "s", 1)})); status == 200 {
						mu.Lock()
						taken++
						mu.Unlock()
					} else {
						c.Equal(status, 400)
					}
				})
			}
			got.Wait()
			c.Equal(taken, 1)
		}
		text := c.all()
		c.Equal(strings.Count(text, `"authority"`), 24)

		// One loses its disk, and then its vote counts again.
		c.kill(c.seeds[1])
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("t", 2)}, nil)), 200)
		c.start(c.seeds[1], vfs.NewCrashableMem(), false)
		pass(4 * time.Second)
		_, votes := c.nodes[c.seeds[1]].replica.Voters()
		c.True(votes)
		zero := c.kill(c.seeds[0])
		c.Equal(c.patch(c.seeds[1], upsert([]string{service("u", 3)}, nil)), 200)
		c.Equal(c.patch(c.seeds[2], upsert([]string{service("u", 3)}, nil)), 200)
		c.start(c.seeds[0], zero, false)
		pass(2 * time.Second)
		text = c.all()
		c.Equal(strings.Count(text, "healthPath"), 3)

		// All lose power; then a fourth comes, who chooses nothing and takes changes all the same.
		disks := map[string]*vfs.MemFS{}
		for _, a := range c.seeds {
			disks[a] = c.kill(a)
		}
		for _, a := range c.seeds {
			c.start(a, disks[a], false)
		}
		fourth := c.start("10.0.0.4:81", vfs.NewCrashableMem(), false)
		pass(4 * time.Second)
		c.Equal(c.all(), text)
		voters, votes := fourth.replica.Voters()
		c.Equal(voters, c.seeds)
		c.True(!votes)
		c.Equal(c.patch(fourth.addr, upsert([]string{service("v", 4)}, nil)), 200)
		c.Equal(strings.Count(c.all(), "healthPath"), 4)
		// Servers call it as they call the others, and all hear of them.
		status, _ := c.ask(fourth.addr, "PUT", "/instances/i-9", call1("serving", 1))
		c.Equal(status, 200)
		pass(time.Second)
		for _, a := range c.seeds {
			l, ok := c.nodes[a].store.Instance("i-9")
			c.True(ok && l.Phase == registry.Serving)
		}
		c.end()
	})
}

// What was acknowledged survives whoever acknowledged it, even with its disk gone; a node that is cut off takes and tells nothing.
func TestLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		pass(2 * time.Second)
		for round := range 6 {
			at, version := c.seeds[round%3], round+1
			c.Equal(c.patch(at, upsert([]string{service("s", version)}, nil)), 200)
			disk := c.kill(at)
			if round%2 == 0 {
				disk = vfs.NewCrashableMem()
			}
			pass(800 * time.Millisecond)
			for _, a := range c.seeds {
				if i, _ := c.nodes[a].store.Snapshot().Get(configuration.Key{Kind: configuration.Services, Name: "s"}); a != at {
					c.Equal(i.Version, uint64(version))
				}
			}
			c.start(at, disk, false)
			pass(5 * time.Second)
			c.True(strings.Contains(c.all(), fmt.Sprintf("%08x", version)))
		}

		cut := c.seeds[2]
		c.cut(cut, true)
		began := time.Now()
		c.Equal(c.patch(cut, upsert([]string{service("s", 20)}, nil)), 503)
		status, _ := c.ask(cut, "GET", "/config", "")
		c.Equal(status, 503)
		c.True(time.Since(began) < 2*time.Second)
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 21)}, nil)), 200)
		c.nodes[c.seeds[1]].hang.set(true) // and now the disk of another
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 22)}, nil)), 503)
		c.cut(cut, false)
		pass(3 * time.Second)
		c.Equal(c.patch(c.seeds[1], upsert([]string{service("s", 23)}, nil)), 200)
		c.nodes[c.seeds[1]].hang.set(false)
		pass(2 * time.Second)
		c.True(strings.Contains(c.all(), "00000017"))
		c.end()
	})
}

// A server that was told that its leave is known is known to leave by all, whoever falls.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		pass(2 * time.Second)
		phase := func(addr, id string) string {
			l, ok := c.nodes[addr].store.Instance(id)
			if !ok {
				return "unknown"
			}
			return l.Phase.String()
		}
		put := func(addr, id, phase string, seq int) int {
			status, text := c.ask(addr, "PUT", "/instances/"+id, call1(phase, seq))
			if status == 200 {
				c.Equal(text, "{}")
			}
			return status
		}
		for i := range 6 {
			c.Equal(put(c.seeds[i%3], fmt.Sprint("i-", i), "serving", 1), 200)
		}
		c.Equal(put(c.seeds[0], "i-0", "asleep", 2), 400)
		pass(100 * time.Millisecond)
		c.Equal(phase(c.seeds[1], "i-0"), "serving")
		c.Equal(put(c.seeds[1], "i-0", "draining", 2), 200)
		c.Equal(put(c.seeds[1], "i-0", "draining", 3), 200)
		status, _ := c.ask(c.seeds[2], "DELETE", "/instances/i-1", "")
		c.Equal(status, 200)

		// With its own disk hanging, a node has the others'; with two of three lacking, it says so in time.
		c.nodes[c.seeds[0]].hang.set(true)
		c.Equal(put(c.seeds[0], "i-2", "draining", 2), 200)
		c.cut(c.seeds[1], true)
		began := time.Now()
		c.Equal(put(c.seeds[0], "i-3", "draining", 2), 503)
		c.True(time.Since(began) < time.Second)
		c.cut(c.seeds[1], false)
		c.nodes[c.seeds[0]].hang.set(false)
		pass(3 * time.Second)

		// All lose power, one its disk too.
		disks := map[string]*vfs.MemFS{}
		for _, a := range c.seeds {
			disks[a] = c.kill(a)
		}
		disks[c.seeds[0]] = vfs.NewCrashableMem()
		for _, a := range c.seeds {
			c.start(a, disks[a], false)
		}
		pass(4 * time.Second)
		for _, a := range c.seeds {
			c.Equal(phase(a, "i-0"), "draining")
			c.Equal(phase(a, "i-1"), "gone")
			c.Equal(phase(a, "i-2"), "draining")
			c.Equal(phase(a, "i-5"), "serving") // known from the disks, before any heartbeat
		}
		// Beats tell of the others again; one that is late raises nobody. Who falls silent is judged by all alike.
		for round := range 8 {
			for i := range 5 {
				c.Equal(put(c.seeds[(i+round)%3], fmt.Sprint("i-", i+5), "serving", 10+round), 200)
			}
			c.Equal(put(c.seeds[round%3], "i-1", "serving", 1), 200)
			if round < 2 {
				c.Equal(put(c.seeds[round%3], "i-10", "serving", 10+round), 200)
			}
			pass(1500 * time.Millisecond)
		}
		for _, a := range c.seeds {
			c.Equal(phase(a, "i-1"), "gone")
			c.Equal(phase(a, "i-5"), "serving")
			c.Equal(phase(a, "i-10"), "silent")
		}
		c.end()
	})
}

// Agents are fed and counted, and told whether what they get is enough to serve with.
func TestAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		ctx, stop := context.WithCancel(context.Background())
		var agents sync.WaitGroup
		var clients []*replication.Client
		for i := range 5 {
			for _, a := range c.seeds {
				x := &replication.Client{Node: fmt.Sprint("edge-", i), Class: replication.ClassAgent, Incarnation: uint64(100 + i), Seed: 1, Store: replication.NewStore(uint64(100 + i)),
					Clock: replication.NewClock(func() float64 { return 0 }), Ready: func() bool { return i < 4 }}
				x.Dial = func(context.Context) (net.Conn, error) { return c.dial("", c.nodes[a].settings.InternalAddrOf(a)) }
				clients = append(clients, x)
				agents.Go(func() { x.Run(ctx) })
			}
		}
		pass(3 * time.Second)
		for _, x := range clients {
			c.True(x.State().Quorum && !x.State().Ready) // there is no configuration yet
		}
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
		status, _ := c.ask(c.seeds[1], "PUT", "/instances/i-1", call1("serving", 1))
		c.Equal(status, 200)
		pass(10 * time.Millisecond)
		for _, x := range clients {
			c.Equal(x.Store.Snapshot().Len(), 1)
			l, ok := x.Store.Instance("i-1")
			c.True(ok && l.Phase == registry.Serving)
		}
		pass(time.Second)
		for _, x := range clients {
			c.True(x.State().Ready)
			c.Equal(x.State().Members, 4)
		}

		// Counters: one node answers for each, and none of those on the small side of a cut.
		keepers := func() (n int) {
			for _, x := range clients[:3] {
				if r, err := x.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: "t", Cycle: 1, Reporter: "edge-0", Amount: 2, Retention: 10}}); err == nil && r.CounterTotal.OK {
					c.Equal(*r.CounterTotal, transport.CounterTotal{OK: true, Sum: 2, Reporters: 1})
					n++
				}
			}
			return n
		}
		c.Equal(keepers(), 1)
		c.cut(c.seeds[0], true)
		pass(5 * time.Second)
		c.Equal(keepers(), 1)
		c.True(!c.nodes[c.seeds[0]].ready())
		status, text := c.ask(c.seeds[0], "GET", "/view", "")
		c.Equal(status, 200)
		c.True(strings.Contains(text, "does not hear more than half"))
		stop()
		agents.Wait()
		c.end()
	})
}
