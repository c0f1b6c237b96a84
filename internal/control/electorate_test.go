package control

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/operatorapi"
	"mulleinrouter/internal/control/replica/replicatest"
)

const (
	fourthAddr = "10.0.0.4:81"
	fifthAddr  = "10.0.0.5:81"
)

// newClusterWithLearner returns a cluster of three voters and a learner that has a configuration.
func newClusterWithLearner(t *testing.T) *testCluster {
	c := newCluster(t, 3)
	c.start(fourthAddr, vfs.NewCrashableMem(), false)
	advance(3 * time.Second)
	c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
	advance(10 * time.Second)
	return c
}

// remove makes a node lose power, and removes it from the cluster. It returns the node's disk.
func (c *testCluster) remove(addr string) *vfs.MemFS {
	disk := c.crash(addr)
	c.mu.Lock()
	delete(c.nodes, addr)
	c.mu.Unlock()
	return disk
}

// shutDown shuts a node down as SIGTERM does, and removes it from the cluster. It returns the node's disk.
func (c *testCluster) shutDown(addr string) *vfs.MemFS {
	c.mu.Lock()
	m := c.nodes[addr]
	c.mu.Unlock()
	m.stop()
	c.NoErr(<-m.ended)
	c.mu.Lock()
	delete(c.nodes, addr)
	c.mu.Unlock()
	return m.fs
}

// voters returns the sorted addresses of the electorate, and checks that all nodes agree on it.
func (c *testCluster) voters() []string {
	c.Helper()
	var all []consensus.Electorate
	for _, a := range slices.Sorted(maps.Keys(c.nodes)) {
		base, _ := c.nodes[a].replica.Base()
		all = append(all, base.Electorate)
		c.True(base.Electorate.Equal(all[0]))
	}
	return slices.Sorted(slices.Values(all[0].Addresses()))
}

// awaitVoters waits until the electorate consists of the wanted nodes, and those that run vote.
func (c *testCluster) awaitVoters(limit time.Duration, want ...string) {
	c.Helper()
	slices.Sort(want)
	for until := time.Now().Add(limit); time.Now().Before(until); advance(100 * time.Millisecond) {
		ok := true
		for _, m := range c.nodes {
			base, _ := m.replica.Base()
			got := slices.Sorted(slices.Values(base.Electorate.Addresses()))
			ok = ok && slices.Equal(got, want)
			if _, listed := base.Electorate.VoterAt(m.addr); listed {
				_, votes := m.replica.Voters()
				ok = ok && votes
			}
		}
		if ok {
			return
		}
	}
	c.Equal(c.voters(), want)
	c.t.Fatal("the voters do not vote")
}

// A lost voter is replaced by the learner. Then a second voter is lost, and changes are still accepted.
func TestLostVoterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.Equal(c.voters(), []string{x, y, z})
		disk := c.remove(x)
		c.Equal(c.patch(y, patchBody([]string{serviceJSON("s", 2)}, nil)), 200)
		advance(3 * time.Second)
		c.Equal(c.voters(), []string{x, y, z}) // the absence is too short for a replacement
		c.awaitVoters(8*time.Second, y, z, fourthAddr)
		c.Equal(c.patch(z, patchBody([]string{serviceJSON("s", 3)}, nil)), 200)
		second := c.remove(y)
		c.Equal(c.patch(z, patchBody([]string{serviceJSON("s", 4)}, nil)), 200)
		c.Equal(c.patch(fourthAddr, patchBody([]string{serviceJSON("s", 5)}, nil)), 200)

		// The first lost node returns with its disk, and is a learner now. It replaces the second lost node.
		c.start(x, disk, false)
		advance(2 * time.Second)
		c.True(!c.nodes[x].replica.IsVoter())
		c.Equal(c.patch(x, patchBody([]string{serviceJSON("s", 6)}, nil)), 200)
		c.awaitVoters(20*time.Second, x, z, fourthAddr)
		c.True(strings.Contains(c.readAll(), "00000006"))

		// A new node starts with an empty disk, and the second lost node returns. Both are learners.
		c.start(fifthAddr, vfs.NewCrashableMem(), false)
		c.start(y, second, false)
		advance(4 * time.Second)
		c.Equal(c.patch(fifthAddr, patchBody([]string{serviceJSON("s", 7)}, nil)), 200)
		c.remove(z)
		advance(20 * time.Second)
		c.Equal(len(c.voters()), 3)
		c.True(!slices.Contains(c.voters(), z))
		c.Equal(c.patch(y, patchBody([]string{serviceJSON("s", 8)}, nil)), 200)
		c.True(strings.Contains(c.readAll(), "00000008"))
		c.stopAll()
	})
}

