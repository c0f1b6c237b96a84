//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// seededFault is the name of a fault and a scenario that detects it. observe runs the scenario and returns the
// failures.
type seededFault struct {
	name    string
	observe func(*testing.T) []string
}

// findSeededFaults fails a test for each fault that its scenario does not detect, and for each scenario that reports
// failures without the fault.
func findSeededFaults(t *testing.T, faults []seededFault) {
	t.Helper()
	for _, fault := range faults {
		mutants.Seed(t, "")
		if failures := fault.observe(t); len(failures) > 0 {
			t.Errorf("without a fault: %s", failures[0])
		}
		mutants.Seed(t, fault.name)
		failures := fault.observe(t)
		if len(failures) == 0 {
			t.Errorf("%s: not found", fault.name)
			continue
		}
		t.Logf("%s: %.160s", fault.name, failures[0])
	}
}
