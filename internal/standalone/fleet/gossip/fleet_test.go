//go:build !race

// Bubbles with many timers crash the race detector's own runtime in Go 1.26 (ThreadSanitizer: CHECK failed,
// or a fault at a PC within it), also where nothing but net.Pipe deadlines and time.AfterFunc is in them.
// Races are looked for in the processes that cmd/mulleinrouter rehearses.
package gossip

import (
	"encoding/base64"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// testFleet is a fleet in fake time, over a network in memory.
type testFleet struct {
	network *faultnet.Memory
	addrs   []string
	members []*Fleet // nil: killed
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

func newTestFleet(n int, seed uint64) *testFleet {
	c := &testFleet{network: faultnet.NewMemory(faultnet.NewLinks(seed)), members: make([]*Fleet, n)}
	for range n {
		c.addrs = append(c.addrs, c.network.Addr())
	}
	for i := range n {
		c.start(i, membership.Serving)
	}
	return c
}

func (c *testFleet) start(i int, p membership.Phase, with ...func(*Options)) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Fleet: "test", Name: name(i), Join: c.addrs[:min(3, len(c.addrs))], Expect: len(c.addrs), Seed: uint64(i), Log: log,
		Network: func() (memberlist.NodeAwareTransport, string, error) {
			return c.network.Listen(name(i), c.addrs[i]), c.addrs[i], nil
		}}
	for _, w := range with {
		w(&o)
	}
	f, err := Start(o)
	if err != nil {
		panic(err)
	}
	f.SetPhase(p)
	c.members[i] = f
}

func (c *testFleet) stop() {
	for _, f := range c.members {
		if f != nil {
			f.Stop()
		}
	}
	time.Sleep(time.Minute) // what waits for others ends in its own time
}

// states counts what the living hold a member for.
func (c *testFleet) states(of int) map[string]int {
	all := map[string]int{}
	for i, f := range c.members {
		if f == nil || i == of {
			continue
		}
		state := "unknown"
		for _, m := range f.Report(0).Members {
			if m.Name == name(of) {
				state = m.State
			}
		}
		all[state]++
	}
	return all
}

// viewCounts tells whether all hold one view, and for what they hold themselves.
func (c *testFleet) viewCounts() (digests, judgements map[string]int) {
	digests, judgements = map[string]int{}, map[string]int{}
	for _, f := range c.members {
		if f != nil {
			r := f.Report(0)
			digests[r.Digest]++
			judgements[r.Reachability]++
		}
	}
	return digests, judgements
}

// waitUntil lets time pass until something is so; it returns how long that took, and false if it is not so in time.
func waitUntil(most time.Duration, is func() bool) (took time.Duration, ok bool) {
	for ; took < most; took += 100 * time.Millisecond {
		if is() {
			return took, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return took, is()
}

func (c *testFleet) complete(n int) func() bool {
	return func() bool {
		d, j := c.viewCounts()
		return len(d) == 1 && j["whole"] == n
	}
}

func TestKilledMemberIsDetected(t *testing.T) {
	sizes := []int{3, 10, 30}
	if os.Getenv("MULLEIN_LONG") != "" {
		sizes = append(sizes, 80, 300)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestFleet(n, 1)
				defer c.stop()
				took, ok := waitUntil(30*time.Second, c.complete(n))
				if !ok {
					d, j := c.viewCounts()
					t.Fatalf("not whole: %v, %v", d, j)
				}
				t.Logf("whole after %v", took)
				c.members[n-1].Stop()
				c.members[n-1] = nil
				took, ok = waitUntil(20*time.Second, func() bool { return c.states(n - 1)["dead"] == n-1 })
				before := c.members[0].Report(0).Traffic
				time.Sleep(10 * time.Second)
				after := c.members[0].Report(0).Traffic
				t.Logf("known dead by all after %v; then %d packets and %d bytes a second and member", took, (after.PacketsOut-before.PacketsOut)/10, (after.BytesOut-before.BytesOut)/10)
				if !ok {
					t.Errorf("states %v", c.states(n-1))
				}
			})
		})
	}
}

// countFalseDeaths counts, over all changes that all members remember, deaths of those that live.
func (c *testFleet) countFalseDeaths(but func(i int) bool) (n int) {
	living := map[string]bool{}
	for i, f := range c.members {
		if f != nil && !but(i) {
			living[name(i)] = true
		}
	}
	for i, f := range c.members {
		if f == nil || but(i) {
			continue
		}
		for _, ch := range f.Report(0).Changes {
			if ch.To == "dead" && ch.What == "state" && living[ch.Name] {
				n++
			}
		}
	}
	return n
}

