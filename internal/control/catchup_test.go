package control

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
)

const frameBound = maxChunkBytes + 8<<10 // bytes: what a frame of a transfer holds at most, where no item is longer by itself

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

// history makes changes, one epoch after the other, and knows each whole that they made: the plain model.
type history struct {
	rnd     *rand.Rand
	names   int // of items
	size    int // bytes of a body
	each    int // items in a change, at most
	changes []consensus.Proposal
}

func (h *history) grow(n int) {
	for range n {
		e := uint64(len(h.changes) + 1)
		p := consensus.Proposal{Epoch: e}
		for k := range h.rnd.IntN(h.each + 1) { // none, now and then
			name := fmt.Sprint("t", h.rnd.IntN(h.names))
			if slices.ContainsFunc(p.Items, func(i configuration.Item) bool { return i.Key.Name == name }) {
				continue
			}
			i := configuration.Item{Key: configuration.Key{Kind: configuration.Tenants, Name: name}, Version: e, Epoch: e}
			if i.Deleted = (int(e)+k)%7 == 0; !i.Deleted {
				i.Body = fmt.Appendf(nil, `{"generation":"%08x","x":"%0*d"}`, e, h.size, e)
			}
			p.Items = append(p.Items, i)
		}
		h.changes = append(h.changes, p)
	}
}

// whole is the items after an epoch.
func (h *history) whole(epoch uint64) map[configuration.Key]configuration.Item {
	all := map[configuration.Key]configuration.Item{}
	for _, p := range h.changes[:epoch] {
		for _, i := range p.Items {
			all[i.Key] = i
		}
	}
	return all
}

// wrong tells what a voter has that its epoch's whole has not, or lacks of it; empty: nothing.
func (h *history) wrong(v *replica) string {
	epoch, book := v.snapshot()
	want := h.whole(epoch)
	past := map[configuration.Key][]uint64{} // versions of all changes, the newest first
	for _, p := range slices.Backward(h.changes[:epoch]) {
		for _, i := range p.Items {
			past[i.Key] = append(past[i.Key], i.Version)
		}
	}
	if book.Len() != len(want) {
		return fmt.Sprintf("%d items at epoch %d, not %d", book.Len(), epoch, len(want))
	}
	for i := range book.All() {
		if w := want[i.Key]; !w.SameContent(i) || w.Epoch != i.Epoch {
			return fmt.Sprintf("at epoch %d: %v of epoch %d and version %d, not of %d and %d", epoch, i.Key, i.Epoch, i.Version, w.Epoch, w.Version)
		}
		var got []uint64
		if i.History != nil {
			for _, p := range *i.History {
				got = append(got, p.Version)
			}
		}
		if all := past[i.Key][1:]; !slices.Equal(got, all[:min(16, len(all))]) {
			return fmt.Sprintf("at epoch %d: %v overtook %v, not %v", epoch, i.Key, got, all)
		}
	}
	return ""
}

// bring has a voter know all changes up to an epoch, one by one.
func (h *history) bring(v *replica, epoch uint64) {
	at, _ := v.snapshot()
	for _, p := range h.changes[at:epoch] {
		v.choose(p)
	}
}

func newVoter(is *is.I, fs vfs.FS, life uint64) *replica {
	is.Helper()
	vt, s, err := storage.Open(fs, "d", log.NewNopLogger())
	is.NoErr(err)
	v := &replica{self: "x", store: replication.NewStore(life)}
	v.load(vt, s, []string{"x", "y", "z"})
	return v
}

func none(string, int) ([]registry.Instance, bool) { return nil, false }

