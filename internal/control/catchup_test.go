package control

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/catchup"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/control/replica/replicatest"
)

// maxTransferFrame is the maximum size of a frame of a transfer, in bytes, if no single item is larger.
const maxTransferFrame = replica.MaxChunkBytes + 8<<10

// linkMeter measures the traffic of all links, and limits their rate.
type linkMeter struct {
	mu      sync.Mutex // guards the fields below
	rate    float64    // bytes per second of simulated time in each direction; unlimited if 0
	bytes   int
	longest int // size of the longest frame, in bytes
}

// meteredConn is a connection whose bytes are counted and are sent at the rate of the link.
type meteredConn struct {
	net.Conn
	meter     *linkMeter
	header    []byte // bytes received so far of the length field of a frame
	remaining int    // bytes of the current frame that are still to come
}

func (m *linkMeter) wrap(conn net.Conn) net.Conn { return &meteredConn{Conn: conn, meter: m} }

func (c *meteredConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		step := min(len(b)-done, 16<<10)
		time.Sleep(c.meter.transferTime(step))
		n, err := c.Conn.Write(b[done : done+step])
		c.count(b[done : done+n])
		if done += n; err != nil {
			return done, err
		}
	}
	return done, nil
}

// transferTime returns how long the transfer of a number of bytes takes at the rate of the link.
func (m *linkMeter) transferTime(bytes int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / m.rate * float64(time.Second))
}

// slowDown limits the rate to 2 Mbit/s from now on.
func (m *linkMeter) slowDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = 2e6 / 8
}

func (c *meteredConn) count(b []byte) {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	c.meter.bytes += len(b)
	for len(b) > 0 {
		if c.remaining == 0 {
			c.header = append(c.header, b[0])
			if b = b[1:]; len(c.header) == 4 {
				c.remaining = int(binary.BigEndian.Uint32(c.header))
				c.meter.longest = max(c.meter.longest, c.remaining)
				c.header = c.header[:0]
			}
			continue
		}
		n := min(c.remaining, len(b))
		c.remaining -= n
		b = b[n:]
	}
}

func (m *linkMeter) reset() (bytes, longest int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes, longest = m.bytes, m.longest
	m.bytes, m.longest = 0, 0
	return bytes, longest
}

// fallBehind partitions the third of three nodes, and applies n further changes at the other two.
func (c *testCluster) fallBehind(h *replicatest.History, n int) {
	c.Helper()
	behind := c.nodes[c.seeds[2]]
	c.partition(behind.addr, true)
	h.Grow(n)
	for _, a := range c.seeds[:2] {
		h.Apply(c.nodes[a].replica, h.Newest())
	}
}

// awaitNewest waits until a node has the newest snapshot. Until then, the node must show only complete snapshots,
// accept no proposal for which it does not have the earlier changes, and not be ready.
func (c *testCluster) awaitNewest(h *replicatest.History, addr string, limit time.Duration) {
	c.Helper()
	m, began := c.nodes[addr], time.Now()
	old, snapshot := m.replica.Snapshot()
	for {
		epoch, now := m.replica.Snapshot()
		if epoch == h.Newest() {
			c.Equal(h.Check(m.replica), "")
			return
		}
		if time.Since(began) > limit {
			c.t.Fatalf("epoch %d of %d after %v", epoch, len(h.Changes), time.Since(began))
		}
		if epoch == old {
			c.True(now == snapshot) // staged chunks are not visible to readers
		} else {
			old, snapshot = epoch, now
			c.Equal(h.Check(m.replica), "")
		}
		p := consensus.Proposal{Ballot: consensus.Ballot{Round: 1, Node: "test"}, Epoch: h.Newest() + 1}
		if promised, _ := m.replica.Pending(); promised.Round > 0 {
			p.Ballot = promised
		}
		if r := m.replica.Accept(p, nil); r != nil {
			c.True(!r.OK)
		}
		if time.Since(began) > 3*time.Second {
			c.True(!m.ready())
		}
		advance(20 * time.Millisecond)
	}
}

// A node that is behind catches up over fast links. The numbers of missing changes include one, thousands, and those
// around replica.MaxRecentChanges, up to which the replicas remember changes by key.
func TestCatchUpAfterChanges(t *testing.T) {
	t.Parallel()
	const recent = replica.MaxRecentChanges
	for _, n := range []int{1, 2, recent / 2, recent - 1, recent, recent + 1, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				advance(2 * time.Second)
				h := &replicatest.History{Random: rand.New(rand.NewPCG(uint64(n), 1)), Names: 300, BodySize: 300,
					MaxItems: 4}
				c.fallBehind(h, 20)
				c.partition(c.seeds[2], false)
				c.awaitNewest(h, c.seeds[2], 5*time.Second)
				for round := range 2 {
					c.fallBehind(h, n)
					c.partition(c.seeds[2], false)
					c.awaitNewest(h, c.seeds[2], 5*time.Second)
					if round == 0 { // the second round follows a restart
						disk := c.crash(c.seeds[2])
						c.start(c.seeds[2], disk, false)
						advance(2 * time.Second)
					}
				}
				c.Equal(c.patch(c.seeds[2], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
				advance(time.Second)
				c.Equal(c.nodes[c.seeds[0]].store.Epoch(), h.Newest()+1)
				c.stopAll()
			})
		})
	}
}

