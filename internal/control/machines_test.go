package control

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

const (
	quotaPeriod = 100 * time.Millisecond // period of a processor quota
	quotaPause  = 80 * time.Millisecond  // part of each period during which the quota pauses a process
	// ackBound is how long an operator waits for an acknowledgement.
	ackBound = time.Second
	// counterBound is twice the time that an agent waits for a counter's owner (package agent, counterTimeout). An
	// answer that is late by up to one more such time does no harm, because the agent asks a second owner meanwhile.
	counterBound = 320 * time.Millisecond
)

// startAgent starts agent i with its subscriptions to all nodes. The agent runs until stopAgents[i] is called or the
// context ends.
func (g *observedCluster) startAgent(ctx context.Context, running *sync.WaitGroup, i int) {
	ctx, g.stopAgents[i] = context.WithCancel(ctx)
	g.agentsStarted++
	incarnation := 99 + g.agentsStarted
	g.agents[i] = nil
	for _, a := range g.seeds {
		inner := (&settings.Settings{InnerFirst: 75}).InternalAddrOf(a)
		x := &replication.Client{
			Node:        fmt.Sprint("edge-", i),
			Class:       replication.ClassAgent,
			Zone:        "z",
			Incarnation: incarnation,
			Seed:        1,
			Store:       replication.NewStore(incarnation),
			Clock:       replication.NewClock(func() float64 { return time.Since(g.began).Seconds() }),
			Ready:       func() bool { return true },
		}
		x.Dial = func(context.Context) (net.Conn, error) { return g.dialFromOutside(inner) }
		x.OnUpdate = func(f *transport.Update) { g.checkUpdate(a, f) }
		x.OnConnection = func(up bool, _ error) {
			if !up {
				g.agentsLost.Add(1)
			}
		}
		g.agents[i] = append(g.agents[i], x)
		running.Go(func() { x.Run(ctx) })
	}
}

// runInSmallSteps advances time by d in steps of at most 50 ms. It sends a heartbeat of every server each 1.5 s, and
// checks the invariants at each step.
func (g *observedCluster) runInSmallSteps(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !time.Now().Before(g.heartbeatsDue) {
			g.heartbeatsDue = time.Now().Add(1500 * time.Millisecond)
			g.sendHeartbeats()
		}
		g.checkInvariants()
		advance(min(50*time.Millisecond, time.Until(end)))
	}
}

// terms returns the terms of the majority leases that are held now, by node.
func (g *observedCluster) terms() map[string]uint64 {
	terms := map[string]uint64{}
	for _, a := range g.seeds {
		if term, held := g.nodes[a].majority.Current(); held {
			terms[a] = term
		}
	}
	return terms
}

// checkChange checks that a node acknowledges a change within ackBound.
func (g *observedCluster) checkChange(addr string, version int) {
	began := time.Now()
	status := g.patch(addr, patchBody([]string{serviceJSON("s", version)}, nil))
	if took := time.Since(began); status != 200 || took > ackBound {
		g.fail("%s answers a change with %d after %v", addr, status, took)
	}
}

// checkReads reads the configuration from every node, and returns how many nodes answer. It checks that no answer
// contains an older version of the service than the acknowledged one.
func (g *observedCluster) checkReads(acknowledged int) (answered int) {
	for _, a := range g.seeds {
		status, text := g.call(a, "GET", "/config", "")
		if status == 503 {
			continue
		}
		answered++
		_, text, _ = strings.Cut(text, `"s":{`)
		_, text, _ = strings.Cut(text, `"generation":"`)
		version, err := strconv.ParseInt(text[:min(8, len(text))], 16, 64)
		if status != 200 || err != nil || int(version) < acknowledged {
			g.fail("%s answers a read with %d, version %d (%v), want %d or newer",
				a, status, version, err, acknowledged)
		}
	}
	return answered
}

