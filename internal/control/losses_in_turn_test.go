package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/control/shards"
)

// lossKind is a way in which one control node is lost at a time.
type lossKind int

const (
	replaced  lossKind = iota // it is removed, and after a gap an empty node starts at another address
	retired                   // the same, with SIGTERM
	relieved                  // it gets SIGTERM, and after a gap, maybe before it ends, its successor starts
	planned                   // an empty node starts at another address, and then the node ends with SIGTERM
	wiped                     // it loses its disk, and starts again at the same address after a gap
	restarted                 // it loses power, and starts again with its disk after a gap
	cutOff                    // it is cut off for the gap
	lossKinds = iota
)

func (k lossKind) String() string {
	return [lossKinds]string{"replaced", "retired", "relieved", "planned", "wiped", "restarted", "cut off"}[k]
}

// loss is a loss of one node and, for some kinds, its successor.
type loss struct {
	kind lossKind
	gap  time.Duration
}

// lossGaps are the gaps of random losses. The longest ones exceed all time limits of a replacement.
var lossGaps = []time.Duration{
	0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	13 * time.Second,
}

// lossesInTurn is a cluster that loses its nodes one after the other, each at the moment from which the operators count
// on the previous one again or on its successor: Bounds.CatchUp after its start.
type lossesInTurn struct {
	*testCluster
	catchUp    time.Duration
	version    int
	addresses  int           // number of addresses in use so far
	startDelay time.Duration // from the start of a machine until its process runs
}

func newLossesInTurn(t *testing.T, bounds settings.Bounds, coordination bool) *lossesInTurn {
	return newLossesInTurnOf(t, bounds, coordination, 1)
}

func newLossesInTurnOf(t *testing.T, bounds settings.Bounds, coordination bool, machineLosses int) *lossesInTurn {
	c := &lossesInTurn{testCluster: newTestCluster(t, nil), addresses: 3}
	c.machineLosses = machineLosses
	c.bounds = bounds
	c.gracePeriod = shutdownGracePeriod
	c.clauses = map[string]bool{coordinationClause: coordination}
	c.catchUp = time.Duration(bounds.CatchUp * float64(time.Second))
	c.startFirst(3)
	advance(3 * time.Second)
	c.change("the start")
	advance(c.catchUp)
	return c
}

// change changes the configuration at each node. Where applications coordinate, it also requests a number in every
// shard.
func (c *lossesInTurn) change(after string) {
	c.Helper()
	for _, addr := range slices.Sorted(maps.Keys(c.nodes)) {
		c.version++
		if status := c.patch(addr, patchBody([]string{serviceJSON("s", c.version)}, nil)); status != 200 {
			c.t.Fatalf("after %s: a change at %s: got %d, want 200", after, addr, status)
		}
		for number := 0; c.clauses[coordinationClause] && number < 4*shards.Count; number++ {
			status, text := c.call(addr, "POST", fmt.Sprint("/numbers/n", number), "{}")
			if status != 200 {
				c.t.Fatalf("after %s: number %d at %s: got %d %s, want 200", after, number, addr, status, text)
			}
		}
	}
}

// startSuccessor starts an empty node at an address that no node has had. The channel is closed when it runs.
func (c *lossesInTurn) startSuccessor() (running <-chan struct{}) {
	c.addresses++
	c.mu.Lock()
	c.seeds = slices.Sorted(maps.Keys(c.nodes))
	c.mu.Unlock()
	return c.startLater(fmt.Sprintf("10.0.0.%d:81", c.addresses), newDisk())
}

// startLater starts a node after startDelay. The channel is closed when it runs.
func (c *lossesInTurn) startLater(addr string, disk *vfs.MemFS) <-chan struct{} {
	running := make(chan struct{})
	go func() {
		defer close(running)
		time.Sleep(c.startDelay)
		c.start(addr, disk, false)
	}()
	return running
}

// lose plays a loss of a node, until nothing counts as lost any more.
func (c *lossesInTurn) lose(addr string, l loss) {
	back := c.endAndReturn(addr, l)
	advance(time.Until(back.Add(c.catchUp)))
}

// endAndReturn plays a loss until the node or its successor runs, and returns the start of that one's machine.
func (c *lossesInTurn) endAndReturn(addr string, l loss) (back time.Time) {
	switch l.kind {
	case replaced:
		c.remove(addr)
		advance(l.gap)
		defer wait(c.startSuccessor())
	case retired:
		c.shutDown(addr)
		advance(l.gap)
		defer wait(c.startSuccessor())
	case relieved:
		ended := c.shutDownLater(addr)
		advance(l.gap)
		started, running := time.Now(), c.startSuccessor()
		wait(ended)
		wait(running)
		return started
	case planned:
		started, running := time.Now(), c.startSuccessor()
		advance(l.gap)
		wait(c.shutDownLater(addr))
		wait(running)
		return started
	case wiped:
		c.remove(addr)
		advance(l.gap)
		defer wait(c.startLater(addr, newDisk()))
	case restarted:
		disk := c.remove(addr)
		advance(l.gap)
		defer wait(c.startLater(addr, disk))
	case cutOff:
		c.partition(addr, true)
		advance(l.gap)
		c.partition(addr, false)
	}
	return time.Now()
}