// longDuration is a span for CI, or one for MULLEIN_LONG=1.
func longDuration(short, whole time.Duration) time.Duration {
	if os.Getenv("MULLEIN_LONG") != "" {
		return whole
	}
	return short
}

func noMember(int) bool { return false }

// No fault of the network alone has a member that others hear called dead.
func TestNoFalseDeaths(t *testing.T) {
	const n = 10
	for _, row := range []struct {
		name  string
		fault func(l *faultnet.Links)
		but   func(i int) bool
		lasts time.Duration
		whole bool // within 10 s behind its end
	}{
		{"30% of all messages lost", func(l *faultnet.Links) { l.Set("*", "*", faultnet.Both, faultnet.Fault{Loss: 0.3}) }, noMember, longDuration(2*time.Minute, 10*time.Minute), true},
		{"60% lost at one member", func(l *faultnet.Links) {
			l.Set("*", name(4), faultnet.Both, faultnet.Fault{Loss: 0.6})
			l.Set(name(4), "*", faultnet.Both, faultnet.Fault{Loss: 0.6})
		}, func(i int) bool { return i == 4 }, 30 * time.Second, true},
		{"one cut, one way", func(l *faultnet.Links) { l.Set(name(1), name(2), faultnet.Both, faultnet.Fault{Cut: true}) }, noMember, longDuration(30*time.Second, 5*time.Minute), true},
		{"one cut, both ways", func(l *faultnet.Links) {
			l.Set(name(1), name(2), faultnet.Both, faultnet.Fault{Cut: true})
			l.Set(name(2), name(1), faultnet.Both, faultnet.Fault{Cut: true})
		}, noMember, longDuration(30*time.Second, 5*time.Minute), true},
		{"a ring of cuts, one way", func(l *faultnet.Links) {
			for i := range n {
				l.Set(name(i), name((i+1)%n), faultnet.Both, faultnet.Fault{Cut: true})
			}
		}, noMember, longDuration(30*time.Second, 5*time.Minute), true},
		{"streams work, datagrams do not, at one", func(l *faultnet.Links) {
			l.Set("*", name(3), faultnet.Datagrams, faultnet.Fault{Cut: true})
			l.Set(name(3), "*", faultnet.Datagrams, faultnet.Fault{Cut: true})
		}, func(i int) bool { return i == 3 }, 30 * time.Second, true},
		{"only small packets", func(l *faultnet.Links) { l.Set(name(1), name(2), faultnet.Both, faultnet.Fault{Longest: 200}) }, noMember, 20 * time.Second, true},
		{"doubled, reordered and late", func(l *faultnet.Links) {
			l.Set("*", "*", faultnet.Both, faultnet.Fault{Double: 0.3, Reorder: 0.3, Delay: 20 * time.Millisecond, Jitter: 40 * time.Millisecond})
		}, noMember, 30 * time.Second, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestFleet(n, 2)
				defer c.stop()
				if _, ok := waitUntil(30*time.Second, c.complete(n)); !ok {
					t.Fatal("not whole at first")
				}
				row.fault(c.network.Links)
				time.Sleep(row.lasts)
				dead := c.countFalseDeaths(row.but)
				_, j := c.viewCounts()
				c.network.Links.Heal()
				took, ok := waitUntil(30*time.Second, c.complete(n))
				t.Logf("%d told falsely; judgements under it %v; whole again %v after %v", dead, j, ok, took)
				if dead > 0 || !ok {
					t.Errorf("%d deaths told falsely; whole again: %v", dead, ok)
				}
			})
		})
	}
}

// Halves that were cut apart find each other again, however long it took; a member that both hear keeps them together.
func TestPartitionsRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 8
		c := newTestFleet(n, 4)
		defer c.stop()
		if _, ok := waitUntil(30*time.Second, c.complete(n)); !ok {
			t.Fatal("not whole at first")
		}
		for _, lasts := range []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute} {
			for i := range n {
				for j := range n {
					if i%2 != j%2 {
						c.network.Links.Set(name(i), name(j), faultnet.Both, faultnet.Fault{Cut: true})
					}
				}
			}
			took, ok := waitUntil(15*time.Second, func() bool { _, j := c.viewCounts(); return j["cut-off"] == n })
			if !ok {
				t.Errorf("not all say that they are cut off")
			}
			time.Sleep(lasts)
			c.network.Links.Heal()
			again, ok := waitUntil(30*time.Second, c.complete(n))
			t.Logf("cut for %v: known after %v, whole again after %v", lasts, took, again)
			if !ok {
				t.Errorf("cut for %v, they do not meet again", lasts)
			}
		}
	})
}

// memoryStore is a store that fails on demand.
type memoryStore struct {
	mu     sync.Mutex
	record *Record
	full   bool
}

