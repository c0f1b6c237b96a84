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

const frameBound = replica.MaxChunkBytes + 8<<10 // bytes: what a frame of a transfer holds at most, where no item is longer by itself

// meter is what went over the links, and how fast they are.
type meter struct {
	mu      sync.Mutex
	rate    float64 // bytes a second each way, of the bubble's time; 0: no bound
	bytes   int
	longest int // frame
}

// metered is a connection whose bytes are counted, and pass no faster than the link.
type metered struct {
	net.Conn
	m    *meter
	head []byte // of a frame's length
	left int    // of the frame
}

func (m *meter) wrap(nc net.Conn) net.Conn { return &metered{Conn: nc, m: m} }

func (c *metered) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		step := min(len(b)-done, 16<<10)
		time.Sleep(c.m.span(step))
		n, err := c.Conn.Write(b[done : done+step])
		c.count(b[done : done+n])
		if done += n; err != nil {
			return done, err
		}
	}
	return done, nil
}

// span is how long so many bytes take.
func (m *meter) span(bytes int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / m.rate * float64(time.Second))
}

func (m *meter) set(rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate = rate
}

func (c *metered) count(b []byte) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.bytes += len(b)
	for len(b) > 0 {
		if c.left == 0 {
			c.head = append(c.head, b[0])
			if b = b[1:]; len(c.head) == 4 {
				c.left = int(binary.BigEndian.Uint32(c.head))
				c.m.longest = max(c.m.longest, c.left)
				c.head = c.head[:0]
			}
			continue
		}
		n := min(c.left, len(b))
		c.left -= n
		b = b[n:]
	}
}

func (m *meter) reset() (bytes, longest int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes, longest = m.bytes, m.longest
	m.bytes, m.longest = 0, 0
	return bytes, longest
}

// far cuts the third of three nodes off, and has so many changes chosen by the others meanwhile.
func (c *core) far(h *replicatest.History, n int) (behind *machine) {
	c.Helper()
	behind = c.nodes[c.seeds[2]]
	c.cut(behind.addr, true)
	h.Grow(n)
	for _, a := range c.seeds[:2] {
		h.Apply(c.nodes[a].replica, h.Newest())
	}
	return behind
}

// arrives waits until a node has the newest snapshot, and returns how long it took. All the while it has nothing in between, promises and accepts
// nothing upon what it lacks, tells nobody that it is ready and answers no reading with what it has.
func (c *core) arrives(h *replicatest.History, addr string, most time.Duration) time.Duration {
	c.Helper()
	m, began := c.nodes[addr], time.Now()
	old, book := m.replica.Snapshot()
	for {
		epoch, now := m.replica.Snapshot()
		if epoch == h.Newest() {
			c.Equal(h.Check(m.replica), "")
			return time.Since(began)
		}
		if time.Since(began) > most {
			c.t.Fatalf("epoch %d of %d after %v", epoch, len(h.Changes), time.Since(began))
		}
		if epoch == old {
			c.True(now == book) // nothing of what has come is seen
		} else {
			old, book = epoch, now
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
		pass(20 * time.Millisecond)
	}
}

// Behind by a change, by as many as are kept by name and one more or less, and by thousands; over links that are fast and in pieces.
func TestBehindBy(t *testing.T) {
	for _, n := range []int{1, 2, replica.MaxRecentChanges / 2, replica.MaxRecentChanges - 1, replica.MaxRecentChanges, replica.MaxRecentChanges + 1, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCore(t, 3)
				pass(2 * time.Second)
				h := &replicatest.History{Random: rand.New(rand.NewPCG(uint64(n), 1)), Names: 300, BodySize: 300, MaxItems: 4}
				c.far(h, 20)
				c.cut(c.seeds[2], false)
				c.arrives(h, c.seeds[2], 5*time.Second)
				for round := range 2 {
					c.far(h, n)
					c.cut(c.seeds[2], false)
					c.arrives(h, c.seeds[2], 5*time.Second)
					if round == 0 { // and by as many with a restart before
						disk := c.kill(c.seeds[2])
						c.start(c.seeds[2], disk, false)
						pass(2 * time.Second)
					}
				}
				c.Equal(c.patch(c.seeds[2], upsert([]string{service("s", 1)}, nil)), 200)
				pass(time.Second)
				c.Equal(c.nodes[c.seeds[0]].store.Epoch(), h.Newest()+1)
				c.end()
			})
		})
	}
}

