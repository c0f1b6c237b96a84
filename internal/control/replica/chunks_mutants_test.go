//go:build mutants

package replica

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The random walks or the comparison with a plain list find each seeded fault of transfers.
func TestTransferMutants(t *testing.T) {
	for _, fault := range []string{
		"replica/mixes-epochs",
		"replica/older-source",
		"replica/epoch-before-items",
		"replica/recent-off-by-one",
		"replica/position-without-items",
		"replica/accepts-behind",
	} {
		mutants.Seed(t, fault)
		seed, failure := uint64(0), ""
		for _, changes := range changeCounts {
			if failure == "" {
				failure = checkNewerItems(changes)
			}
		}
		for ; seed < 1500 && failure == ""; seed++ {
			failure, _ = walkTransfer(seed)
		}
		if failure == "" {
			t.Errorf("%s: fault not found", fault)
		}
		t.Logf("%s: seed %d: %s", fault, seed-1, failure)
	}
}
