package control

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/httpapi"
)

const touchWithin = 3 * time.Second // after a cut: contactMs of the sites

// gateway is a core with servers that call it, agents that listen to it, and whoever looks at all that it says.
type gateway struct {
	*core
	began time.Time

	mu      sync.Mutex
	wrong   []string
	homes   []int // of the servers: which node each calls first
	beats   int
	agents  [][]*replication.Client // by agent and node
	lapsed  map[string]bool         // nodes that are to be known out of contact
	counted map[string]int          // times that a counter was kept, by name
}

func (g *gateway) fail(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.wrong) < 8 {
		g.wrong = append(g.wrong, fmt.Sprintf("%v: ", time.Since(g.began))+fmt.Sprintf(format, args...))
	}
}

// heartbeat has every server call: its own node, or the next where that refuses.
func (g *gateway) beat() {
	g.mu.Lock()
	g.beats++
	beats, homes := g.beats, slices.Clone(g.homes)
	g.mu.Unlock()
	for i, home := range homes {
		for try := range 3 {
			if status, _ := g.ask(g.seeds[(home+try)%3], "PUT", fmt.Sprint("/instances/i-", i), call1("serving", beats)); status == 200 {
				break
			} else if status != 503 {
				g.fail("a beat got %d", status)
			}
		}
	}
}

// look looks at what all say now.
func (g *gateway) look() {
	for _, name := range []string{"t0", "t1", "t2", "t3"} {
		kept := []string{}
		for n, a := range g.seeds {
			x := g.agents[0][n]
			r, err := x.Call(time.Second, &transport.Frame{CounterAdd: &transport.CounterAdd{Name: name, Cycle: 1, Reporter: "edge-0", Amount: 2, Retention: 60}})
			if err == nil && r.CounterTotal != nil && r.CounterTotal.OK {
				kept = append(kept, a)
			}
		}
		if len(kept) > 1 {
			g.fail("counter %s is kept by %v", name, kept)
		}
		g.mu.Lock()
		g.counted[name] += len(kept)
		g.mu.Unlock()
	}
	for _, a := range g.seeds {
		for i := range g.homes {
			if l, ok := g.nodes[a].store.Instance(fmt.Sprint("i-", i)); ok && l.Phase != registry.Serving {
				g.fail("node %s judges i-%d %v", a, i, l.Phase)
			}
		}
	}
}

func (g *gateway) fed(node string, f *transport.Update) {
	g.mu.Lock()
	lapsed := g.lapsed[node]
	g.mu.Unlock()
	if lapsed && (f.Quorum || f.Ready || f.Members != 0 || f.ZonePeers != 0) {
		g.fail("%s, out of contact, says quorum %v, ready %v, members %d, peers %d", node, f.Quorum, f.Ready, f.Members, f.ZonePeers)
	}
}

// run lets time pass, with heartbeats and looks.
func (g *gateway) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if time.Since(g.began)%(1500*time.Millisecond) < 250*time.Millisecond {
			g.beat()
		}
		g.look()
		pass(250 * time.Millisecond)
	}
}

// alone has a node that is out of contact say nothing.
func (g *gateway) alone(a string, version int) {
	began := time.Now()
	for _, x := range [][3]string{
		{"PUT", "/instances/i-0", call1("serving", 1_000_000)}, {"PUT", "/instances/i-0", call1("draining", 1_000_001)}, {"DELETE", "/instances/i-1", ""},
		{"PATCH", "/config", upsert([]string{service("s", version)}, nil)}, {"PATCH", "/config", upsert(nil, []string{route("bad", "bad", "nobody", 1)})},
		{"PATCH", "/config", "{"}, {"GET", "/config", ""},
	} {
		if status, text := g.ask(a, x[0], x[1], x[2]); status != 503 {
			g.fail("%s, out of contact, answers %s %s: %d %s", a, x[0], x[1], status, text)
		}
	}
	if took := time.Since(began); took > 10*time.Millisecond {
		g.fail("%s took %v to refuse", a, took)
	}
	if g.nodes[a].ready() {
		g.fail("%s is ready out of contact", a)
	}
}

// lapse says of which nodes nothing more is to be heard.
func (g *gateway) lapse(nodes ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapsed = map[string]bool{}
	for _, a := range nodes {
		g.lapsed[a] = true
	}
}

// whole has all be as if nothing had been.
func (g *gateway) whole() {
	for i, agent := range g.agents {
		ranks := map[int]int{}
		for n, a := range g.seeds {
			s := agent[n].State()
			if !s.Quorum || !s.Ready || s.Members != len(g.agents) || s.ZonePeers != len(g.agents) {
				g.fail("after it, agent %d hears of %s: quorum %v, ready %v, %d members, %d peers", i, a, s.Quorum, s.Ready, s.Members, s.ZonePeers)
			}
			ranks[s.Rank]++
		}
		if len(ranks) != 1 || ranks[i] != 3 {
			g.fail("after it, agent %d has the ranks %v", i, ranks)
		}
	}
	first := ""
	for _, a := range g.seeds {
		status, text := g.ask(a, "GET", "/config", "")
		if first == "" {
			first = text
		}
		if status != 200 || text != first {
			g.fail("after it, %s gives back %d %s, another %s", a, status, text, first)
		}
	}
	for _, a := range g.seeds {
		if status := g.patch(a, upsert([]string{service("x-"+a, int(time.Since(g.began)/time.Second)+1)}, nil)); status != 200 {
			g.fail("after it, %s takes an order with %d", a, status)
		}
	}
}

