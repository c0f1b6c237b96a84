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
	"mulleinrouter/internal/control/httpapi"
	"mulleinrouter/internal/control/replica/replicatest"
)

const (
	fourth = "10.0.0.4:81"
	fifth  = "10.0.0.5:81"
)

// newCoreOf4 is three voters and a learner, with a configuration.
func newCoreOf4(t *testing.T) *core {
	c := newCore(t, 3)
	c.start(fourth, vfs.NewCrashableMem(), false)
	pass(3 * time.Second)
	c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
	pass(10 * time.Second) // an electorate stands for a while before it is changed
	return c
}

// lose has a machine go with its power, and not come back by itself. It returns its disk.
func (c *core) lose(addr string) *vfs.MemFS {
	disk := c.kill(addr)
	c.mu.Lock()
	delete(c.nodes, addr)
	c.mu.Unlock()
	return disk
}

// leave ends a process as SIGTERM does. It returns its disk.
func (c *core) leave(addr string) *vfs.MemFS {
	m := c.nodes[addr]
	m.stop()
	c.NoErr(<-m.ended)
	c.mu.Lock()
	delete(c.nodes, addr)
	c.mu.Unlock()
	return m.fs
}

// voters is the electorate as all nodes know it: they must agree.
func (c *core) voters() []string {
	c.Helper()
	var all []consensus.Electorate
	for _, a := range slices.Sorted(maps.Keys(c.nodes)) {
		base, _ := c.nodes[a].replica.Base()
		all = append(all, base.Electorate)
		c.True(base.Electorate.Equal(all[0]))
	}
	return slices.Sorted(slices.Values(all[0].Addresses()))
}

// settled waits until the electorate is what it should be.
func (c *core) settled(most time.Duration, want ...string) {
	c.Helper()
	slices.Sort(want)
	for until := time.Now().Add(most); time.Now().Before(until); pass(100 * time.Millisecond) {
		ok := true
		for _, m := range c.nodes {
			base, _ := m.replica.Base()
			got := slices.Sorted(slices.Values(base.Electorate.Addresses()))
			ok = ok && slices.Equal(got, want)
			if _, listed := base.Electorate.At(m.addr); listed {
				_, votes := m.replica.Voters()
				ok = ok && votes
			}
		}
		if ok {
			return
		}
	}
	c.Equal(c.voters(), want)
	c.t.Fatal("not taken in")
}

// A voter goes for good and the learner takes its place; then the next goes, and orders go on.
func TestVoterGoesForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoreOf4(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.Equal(c.voters(), []string{x, y, z})
		disk := c.lose(x)
		c.Equal(c.patch(y, upsert([]string{service("s", 2)}, nil)), 200)
		pass(3 * time.Second)
		c.Equal(c.voters(), []string{x, y, z}) // a blip is none
		c.settled(8*time.Second, y, z, fourth)
		c.Equal(c.patch(z, upsert([]string{service("s", 3)}, nil)), 200)
		second := c.lose(y)
		c.Equal(c.patch(z, upsert([]string{service("s", 4)}, nil)), 200)
		c.Equal(c.patch(fourth, upsert([]string{service("s", 5)}, nil)), 200)

		// The first comes back with its disk: it finds itself out, and relays. It steps in for the second, which does not come back.
		c.start(x, disk, false)
		pass(2 * time.Second)
		c.True(!c.nodes[x].replica.IsVoter())
		c.Equal(c.patch(x, upsert([]string{service("s", 6)}, nil)), 200)
		c.settled(20*time.Second, x, z, fourth)
		c.True(strings.Contains(c.all(), "00000006"))

		// The successor of the second comes at another address with an empty disk, and then at its own: each is a learner.
		c.start(fifth, vfs.NewCrashableMem(), false)
		c.start(y, second, false)
		pass(4 * time.Second)
		c.Equal(c.patch(fifth, upsert([]string{service("s", 7)}, nil)), 200)
		c.lose(z)
		pass(20 * time.Second)
		c.Equal(len(c.voters()), 3)
		c.True(!slices.Contains(c.voters(), z))
		c.Equal(c.patch(y, upsert([]string{service("s", 8)}, nil)), 200)
		c.True(strings.Contains(c.all(), "00000008"))
		c.end()
	})
}

// A short absence replaces nobody, and one that flaps is not replaced at each.
func TestBlipReplacesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoreOf4(t)
		for round := range 4 {
			a := c.seeds[round%3]
			disk := c.lose(a)
			pass(3 * time.Second)
			c.start(a, disk, false)
			pass(2 * time.Second)
			c.cut(a, true)
			pass(3 * time.Second)
			c.cut(a, false)
			pass(2 * time.Second)
			c.Equal(c.voters(), c.seeds)
			c.Equal(c.patch(a, upsert([]string{service("s", 10+round)}, nil)), 200)
		}
		c.end()
	})
}

