//go:build !race

package gossip

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	formTimeout  = 30 * time.Second       // limit for a fleet to form, or to be complete again
	pollInterval = 100 * time.Millisecond // time between two checks of a condition in waitUntil
	seeds        = 3                      // members whose addresses are the seeds of all

	complete    = "whole"   // name of the reachability level in reports
	partitioned = "cut-off" // name of the reachability level in reports
)

// testFleet is a fleet that runs in fake time over a simulated network.
type testFleet struct {
	network *faultnet.Memory
	addrs   []string
	members []*Fleet // nil: killed
}

func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

// newTestFleet returns a fleet with a network and an address for each member, but starts no member.
func newTestFleet(size int, seed uint64) *testFleet {
	tf := &testFleet{network: faultnet.NewMemory(faultnet.NewLinks(seed)), members: make([]*Fleet, size)}
	for range size {
		tf.addrs = append(tf.addrs, tf.network.Addr())
	}
	return tf
}

// startTestFleet starts all members at once.
func startTestFleet(size int, seed uint64) *testFleet {
	tf := newTestFleet(size, seed)
	for i := range size {
		tf.start(i, membership.Serving)
	}
	return tf
}

func (tf *testFleet) start(i int, p membership.Phase, with ...func(*Options)) {
	logger := logtest.Discard()
	o := Options{
		Fleet:  "test",
		Name:   memberName(i),
		Join:   tf.addrs[:min(seeds, len(tf.addrs))],
		Expect: len(tf.addrs),
		Seed:   uint64(i),
		Log:    logger,
		Network: func() (memberlist.NodeAwareTransport, string, error) {
			return tf.network.Listen(memberName(i), tf.addrs[i]), tf.addrs[i], nil
		},
	}
	for _, set := range with {
		set(&o)
	}
	f, err := Start(o)
	if err != nil {
		panic(err)
	}
	f.SetPhase(p)
	tf.members[i] = f
}

// kill stops a member without announcing that it leaves.
func (tf *testFleet) kill(i int) {
	tf.members[i].Stop()
	tf.members[i] = nil
}

func (tf *testFleet) stop() {
	for _, f := range tf.members {
		if f != nil {
			f.Stop()
		}
	}
	time.Sleep(time.Minute) // wait for memberlist's goroutines, which end after their time-outs
}

// statesOf counts the other members by the state in which they see a member.
func (tf *testFleet) statesOf(member int) map[string]int {
	counts := map[string]int{}
	for i, f := range tf.members {
		if f == nil || i == member {
			continue
		}
		state := "unknown"
		for _, m := range f.Report(0).Members {
			if m.Name == memberName(member) {
				state = m.State
			}
		}
		counts[state]++
	}
	return counts
}

// viewCounts counts the members by the digest of their view and by their reachability.
func (tf *testFleet) viewCounts() (digests, reachabilities map[string]int) {
	digests, reachabilities = map[string]int{}, map[string]int{}
	for _, f := range tf.members {
		if f != nil {
			r := f.Report(0)
			digests[r.Digest]++
			reachabilities[r.Reachability]++
		}
	}
	return digests, reachabilities
}

// isComplete reports whether all members have the same view and reach the complete fleet.
func (tf *testFleet) isComplete() bool {
	digests, reachabilities := tf.viewCounts()
	return len(digests) == 1 && reachabilities[complete] == len(tf.members)
}

func (tf *testFleet) requireComplete(t *testing.T, timeout time.Duration) {
	t.Helper()
	took, ok := waitUntil(timeout, tf.isComplete)
	if !ok {
		digests, reachabilities := tf.viewCounts()
		t.Fatalf("not complete after %v: views %v, reachability %v", took, digests, reachabilities)
	}
	t.Logf("complete after %v", took)
}

// countFalseDeaths counts deaths of running members in the recorded changes of all members except the excluded ones.
func (tf *testFleet) countFalseDeaths(isExcluded func(i int) bool) (deaths int) {
	running := map[string]bool{}
	for i, f := range tf.members {
		if f != nil && !isExcluded(i) {
			running[memberName(i)] = true
		}
	}
	for i, f := range tf.members {
		if f == nil || isExcluded(i) {
			continue
		}
		for _, c := range f.Report(0).Changes {
			if c.To == "dead" && c.What == "state" && running[c.Name] {
				deaths++
			}
		}
	}
	return deaths
}

// cut cuts each link for whose sender and receiver isCut returns true.
func (tf *testFleet) cut(isCut func(from, to int) bool) {
	for i := range tf.members {
		for j := range tf.members {
			if isCut(i, j) {
				tf.network.Links.Set(memberName(i), memberName(j), faultnet.AllProtocols, faultnet.Fault{Cut: true})
			}
		}
	}
}

// waitUntil sleeps until a condition holds. It returns the time that this took, and false if the condition doesn't hold
// by the time-out.
func waitUntil(timeout time.Duration, holds func() bool) (took time.Duration, ok bool) {
	for ; took < timeout; took += pollInterval {
		if holds() {
			return took, true
		}
		time.Sleep(pollInterval)
	}
	return took, holds()
}

// longRun reports whether the long variants of tests are enabled.
func longRun() bool { return os.Getenv("MULLEIN_LONG") != "" }

// longDuration returns the short duration, or the long one if MULLEIN_LONG is set.
func longDuration(short, long time.Duration) time.Duration {
	if longRun() {
		return long
	}
	return short
}
