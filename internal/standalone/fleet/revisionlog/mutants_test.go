//go:build mutants

package revisionlog

import "testing"

// Simulations, or the dialogue, find each seeded fault.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"older-taken", "unkept-confirmed", "number-again", "ungathered"} {
		found := ""
		if err := checkSuccession(); err != nil {
			found = err.Error()
		}
		for seed := uint64(0); seed < 300 && found == ""; seed++ {
			found = simulate(seed)
		}
		if found == "" {
			t.Errorf("mutant %s was not found", Mutant)
		}
		t.Logf("%s: %s", Mutant, found)
	}
}