// watched starts a gateway with so many servers, calm for eight seconds, and has something done to it. It returns what was wrong.
func watched(t *testing.T, servers int, do func(*gateway)) (wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		g := &gateway{core: newCoreOver(t, 3, &severableLinks{}), began: time.Now(), lapsed: map[string]bool{}, counted: map[string]int{}}
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range 3 {
			var all []*replication.Client
			for _, a := range g.seeds {
				x := &replication.Client{Node: fmt.Sprint("edge-", i), Class: replication.ClassAgent, Zone: "z", Incarnation: uint64(100 + i), Seed: 1, Store: replication.NewStore(uint64(100 + i)),
					Clock: replication.NewClock(func() float64 { return time.Since(g.began).Seconds() }), Ready: func() bool { return true }}
				inner := g.nodes[a].settings.InternalAddrOf(a)
				x.Dial = func(context.Context) (net.Conn, error) { return g.dial("", inner) }
				x.OnUpdate = func(f *transport.Update) { g.fed(a, f) }
				all = append(all, x)
				running.Go(func() { x.Run(ctx) })
			}
			g.agents = append(g.agents, all)
		}
		for i := range servers {
			g.homes = append(g.homes, i%3)
		}
		pass(time.Second)
		for i, a := range g.seeds {
			if status := g.patch(a, upsert([]string{service("s", i+1)}, nil)); status != 200 {
				g.fail("%s takes an order with %d", a, status)
			}
		}
		g.run(7 * time.Second)
		g.whole()
		do(g)
		for name, n := range g.counted {
			if n == 0 {
				g.fail("counter %s was never kept", name)
			}
		}
		wrong = g.wrong
		stop()
		running.Wait()
		g.end()
	})
	return wrong
}

// ways are the kinds of a cut, each with what is down where one end is the node cut off.
var ways = map[string]func(c *core, cut string, down bool){
	"silent": func(c *core, cut string, down bool) {
		c.severableLinks.set(func(a, b string) bool { return down && (a == cut || b == cut) }, c.seeds)
	},
	"out": func(c *core, cut string, down bool) {
		c.severableLinks.set(func(a, b string) bool { return down && a == cut }, c.seeds)
	},
	"in": func(c *core, cut string, down bool) {
		c.severableLinks.set(func(a, b string) bool { return down && b == cut }, c.seeds)
	},
	"reset": func(c *core, cut string, down bool) {
		c.severableLinks.set(func(a, b string) bool { return down && (a == cut || b == cut) }, c.seeds)
		c.severableLinks.reset()
	},
}

// cutFor cuts a node off from the other control nodes for twenty seconds; agents and servers reach all.
func cutFor(g *gateway, cut string, way func(*core, string, bool)) {
	others := slices.DeleteFunc(slices.Clone(g.seeds), func(a string) bool { return a == cut })
	version := int(time.Since(g.began)/time.Second) * 10
	order := func(a, text string) int { return g.patch(a, upsert([]string{text}, nil)) }
	way(g.core, cut, true)
	// At its start, one order to both sides at once, under one number with two contents: only one may be confirmed.
	var both sync.WaitGroup
	var there, here int
	both.Go(func() { there = order(cut, service("race", version)) })
	both.Go(func() {
		here = order(others[0], strings.Replace(service("race", version), "130", "131", 1))
	})
	both.Wait()
	// The one without a clear answer may have been taken: then, and only then, the other is refused.
	_, text := g.ask(others[0], "GET", "/config", "")
	if there != 503 || here != 200 && !(here == 409 && strings.Contains(text, `"race":{"healthPath":"/health","maxConns":130,`)) {
		g.fail("cut off just now: %d, and the others: %d", there, here)
	}
	g.run(time.Second)
	if status, _ := g.ask(cut, "PATCH", "/config", upsert(nil, []string{route("bad", "bad", "nobody", 1)})); status != 503 {
		g.fail("cut off for 2 s, an invalid order gets %d", status)
	}
	g.run(time.Second)
	g.lapse(cut)
	for step := range 4 {
		g.alone(cut, version+step+1)
		for _, a := range others {
			if status := order(a, service("s", version+2*step+slices.Index(others, a)+1)); status != 200 {
				g.fail("in the cut, %s takes an order with %d", a, status)
			}
		}
		g.run(4 * time.Second)
	}
	g.alone(cut, version+9)
	if status, _ := g.ask(cut, "GET", "/view", ""); status != 200 {
		g.fail("the view of %s: %d", cut, status)
	}
	g.lapse()
	way(g.core, cut, false)
	g.run(touchWithin)
	g.whole()
	g.run(6 * time.Second)
}