// Twenty megabytes over a link of 2 Mbit/s, while changes go on: in bounded pieces, gone on with after cuts, from another source, and
// after a loss of power; each byte comes about once.
func TestSlowLink(t *testing.T) {
	if total, bytes := slowLink(t); bytes >= total*5/4 {
		t.Error("pieces came again")
	}
}

// slowLink returns the bytes of the bodies that were lacking, and those that went over the links.
func slowLink(t *testing.T) (total, bytes int) {
	const size = 20 << 20
	synctest.Test(t, func(t *testing.T) {
		c := slowable(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(9, 1)), Names: size / 4096, BodySize: 4096, MaxItems: 40}
		c.far(h, 500)
		for _, i := range h.ItemsAt(h.Newest()) {
			total += len(i.Body)
		}
		c.links.reset()
		c.links.set(2e6 / 8)
		c.cut(c.seeds[2], false)
		began, cuts := time.Now(), 0
		for m := c.nodes[c.seeds[2]]; ; {
			from, _ := m.replica.Snapshot()
			pass(7 * time.Second)
			if m.store.Epoch() > from {
				break
			}
			h.Grow(1) // meanwhile
			for _, a := range c.seeds[:2] {
				h.Apply(c.nodes[a].replica, h.Newest())
			}
			switch cuts++; cuts {
			case 2: // the instance is lost
				c.cut(c.seeds[2], true)
				pass(3 * time.Second)
				c.cut(c.seeds[2], false)
			case 4: // so is a source
				c.cut(c.seeds[0], true)
			case 6:
				c.cut(c.seeds[0], false)
				c.cut(c.seeds[1], true)
			case 7:
				c.cut(c.seeds[1], false)
			case 8:
				disk := c.kill(c.seeds[2])
				m = c.start(c.seeds[2], disk, false)
			}
			if time.Since(began) > 5*time.Minute {
				t.Fatalf("not there after %v: %+v", time.Since(began), m.replica.NextCatchUpRequest())
			}
		}
		took := time.Since(began)
		c.arrives(h, c.seeds[2], 30*time.Second)
		var longest int
		bytes, longest = c.links.reset()
		t.Logf("%d bytes of bodies, %d over the links, longest frame %d, %v, %d cuts", total, bytes, longest, took, cuts)
		c.True(longest <= frameBound)
		c.end()
		pass(time.Second) // what was on its way
	})
	return total, bytes
}

// slowable is three nodes, and others that are no seeds, whose links are all metered.
func slowable(t *testing.T, others ...string) *core {
	c := newCore(t, 3)
	c.mu.Lock() // the nodes have begun to dial one another
	c.links = &meter{}
	c.mu.Unlock()
	for _, a := range others {
		c.start(a, vfs.NewCrashableMem(), false)
	}
	for _, off := range []bool{true, false} { // what was connected before is not
		for a := range c.nodes {
			c.cut(a, off)
		}
	}
	pass(3 * time.Second)
	return c
}

// readyBehind has a node that is in contact and was ready miss a large change over a slow link. It tells for how long the node told others
// that it was ready with its old whole, and for how long it was without the new one.
func readyBehind(t *testing.T) (ready, behind time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := slowable(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(4, 1)), Names: 2000, BodySize: 1024, MaxItems: 2000}
		h.Grow(1)
		for _, a := range c.seeds {
			h.Apply(c.nodes[a].replica, 1)
		}
		pass(5 * time.Second)
		m := c.nodes[c.seeds[2]]
		c.True(m.ready())
		c.links.set(2e6 / 8)
		h.Grow(8)
		for _, a := range c.seeds[:2] {
			h.Apply(c.nodes[a].replica, h.Newest())
		}
		for began := time.Now(); m.store.Epoch() < h.Newest(); pass(10 * time.Millisecond) {
			if behind = time.Since(began); m.ready() {
				ready = behind
			}
			c.True(behind < time.Minute)
		}
		pass(time.Second)
		c.True(m.ready())
		c.end()
		pass(time.Second)
	})
	return ready, behind
}

const readyBound = catchup.MaxLag + transport.HeartbeatInterval + 2*watchInterval

