package quorum_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/fleet/quorum/boltstore"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// group is three voters on real disks, and ingresses that want all duties, in fake time and without a network's delay.
type group struct {
	now     float64
	names   []string
	cores   map[string]*quorum.Voter
	stores  map[string]*boltstore.Store
	holders map[string]*singleton.LeaseHolder
	away    bool // nothing reaches the voters
	asks    int
	bytes   int
	cpu     map[string]time.Duration
}

func spent() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (g *group) on(name string, do func(*quorum.Voter) quorum.Output) {
	before := spent()
	out := do(g.cores[name])
	g.cpu[name] += spent() - before
	for _, p := range out.Messages {
		g.bytes += len(p.Data)
		g.on(p.To, func(c *quorum.Voter) quorum.Output { o, _ := c.Receive(g.now, p.Data); return o })
	}
	for _, r := range out.Replies {
		g.hold(r.To.Name, singleton.ResponseReceived{Response: r.Response})
	}
	for _, n := range out.Wake {
		g.hold(n, singleton.WakeReceived{})
	}
}

func (g *group) hold(name string, e singleton.LeaseHolderEvent) {
	for _, a := range g.holders[name].Step(g.now, e) {
		if s, ok := a.(singleton.SendRequest); ok && !g.away {
			g.asks++
			for _, v := range g.names {
				g.on(v, func(c *quorum.Voter) quorum.Output { return c.HandleRequest(g.now, s.Request) })
			}
		}
	}
}

func (g *group) run(seconds float64) {
	for end := g.now + seconds; g.now < end; g.now += quorum.TickInterval {
		for _, v := range g.names {
			g.on(v, func(c *quorum.Voter) quorum.Output { return c.Tick(g.now) })
		}
		for i := range len(g.holders) {
			g.hold(fmt.Sprint("in", i), singleton.LeaseHolderTick{})
		}
	}
}

// held is how many duties somebody may act on, each at one ingress.
func (g *group) held(t *testing.T, duties int) (n int) {
	for d := range duties {
		who := ""
		for name, h := range g.holders {
			if _, ok := h.FencingToken(g.now, fmt.Sprint("duty", d)); ok {
				if who != "" {
					t.Errorf("%s and %s hold duty %d", who, name, d)
				}
				who = name
				n++
			}
		}
	}
	return n
}

// Many ingresses that want many duties, and that all ask at once after the agreement was away. The figures are for the design note:
// MULLEIN_LONG=1 go test ./internal/standalone/fleet/quorum -run Load -v
func TestLoad(t *testing.T) {
	ingresses, duties := 30, 6
	if os.Getenv("MULLEIN_LONG") != "" {
		ingresses, duties = 300, 50
	}
	g := &group{now: 1000, cores: map[string]*quorum.Voter{}, stores: map[string]*boltstore.Store{}, holders: map[string]*singleton.LeaseHolder{}, cpu: map[string]time.Duration{}}
	dir := t.TempDir()
	for i := range 3 {
		g.names = append(g.names, fmt.Sprint("v", i))
	}
	for _, v := range g.names {
		g.stores[v] = &boltstore.Store{Path: filepath.Join(dir, v)}
		defer g.stores[v].Close()
		var err error
		if g.cores[v], err = quorum.Open(v, g.names, g.stores[v], 1<<40); err != nil {
			t.Fatal(err)
		}
	}
	for i := range ingresses {
		name := fmt.Sprint("in", i)
		g.holders[name] = singleton.NewLeaseHolder(singleton.Identity{Name: name, Boot: 1, Nonce: 1}, "a")
		for d := range duties {
			g.hold(name, singleton.Acquire{Role: fmt.Sprint("duty", d)})
		}
	}
	g.run(12)
	if n := g.held(t, duties); n != duties {
		t.Fatalf("%d of %d duties are held", n, duties)
	}
	clear(g.cpu)
	g.asks, g.bytes = 0, 0
	applied := g.cores[g.names[0]].Status().Applied
	g.run(5)
	leader := g.cores[g.names[0]].Status().Leader
	t.Logf("%d ingresses, %d duties: %d questions a second, %d entries and %d bytes among voters a second; the leader uses %.1f%% of a core, another %.1f%%",
		ingresses, duties, g.asks/5, int(g.cores[g.names[0]].Status().Applied-applied)/5, g.bytes/5, g.cpu[leader].Seconds()/5*100, min(g.cpu["v0"], g.cpu["v1"], g.cpu["v2"]).Seconds()/5*100)
	g.away = true
	g.run(10)
	if n := g.held(t, duties); n != 0 {
		t.Errorf("%d duties are held without any voter", n)
	}
	g.away = false
	began := g.now
	for g.held(t, duties) < duties && g.now < began+20 {
		g.run(0.5)
	}
	t.Logf("after 10 s without voters all are held again %.1f s after these are back", g.now-began)
	if g.now >= began+20 {
		t.Errorf("%d of %d duties are held again", g.held(t, duties), duties)
	}
}

// A voter that has seen many entries starts from its snapshot.
func TestStartFromSnapshot(t *testing.T) {
	entries := 10_000
	if os.Getenv("MULLEIN_LONG") != "" {
		entries = 100_000
	}
	s := &boltstore.Store{Path: filepath.Join(t.TempDir(), "votes")}
	c, err := quorum.Open("v", []string{"v"}, s, 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	now := 1000.0
	for ; !c.Status().Leading && now < 1100; now += quorum.TickInterval {
		c.Tick(now)
	}
	ask := singleton.AcquireRequest{From: singleton.Identity{Name: "a", Boot: 1}}
	for d := range singleton.MaxRoles {
		ask.Roles = append(ask.Roles, singleton.RoleRequest{Role: fmt.Sprint("duty", d)})
	}
	for id := uint64(1); int(c.Status().Applied) < entries && now < 2000; now += quorum.TickInterval {
		ask.ID = id
		c.HandleRequest(now, ask)
		c.Tick(now)
		for i := range ask.Roles {
			ask.Roles[i].Token = c.Table().Leases[ask.Roles[i].Role].Token
		}
		id++
	}
	want := c.Table().Clone()
	began := time.Now()
	c, err = quorum.Open("v", []string{"v"}, s, 1<<40)
	took := time.Since(began)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for end := now + 100; !c.Status().Leading && now < end; now += quorum.TickInterval {
		c.Tick(now)
	}
	if c.Table().LastToken != want.LastToken || len(c.Table().Leases) != len(want.Leases) || int(c.Status().Applied) < entries {
		t.Errorf("it knows of %d entries and %d duties, wanted %d of %d", c.Status().Applied, len(c.Table().Leases), len(want.Leases), entries)
	}
	t.Logf("after %d entries: opened in %v, a file of %d kB", entries, took, s.Size()>>10)
}
