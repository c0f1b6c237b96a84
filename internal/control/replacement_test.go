package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// electoratesWithin returns how many electorates are in force, one after the other, within a span of time, according to
// a node.
func (c *testCluster) electoratesWithin(addr string, span time.Duration) (count int) {
	last := uint64(0)
	for end := time.Now().Add(span); time.Now().Before(end); advance(50 * time.Millisecond) {
		base, _ := c.nodes[addr].replica.Base()
		if count == 0 || base.Electorate.Since != last {
			last = base.Electorate.Since
			count++
		}
	}
	return count
}

// Guards against voters that replace two nodes by each other forever, because each of these nodes is out of reach of
// one of the voters. A voter that answers another voter is not replaced, and everything is served meanwhile.
func TestFailedLinksReplaceNoVoter(t *testing.T) {
	if count := electoratesWithFailedLinks(t); count != 1 {
		t.Errorf("got %d electorates within a minute, want 1", count)
	}
}

// electoratesWithFailedLinks returns how many electorates are in force within a minute in which the first voter does
// not reach the third one, and the second voter does not reach the learner.
func electoratesWithFailedLinks(t *testing.T) (count int) {
	synctest.Test(t, func(t *testing.T) {
		links := &partitionableLinks{}
		c := newClusterOver(t, 3, links)
		defer c.stopAll()
		c.start(fourthAddr, newDisk(), false)
		advance(3 * time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		severed := map[[2]string]bool{{x, z}: true, {z, x}: true, {y, fourthAddr}: true, {fourthAddr, y}: true}
		all := append(slices.Clone(c.seeds), fourthAddr)
		links.setSevered(func(from, to string) bool { return severed[[2]string{from, to}] }, all)
		count = c.electoratesWithin(y, time.Minute)
		c.Equal(c.patch(x, patchBody([]string{serviceJSON("s", 2)}, nil)), 200)
		links.setSevered(func(string, string) bool { return false }, all)
		advance(3 * time.Second)
	})
	return count
}

// A voter that is cut off again and again is replaced at most once for each node that can take its place, and the
// others serve throughout.
func TestVoterCutOffAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		defer c.stopAll()
		x, y := c.seeds[0], c.seeds[1]
		go func() {
			for range 10 {
				c.partition(x, true)
				time.Sleep(5 * time.Second)
				c.partition(x, false)
				time.Sleep(time.Second)
			}
		}()
		c.Equal(c.electoratesWithin(y, 70*time.Second), 2)
		c.Equal(c.patch(y, patchBody([]string{serviceJSON("s", 2)}, nil)), 200)
	})
}

// Guards against a control node that knows no successor any more after it has outlived many nodes, because those that
// have ended fill its list of peers.
func TestManyReplacements(t *testing.T) {
	const replacements = 50 // more than a node remembers peers
	synctest.Test(t, func(t *testing.T) {
		c := newLossesInTurn(t, siteBounds[0], true)
		defer c.stopAll()
		survivor := c.seeds[0]
		for n := range replacements {
			addrs := slices.Sorted(maps.Keys(c.nodes))
			addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == survivor })
			c.lose(addrs[n%len(addrs)], loss{replaced, 100 * time.Millisecond})
			after := fmt.Sprint("replacement ", n+1)
			c.requireAllVote(after)
			c.change(after)
		}
	})
}
