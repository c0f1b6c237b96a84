//go:build !race

// These tests are not built with the race detector: synctest bubbles with many timers crash its runtime in Go 1.26
// (ThreadSanitizer: CHECK failed, or a fault at a PC within it), even if they use only net.Pipe deadlines and
// time.AfterFunc. The race detector runs in the processes that the fault tests of cmd/mulleinrouter start instead.
package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/emulator/faultnet"
)

// TestKilledMemberIsDetected checks that all members see a killed member as dead within 20 s, in fleets of several
// sizes. It logs the traffic of a member afterwards.
func TestKilledMemberIsDetected(t *testing.T) {
	sizes := []int{3, 10, 30}
	if longRun() {
		sizes = append(sizes, 80, 300)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tf := startTestFleet(n, 1)
				defer tf.stop()
				tf.requireComplete(t, formTimeout)
				tf.kill(n - 1)
				took, ok := waitUntil(20*time.Second, func() bool { return tf.statesOf(n - 1)["dead"] == n-1 })
				before := tf.members[0].Report(0).Traffic
				time.Sleep(10 * time.Second)
				after := tf.members[0].Report(0).Traffic
				t.Logf("dead for all after %v; then %d packets and %d bytes a second and member", took,
					(after.PacketsOut-before.PacketsOut)/10, (after.BytesOut-before.BytesOut)/10)
				if !ok {
					t.Errorf("got states %v, want dead for all", tf.statesOf(n-1))
				}
			})
		})
	}
}

func noMember(int) bool { return false }

// TestNoFalseDeaths checks that network faults alone don't make the fleet declare a member dead that others reach.
func TestNoFalseDeaths(t *testing.T) {
	const n = 10
	cut := faultnet.Fault{Cut: true}
	only := func(member int) func(int) bool { return func(i int) bool { return i == member } }
	for _, tc := range []struct {
		name     string
		fault    func(l *faultnet.Links)
		excluded func(i int) bool // reports the members that the fault isolates
		duration time.Duration
	}{
		{
			name:     "30% of all messages lost",
			fault:    func(l *faultnet.Links) { l.Set("*", "*", faultnet.AllProtocols, faultnet.Fault{Loss: 0.3}) },
			excluded: noMember,
			duration: longDuration(2*time.Minute, 10*time.Minute),
		},
		{
			name: "60% lost at one member",
			fault: func(l *faultnet.Links) {
				l.Set("*", memberName(4), faultnet.AllProtocols, faultnet.Fault{Loss: 0.6})
				l.Set(memberName(4), "*", faultnet.AllProtocols, faultnet.Fault{Loss: 0.6})
			},
			excluded: only(4),
			duration: 30 * time.Second,
		},
		{
			name:     "one link cut in one direction",
			fault:    func(l *faultnet.Links) { l.Set(memberName(1), memberName(2), faultnet.AllProtocols, cut) },
			excluded: noMember,
			duration: longDuration(30*time.Second, 5*time.Minute),
		},
		{
			name: "one link cut in both directions",
			fault: func(l *faultnet.Links) {
				l.Set(memberName(1), memberName(2), faultnet.AllProtocols, cut)
				l.Set(memberName(2), memberName(1), faultnet.AllProtocols, cut)
			},
			excluded: noMember,
			duration: longDuration(30*time.Second, 5*time.Minute),
		},
		{
			name: "a ring of links cut in one direction",
			fault: func(l *faultnet.Links) {
				for i := range n {
					l.Set(memberName(i), memberName((i+1)%n), faultnet.AllProtocols, cut)
				}
			},
			excluded: noMember,
			duration: longDuration(30*time.Second, 5*time.Minute),
		},
		{
			name: "streams work and datagrams don't, at one member",
			fault: func(l *faultnet.Links) {
				l.Set("*", memberName(3), faultnet.Datagrams, cut)
				l.Set(memberName(3), "*", faultnet.Datagrams, cut)
			},
			excluded: only(3),
			duration: 30 * time.Second,
		},
		{
			name: "only small packets pass",
			fault: func(l *faultnet.Links) {
				l.Set(memberName(1), memberName(2), faultnet.AllProtocols, faultnet.Fault{MaxSize: 200})
			},
			excluded: noMember,
			duration: 20 * time.Second,
		},
		{
			name: "duplicated, reordered and late",
			fault: func(l *faultnet.Links) {
				l.Set("*", "*", faultnet.AllProtocols, faultnet.Fault{
					Duplicate: 0.3,
					Reorder:   0.3,
					Delay:     20 * time.Millisecond,
					Jitter:    40 * time.Millisecond,
				})
			},
			excluded: noMember,
			duration: 30 * time.Second,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tf := startTestFleet(n, 2)
				defer tf.stop()
				tf.requireComplete(t, formTimeout)
				tc.fault(tf.network.Links)
				time.Sleep(tc.duration)
				deaths := tf.countFalseDeaths(tc.excluded)
				_, reachabilities := tf.viewCounts()
				tf.network.Links.Heal()
				took, ok := waitUntil(formTimeout, tf.isComplete)
				t.Logf("%d false deaths; reachability during the fault %v; complete again %v after %v",
					deaths, reachabilities, ok, took)
				if deaths > 0 || !ok {
					t.Errorf("got %d false deaths, complete again %v; want 0, true", deaths, ok)
				}
			})
		})
	}
}

// TestPartitionsRejoin checks that the halves of a partitioned fleet join again after partitions of 10 s to 10 min.
func TestPartitionsRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 8
		tf := startTestFleet(n, 4)
		defer tf.stop()
		tf.requireComplete(t, formTimeout)
		for _, duration := range []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute} {
			tf.cut(func(from, to int) bool { return from%2 != to%2 })
			detected, ok := waitUntil(15*time.Second, func() bool {
				_, reachabilities := tf.viewCounts()
				return reachabilities[partitioned] == n
			})
			if !ok {
				t.Errorf("partitioned for %v: not all members notice", duration)
			}
			time.Sleep(duration)
			tf.network.Links.Heal()
			rejoined, ok := waitUntil(formTimeout, tf.isComplete)
			t.Logf("partitioned for %v: detected after %v, complete again after %v", duration, detected, rejoined)
			if !ok {
				t.Errorf("partitioned for %v: the halves don't rejoin", duration)
			}
		}
	})
}

// TestManyMembersJoinAtOnce starts eighty members at once and checks that they form one fleet within a minute.
func TestManyMembersJoinAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := startTestFleet(80, 6)
		defer tf.stop()
		tf.requireComplete(t, time.Minute)
	})
}
