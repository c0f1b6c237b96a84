package shard

import (
	"flag"
	"fmt"
	"strconv"
	"testing"

	"mulleinrouter/internal/cluster/consensus"
)

var exploreDepth = flag.Int("explore-depth", 3, "number of events that TestEveryOrder runs in every order")

// exploredCluster is three replicas in simulated time. The test chooses each step: which message arrives or is lost,
// which disk syncs, which process crashes, and how much time passes. Messages on one link keep their order.
type exploredCluster struct {
	now       float64
	nodes     []*exploredNode
	links     map[[2]string][]Message
	committed map[uint64]string
	writes    int
	violation string
}

type exploredNode struct {
	addr    string
	replica *Replica
	stored  State
	pending []Save // not synced yet
}

func newExploredCluster() *exploredCluster {
	c := &exploredCluster{now: 10, links: map[[2]string][]Message{}, committed: map[uint64]string{}}
	voters := []consensus.Voter{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}}
	for _, voter := range voters {
		n := &exploredNode{addr: voter.Addr, stored: InitialState(voters)}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	c.runFaultFree(3)
	return c
}

func (c *exploredCluster) start(n *exploredNode) {
	n.pending = nil
	n.replica = New(Options{Self: consensus.Voter{Addr: n.addr}, Seed: 1, State: cloneState(n.stored), Now: c.now})
}

// queueOutput queues the saves and messages of a replica, and checks the invariants.
func (c *exploredCluster) queueOutput(n *exploredNode) {
	out := n.replica.Take()
	n.pending = append(n.pending, out.Saves...)
	for _, m := range out.Messages {
		link := [2]string{m.From, m.To}
		c.links[link] = append(c.links[link], m)
	}
	c.check()
}

// check requires that at most one replica holds the lease, and that it has all committed batches.
func (c *exploredCluster) check() {
	var leased []*exploredNode
	for _, n := range c.nodes {
		if n.replica.HoldsLease(c.now) {
			leased = append(leased, n)
		}
	}
	if len(leased) > 1 {
		c.violation = fmt.Sprintf("%s and %s hold the lease", leased[0].addr, leased[1].addr)
	}
	for _, n := range leased {
		_, commit := n.replica.Committed()
		for seq := InitialPosition.Seq + 1; seq <= commit; seq++ {
			content, ok := n.replica.Records()[batchKey(seq)]
			before, known := c.committed[seq]
			switch {
			case known && (!ok || string(content) != before):
				c.violation = fmt.Sprintf("%s has %q in batch %d, but %q was committed", n.addr, content, seq, before)
			case ok:
				c.committed[seq] = string(content)
			}
		}
	}
}

func (c *exploredCluster) node(addr string) *exploredNode { return c.nodes[addr[0]-'a'] }

func (c *exploredCluster) sync(n *exploredNode) {
	for _, save := range n.pending {
		n.stored.apply(save)
		n.replica.Saved(save.Number, c.now)
	}
	n.pending = nil
	c.queueOutput(n)
}

func (c *exploredCluster) deliver(link [2]string, lost bool) {
	m := c.links[link][0]
	c.links[link] = c.links[link][1:]
	if !lost {
		n := c.node(link[1])
		n.replica.Step(m, c.now)
		c.queueOutput(n)
	}
}

func (c *exploredCluster) wait(span float64) {
	c.now += span
	for _, n := range c.nodes {
		n.replica.Tick(c.now)
		c.queueOutput(n)
	}
}

func (c *exploredCluster) write(n *exploredNode) {
	c.writes++
	content := n.addr + strconv.Itoa(c.writes)
	n.replica.Propose([]Write{{batchKey(n.replica.Last().Seq + 1), []byte(content)}}, c.now)
	c.queueOutput(n)
}

// runFaultFree lets time pass while all messages arrive and all saves are synced.
func (c *exploredCluster) runFaultFree(span float64) {
	const step = 0.1
	for passed := 0.0; passed < span; passed += step {
		c.wait(step)
		for again := true; again; {
			again = false
			for _, n := range c.nodes {
				if len(n.pending) > 0 {
					c.sync(n)
					again = true
				}
			}
			for _, link := range exploredLinks {
				if len(c.links[link]) > 0 {
					c.deliver(link, false)
					again = true
				}
			}
		}
	}
}

var exploredLinks = [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"b", "c"}, {"c", "a"}, {"c", "b"}}

// exploredEvent is an event that may happen next.
type exploredEvent struct {
	name string
	do   func(*exploredCluster)
}

// events returns the events that may happen next. Their order depends only on the events so far, so that a path of
// event numbers can be repeated.
func (c *exploredCluster) events() (events []exploredEvent) {
	for _, link := range exploredLinks {
		if len(c.links[link]) > 0 {
			name := link[0] + link[1]
			events = append(events,
				exploredEvent{"deliver " + name, func(c *exploredCluster) { c.deliver(link, false) }},
				exploredEvent{"lose " + name, func(c *exploredCluster) { c.deliver(link, true) }})
		}
	}
	for _, n := range c.nodes {
		addr := n.addr
		if len(n.pending) > 0 {
			events = append(events, exploredEvent{"sync " + addr, func(c *exploredCluster) { c.sync(c.node(addr)) }})
		}
		if n.replica.HoldsLease(c.now) {
			events = append(events,
				exploredEvent{"write at " + addr, func(c *exploredCluster) { c.write(c.node(addr)) }})
		}
		events = append(events, exploredEvent{"crash " + addr, func(c *exploredCluster) { c.start(c.node(addr)) }})
	}
	for _, span := range []float64{0.25, 1.2} { // more than a heartbeat interval, and more than a lease and a grant
		events = append(events, exploredEvent{fmt.Sprint("wait ", span), func(c *exploredCluster) { c.wait(span) }})
	}
	return events
}

// play runs a path of event numbers from the start, and returns the cluster and the names of the events.
func play(path []int) (c *exploredCluster, names []string) {
	c = newExploredCluster()
	c.write(c.nodes[0])
	for _, number := range path {
		event := c.events()[number]
		names = append(names, event.name)
		event.do(c)
	}
	return c, names
}

// TestEveryOrder runs every order of a few events, starting when a leaseholder has proposed a batch. The events are
// delivered or lost messages, syncs, crashes and the passing of time. After each path the faults end: then there must
// be a leaseholder that has all committed batches and commits new ones.
func TestEveryOrder(t *testing.T) {
	paths := 0
	var explore func(path []int)
	explore = func(path []int) {
		c, names := play(path)
		if c.violation != "" {
			t.Fatalf("%v: %s", names, c.violation)
		}
		if len(path) < *exploreDepth {
			for number := range c.events() {
				explore(append(path[:len(path):len(path)], number))
			}
			return
		}
		paths++
		c.runFaultFree(4)
		before := len(c.committed)
		for _, n := range c.nodes {
			c.write(n)
		}
		c.runFaultFree(0.3)
		if c.violation != "" || len(c.committed) <= before {
			t.Fatalf("%v: %s; %d batches committed, before the last write %d",
				names, c.violation, len(c.committed), before)
		}
	}
	explore(nil)
	t.Logf("%d paths of %d events", paths, *exploreDepth)
}