// A voter that is told to end hands its vote over where somebody stands ready; the next may then fall at once.
func TestLeavingVoterHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoreOf4(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.Equal(c.patch(x, upsert([]string{service("s", 2)}, nil)), 200)
		began := time.Now()
		disk := c.leave(x)
		c.True(time.Since(began) < 2*time.Second)
		c.settled(time.Second, y, z, fourth)
		lost := c.lose(y)
		c.Equal(c.patch(z, upsert([]string{service("s", 3)}, nil)), 200)
		c.start(x, disk, false)
		c.start(y, lost, false)
		pass(4 * time.Second)
		c.Equal(c.patch(x, upsert([]string{service("s", 4)}, nil)), 200)
		c.True(strings.Contains(c.all(), "00000004"))

		// All in turn; and nobody is left to take it in the end.
		for round := range 4 {
			a := slices.Sorted(maps.Keys(c.nodes))[round]
			disk := c.leave(a)
			c.Equal(c.patch(slices.Sorted(maps.Keys(c.nodes))[0], upsert([]string{service("s", 10+round)}, nil)), 200)
			pass(time.Second)
			c.True(!slices.Contains(c.voters(), a))
			c.start(a, disk, false)
			pass(3 * time.Second)
		}
		var learner string
		for a, m := range c.nodes {
			if !m.replica.IsVoter() {
				learner = a
			}
		}
		c.lose(learner)
		before := c.voters()
		disk = c.leave(before[0])
		pass(time.Second)
		c.Equal(c.voters(), before)
		c.start(before[0], disk, false)
		pass(4 * time.Second)
		c.True(strings.Contains(c.all(), "0000000d"))
		c.end()
	})
}

// A second loss at any moment round a repair or a replacement, of power or of one more disk within the tolerance, and all of them at once: what was
// acknowledged is there, and orders go on.
func TestSecondLoss(t *testing.T) {
	for seed := range uint64(secondLosses) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			c := newCoreOf4(t)
			x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
			version := 1
			order := func(at string) {
				if version++; c.patch(at, upsert([]string{service("s", version)}, nil)) != 200 {
					version--
				}
			}
			disks := map[string]*vfs.MemFS{}
			wiped := false
			switch seed % 4 {
			case 0: // goes for good, with its disk
				c.lose(x)
				wiped = true
			case 1: // its disk is lost; it comes back at once
				c.lose(x)
				c.start(x, vfs.NewCrashableMem(), false)
				wiped = true
			case 2: // it leaves
				disks[x] = c.leave(x)
			case 3: // an operator replaces it
				base, _ := c.nodes[y].replica.Base()
				go c.nodes[y].electorate.Replace(context.Background(), base, x, fourth)
			}
			order(y)
			time.Sleep(time.Duration(rnd.IntN([]int{5, 50, 500, 12000}[rnd.IntN(4)])) * time.Millisecond)
			order(z)
			acked := version
			switch rnd.IntN(3) {
			case 0: // one more loses power
				disks[y] = c.lose(y)
				order(z)
				time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				order(fourth)
			case 1: // all do
				for a := range maps.Clone(c.nodes) {
					disks[a] = c.lose(a)
				}
			case 2: // all do, and one disk more is lost where none is missing
				for a := range maps.Clone(c.nodes) {
					disks[a] = c.lose(a)
				}
				if !wiped {
					disks[[]string{x, y, z, fourth}[rnd.IntN(4)]] = vfs.NewCrashableMem()
				}
			}
			for a, disk := range disks {
				if c.nodes[a] == nil {
					c.start(a, disk, false)
				}
			}
			pass(25 * time.Second)
			version = max(version, acked)
			text := c.all()
			for v := version; ; v++ { // one that was not acknowledged may stand too
				if strings.Contains(text, fmt.Sprintf("%08x", v)) {
					break
				}
				if v > version+3 {
					t.Fatalf("seed %d: %d was acknowledged: %s", seed, version, text)
				}
			}
			for a := range c.nodes {
				c.Equal(c.patch(a, upsert([]string{service("t", 100+version)}, nil)), 200)
				version++
			}
			c.Equal(len(c.voters()), 3)
			for _, a := range c.voters() {
				c.True(c.nodes[a] != nil)
				c.True(c.nodes[a].replica.IsVoter())
			}
			c.end()
		})
	}
}

