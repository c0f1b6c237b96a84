//go:build mutants

package quotashare

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// maxScenarios is the number of scenarios within which each seeded fault must be found.
const maxScenarios = 300

// TestMutants checks that each seeded fault is found by a rule of one component or by a random scenario.
func TestMutants(t *testing.T) {
	for _, fault := range []string{
		"give-after-take",
		"lease-from-answer",
		"back-early",
		"held-for-ever",
		"loan-for-ever",
		"promise-last",
		"promises-forgotten",
		"lends-twice",
		"totals-believed",
		"vote-twice",
		"warned-all",
	} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "quotashare/"+fault)
			violation := ""
			for _, r := range rules {
				if violation == "" {
					violation = r.check()
				}
			}
			for seed := uint64(0); seed < maxScenarios && violation == ""; seed++ {
				violation = runScenario(seed).violation
			}
			if violation == "" {
				t.Error("the fault is not found: a rule is missing")
			}
			t.Log(violation)
		})
	}
}