// A node fetches 20 MB over a link of 2 Mbit/s while further changes are chosen. The transfer uses chunks of bounded
// size and is continued after partitions, from another source, and after a loss of power, so that each byte is
// transferred about once.
func TestCatchUpOverSlowLink(t *testing.T) {
	t.Parallel()
	if total, bytes := catchUpOverSlowLink(t); bytes >= total*5/4 {
		t.Error("chunks were transferred again")
	}
}

// catchUpOverSlowLink returns the total size of the missing items' bodies, and the bytes sent over the links.
func catchUpOverSlowLink(t *testing.T) (total, bytes int) {
	const size = 20 << 20
	synctest.Test(t, func(t *testing.T) {
		c := newMeteredCluster(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(9, 1)), Names: size / 4096, BodySize: 4096, MaxItems: 40}
		c.fallBehind(h, 500)
		for _, i := range h.ItemsAt(h.Newest()) {
			total += len(i.Body)
		}
		c.meter.reset()
		c.meter.slowDown()
		c.partition(c.seeds[2], false)
		began, cuts := time.Now(), 0
		for m := c.nodes[c.seeds[2]]; ; {
			from, _ := m.replica.Snapshot()
			advance(7 * time.Second)
			if m.store.Epoch() > from {
				break
			}
			h.Grow(1) // changes go on during the transfer
			for _, a := range c.seeds[:2] {
				h.Apply(c.nodes[a].replica, h.Newest())
			}
			switch cuts++; cuts {
			case 2: // the node is partitioned
				c.partition(c.seeds[2], true)
				advance(3 * time.Second)
				c.partition(c.seeds[2], false)
			case 4: // one of its sources is partitioned
				c.partition(c.seeds[0], true)
			case 6:
				c.partition(c.seeds[0], false)
				c.partition(c.seeds[1], true)
			case 7:
				c.partition(c.seeds[1], false)
			case 8:
				disk := c.crash(c.seeds[2])
				m = c.start(c.seeds[2], disk, false)
			}
			if time.Since(began) > 5*time.Minute {
				t.Fatalf("not caught up after %v: %+v", time.Since(began), m.replica.NextCatchUpRequest())
			}
		}
		took := time.Since(began)
		c.awaitNewest(h, c.seeds[2], 30*time.Second)
		var longest int
		bytes, longest = c.meter.reset()
		t.Logf("%d bytes of bodies, %d over the links, longest frame %d, %v, %d cuts", total, bytes, longest, took,
			cuts)
		c.True(longest <= maxTransferFrame)
		c.stopAll()
		advance(time.Second) // until transfers in flight have ended
	})
	return total, bytes
}

// newMeteredCluster returns a cluster of three seeds and the other given nodes, in which all links are metered.
func newMeteredCluster(t *testing.T, others ...string) *testCluster {
	c := newCluster(t, 3)
	c.mu.Lock() // the nodes are dialing one another already
	c.meter = &linkMeter{}
	c.mu.Unlock()
	for _, a := range others {
		c.start(a, vfs.NewCrashableMem(), false)
	}
	for _, off := range []bool{true, false} { // replace the connections that were opened before the meter was set
		for a := range c.nodes {
			c.partition(a, off)
		}
	}
	advance(3 * time.Second)
	return c
}

// measureLagging applies large changes to the other nodes, so that a node that is ready and in contact must fetch them
// over a slow link. It returns how long the node still announced that it was ready, and how long it was behind.
func measureLagging(t *testing.T) (ready, behind time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := newMeteredCluster(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(4, 1)), Names: 2000, BodySize: 1024, MaxItems: 2000}
		h.Grow(1)
		for _, a := range c.seeds {
			h.Apply(c.nodes[a].replica, 1)
		}
		advance(5 * time.Second)
		m := c.nodes[c.seeds[2]]
		c.True(m.ready())
		c.meter.slowDown()
		h.Grow(8)
		for _, a := range c.seeds[:2] {
			h.Apply(c.nodes[a].replica, h.Newest())
		}
		for began := time.Now(); m.store.Epoch() < h.Newest(); advance(10 * time.Millisecond) {
			if behind = time.Since(began); m.ready() {
				ready = behind
			}
			c.True(behind < time.Minute)
		}
		advance(time.Second)
		c.True(m.ready())
		c.stopAll()
		advance(time.Second)
	})
	return ready, behind
}

