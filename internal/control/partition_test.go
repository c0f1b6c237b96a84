package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/httpapi"
)

// contactBound is the time within which all nodes work as before once a partition has ended: contactMs of the sites.
const contactBound = 3 * time.Second

// observedCluster is a cluster with servers and agents that checks everything that its nodes answer.
type observedCluster struct {
	*testCluster
	began time.Time

	mu             sync.Mutex // guards failures, homeNodes, heartbeats, outOfContact and counterAnswers
	failures       []string
	homeNodes      []int // index of the node that a server calls first, by server
	heartbeats     int
	agents         [][]*replication.Client // subscriptions, by agent and node
	stopAgents     []context.CancelFunc    // stop functions, by agent
	agentsStarted  uint64
	heartbeatsDue  time.Time       // time of the next heartbeats of runInSmallSteps
	agentsLost     atomic.Int64    // number of agent connections that have ended
	restartAgent   func(i int)     // starts a stopped agent again
	outOfContact   map[string]bool // nodes that must not claim contact
	counterAnswers map[string]int  // number of answers, by counter name
}

func (g *observedCluster) fail(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.failures) < 8 {
		g.failures = append(g.failures, fmt.Sprintf("%v: ", time.Since(g.began))+fmt.Sprintf(format, args...))
	}
}

// sendHeartbeats sends a heartbeat of every server to its home node, or to the next node if that one rejects it.
func (g *observedCluster) sendHeartbeats() {
	g.mu.Lock()
	g.heartbeats++
	seq, homes := g.heartbeats, slices.Clone(g.homeNodes)
	g.mu.Unlock()
	for i, home := range homes {
		for attempt := range 3 {
			addr, path := g.seeds[(home+attempt)%3], fmt.Sprint("/instances/i-", i)
			status, _ := g.call(addr, "PUT", path, heartbeatJSON("serving", seq))
			if status == 200 {
				break
			}
			if status != 503 {
				g.fail("a heartbeat got %d", status)
			}
		}
	}
}

// checkInvariants checks that each counter has at most one owner, and that no node considers an instance silent.
func (g *observedCluster) checkInvariants() {
	for _, name := range []string{"t0", "t1", "t2", "t3"} {
		owners := []string{}
		for n, a := range g.seeds {
			x := g.agents[0][n]
			r, err := x.Call(time.Second, counterAdd(name, 60))
			if err == nil && r.CounterTotal != nil && r.CounterTotal.OK {
				owners = append(owners, a)
			}
		}
		if len(owners) > 1 {
			g.fail("counter %s is owned by %v", name, owners)
		}
		g.mu.Lock()
		g.counterAnswers[name] += len(owners)
		g.mu.Unlock()
	}
	for _, a := range g.seeds {
		for i := range g.homeNodes {
			if l, ok := g.nodes[a].store.Instance(fmt.Sprint("i-", i)); ok && l.Phase != registry.Serving {
				g.fail("node %s has i-%d as %v", a, i, l.Phase)
			}
		}
	}
}

// checkUpdate checks that an update of a node that is out of contact claims nothing that needs contact.
func (g *observedCluster) checkUpdate(node string, f *transport.Update) {
	g.mu.Lock()
	outOfContact := g.outOfContact[node]
	g.mu.Unlock()
	if outOfContact && (f.Quorum || f.Ready || f.Members != 0 || f.ZonePeers != 0) {
		g.fail("%s, out of contact, says quorum %v, ready %v, members %d, peers %d",
			node, f.Quorum, f.Ready, f.Members, f.ZonePeers)
	}
}

// run advances time by d in steps of 250 ms, with heartbeats and checks.
func (g *observedCluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if time.Since(g.began)%(1500*time.Millisecond) < 250*time.Millisecond {
			g.sendHeartbeats()
		}
		g.checkInvariants()
		advance(250 * time.Millisecond)
	}
}