// shutDownLater shuts a node down in the background. The channel is closed when it has ended.
func (c *lossesInTurn) shutDownLater(addr string) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.shutDown(addr)
	}()
	return ended
}

func wait(done <-chan struct{}) { <-done }

// requireAllVote fails the test unless every voter of the electorate runs and votes.
func (c *lossesInTurn) requireAllVote(after string) {
	c.Helper()
	if wrong := c.notVoting(); wrong != "" {
		c.t.Fatalf("after %s, %s", after, wrong)
	}
}

// notVoting describes a voter of the electorate that does not run or vote; "" if there is none.
func (c *lossesInTurn) notVoting() string {
	for _, addr := range slices.Sorted(maps.Keys(c.nodes)) {
		base, _ := c.nodes[addr].replica.Base()
		for _, voter := range base.Electorate.Voters {
			n := c.nodes[voter.Addr]
			if n == nil || !n.replica.IsVoter() {
				return fmt.Sprintf("according to %s: the voter %s does not run or vote; voters: %v",
					addr, voter.Addr, base.Electorate.Addresses())
			}
		}
	}
	return ""
}

// play plays losses of random nodes, and requires after each that all voters vote and that changes are accepted.
func (c *lossesInTurn) play(random *rand.Rand, losses []loss) {
	defer c.stopAll()
	for n, l := range losses {
		addrs := slices.Sorted(maps.Keys(c.nodes))
		lost := addrs[random.IntN(len(addrs))]
		c.lose(lost, l)
		after := fmt.Sprintf("loss %d, %s %v with a gap of %v", n+1, lost, l.kind, l.gap)
		c.requireAllVote(after)
		c.change(after)
	}
	if text := c.readAll(); !strings.Contains(text, fmt.Sprintf("%08x", c.version)) {
		c.t.Errorf("the last change is not read back: %s", text)
	}
}

// siteBounds are bounds as the operators' deployments have them.
var siteBounds = []settings.Bounds{{Contact: 3, CatchUp: 4}, {Contact: 5, CatchUp: 6}}

// Guards against nodes that are lost in turn, one at a time, and leave no majority of voters: a successor did not vote
// yet when the operators counted on it, so the next loss that they allow ended every change and read of the
// configuration for good. Each order is played at the shortest times.
func TestLossesInTurn(t *testing.T) {
	t.Parallel()
	for _, bounds := range siteBounds {
		for seed := range uint64(lossOrders) {
			t.Run(fmt.Sprint(bounds.CatchUp, " s, seed ", seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 6))
				losses := []loss{}
				for range 8 {
					gap := lossGaps[random.IntN(len(lossGaps))]
					losses = append(losses, loss{lossKind(random.IntN(lossKinds)), gap})
				}
				synctest.Test(t, func(t *testing.T) {
					c := newLossesInTurn(t, bounds, seed%2 == 1)
					c.startDelay = time.Duration(random.IntN(800)) * time.Millisecond
					c.play(random, losses)
				})
			})
		}
	}
}

// The same with the orders of the review: four nodes replaced in turn, and one that is replaced and another that then
// loses its disk.
func TestReview4CoreReplacedInTurn(t *testing.T) {
	orders := map[string][]loss{
		"four replaced": slices.Repeat([]loss{{replaced, 100 * time.Millisecond}}, 4),
		"replaced, then a disk lost": {
			{replaced, 500 * time.Millisecond}, {wiped, time.Second},
		},
		"planned replacements": slices.Repeat([]loss{{planned, time.Second}}, 4),
	}
	for _, bounds := range siteBounds {
		for name, losses := range orders {
			for seed := range uint64(6) {
				t.Run(fmt.Sprint(name, ", ", bounds.CatchUp, " s, seed ", seed), func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 7))
					synctest.Test(t, func(t *testing.T) { newLossesInTurn(t, bounds, false).play(random, losses) })
				})
			}
		}
	}
}

// Guards against a successor that does not vote in time because it had not joined yet when the node that it replaces
// received SIGTERM: the vote was not handed over then, and that node counted as one that may return.
func TestSlowSuccessorOfNodeThatShutsDown(t *testing.T) {
	for _, order := range slowSuccessors() {
		t.Run(order.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { order.play(t) })
		})
	}
}

// slowSuccessor is a replacement of a node that shuts down by one whose process takes long to start.
type slowSuccessor struct {
	loss
	startDelay time.Duration
}

// slowSuccessors are replacements in which the shutdown begins at different moments of the start of the successor.
func slowSuccessors() (all []slowSuccessor) {
	for _, kind := range []lossKind{planned, relieved} {
		for gap := time.Duration(0); gap <= 2*time.Second; gap += 200 * time.Millisecond {
			for _, delay := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond} {
				all = append(all, slowSuccessor{loss{kind, gap}, delay})
			}
		}
	}
	return all
}

func (s slowSuccessor) String() string {
	return fmt.Sprintf("%v, gap %v, start %v", s.kind, s.gap, s.startDelay)
}

func (s slowSuccessor) play(t *testing.T) {
	c := newLossesInTurn(t, siteBounds[0], true)
	c.startDelay = s.startDelay
	c.play(rand.New(rand.NewPCG(uint64(s.gap), 7)), slices.Repeat([]loss{s.loss}, 4))
}