// maxReadyWhileLagging is how long a lagging node may still announce that it is ready: it learns of the newer snapshot
// with a keepalive, allows for catchup.MaxLag, and evaluates the lag in rounds of watch.
const maxReadyWhileLagging = catchup.MaxLag + transport.KeepaliveInterval + 2*watchInterval

// Guards against agents that serve with an outdated configuration, because a node that is in contact with a majority
// but catches up slowly goes on announcing that it is ready.
func TestNotReadyWhileLagging(t *testing.T) {
	t.Parallel()
	ready, behind := measureLagging(t)
	t.Logf("lagging for %v, and announced as ready for %v of that time", behind, ready)
	if ready > maxReadyWhileLagging || behind < 2*maxReadyWhileLagging {
		t.Error("ready for too long while lagging, or the lag was too short for the test to show anything")
	}
}

// A node with an empty disk fetches some megabytes over a slow link while the other nodes accept changes. None of the
// changes is rejected or takes more than a second, and the node votes again once it has the snapshot.
func TestRecoveryOverSlowLink(t *testing.T) {
	t.Parallel()
	late, took := 0, time.Duration(0)
	synctest.Test(t, func(t *testing.T) {
		c := newMeteredCluster(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(6, 1)), Names: 6000, BodySize: 1024, MaxItems: 2000}
		h.Grow(8)
		for _, a := range c.seeds {
			h.Apply(c.nodes[a].replica, h.Newest())
		}
		c.crash(c.seeds[2])
		advance(2 * time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
		c.meter.slowDown()
		began := time.Now()
		m := c.start(c.seeds[2], vfs.NewCrashableMem(), false)
		for n := 2; ; n++ {
			if _, votes := m.replica.Voters(); votes {
				took = time.Since(began)
				break
			}
			c.True(time.Since(began) < 2*time.Minute)
			asked := time.Now()
			if c.patch(c.seeds[n%2], patchBody([]string{serviceJSON("s", n)}, nil)) != 200 ||
				time.Since(asked) > time.Second {
				late++
			}
			advance(300 * time.Millisecond)
		}
		advance(3 * time.Second)
		c.Equal(m.store.Epoch(), c.nodes[c.seeds[0]].store.Epoch())
		c.Equal(m.store.Snapshot().Len(), c.nodes[c.seeds[0]].store.Snapshot().Len())
		c.stopAll()
		advance(time.Second)
	})
	t.Logf("vote after %v; %d changes late", took, late)
	if late > 0 {
		t.Error("a recovery delays changes")
	}
}

// Measures the times in docs/design/control-plane-faults.md: how long a node that is 1,000 changes behind, and one
// whose disk is empty after a day with 600 changes, take to catch up over links of 2 Mbit/s in each direction. Times
// are simulated. The byte counts include everything sent over the links in that time, such as heartbeats.
func TestCatchUpTimes(t *testing.T) {
	t.Parallel()
	for _, empty := range []bool{false, true} {
		var took []time.Duration
		var bytes []int
		for seed := range timingRuns {
			synctest.Test(t, func(t *testing.T) {
				c := newMeteredCluster(t)
				h := &replicatest.History{Random: rand.New(rand.NewPCG(uint64(seed), 2)), Names: 4000, BodySize: 350,
					MaxItems: 9}
				h.MaxItems = 2000
				h.Grow(4) // the initial configuration
				h.MaxItems = 9
				h.Grow(596)
				for _, a := range c.seeds {
					h.Apply(c.nodes[a].replica, h.Newest())
				}
				c.meter.slowDown()
				var began time.Time
				if empty {
					c.crash(c.seeds[2])
					advance(3 * time.Second)
					c.meter.reset()
					began = time.Now()
					c.start(c.seeds[2], vfs.NewCrashableMem(), false)
				} else {
					c.fallBehind(h, 1000)
					advance(3 * time.Second)
					c.meter.reset()
					began = time.Now()
					c.partition(c.seeds[2], false)
				}
				for m := c.nodes[c.seeds[2]]; ; advance(10 * time.Millisecond) {
					// A new disk is enrolled by a change of the electorate, which makes a further epoch.
					caughtUp := m.replica.IsVoter() && m.store.Epoch() >= h.Newest()
					if caughtUp && m.ready() == c.nodes[c.seeds[0]].ready() {
						break
					}
					if time.Since(began) > time.Minute {
						t.Fatal("not caught up after a minute")
					}
				}
				took = append(took, time.Since(began))
				n, longest := c.meter.reset()
				bytes = append(bytes, n)
				c.True(longest <= maxTransferFrame)
				c.Equal(h.Check(c.nodes[c.seeds[2]].replica), "")
				c.stopAll()
				advance(time.Second)
			})
		}
		slices.Sort(took)
		slices.Sort(bytes)
		t.Logf("empty disk %v: median %v, worst %v; bytes: median %d, worst %d; of %d",
			empty, took[timingRuns/2], took[timingRuns-1], bytes[timingRuns/2], bytes[timingRuns-1], timingRuns)
	}
}