// pauseProcesses pauses processes for quotaPause in each quotaPeriod from now on. The name "" means the agents. offset
// returns the position of a process in its period at the start.
func (g *observedCluster) pauseProcesses(processes []string, offset func(process string) time.Duration) {
	began := time.Now()
	g.links.pauses.set(func(process string) time.Duration {
		if !slices.Contains(processes, process) {
			return 0
		}
		return quotaPause - (time.Since(began)+offset(process))%quotaPeriod
	})
}

// underQuota pauses processes for 80 ms in each 100 ms, for twelve seconds. No node may take the pauses for a failure:
// no lease expires, no connection ends, no server becomes silent, changes are acknowledged in time, and counters keep
// their owners.
func underQuota(g *observedCluster, processes []string, offset func(string) time.Duration) {
	before, lost := g.terms(), g.agentsLost.Load()
	version := 1000
	late, calls := 0, 0
	g.pauseProcesses(processes, offset)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); {
		version++
		g.checkChange(g.seeds[version%3], version)
		g.runInSmallSteps(400 * time.Millisecond)
		for n := range g.seeds {
			began := time.Now()
			_, err := g.agents[0][n].Call(time.Second, counterAdd("t0", 60))
			if calls++; err != nil || time.Since(began) > counterBound {
				late++
			}
		}
		if terms := g.terms(); !maps.Equal(terms, before) {
			g.fail("the terms of the majority leases were %v, and are %v", before, terms)
			before = terms
		}
		for i, agent := range g.agents {
			for n, a := range g.seeds {
				if s := agent[n].State(); !s.Quorum || !s.Ready || s.Members != len(g.agents) {
					g.fail("agent %d gets from %s: quorum %v, ready %v, %d members", i, a, s.Quorum, s.Ready, s.Members)
				}
			}
		}
	}
	g.links.pauses.set(nil)
	if late > 0 {
		g.fail("%d of %d counter calls took more than %v", late, calls, counterBound)
	}
	if ended := g.agentsLost.Load() - lost; ended > 0 {
		g.fail("%d connections of agents ended", ended)
	}
	g.runInSmallSteps(time.Second)
	g.checkRecovered()
}

// Guards against leases and time-outs that are too short for processes that a processor quota pauses again and again.
func TestProcessorQuota(t *testing.T) {
	aligned := func(string) time.Duration { return 0 }
	for name, c := range map[string]struct {
		paused func(seeds []string) []string
		offset func(process string) time.Duration
	}{
		"one node":   {func(seeds []string) []string { return seeds[:1] }, aligned},
		"all nodes":  {slices.Clone[[]string], aligned},
		"all agents": {func([]string) []string { return []string{""} }, aligned},
		"everything": {func(seeds []string) []string { return append(slices.Clone(seeds), "") }, aligned},
		"everything, one after the other": {
			func(seeds []string) []string { return append(slices.Clone(seeds), "") },
			func(process string) time.Duration {
				return time.Duration(lastDigit(process)) * 23 * time.Millisecond
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			links := &partitionableLinks{pauses: new(processPauses)}
			for _, failure := range observeOver(t, 9, links, func(g *observedCluster) {
				underQuota(g, c.paused(g.seeds), c.offset)
			}) {
				t.Error(failure)
			}
		})
	}
}

// lastDigit returns the number of a node, which is the last digit of its host address, or 0 for the agents.
func lastDigit(process string) byte {
	if process == "" {
		return 0
	}
	return process[len("10.0.0.")] - '0'
}

// resetSpan is how long connections are reset. It exceeds the time after which a server without heartbeats becomes
// silent.
const resetSpan = 7 * time.Second