// One step of a walk in which a voter catches up: sources go on, answers are lost, come late or twice and from any of them, and the
// voter loses power. Whatever whole it has is one that there was, and it gets to the newest.
func catchUpWalk(seed uint64) (wrong string, pieces int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	is := is.New(failing{&wrong})
	h := &history{rnd: rnd, names: 40, size: 1 + rnd.IntN(200), each: 1 + rnd.IntN(6)}
	fs := vfs.NewCrashableMem()
	life := uint64(1)
	x := newVoter(is, fs, life)
	sources := []*replica{}
	for range 3 {
		life++
		sources = append(sources, newVoter(is, vfs.NewMem(), life))
	}
	defer func() {
		for _, v := range append(sources, x) {
			v.storage.Close()
		}
	}()
	h.grow(1 + rnd.IntN(40))
	type answer struct {
		q transport.CatchUpRequest
		i transport.CatchUpChunk
	}
	var late []answer
	had, seen := uint64(0), new(configuration.Snapshot)
	check := func() bool {
		epoch, book := x.snapshot()
		if wrong == "" && (book != seen || epoch != had) {
			seen = book
			wrong = h.wrong(x)
		}
		if wrong == "" && epoch < had {
			wrong = fmt.Sprintf("epoch %d after %d", epoch, had)
		}
		had = epoch
		if r := x.accept(consensus.Proposal{Ballot: consensus.Ballot{Round: 1, Node: "y"}, Epoch: epoch + 2 + uint64(rnd.IntN(3))}, nil); wrong == "" && r != nil && r.OK {
			wrong = "it accepts upon a whole that it lacks"
		}
		return wrong == ""
	}
	for step := 0; ; step++ {
		calm := step > 150
		s := sources[rnd.IntN(3)]
		switch k := rnd.IntN(12); {
		case !calm && k == 0:
			h.grow(1 + rnd.IntN(10))
		case k == 1:
			at, _ := s.snapshot()
			h.bring(s, at+uint64(rnd.IntN(len(h.changes)-int(at)+1)))
		case !calm && k == 2: // a change that comes as it is chosen
			if at, _ := x.snapshot(); int(at) < len(h.changes) {
				x.choose(h.changes[at])
			}
		case !calm && k == 3:
			if rnd.IntN(2) == 0 { // it is synced; else the disk's own goroutine may not have got to it
				is.NoErr(x.storage.Save(context.Background(), storage.Batch{}))
			}
			crash := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rnd})
			x.storage.Close()
			fs = crash
			life++
			x = newVoter(is, fs, life)
			had = 0
			late = nil
		case !calm && k == 4 && len(late) > 0:
			a := late[rnd.IntN(len(late))]
			x.stageChunk(&a.q, &a.i)
		default:
			q := x.nextCatchUpRequest()
			q.MaxBytes = 1 + rnd.IntN(1500)
			i := s.catchUpChunk(q, none)
			pieces++
			size := 0
			for _, it := range i.Items {
				size += frameBytes(it)
			}
			if size > q.MaxBytes && len(i.Items) > 1 {
				return fmt.Sprintf("a piece of %d bytes", size), pieces
			}
			if late = append(late, answer{*q, *i}); len(late) > 5 {
				late = late[1:]
			}
			if calm || rnd.IntN(4) > 0 {
				x.stageChunk(q, i)
			}
		}
		if !check() {
			return wrong, pieces
		}
		if calm {
			for _, s := range sources {
				h.bring(s, uint64(len(h.changes)))
			}
			if epoch, _ := x.snapshot(); int(epoch) == len(h.changes) {
				return "", pieces
			}
			if step > 1000 {
				return "it never gets there", pieces
			}
		}
	}
}

// failing is a test that notes its first failure.
type failing struct{ wrong *string }

func (f failing) Fail()    { f.FailNow() }
func (f failing) FailNow() { *f.wrong = "a step failed" }
func (f failing) Log(args ...any) {
	fmt.Fprintln(os.Stderr, args...)
}

// recentWrong asks a source, after so many changes, for what is behind each epoch, whole and from some positions on: against the plain list
// of what is newer.
func recentWrong(n int) string {
	var wrong string
	is := is.New(failing{&wrong})
	rnd := rand.New(rand.NewPCG(uint64(n), 3))
	h := &history{rnd: rnd, names: 5000, size: 1, each: 3}
	v := newVoter(is, vfs.NewMem(), 1)
	defer v.storage.Close()
	h.grow(n)
	h.bring(v, uint64(n))
	_, book := v.snapshot()
	whole := h.whole(uint64(n))
	for e := range uint64(n) {
		for _, from := range []uint64{0, rnd.Uint64()} {
			got, want := map[configuration.Key]uint64{}, map[configuration.Key]uint64{}
			last := from
			for at, i := range itemsNewerThan(book, v.recent, e, from) {
				if at < last {
					return fmt.Sprintf("position %x after %x", at, last)
				}
				last = at
				got[i.Key] = i.Epoch
			}
			for _, i := range whole {
				if i.Epoch > e && i.Key.Position() >= from {
					want[i.Key] = i.Epoch
				}
			}
			if !maps.Equal(got, want) {
				return fmt.Sprintf("%d changes, asked for what is behind %d: %d items, not %d", n, e, len(got), len(want))
			}
		}
	}
	return wrong
}

var boundaries = []int{1, 2, maxRecentChanges/2 - 1, maxRecentChanges / 2, maxRecentChanges/2 + 1, maxRecentChanges - 1, maxRecentChanges, maxRecentChanges + 1, maxRecentChanges + 2, 3 * maxRecentChanges / 2, 3*maxRecentChanges/2 + 1, 600}

func TestRecent(t *testing.T) {
	for _, n := range boundaries {
		if wrong := recentWrong(n); wrong != "" {
			t.Error(wrong)
		}
	}
}

func TestCatchUpWalks(t *testing.T) {
	pieces := 0
	for seed := range uint64(catchUpWalks) {
		wrong, n := catchUpWalk(seed)
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		pieces += n
	}
	t.Logf("%d walks, %d pieces", catchUpWalks, pieces)
}

// far cuts the third of three nodes off, and has so many changes chosen by the others meanwhile.
func (c *core) far(h *history, n int) (behind *machine) {
	c.Helper()
	behind = c.nodes[c.seeds[2]]
	c.cut(behind.addr, true)
	h.grow(n)
	for _, a := range c.seeds[:2] {
		h.bring(c.nodes[a].replica, uint64(len(h.changes)))
	}
	return behind
}