// checkRejects checks that a node without contact rejects all calls within 10 ms, and is not ready.
func (g *observedCluster) checkRejects(a string, version int) {
	began := time.Now()
	for _, x := range [][3]string{
		{"PUT", "/instances/i-0", heartbeatJSON("serving", 1_000_000)},
		{"PUT", "/instances/i-0", heartbeatJSON("draining", 1_000_001)},
		{"DELETE", "/instances/i-1", ""},
		{"PATCH", "/config", patchBody([]string{serviceJSON("s", version)}, nil)},
		{"PATCH", "/config", patchBody(nil, []string{routeJSON("bad", "bad", "nobody", 1)})},
		{"PATCH", "/config", "{"},
		{"GET", "/config", ""},
	} {
		if status, text := g.call(a, x[0], x[1], x[2]); status != 503 {
			g.fail("%s, out of contact, answers %s %s: %d %s", a, x[0], x[1], status, text)
		}
	}
	if took := time.Since(began); took > 10*time.Millisecond {
		g.fail("%s took %v to reject", a, took)
	}
	if g.nodes[a].ready() {
		g.fail("%s is ready out of contact", a)
	}
}

// expectNoContact sets the nodes whose updates must not claim contact.
func (g *observedCluster) expectNoContact(nodes ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outOfContact = map[string]bool{}
	for _, a := range nodes {
		g.outOfContact[a] = true
	}
}

// checkRecovered checks that all nodes and agents work as before the fault.
func (g *observedCluster) checkRecovered() {
	for i, agent := range g.agents {
		ranks := map[int]int{}
		for n, a := range g.seeds {
			s := agent[n].State()
			if !s.Quorum || !s.Ready || s.Members != len(g.agents) || s.ZonePeers != len(g.agents) {
				g.fail("after recovery, agent %d gets from %s: quorum %v, ready %v, %d members, %d peers",
					i, a, s.Quorum, s.Ready, s.Members, s.ZonePeers)
			}
			ranks[s.Rank]++
		}
		if len(ranks) != 1 || ranks[i] != 3 {
			g.fail("after recovery, agent %d has the ranks %v", i, ranks)
		}
	}
	first := ""
	for _, a := range g.seeds {
		status, text := g.call(a, "GET", "/config", "")
		if first == "" {
			first = text
		}
		if status != 200 || text != first {
			g.fail("after recovery, %s returns %d %s, another %s", a, status, text, first)
		}
	}
	for _, a := range g.seeds {
		version := int(time.Since(g.began)/time.Second) + 1
		if status := g.patch(a, patchBody([]string{serviceJSON("x-"+a, version)}, nil)); status != 200 {
			g.fail("after recovery, %s answers a change with %d", a, status)
		}
	}
}

// observe starts a cluster with a number of servers, runs it without faults for eight seconds, and then runs a
// scenario. It returns the failures.
func observe(t *testing.T, servers int, scenario func(*observedCluster)) (failures []string) {
	return observeOver(t, servers, &partitionableLinks{}, scenario)
}

// observeOver does the same as observe, over the given links.
func observeOver(
	t *testing.T, servers int, links *partitionableLinks, scenario func(*observedCluster),
) (failures []string) {
	synctest.Test(t, func(t *testing.T) {
		g := &observedCluster{
			testCluster:    newClusterOver(t, 3, links),
			began:          time.Now(),
			outOfContact:   map[string]bool{},
			counterAnswers: map[string]int{},
		}
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		g.restartAgent = func(i int) { g.startAgent(ctx, &running, i) }
		for i := range 3 {
			g.agents = append(g.agents, nil)
			g.stopAgents = append(g.stopAgents, nil)
			g.startAgent(ctx, &running, i)
		}
		for i := range servers {
			g.homeNodes = append(g.homeNodes, i%3)
		}
		advance(time.Second)
		for i, a := range g.seeds {
			if status := g.patch(a, patchBody([]string{serviceJSON("s", i+1)}, nil)); status != 200 {
				g.fail("%s answers a change with %d", a, status)
			}
		}
		g.run(7 * time.Second)
		g.checkRecovered()
		scenario(g)
		for name, n := range g.counterAnswers {
			if n == 0 {
				g.fail("counter %s never had an owner", name)
			}
		}
		failures = g.failures
		stop()
		running.Wait()
		g.stopAll()
	})
	return failures
}