// A voter is not replaced after a short absence, nor after repeated short absences.
func TestShortAbsenceReplacesNoVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		for round := range 4 {
			a := c.seeds[round%3]
			disk := c.remove(a)
			advance(3 * time.Second)
			c.start(a, disk, false)
			advance(2 * time.Second)
			c.partition(a, true)
			advance(3 * time.Second)
			c.partition(a, false)
			advance(2 * time.Second)
			c.Equal(c.voters(), c.seeds)
			c.Equal(c.patch(a, patchBody([]string{serviceJSON("s", 10+round)}, nil)), 200)
		}
		c.stopAll()
	})
}

// A voter that shuts down is replaced by a learner if there is one, so that another voter may be lost right afterwards.
func TestVoterHandsOverAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.Equal(c.patch(x, patchBody([]string{serviceJSON("s", 2)}, nil)), 200)
		began := time.Now()
		disk := c.shutDown(x)
		c.True(time.Since(began) < 2*time.Second)
		c.awaitVoters(time.Second, y, z, fourthAddr)
		lost := c.remove(y)
		c.Equal(c.patch(z, patchBody([]string{serviceJSON("s", 3)}, nil)), 200)
		c.start(x, disk, false)
		c.start(y, lost, false)
		advance(4 * time.Second)
		c.Equal(c.patch(x, patchBody([]string{serviceJSON("s", 4)}, nil)), 200)
		c.True(strings.Contains(c.readAll(), "00000004"))

		// All nodes shut down in turn. Then the learner is lost, and the next voter that shuts down is not replaced.
		for round := range 4 {
			a := slices.Sorted(maps.Keys(c.nodes))[round]
			disk := c.shutDown(a)
			c.Equal(c.patch(slices.Sorted(maps.Keys(c.nodes))[0],
				patchBody([]string{serviceJSON("s", 10+round)}, nil)), 200)
			advance(time.Second)
			c.True(!slices.Contains(c.voters(), a))
			c.start(a, disk, false)
			advance(3 * time.Second)
		}
		var learner string
		for a, m := range c.nodes {
			if !m.replica.IsVoter() {
				learner = a
			}
		}
		c.remove(learner)
		before := c.voters()
		disk = c.shutDown(before[0])
		advance(time.Second)
		c.Equal(c.voters(), before)
		c.start(before[0], disk, false)
		advance(4 * time.Second)
		c.True(strings.Contains(c.readAll(), "0000000d"))
		c.stopAll()
	})
}

