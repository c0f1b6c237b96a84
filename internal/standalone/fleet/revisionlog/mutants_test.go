//go:build mutants

package revisionlog

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// TestMutants checks that checkSuccession or one of the simulated fleets finds each seeded fault.
func TestMutants(t *testing.T) {
	const seeds = 300
	for _, fault := range []string{"older-taken", "unkept-confirmed", "number-again", "ungathered"} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "revisionlog/"+fault)
			found := ""
			if err := checkSuccession(); err != nil {
				found = err.Error()
			}
			for seed := uint64(0); seed < seeds && found == ""; seed++ {
				found = simulate(seed)
			}
			if found == "" {
				t.Error("the fault is not found: a property is missing")
			}
			t.Log(found)
		})
	}
}
