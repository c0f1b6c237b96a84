package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/settings"
)

// twoLossesAtOnce is a cluster of five voters that tolerates two losses at one time. It loses a node as soon as the
// operators count on all but one of those before.
type twoLossesAtOnce struct {
	*lossesInTurn
	random *rand.Rand
	lost   []lostNode // in the order of the losses
}

// lostNode is a node that was replaced, or lost its disk.
type lostNode struct {
	voter     consensus.Voter
	countedAt time.Time // time from which the operators count on the node again or on its successor
}

func newTwoLossesAtOnce(t *testing.T, bounds settings.Bounds, random *rand.Rand) *twoLossesAtOnce {
	c := &twoLossesAtOnce{lossesInTurn: newLossesInTurnOf(t, bounds, true, 2), random: random}
	c.startDelay = time.Duration(random.IntN(500)) * time.Millisecond
	for range 2 {
		wait(c.startSuccessor())
	}
	advance(5 * time.Second)
	if voters := c.newestElectorate().Voters; len(voters) != 5 {
		t.Fatalf("%d voters at the start, want 5", len(voters))
	}
	return c
}

// newestElectorate returns the electorate of the newest snapshot of all nodes.
func (c *lossesInTurn) newestElectorate() consensus.Electorate {
	var newest consensus.Base
	for _, n := range c.nodes {
		if base, _ := n.replica.Base(); base.Epoch >= newest.Epoch {
			newest = base
		}
	}
	return newest.Electorate
}

// loseNext loses a random node once the operators tolerate it, and requires that all nodes on whose successors they
// count by then do not vote any more.
func (c *twoLossesAtOnce) loseNext() {
	c.Helper()
	time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
	if n := len(c.lost); n > 1 {
		counted := []time.Time{c.lost[n-2].countedAt, c.lost[n-1].countedAt}
		advance(time.Until(slices.MinFunc(counted, time.Time.Compare)))
	}
	c.requireReplaced()
	addrs := slices.Sorted(maps.Keys(c.nodes))
	addrs = slices.DeleteFunc(addrs, c.notCounted)
	addr := addrs[c.random.IntN(len(addrs))]
	kind := []lossKind{replaced, replaced, wiped}[c.random.IntN(3)]
	voter := c.nodes[addr].replica.AsVoter()
	back := c.endAndReturn(addr, loss{kind, lossGaps[c.random.IntN(4)]})
	c.lost = append(c.lost, lostNode{voter, back.Add(c.catchUp)})
}

// notCounted reports whether the operators do not count on a node yet, because it was started less than catchUp ago.
func (c *twoLossesAtOnce) notCounted(addr string) bool {
	return time.Since(c.nodes[addr].started) < c.catchUp
}

// requireReplaced fails the test if a node that was lost is a voter although the operators count on its successor.
func (c *twoLossesAtOnce) requireReplaced() {
	c.Helper()
	electorate := c.newestElectorate()
	for n, lost := range c.lost {
		if time.Now().Before(lost.countedAt) || !electorate.Contains(lost.voter) {
			continue
		}
		c.t.Fatalf("loss %d of %d, %v, votes %v after its successor has had the time to catch up; voters: %v",
			n+1, len(c.lost), lost.voter, time.Since(lost.countedAt), electorate.Addresses())
	}
}

// Guards against a successor that votes late because another voter was replaced meanwhile: the silence of a voter
// counted from the last change of the electorate at the earliest.
func TestTwoLossesAtOnce(t *testing.T) {
	t.Parallel()
	const losses = 8
	for _, bounds := range siteBounds {
		for seed := range uint64(lossOrders) {
			t.Run(fmt.Sprint(bounds.CatchUp, " s, seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newTwoLossesAtOnce(t, bounds, rand.New(rand.NewPCG(seed, 8)))
					defer c.stopAll()
					for range losses {
						c.loseNext()
					}
					advance(2*c.catchUp + time.Second)
					c.requireReplaced()
					c.requireAllVote("all losses")
					c.change("all losses")
				})
			})
		}
	}
}
