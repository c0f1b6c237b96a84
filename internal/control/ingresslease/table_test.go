package ingresslease

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

// Guards against a count that is too low while some holders may not have renewed their leases yet, which would make the
// quota shares of the others too large, and against ingresses that are counted without a valid lease or readiness.
func TestCountAndRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table Table
		table.Restore(5)
		start := time.Now()
		check := func(name string, want int64) {
			t.Helper()
			if got := table.Count(time.Now(), start); got != want {
				t.Errorf("%s: got count %d, want %d", name, got, want)
			}
		}
		renew := func() {
			table.Renew(&transport.Hello{Node: "b", Zone: "z"}, true)
			table.Renew(&transport.Hello{Node: "a", Zone: "z"}, true)
			table.Renew(&transport.Hello{Node: "c", Zone: "z"}, false)
			table.Renew(&transport.Hello{Node: strings.Repeat("n", MaxNameLength+1), Zone: "z"}, true)
		}
		renew()
		check("in the initial renewal period", 5)
		time.Sleep(initialRenewalPeriod)
		renew()
		check("while the count from before is a lower bound", 5)
		time.Sleep(2 * leaseDuration)
		renew()
		check("after the lower bound has expired, ready ingresses only", 2)
		table.UpdateRanks()
		for rank, node := range []string{"a", "b"} {
			if got, peers := table.Rank(node); got != rank || peers != 2 {
				t.Errorf("got rank %d of %d for %s, want %d of 2", got, peers, node, rank)
			}
		}
		if _, peers := table.Rank("c"); peers != 0 {
			t.Errorf("got %d peers for an ingress that is not ready, want 0", peers)
		}
		time.Sleep(leaseDuration + time.Millisecond)
		check("all leases expired", 0)
		table.UpdateRanks()
		if _, peers := table.Rank("a"); peers != 0 {
			t.Errorf("got %d peers after the leases expired, want 0", peers)
		}
	})
}

// Guards against a part of a quota that is granted twice: ingresses that were lost together and return together must
// know of one another before they are ready.
func TestRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all, lost = 11, 7
		var table Table
		start := time.Now()
		renew := func(from, to int, ready bool) {
			for n := from; n < to; n++ {
				table.Renew(&transport.Hello{Node: fmt.Sprint("n", n), Zone: "z"}, ready)
			}
		}
		check := func(name string, wantCount, wantRecent int64) {
			t.Helper()
			table.Publish(table.Count(time.Now(), start))
			if count, recent := table.Published(), table.Recent(); count != wantCount || recent != wantRecent {
				t.Errorf("%s: got %d, recently %d, want %d and %d", name, count, recent, wantCount, wantRecent)
			}
		}
		time.Sleep(initialRenewalPeriod + 2*leaseDuration)
		renew(0, all, true)
		check("all", all, all)
		time.Sleep(leaseDuration + time.Millisecond)
		renew(lost, all, true)
		check("after the loss", all-lost, all)
		renew(0, lost, false)
		check("while they start", all-lost, all)
		time.Sleep(recentSpan + time.Millisecond)
		renew(lost, all, true)
		check("after a long time", all-lost, all-lost)
		renew(0, lost, false)
		check("when they start after a long time", all-lost, all)
	})
}

// Guards against a control node that forgets the recent number of ingresses when it is restarted while many are down.
func TestRestoredRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all, left = 11, 4
		var table Table
		table.Restore(all)
		start := time.Now()
		check := func(name string, want int64) {
			t.Helper()
			for n := range left {
				table.Renew(&transport.Hello{Node: fmt.Sprint("n", n), Zone: "z"}, true)
			}
			table.Publish(table.Count(time.Now(), start))
			if got := table.Recent(); got != want {
				t.Errorf("%s: got %d, want %d", name, got, want)
			}
		}
		check("at the start", all)
		time.Sleep(recentSpan)
		check("after a while", all)
		time.Sleep(time.Second)
		check("after a long time", left)
	})
}