func TestReadyBehind(t *testing.T) {
	ready, behind := readyBehind(t)
	t.Logf("behind for %v, ready for %v of it", behind, ready)
	if ready > readyBound || behind < 2*readyBound {
		t.Error("ready for too long, or not behind for long enough to tell")
	}
}

// A node with an empty disk gets some megabytes over a slow link while changes go on at the others: none of these is refused or takes over a second,
// and its vote is back with the snapshot.
func TestRecoverSlowly(t *testing.T) {
	late, took := 0, time.Duration(0)
	synctest.Test(t, func(t *testing.T) {
		c := slowable(t)
		h := &replicatest.History{Random: rand.New(rand.NewPCG(6, 1)), Names: 6000, BodySize: 1024, MaxItems: 2000}
		h.Grow(8)
		for _, a := range c.seeds {
			h.Apply(c.nodes[a].replica, h.Newest())
		}
		c.kill(c.seeds[2])
		pass(2 * time.Second)
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
		c.links.set(2e6 / 8)
		began := time.Now()
		m := c.start(c.seeds[2], vfs.NewCrashableMem(), false)
		for n := 2; ; n++ {
			if _, votes := m.replica.Voters(); votes {
				took = time.Since(began)
				break
			}
			c.True(time.Since(began) < 2*time.Minute)
			asked := time.Now()
			if c.patch(c.seeds[n%2], upsert([]string{service("s", n)}, nil)) != 200 || time.Since(asked) > time.Second {
				late++
			}
			pass(300 * time.Millisecond)
		}
		pass(3 * time.Second)
		c.Equal(m.store.Epoch(), c.nodes[c.seeds[0]].store.Epoch())
		c.Equal(m.store.Snapshot().Len(), c.nodes[c.seeds[0]].store.Snapshot().Len())
		c.end()
		pass(time.Second)
	})
	t.Logf("vote after %v; %d changes late", took, late)
	if late > 0 {
		t.Error("a recovery gets into the way of changes")
	}
}

// The figures of worst-days.md: a node that missed 1,000 changes, and one whose disk is empty after a day of 600, over links of 2 Mbit/s each
// way. Times are the bubble's, bytes all that went over the links meanwhile, heartbeats with them.
func TestCatchUpFigures(t *testing.T) {
	for _, empty := range []bool{false, true} {
		var took []time.Duration
		var bytes []int
		for seed := range figureRuns {
			synctest.Test(t, func(t *testing.T) {
				c := slowable(t)
				h := &replicatest.History{Random: rand.New(rand.NewPCG(uint64(seed), 2)), Names: 4000, BodySize: 350, MaxItems: 9}
				h.MaxItems = 2000
				h.Grow(4) // the first configurations
				h.MaxItems = 9
				h.Grow(596)
				for _, a := range c.seeds {
					h.Apply(c.nodes[a].replica, h.Newest())
				}
				c.links.set(2e6 / 8)
				var began time.Time
				if empty {
					c.kill(c.seeds[2])
					pass(3 * time.Second)
					c.links.reset()
					began = time.Now()
					c.start(c.seeds[2], vfs.NewCrashableMem(), false)
				} else {
					c.far(h, 1000)
					pass(3 * time.Second)
					c.links.reset()
					began = time.Now()
					c.cut(c.seeds[2], false)
				}
				for m := c.nodes[c.seeds[2]]; ; pass(10 * time.Millisecond) {
					if _, votes := m.replica.Voters(); votes && m.store.Epoch() >= h.Newest() && // a new disk is taken in by a change and its seal
						m.ready() == c.nodes[c.seeds[0]].ready() {
						break
					}
					if time.Since(began) > time.Minute {
						t.Fatal("not there after a minute")
					}
				}
				took = append(took, time.Since(began))
				n, longest := c.links.reset()
				bytes = append(bytes, n)
				c.True(longest <= frameBound)
				c.Equal(h.Check(c.nodes[c.seeds[2]].replica), "")
				c.end()
				pass(time.Second)
			})
		}
		slices.Sort(took)
		slices.Sort(bytes)
		t.Logf("empty disk %v: median %v, worst %v; bytes: median %d, worst %d; of %d", empty, took[figureRuns/2], took[figureRuns-1], bytes[figureRuns/2], bytes[figureRuns-1], figureRuns)
	}
}
