//go:build mutants

package storage

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The power-loss walks find each fault that can be seeded into this package.
func TestPowerLossWalksFindMutants(t *testing.T) {
	for _, mutant := range []string{"folder-unsynced"} {
		t.Run(mutant, func(t *testing.T) {
			mutants.Seed(t, "storage/"+mutant)
			seed, failure, rejected := uint64(0), "", 0
			for ; seed < 10 && failure == "" && rejected == 0; seed++ {
				failure, _, rejected = powerLossWalk(seed)
			}
			if failure == "" && rejected == 0 {
				t.Errorf("%s: fault not found", mutant)
			}
			t.Logf("%s: seed %d: %d rejected, %s", mutant, seed-1, rejected, failure)
		})
	}
}
