//go:build mutants

package consensus

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The random walks must find each fault that can be seeded into this package.
func TestRandomWalksFindMutants(t *testing.T) {
	for _, mutant := range []string{
		"stale-ballot", "ignores-pending", "keeps-ballot", "composes-together", "composes-blind", "crosses-ballot",
		"new-chooses", "out-votes", "any-disk", "votes-unfinished", "no-seal",
	} {
		t.Run(mutant, func(t *testing.T) {
			mutants.Seed(t, "consensus/"+mutant)
			// The fault "unsealed" turns the check of sealed electorates off, except for no-seal: the other mutants
			// must be found by their consequences, such as two changes chosen for one epoch.
			fault := "unsealed"
			if mutant == "no-seal" {
				fault = ""
			}
			seed, wrong := uint64(0), ""
			for ; seed < 20*walks() && wrong == ""; seed++ {
				wrong, _ = randomWalk(seed, fault)
			}
			if wrong == "" {
				t.Errorf("%s: not found", mutant)
			}
			t.Logf("%s: seed %d: %s", mutant, seed-1, wrong)
		})
	}
}