// partitionKinds are the kinds of partitions between a node and the others. They differ in the severed directions.
var partitionKinds = map[string]func(c *testCluster, cut string, down bool){
	"silent": func(c *testCluster, cut string, down bool) {
		c.links.setSevered(func(a, b string) bool { return down && (a == cut || b == cut) }, c.seeds)
	},
	"out": func(c *testCluster, cut string, down bool) {
		c.links.setSevered(func(a, b string) bool { return down && a == cut }, c.seeds)
	},
	"in": func(c *testCluster, cut string, down bool) {
		c.links.setSevered(func(a, b string) bool { return down && b == cut }, c.seeds)
	},
	"reset": func(c *testCluster, cut string, down bool) {
		c.links.setSevered(func(a, b string) bool { return down && (a == cut || b == cut) }, c.seeds)
		c.links.reset()
	},
}

// partitionNode separates a node from the other control nodes for about 19 s. Agents and servers still reach all nodes.
func partitionNode(g *observedCluster, node string, sever func(*testCluster, string, bool)) {
	others := slices.DeleteFunc(slices.Clone(g.seeds), func(a string) bool { return a == node })
	version := int(time.Since(g.began)/time.Second) * 10
	change := func(a, text string) int { return g.patch(a, patchBody([]string{text}, nil)) }
	sever(g.testCluster, node, true)
	// When the partition begins, both sides get different changes under one version. At most one of them may be
	// acknowledged.
	var both sync.WaitGroup
	var nodeStatus, othersStatus int
	both.Go(func() { nodeStatus = change(node, serviceJSON("race", version)) })
	both.Go(func() {
		othersStatus = change(others[0], strings.Replace(serviceJSON("race", version), "130", "131", 1))
	})
	both.Wait()
	// The change of the partitioned node gets no clear answer, but may have been chosen. Only then may the other change
	// be rejected.
	_, text := g.call(others[0], "GET", "/config", "")
	nodesWon := strings.Contains(text, `"race":{"healthPath":"/health","maxConns":130,`)
	othersClear := othersStatus == 200 || othersStatus == 409 && nodesWon
	if nodeStatus != 503 || !othersClear {
		g.fail("just partitioned: %d, and the others: %d", nodeStatus, othersStatus)
	}
	g.run(time.Second)
	invalid := patchBody(nil, []string{routeJSON("bad", "bad", "nobody", 1)})
	if status, _ := g.call(node, "PATCH", "/config", invalid); status != 503 {
		g.fail("partitioned for 2 s, an invalid change gets %d", status)
	}
	g.run(time.Second)
	g.expectNoContact(node)
	for step := range 4 {
		g.checkRejects(node, version+step+1)
		for _, a := range others {
			if status := change(a, serviceJSON("s", version+2*step+slices.Index(others, a)+1)); status != 200 {
				g.fail("during the partition, %s answers a change with %d", a, status)
			}
		}
		g.run(4 * time.Second)
	}
	g.checkRejects(node, version+9)
	if status, _ := g.call(node, "GET", "/view", ""); status != 200 {
		g.fail("the view of %s: %d", node, status)
	}
	g.expectNoContact()
	sever(g.testCluster, node, false)
	g.run(contactBound)
	g.checkRecovered()
	g.run(6 * time.Second)
}

// Guards against a node without contact that acknowledges calls, answers from outdated state or takes servers for
// silent, and against a majority that does not go on without it.
func TestPartition(t *testing.T) {
	for _, kind := range []string{"silent", "out", "in", "reset"} {
		for index := range 3 {
			t.Run(fmt.Sprint(kind, "/", index), func(t *testing.T) {
				scenario := func(g *observedCluster) { partitionNode(g, g.seeds[index], partitionKinds[kind]) }
				for _, failure := range observe(t, 9, scenario) {
					t.Error(failure)
				}
			})
		}
	}
	// With so few servers, the silence of all of them is not taken for a partition of the node itself.
	t.Run("three servers", func(t *testing.T) {
		scenario := func(g *observedCluster) { partitionNode(g, g.seeds[0], partitionKinds["silent"]) }
		for _, failure := range observe(t, 3, scenario) {
			t.Error(failure)
		}
	})
	t.Run("two in a row", func(t *testing.T) {
		for _, failure := range observe(t, 9, func(g *observedCluster) {
			partitionNode(g, g.seeds[0], partitionKinds["silent"])
			partitionNode(g, g.seeds[1], partitionKinds["out"])
			g.checkRecovered()
		}) {
			t.Error(failure)
		}
	})
}

