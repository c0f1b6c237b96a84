//go:build mutants

package ballot

import "testing"

func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"stale-ballot", "recovers-early", "ignores-pending", "keeps-ballot", "composes-together", "composes-blind"} {
		seed, wrong := uint64(0), ""
		for ; seed < 20*walks && wrong == ""; seed++ {
			wrong, _ = walk(seed, "")
		}
		if wrong == "" {
			t.Errorf("%s: not found", Mutant)
		}
		t.Logf("%s: seed %d: %s", Mutant, seed-1, wrong)
	}
}
