//go:build mutants

package quorum

import (
	"testing"
	"testing/cryptotest"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Simulations find every fault that is seeded in the voters, in package singleton or in the receiver of effects, and
// none without.
func TestMutants(t *testing.T) {
	defer func() { Mutant, singleton.Mutant = "", "" }()
	const seeds, seedsWithoutFault = 100, 20
	tests := []struct {
		variable *string
		mutant   string
	}{
		{&Mutant, ""},
		{&Mutant, "unfenced"},
		{&Mutant, "vote-unkept"},
		{&Mutant, "entries-unkept"},
		{&singleton.Mutant, "token-again"},
		{&singleton.Mutant, "leader-forgets"},
		{&singleton.Mutant, "renewal-unagreed"},
		{&singleton.Mutant, "expires-early"},
		{&singleton.Mutant, "expires-unseen"},
		{&singleton.Mutant, "acts-on"},
	}
	for _, test := range tests {
		t.Run(test.mutant, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1)
			*test.variable = test.mutant
			defer func() { *test.variable = "" }()
			maxSeeds, found := uint64(seeds), ""
			if test.mutant == "" {
				maxSeeds = seedsWithoutFault
			}
			seed := uint64(0)
			for ; seed < maxSeeds && found == ""; seed++ {
				if s := simulate(seed, 60); len(s.problems) > 0 {
					found = s.problems[0]
				}
			}
			if (found == "") != (test.mutant == "") {
				t.Errorf("%d runs found %q", seed, found)
			}
			t.Logf("seed %d: %s", seed-1, found)
		})
	}
}

func TestRolledBackStoreMutant(t *testing.T) {
	defer func() { Mutant = "" }()
	cryptotest.SetGlobalRandom(t, 1)
	if Mutant = "gone-back-votes"; checkRolledBackStore() == nil {
		t.Error("mutant gone-back-votes was not found")
	}
}