// A second loss occurs at a random moment during a recovery or a replacement: one more node loses power, or all nodes
// do, and one more disk is lost if the tolerance allows it. Acknowledged changes survive, and further changes are
// accepted.
func TestSecondLossDuringReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(secondLossSeeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			c := newClusterWithLearner(t)
			x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
			version := 1
			change := func(at string) {
				if version++; c.patch(at, patchBody([]string{serviceJSON("s", version)}, nil)) != 200 {
					version--
				}
			}
			disks := map[string]*vfs.MemFS{}
			wiped := false
			switch seed % 4 {
			case 0: // a node is lost with its disk
				c.remove(x)
				wiped = true
			case 1: // a node loses its disk and restarts at once
				c.remove(x)
				c.start(x, vfs.NewCrashableMem(), false)
				wiped = true
			case 2: // a node shuts down
				disks[x] = c.shutDown(x)
			case 3: // an operator replaces a node
				base, _ := c.nodes[y].replica.Base()
				go c.nodes[y].electorate.Replace(context.Background(), base, x, fourthAddr)
			}
			change(y)
			time.Sleep(time.Duration(random.IntN([]int{5, 50, 500, 12000}[random.IntN(4)])) * time.Millisecond)
			change(z)
			acknowledged := version
			switch random.IntN(3) {
			case 0: // one more node loses power
				disks[y] = c.remove(y)
				change(z)
				time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
				change(fourthAddr)
			case 1: // all nodes lose power
				for a := range maps.Clone(c.nodes) {
					disks[a] = c.remove(a)
				}
			case 2: // all nodes lose power, and one disk is lost if none was before
				for a := range maps.Clone(c.nodes) {
					disks[a] = c.remove(a)
				}
				if !wiped {
					disks[[]string{x, y, z, fourthAddr}[random.IntN(4)]] = vfs.NewCrashableMem()
				}
			}
			for a, disk := range disks {
				if c.nodes[a] == nil {
					c.start(a, disk, false)
				}
			}
			advance(25 * time.Second)
			version = max(version, acknowledged)
			text := c.readAll()
			for v := version; ; v++ { // changes that were not acknowledged may be chosen too
				if strings.Contains(text, fmt.Sprintf("%08x", v)) {
					break
				}
				if v > version+3 {
					t.Fatalf("seed %d: %d was acknowledged: %s", seed, version, text)
				}
			}
			for a := range c.nodes {
				c.Equal(c.patch(a, patchBody([]string{serviceJSON("t", 100+version)}, nil)), 200)
				version++
			}
			c.Equal(len(c.voters()), 3)
			for _, a := range c.voters() {
				c.True(c.nodes[a] != nil)
				c.True(c.nodes[a].replica.IsVoter())
			}
			c.stopAll()
		})
	}
}

// An operator can read the members and replace a voter. A replacement that is not possible is rejected with the reason.
func TestMembersEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		members := func(at string) (m operatorapi.Members) {
			status, text := c.call(at, "GET", "/members", "")
			c.Equal(status, 200)
			c.NoErr(json.Unmarshal([]byte(text), &m))
			return m
		}
		for _, at := range []string{x, fourthAddr} {
			m := members(at)
			c.Equal(len(m.Voters), 3)
			c.Equal(len(m.Learners), 1)
			c.Equal(m.Learners[0].Addr, fourthAddr)
			c.Equal(m.Learners[0].Zone, "z10.0.0.4")
			c.True(m.Contact)
			c.Equal(m.Wanted, 3)
			c.True(m.Voters[1].Up)
		}
		replace := func(at, out, in string) (int, string) {
			return c.call(at, "POST", "/members/replace", fmt.Sprintf(`{"out":%q,"in":%q}`, out, in))
		}
		for _, test := range []struct{ out, in, reason string }{
			{out: fourthAddr, in: x, reason: "no voter"},
			{out: x, in: y, reason: "voter already"},
			{out: x, in: fifthAddr, reason: "does not answer"},
		} {
			status, text := replace(z, test.out, test.in)
			c.Equal(status, 409)
			c.True(strings.Contains(text, test.reason))
		}
		status, _ := replace(z, "", "")
		c.Equal(status, 400)
		status, text := replace(fourthAddr, x, fourthAddr) // any node accepts the call, a learner too
		c.Equal(text, "{}")
		c.Equal(status, 200)
		c.awaitVoters(2*time.Second, y, z, fourthAddr)
		c.Equal(members(x).Learners[0].Addr, x)
		c.True(members(x).SinceEpoch > 0)

		// Without a majority every replacement is rejected.
		c.remove(y)
		c.remove(z)
		advance(3 * time.Second)
		status, _ = replace(fourthAddr, y, x)
		c.Equal(status, 503)
		c.True(!members(fourthAddr).Contact)
		c.stopAll()
	})
}

