//go:build mutants

package shard

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The random walks must find each fault that can be seeded into this package.
func TestRandomWalksFindMutants(t *testing.T) {
	for _, mutant := range []string{
		"forgets-grant", "answers-unsaved", "any-disk", "votes-for-older", "breaks-grant", "votes-twice",
		"transfers-with-lease", "commits-former-terms", "lease-from-receipt", "campaigns-unsaved",
	} {
		t.Run(mutant, func(t *testing.T) {
			mutants.Seed(t, "shard/"+mutant)
			seed, wrong := uint64(0), ""
			for ; seed < 30*walks() && wrong == ""; seed++ {
				wrong = walk(seed).violation
			}
			if wrong == "" {
				t.Errorf("%s: not found", mutant)
			}
			t.Logf("%s: seed %d: %s", mutant, seed-1, wrong)
		})
	}
}
