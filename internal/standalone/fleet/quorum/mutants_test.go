//go:build mutants

package quorum

import (
	"testing"
	"testing/cryptotest"

	"mulleinrouter/internal/mutants"
)

// TestMutants checks that simulations find every fault that is seeded in the voters, in package singleton or in the
// receiver of effects, and that they find no problem without a seeded fault.
func TestMutants(t *testing.T) {
	const seeds, seedsWithoutFault = 100, 20
	tests := []struct {
		pkg   string
		fault string
	}{
		{"", ""},
		{"quorum", "unfenced"},
		{"quorum", "vote-unkept"},
		{"quorum", "entries-unkept"},
		{"singleton", "token-again"},
		{"singleton", "leader-forgets"},
		{"singleton", "renewal-unagreed"},
		{"singleton", "expires-early"},
		{"singleton", "expires-unseen"},
		{"singleton", "acts-on"},
	}
	for _, test := range tests {
		t.Run(test.fault, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1)
			maxSeeds, found := uint64(seeds), ""
			if test.fault == "" {
				maxSeeds = seedsWithoutFault
			} else {
				mutants.Seed(t, test.pkg+"/"+test.fault)
			}
			seed := uint64(0)
			for ; seed < maxSeeds && found == ""; seed++ {
				if s := simulate(seed, 60); len(s.problems) > 0 {
					found = s.problems[0]
				}
			}
			if (found == "") != (test.fault == "") {
				t.Errorf("%d runs found %q", seed, found)
			}
			t.Logf("seed %d: %s", seed-1, found)
		})
	}
}

// TestWaitsForConfirmationMutant checks that TestWaitsForConfirmation finds a voter that votes without confirmation.
func TestWaitsForConfirmationMutant(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	mutants.Seed(t, "quorum/vote-untold")
	if checkWaitsForConfirmation() == nil {
		t.Error("mutant vote-untold was not found")
	}
}

// TestRolledBackStoreMutant checks that TestRolledBackStore finds a voter that votes with a rolled-back store.
func TestRolledBackStoreMutant(t *testing.T) {
	cryptotest.SetGlobalRandom(t, 1)
	mutants.Seed(t, "quorum/gone-back-votes")
	if checkRolledBackStore() == nil {
		t.Error("mutant gone-back-votes was not found")
	}
}