// resetBursts resets all connections of some control nodes, including those to agents, repeatedly for resetSpan. It
// checks that no acknowledged change is lost.
func resetBursts(g *observedCluster, nodes []string, gap time.Duration) {
	version := 2000
	acknowledged := 0
	for end := time.Now().Add(resetSpan); time.Now().Before(end); {
		for _, a := range nodes {
			g.resetConnections(a)
		}
		g.runInSmallSteps(gap)
		for _, a := range g.seeds {
			version++
			if g.patch(a, patchBody([]string{serviceJSON("s", version)}, nil)) == 200 {
				acknowledged = version
			}
		}
		if g.checkReads(acknowledged) == 0 {
			g.fail("no node answers a read between two resets")
		}
	}
	if acknowledged == 0 {
		g.fail("no change was acknowledged between two resets")
	}
	g.runInSmallSteps(contactBound)
	g.checkRecovered()
}

// resetConnections ends all connections of a node.
func (c *testCluster) resetConnections(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[addr]
	n.internal.mu.Lock()
	defer n.internal.mu.Unlock()
	for _, nc := range n.internal.dialed {
		nc.Close()
	}
	n.internal.dialed = nil
}

// Guards against a loss of contact, of acknowledged changes or of servers, because connections are reset so often that
// calls and heartbeats do not get through, although nodes and links work in between.
func TestBurstsOfResets(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		for count := 1; count <= 3; count += 2 {
			t.Run(fmt.Sprint(count, " nodes each ", gap), func(t *testing.T) {
				for _, failure := range observe(t, 9, func(g *observedCluster) {
					before := g.terms()
					resetBursts(g, g.seeds[:count], gap)
					if terms := g.terms(); !maps.Equal(terms, before) {
						g.fail("the terms of the majority leases were %v, and are %v", before, terms)
					}
				}) {
					t.Error(failure)
				}
			})
		}
	}
}

// killTogether kills control nodes, whose machines lose power too, and agents at the same moment, in three rounds. A
// change that was acknowledged just before must still be there when the processes have restarted. Meanwhile, nodes that
// are a minority must not acknowledge anything.
func killTogether(g *observedCluster, nodes []string, agents []int) {
	for round := range 3 {
		version := 3000 + 10*round
		g.checkChange(nodes[round%len(nodes)], version)
		disks := map[string]*vfs.MemFS{}
		for _, a := range nodes {
			disks[a] = g.remove(a)
		}
		for _, i := range agents {
			g.stopAgents[i]()
		}
		up := slices.DeleteFunc(slices.Clone(g.seeds), func(a string) bool { return slices.Contains(nodes, a) })
		advance(2 * time.Second)
		for _, a := range up {
			if 2*len(up) < len(g.seeds) {
				g.checkRejects(a, version+1)
				continue
			}
			status := g.patch(a, patchBody([]string{serviceJSON("s", version+1)}, nil))
			if status != 200 {
				g.fail("%s answers a change with %d, with %d of %d nodes", a, status, len(up), len(g.seeds))
			}
		}
		for _, a := range nodes {
			g.start(a, disks[a], false)
		}
		for _, i := range agents {
			g.restartAgent(i)
		}
		g.runInSmallSteps(contactBound)
		if answered := g.checkReads(version); answered != 3 {
			g.fail("round %d: %d nodes answer a read", round, answered)
		}
		g.runInSmallSteps(4 * time.Second)
		g.checkRecovered()
	}
}

// Guards against the loss of an acknowledged change when several machines fail at once, and against acknowledgements by
// the minority that is left.
func TestProcessesKilledTogether(t *testing.T) {
	for _, c := range []struct {
		nodes  int
		agents []int
	}{
		{nodes: 1, agents: []int{0, 1}},
		{nodes: 2},
		{nodes: 2, agents: []int{0, 1, 2}},
		{nodes: 3},
		{nodes: 3, agents: []int{0, 1, 2}},
	} {
		t.Run(fmt.Sprint(c.nodes, " nodes, ", len(c.agents), " agents"), func(t *testing.T) {
			for _, failure := range observe(t, 9, func(g *observedCluster) {
				killTogether(g, g.seeds[:c.nodes], c.agents)
			}) {
				t.Error(failure)
			}
		})
	}
}