func TestCutOff(t *testing.T) {
	for _, way := range []string{"silent", "out", "in", "reset"} {
		for who := range 3 {
			t.Run(fmt.Sprint(way, "/", who), func(t *testing.T) {
				for _, wrong := range watched(t, 9, func(g *gateway) { cutFor(g, g.seeds[who], ways[way]) }) {
					t.Error(wrong)
				}
			})
		}
	}
	// So few that the silence of all is not looked upon as a cut of this node.
	t.Run("three servers", func(t *testing.T) {
		for _, wrong := range watched(t, 3, func(g *gateway) { cutFor(g, g.seeds[0], ways["silent"]) }) {
			t.Error(wrong)
		}
	})
	t.Run("two in a row", func(t *testing.T) {
		for _, wrong := range watched(t, 9, func(g *gateway) {
			cutFor(g, g.seeds[0], ways["silent"])
			cutFor(g, g.seeds[1], ways["out"])
			g.whole()
		}) {
			t.Error(wrong)
		}
	})
}

// The node that is cut off is restarted in the cut, then the others, one after the other.
func TestCutOffAndRestarted(t *testing.T) {
	for who := range 3 {
		for _, wrong := range watched(t, 9, func(g *gateway) {
			cut := g.seeds[who]
			ways["silent"](g.core, cut, true)
			g.run(3 * time.Second)
			g.start(cut, g.kill(cut), false)
			g.lapse(cut)
			g.run(httpapi.StartupGrace) // until then calls are held for a moment
			g.alone(cut, 1000)
			g.run(4 * time.Second)
			g.alone(cut, 1001)
			for _, a := range g.seeds {
				if a != cut {
					g.start(a, g.kill(a), false)
					g.run(5 * time.Second)
					g.alone(cut, 1002)
				}
			}
			g.lapse()
			ways["silent"](g.core, cut, false)
			g.run(touchWithin)
			g.whole()
		}) {
			t.Error(wrong)
		}
	}
}

// A process stands still for twenty seconds, whatever it was doing, and wakes: of what it knew nothing is said as if it were so now. Its
// links are still there, with all that came meanwhile, and its clock has gone on.
func stoodStill(g *gateway) {
	who := g.seeds[1]
	n := g.nodes[who]
	n.counters.mu.Lock() // watch and counters stand
	pass(time.Millisecond)
	n.clockSkew.Store(int64(20 * time.Second))
	g.lapse(who)
	g.alone(who, 500) // the first that it says
	if _, peers := n.zoneRank("edge-0"); peers != 0 || n.ingressCount() != 0 || n.majority.Held() {
		g.fail("it woke and counts as before")
	}
	n.counters.mu.Unlock()
	if r := n.counters.handle(&transport.Frame{CounterAdd: &transport.CounterAdd{Name: "t0", Cycle: 1, Reporter: "edge-0", Amount: 2, Retention: 60}}); r.CounterTotal.OK {
		g.fail("it woke and keeps a counter")
	}
	g.lapse()
	n.ping() // and is in contact before its watch has looked
	synctest.Wait()
	// In contact again, its names may have been kept by another: they wait for the fence.
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); pass(20 * time.Millisecond) {
		for _, name := range []string{"t0", "t1", "t2", "t3"} {
			if r := n.counters.handle(&transport.Frame{CounterAdd: &transport.CounterAdd{Name: name, Cycle: 1, Reporter: "edge-0", Amount: 2, Retention: 60}}); r.CounterTotal.OK {
				g.fail("%v after it woke it keeps %s", time.Until(end), name)
			}
		}
	}
	g.run(1500 * time.Millisecond)
	g.whole()
}

func TestStoodStill(t *testing.T) {
	for _, wrong := range watched(t, 9, stoodStill) {
		t.Error(wrong)
	}
}

// Beats that come at once when all start, also after a loss of power everywhere, are taken within a second.
func TestFirstContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		beats := func(seq int) {
			var all sync.WaitGroup
			for i, a := range c.seeds {
				all.Go(func() {
					began := time.Now()
					status, _ := c.ask(a, "PUT", fmt.Sprint("/instances/i-", i), call1("serving", seq))
					c.Equal(status, 200)
					c.True(time.Since(began) <= httpapi.StartupWait)
				})
			}
			all.Wait()
		}
		beats(1)
		for seq := range 3 {
			pass(5 * time.Second)
			disks := map[string]*vfs.MemFS{}
			for _, a := range c.seeds {
				disks[a] = c.kill(a)
			}
			for _, a := range c.seeds {
				c.start(a, disks[a], false)
			}
			beats(seq + 2)
		}
		c.end()
	})
}