// An operator sees the members and replaces one; what would not do is refused with the reason.
func TestMembersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoreOf4(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		look := func(at string) (m httpapi.Members) {
			status, text := c.ask(at, "GET", "/members", "")
			c.Equal(status, 200)
			c.NoErr(json.Unmarshal([]byte(text), &m))
			return m
		}
		for _, at := range []string{x, fourth} {
			m := look(at)
			c.Equal(len(m.Voters), 3)
			c.Equal(len(m.Learners), 1)
			c.Equal(m.Learners[0].Addr, fourth)
			c.Equal(m.Learners[0].Zone, "z10.0.0.4")
			c.True(m.Contact)
			c.Equal(m.Wanted, 3)
			c.True(m.Voters[1].Up)
		}
		replace := func(at, out, in string) (int, string) {
			return c.ask(at, "POST", "/members/replace", fmt.Sprintf(`{"out":%q,"in":%q}`, out, in))
		}
		for _, r := range [][3]string{{fourth, x, "no voter"}, {x, y, "voter already"}, {x, fifth, "does not answer"}} {
			status, text := replace(z, r[0], r[1])
			c.Equal(status, 409)
			c.True(strings.Contains(text, r[2]))
		}
		status, _ := replace(z, "", "")
		c.Equal(status, 400)
		status, text := replace(fourth, x, fourth) // at any node
		c.Equal(text, "{}")
		c.Equal(status, 200)
		c.settled(2*time.Second, y, z, fourth)
		c.Equal(look(x).Learners[0].Addr, x)
		c.True(look(x).SinceEpoch > 0)

		// One that lags is refused, and so is all without a majority.
		c.lose(y)
		c.lose(z)
		pass(3 * time.Second)
		status, _ = replace(fourth, y, x)
		c.Equal(status, 503)
		c.True(!look(fourth).Contact)
		c.end()
	})
}

// Replacing a voter, and taking in an empty disk, at 2 Mbit/s with a configuration of some 1 MB: time and bytes.
func TestReplaceFigures(t *testing.T) {
	for _, kind := range []string{"replace", "hand over", "silent", "new disk"} {
		var took []time.Duration
		var bytes []int
		for seed := range figureRuns {
			synctest.Test(t, func(t *testing.T) {
				c := slowable(t, fourth)
				h := &replicatest.History{Random: rand.New(rand.NewPCG(uint64(seed), 5)), Names: 4000, BodySize: 350, MaxItems: 2000}
				h.Grow(4)
				h.MaxItems = 9
				h.Grow(596)
				for a := range c.nodes {
					h.Apply(c.nodes[a].replica, h.Newest())
				}
				pass(12 * time.Second)
				c.links.set(2e6 / 8)
				c.links.reset()
				x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
				began := time.Now()
				switch kind {
				case "replace":
					status, _ := c.ask(y, "POST", "/members/replace", fmt.Sprintf(`{"out":%q,"in":%q}`, x, fourth))
					c.Equal(status, 200)
				case "hand over":
					c.leave(x)
				case "silent":
					c.lose(x)
					c.settled(20*time.Second, y, z, fourth)
				case "new disk":
					c.lose(x)
					c.start(x, vfs.NewCrashableMem(), false)
					c.settled(20*time.Second, x, y, z)
				}
				took = append(took, time.Since(began))
				n, longest := c.links.reset()
				bytes = append(bytes, n)
				c.True(longest <= frameBound)
				c.end()
				pass(time.Second)
			})
		}
		slices.Sort(took)
		slices.Sort(bytes)
		t.Logf("%s: median %v, worst %v; bytes: median %d, worst %d; of %d", kind, took[figureRuns/2], took[figureRuns-1], bytes[figureRuns/2], bytes[figureRuns-1], figureRuns)
	}
}

// A node that ends while it has the electorate changed, which the others' disks hold up, leaves nothing of it running.
func TestEndsAmidChangeOfMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoreOf4(t)
		x, y, z := c.seeds[0], c.seeds[1], c.seeds[2]
		c.lose(z)
		pass(3 * time.Second)
		c.nodes[x].hang.set(true)
		m := c.nodes[y]
		for until := time.Now().Add(10 * time.Second); !m.electorate.Changing(); pass(10 * time.Millisecond) {
			c.True(time.Now().Before(until))
		}
		c.leave(y)
		c.True(!m.electorate.Changing())
		c.end()
	})
}

// Where two losses are to be borne, three voters become five as soon as two learners are ready, and two may fall at once.
func TestMoreVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t, 3)
		c.start(fourth, vfs.NewCrashableMem(), false)
		for _, m := range c.nodes {
			m.settings.Tolerance.Machines = 2
		}
		pass(3 * time.Second)
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
		pass(20 * time.Second)
		c.Equal(c.voters(), c.seeds) // four would bear no more than three
		c.start(fifth, vfs.NewCrashableMem(), false).settings.Tolerance.Machines = 2
		c.settled(5*time.Second, append(slices.Clone(c.seeds), fourth, fifth)...)
		status, _ := c.ask(c.seeds[0], "PUT", "/instances/i-1", call1("draining", 1))
		c.Equal(status, 200)
		c.lose(c.seeds[0])
		c.lose(c.seeds[1])
		c.Equal(c.patch(c.seeds[2], upsert([]string{service("s", 2)}, nil)), 200)
		c.True(strings.Contains(c.all(), "00000002"))
		for _, a := range []string{c.seeds[2], fourth, fifth} {
			_, ok := c.nodes[a].store.Instance("i-1")
			c.True(ok)
		}
		c.end()
	})
}