// Measures the time and the bytes that it takes to replace a voter and to enroll an empty disk, over links of 2 Mbit/s
// with a configuration of about 1 MB.
func TestReplacementTimes(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"replace", "hand over", "silent", "new disk"} {
		var took []time.Duration
		var bytes []int
		for seed := range timingRuns {
			synctest.Test(t, func(t *testing.T) {
				c := newMeteredCluster(t, fourthAddr)
				random := rand.New(rand.NewPCG(uint64(seed), 5))
				h := &replicatest.History{Random: random, Names: 4000, BodySize: 350, MaxItems: 2000}
				h.Grow(4)
				h.MaxItems = 9
				h.Grow(596)
				for a := range c.nodes {
					h.Apply(c.nodes[a].replica, h.Newest())
				}
				advance(12 * time.Second)
				c.meter.slowDown()
				c.meter.reset()
				x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
				began := time.Now()
				switch kind {
				case "replace":
					status, _ := c.call(y, "POST", "/members/replace", fmt.Sprintf(`{"out":%q,"in":%q}`, x, fourthAddr))
					c.Equal(status, 200)
				case "hand over":
					c.shutDown(x)
				case "silent":
					c.remove(x)
					c.awaitVoters(20*time.Second, y, z, fourthAddr)
				case "new disk":
					c.remove(x)
					c.start(x, vfs.NewCrashableMem(), false)
					c.awaitVoters(20*time.Second, x, y, z)
				}
				took = append(took, time.Since(began))
				n, longest := c.meter.reset()
				bytes = append(bytes, n)
				c.True(longest <= maxTransferFrame)
				c.stopAll()
				advance(time.Second)
			})
		}
		slices.Sort(took)
		slices.Sort(bytes)
		t.Logf("%s: median %v, worst %v; bytes: median %d, worst %d; of %d",
			kind, took[timingRuns/2], took[timingRuns-1], bytes[timingRuns/2], bytes[timingRuns-1], timingRuns)
	}
}

// A node that shuts down while its change of the electorate waits for other nodes' disks leaves no goroutine of that
// change running.
func TestShutdownDuringElectorateChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterWithLearner(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.remove(z)
		advance(3 * time.Second)
		c.nodes[x].stallingDisk.setStalled(true)
		m := c.nodes[y]
		for until := time.Now().Add(10 * time.Second); !m.electorate.Changing(); advance(10 * time.Millisecond) {
			c.True(time.Now().Before(until))
		}
		c.shutDown(y)
		c.True(!m.electorate.Changing())
		c.stopAll()
	})
}

// If two losses are to be tolerated, an electorate of three voters is enlarged to five as soon as there are two
// learners. Then two voters may be lost at once.
func TestElectorateIsEnlarged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.start(fourthAddr, vfs.NewCrashableMem(), false)
		for _, m := range c.nodes {
			m.settings.Tolerance.Machines = 2
		}
		advance(3 * time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
		advance(20 * time.Second)
		c.Equal(c.voters(), c.seeds) // four voters tolerate no more losses than three
		c.start(fifthAddr, vfs.NewCrashableMem(), false).settings.Tolerance.Machines = 2
		c.awaitVoters(5*time.Second, append(slices.Clone(c.seeds), fourthAddr, fifthAddr)...)
		status, _ := c.call(c.seeds[0], "PUT", "/instances/i-1", heartbeatJSON("draining", 1))
		c.Equal(status, 200)
		c.remove(c.seeds[0])
		c.remove(c.seeds[1])
		c.Equal(c.patch(c.seeds[2], patchBody([]string{serviceJSON("s", 2)}, nil)), 200)
		c.True(strings.Contains(c.readAll(), "00000002"))
		for _, a := range []string{c.seeds[2], fourthAddr, fifthAddr} {
			_, ok := c.nodes[a].store.Instance("i-1")
			c.True(ok)
		}
		c.stopAll()
	})
}
