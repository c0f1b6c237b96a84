//go:build mutants

package consensus

import "testing"

func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"stale-ballot", "ignores-pending", "keeps-ballot", "composes-together", "composes-blind", "crosses-ballot", "new-chooses", "out-votes",
		"any-disk", "votes-unfinished", "no-seal"} {
		seed, wrong, fault := uint64(0), "", "unsealed" // found by what it brings about, not by where it sits
		if Mutant == "no-seal" {
			fault = ""
		}
		for ; seed < 20*walks && wrong == ""; seed++ {
			wrong, _ = walk(seed, fault)
		}
		if wrong == "" {
			t.Errorf("%s: not found", Mutant)
		}
		t.Logf("%s: seed %d: %s", Mutant, seed-1, wrong)
	}
}
