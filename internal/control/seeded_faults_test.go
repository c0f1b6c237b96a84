//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// seededFault is a fault by its name, and a run that finds it: it returns what it observed to be wrong.
type seededFault struct {
	name string
	play func(*testing.T) []string
}

// findSeededFaults fails a test for each fault that its run does not find, and for each run that finds something
// without it.
func findSeededFaults(t *testing.T, faults []seededFault) {
	t.Helper()
	for _, fault := range faults {
		mutants.Seed(t, "")
		if failures := fault.play(t); len(failures) > 0 {
			t.Errorf("without a fault: %s", failures[0])
		}
		mutants.Seed(t, fault.name)
		failures := fault.play(t)
		if len(failures) == 0 {
			t.Errorf("%s: not found", fault.name)
			continue
		}
		t.Logf("%s: %.160s", fault.name, failures[0])
	}
}
