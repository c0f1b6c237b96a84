//go:build mutants

package handover

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// TestMutants finds each seeded fault: it lets processes have more than one ingress together.
func TestMutants(t *testing.T) {
	for _, fault := range []string{"sleeper-keeps", "grows-unseen"} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "handover/"+fault)
			for seed := range uint64(randomRuns) {
				if maxSum, _ := randomRun(seed); maxSum > 1+shareTolerance {
					return
				}
			}
			t.Error("the fault is not found: a property is missing")
		})
	}
}