// During a partition, first the partitioned node is restarted, and then the other nodes one after the other.
func TestPartitionWithRestarts(t *testing.T) {
	for index := range 3 {
		for _, failure := range observe(t, 9, func(g *observedCluster) {
			node := g.seeds[index]
			partitionKinds["silent"](g.testCluster, node, true)
			g.run(3 * time.Second)
			g.start(node, g.crash(node), false)
			g.expectNoContact(node)
			g.run(httpapi.StartupGrace) // until its end, calls wait for contact
			g.checkRejects(node, 1000)
			g.run(4 * time.Second)
			g.checkRejects(node, 1001)
			for _, a := range g.seeds {
				if a != node {
					g.start(a, g.crash(a), false)
					g.run(5 * time.Second)
					g.checkRejects(node, 1002)
				}
			}
			g.expectNoContact()
			partitionKinds["silent"](g.testCluster, node, false)
			g.run(contactBound)
			g.checkRecovered()
		}) {
			t.Error(failure)
		}
	}
}

// suspendNode suspends the process of a node for twenty seconds. When the process resumes, it must not answer from its
// state before the suspension, although its connections are still open and have buffered what arrived meanwhile. Its
// clock has advanced.
func suspendNode(g *observedCluster) {
	suspended := g.seeds[1]
	n := g.nodes[suspended]
	n.counters.mu.Lock() // blocks watch and the counters
	advance(time.Millisecond)
	n.clockSkew.Store(int64(20 * time.Second))
	g.expectNoContact(suspended)
	g.checkRejects(suspended, 500) // its first answers after it has resumed
	if _, peers := n.zoneRank("edge-0"); peers != 0 || n.ingressCount() != 0 || n.majority.Held() {
		g.fail("the resumed node still counts ingresses or holds its lease")
	}
	n.counters.mu.Unlock()
	if r := n.counters.handle(counterAdd("t0", 60)); r.CounterTotal.OK {
		g.fail("the resumed node still owns a counter")
	}
	g.expectNoContact()
	n.ping() // the node is in contact again before its watch has done a round
	synctest.Wait()
	// Its counters may have had another owner meanwhile, so they must wait for the handover fence.
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); advance(20 * time.Millisecond) {
		for _, name := range []string{"t0", "t1", "t2", "t3"} {
			if r := n.counters.handle(counterAdd(name, 60)); r.CounterTotal.OK {
				g.fail("%v before its counters may answer, the resumed node owns %s", time.Until(end), name)
			}
		}
	}
	g.run(1500 * time.Millisecond)
	g.checkRecovered()
}

// Guards against a process that resumes after a suspension and answers as if its lease were still held.
func TestSuspendedNode(t *testing.T) {
	for _, failure := range observe(t, 9, suspendNode) {
		t.Error(failure)
	}
}

// Heartbeats that arrive while all nodes start are accepted within httpapi.StartupWait, also after all nodes have lost
// power.
func TestHeartbeatsAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		sendAll := func(seq int) {
			var all sync.WaitGroup
			for i, a := range c.seeds {
				all.Go(func() {
					began := time.Now()
					status, _ := c.call(a, "PUT", fmt.Sprint("/instances/i-", i), heartbeatJSON("serving", seq))
					c.Equal(status, 200)
					c.True(time.Since(began) <= httpapi.StartupWait)
				})
			}
			all.Wait()
		}
		sendAll(1)
		for seq := range 3 {
			advance(5 * time.Second)
			disks := map[string]*vfs.MemFS{}
			for _, a := range c.seeds {
				disks[a] = c.crash(a)
			}
			for _, a := range c.seeds {
				c.start(a, disks[a], false)
			}
			sendAll(seq + 2)
		}
		c.stopAll()
	})
}