// arrives waits until a node has the newest snapshot, and returns how long it took. All the while it has nothing in between, promises and accepts
// nothing upon what it lacks, tells nobody that it is ready and answers no reading with what it has.
func (c *core) arrives(h *history, addr string, most time.Duration) time.Duration {
	c.Helper()
	m, began := c.nodes[addr], time.Now()
	old, book := m.replica.snapshot()
	for {
		epoch, now := m.replica.snapshot()
		if epoch == uint64(len(h.changes)) {
			c.Equal(h.wrong(m.replica), "")
			return time.Since(began)
		}
		if time.Since(began) > most {
			c.t.Fatalf("epoch %d of %d after %v", epoch, len(h.changes), time.Since(began))
		}
		if epoch == old {
			c.True(now == book) // nothing of what has come is seen
		} else {
			old, book = epoch, now
			c.Equal(h.wrong(m.replica), "")
		}
		p := consensus.Proposal{Ballot: consensus.Ballot{Round: 1, Node: "test"}, Epoch: uint64(len(h.changes)) + 1}
		if promised, _ := m.replica.state(); promised.Round > 0 {
			p.Ballot = promised
		}
		if r := m.replica.accept(p, nil); r != nil {
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
	for _, n := range []int{1, 2, maxRecentChanges / 2, maxRecentChanges - 1, maxRecentChanges, maxRecentChanges + 1, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCore(t, 3)
				pass(2 * time.Second)
				h := &history{rnd: rand.New(rand.NewPCG(uint64(n), 1)), names: 300, size: 300, each: 4}
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
				c.Equal(c.nodes[c.seeds[0]].store.Epoch(), uint64(len(h.changes)+1))
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
		h := &history{rnd: rand.New(rand.NewPCG(9, 1)), names: size / 4096, size: 4096, each: 40}
		c.far(h, 500)
		for _, i := range h.whole(uint64(len(h.changes))) {
			total += len(i.Body)
		}
		c.links.reset()
		c.links.set(2e6 / 8)
		c.cut(c.seeds[2], false)
		began, cuts := time.Now(), 0
		for m := c.nodes[c.seeds[2]]; ; {
			from, _ := m.replica.snapshot()
			pass(7 * time.Second)
			if m.store.Epoch() > from {
				break
			}
			h.grow(1) // meanwhile
			for _, a := range c.seeds[:2] {
				h.bring(c.nodes[a].replica, uint64(len(h.changes)))
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
				t.Fatalf("not there after %v: %+v", time.Since(began), m.replica.staging.Stage)
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
		h := &history{rnd: rand.New(rand.NewPCG(4, 1)), names: 2000, size: 1024, each: 2000}
		h.grow(1)
		for _, a := range c.seeds {
			h.bring(c.nodes[a].replica, 1)
		}
		pass(5 * time.Second)
		m := c.nodes[c.seeds[2]]
		c.True(m.ready())
		c.links.set(2e6 / 8)
		h.grow(8)
		for _, a := range c.seeds[:2] {
			h.bring(c.nodes[a].replica, uint64(len(h.changes)))
		}
		for began := time.Now(); m.store.Epoch() < uint64(len(h.changes)); pass(10 * time.Millisecond) {
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

const readyBound = maxLag + transport.HeartbeatInterval + 2*watchInterval

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
		h := &history{rnd: rand.New(rand.NewPCG(6, 1)), names: 6000, size: 1024, each: 2000}
		h.grow(8)
		for _, a := range c.seeds {
			h.bring(c.nodes[a].replica, uint64(len(h.changes)))
		}
		c.kill(c.seeds[2])
		pass(2 * time.Second)
		c.Equal(c.patch(c.seeds[0], upsert([]string{service("s", 1)}, nil)), 200)
		c.links.set(2e6 / 8)
		began := time.Now()
		m := c.start(c.seeds[2], vfs.NewCrashableMem(), false)
		for n := 2; ; n++ {
			if _, votes := m.replica.electorate(); votes {
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
				h := &history{rnd: rand.New(rand.NewPCG(uint64(seed), 2)), names: 4000, size: 350, each: 9}
				h.each = 2000
				h.grow(4) // the first configurations
				h.each = 9
				h.grow(596)
				for _, a := range c.seeds {
					h.bring(c.nodes[a].replica, uint64(len(h.changes)))
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
					if _, votes := m.replica.electorate(); votes && m.store.Epoch() >= uint64(len(h.changes)) && // a new disk is taken in by a change and its seal
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
				c.Equal(h.wrong(c.nodes[c.seeds[2]].replica), "")
				c.end()
				pass(time.Second)
			})
		}
		slices.Sort(took)
		slices.Sort(bytes)
		t.Logf("empty disk %v: median %v, worst %v; bytes: median %d, worst %d; of %d", empty, took[figureRuns/2], took[figureRuns-1], bytes[figureRuns/2], bytes[figureRuns-1], figureRuns)
	}
}
