package ingresslease

import (
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
