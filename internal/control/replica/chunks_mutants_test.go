//go:build mutants

package replica

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

// Each fault of transfers that is seeded is found by the walks or by the plain list.
func TestTransferMutants(t *testing.T) {
	defer func() { mutant.Name = "" }()
	for _, mutant.Name = range []string{
		"mixes-epochs", "older-source", "epoch-before-items", "recent-off-by-one", "position-without-items", "accepts-behind",
	} {
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
			t.Errorf("%s: not found", mutant.Name)
		}
		t.Logf("%s: seed %d: %s", mutant.Name, seed-1, failure)
	}
}
