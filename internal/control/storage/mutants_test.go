//go:build mutants

package storage

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The walks over power losses find each fault that can be seeded into this package.
func TestPowerLossWalksFindMutants(t *testing.T) {
	for _, mutant := range []string{"folder-unsynced"} {
		t.Run(mutant, func(t *testing.T) {
			mutants.Seed(t, "storage/"+mutant)
			seed, wrong, rejected := uint64(0), "", 0
			for ; seed < 10 && wrong == "" && rejected == 0; seed++ {
				wrong, _, rejected = powerLossWalk(seed)
			}
			if wrong == "" && rejected == 0 {
				t.Errorf("%s: not found", mutant)
			}
			t.Logf("%s: seed %d: %d rejected, %s", mutant, seed-1, rejected, wrong)
		})
	}
}
