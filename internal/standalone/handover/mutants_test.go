//go:build mutants

package handover

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// TestMutants checks that the random runs detect each seeded fault, which lets the shares add up to more than 1.
func TestMutants(t *testing.T) {
	for _, fault := range []string{"sleeper-keeps", "grows-unseen"} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "handover/"+fault)
			for seed := range uint64(randomRuns) {
				if maxSum, _ := randomRun(seed); maxSum > 1+shareTolerance {
					return
				}
			}
			t.Error("no random run detected the fault")
		})
	}
}