func (m *memoryStore) Read(v any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.record == nil {
		return fs.ErrNotExist
	}
	*v.(*Record) = *m.record
	return nil
}

func (m *memoryStore) Write(v any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full {
		return syscall.ENOSPC
	}
	r := v.(Record)
	m.record = &r
	return nil
}

func (m *memoryStore) boot() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.record == nil {
		return 0
	}
	return m.record.Boot
}

// A count is on the disk before anybody hears of it: on a full disk the member stays out, and comes once
// there is room. One that is behind, for its folder was lost or is an old one, is raised above what others
// know.
func TestIncarnationIsStoredBeforeUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestFleet(2, 5)
		defer c.stop()
		c.addrs = append(c.addrs, c.network.Addr())
		c.members = append(c.members, nil)
		store := &memoryStore{full: true}
		begin := func() *Fleet {
			c.start(2, membership.Serving, func(o *Options) { o.Store = store })
			return c.members[2]
		}
		seen := func() (boot uint64) {
			for _, m := range c.members[0].Report(0).Members {
				if m.Name == name(2) && m.State == "alive" {
					boot = m.Boot
				}
			}
			return boot
		}
		begin()
		time.Sleep(20 * time.Second)
		if seen() != 0 || store.boot() != 0 {
			t.Fatalf("it is in the fleet with start %d, and nothing is on the disk", seen())
		}
		store.mu.Lock()
		store.full = false
		store.mu.Unlock()
		if _, ok := waitUntil(10*time.Second, func() bool { return seen() == 1 }); !ok {
			t.Fatalf("there is room, and it is seen with %d", seen())
		}
		for _, row := range []struct {
			name string
			kept *Record
			want uint64
		}{{"as it was", &Record{Boot: 41}, 42}, {"restored from before", &Record{Boot: 7}, 43}, {"lost", nil, 44}} {
			c.members[2].Stop()
			c.members[2] = nil
			time.Sleep(20 * time.Second)
			store.mu.Lock()
			store.record = row.kept
			store.mu.Unlock()
			begin()
			if _, ok := waitUntil(15*time.Second, func() bool { return seen() == row.want }); !ok || store.boot() != row.want {
				t.Errorf("folder %s: seen with start %d, kept %d, want %d", row.name, seen(), store.boot(), row.want)
			}
		}
	})
}

// Eighty join within a second.
func TestManyMembersJoinAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestFleet(80, 6)
		defer c.stop()
		took, ok := waitUntil(time.Minute, c.complete(80))
		t.Logf("whole after %v", took)
		if !ok {
			t.Error("not whole")
		}
	})
}

// The key changes while a third is cut off.
func TestKeyRotationDuringPartition(t *testing.T) {
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	first, second := base64.StdEncoding.EncodeToString(make([]byte, 32)), base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))
	write := func(lines ...string) {
		if err := os.WriteFile(keys, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("# of the fleet", first)
	synctest.Test(t, func(t *testing.T) {
		const n = 12
		c := &testFleet{network: faultnet.NewMemory(faultnet.NewLinks(6)), members: make([]*Fleet, n)}
		for range n {
			c.addrs = append(c.addrs, c.network.Addr())
		}
		for i := range n {
			c.start(i, membership.Serving, func(o *Options) { o.KeyFile = keys })
			time.Sleep(time.Second / n)
		}
		defer c.stop()
		took, ok := waitUntil(time.Minute, c.complete(n))
		t.Logf("%d are whole after %v", n, took)
		if !ok {
			t.Fatal("not whole")
		}
		reload := func(some func(i int) bool) {
			for i, f := range c.members {
				if some(i) {
					if err := f.Reload(); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		third := func(i int) bool { return i%3 == 0 }
		write(first, second)
		reload(func(int) bool { return true })
		for i := range n {
			for j := range n {
				if third(i) != third(j) {
					c.network.Links.Set(name(i), name(j), faultnet.Both, faultnet.Fault{Cut: true})
				}
			}
		}
		write(second, first)
		reload(func(i int) bool { return !third(i) })
		time.Sleep(10 * time.Second)
		if err := os.WriteFile(keys, []byte("nonsense"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.members[0].Reload(); err == nil || !strings.Contains(err.Error(), keys+":1") {
			t.Errorf("a file that is none: %v", err)
		}
		c.network.Links.Heal()
		if took, ok = waitUntil(time.Minute, c.complete(n)); !ok {
			t.Error("with two keys in use they do not meet again")
		}
		t.Logf("whole again with two keys after %v", took)
		write(second)
		reload(func(int) bool { return true })
		time.Sleep(10 * time.Second)
		if !c.complete(n)() {
			t.Error("with the new key alone they do not hear each other")
		}
	})
}
