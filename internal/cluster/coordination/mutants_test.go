//go:build mutants

package coordination

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// failures counts what a scenario reports.
type failures int

func (f *failures) Errorf(string, ...any) { *f++ }

// The scenarios must find each fault that can be seeded into the tables.
func TestScenariosFindMutants(t *testing.T) {
	for _, fault := range []string{
		"lock-expires-at-take-over", "fence-from-memory", "number-before-commit", "history-cut-at-take-over",
		"puts-forgotten-at-take-over", "reads-uncommitted", "watches-uncommitted",
		"delayed-release-ends-hold",
	} {
		mutants.Seed(t, "coordination/"+fault)
		found := failures(0)
		for _, scenario := range scenarios {
			scenario(newLeaseholder(&found))
		}
		if found == 0 {
			t.Errorf("%s: not found", fault)
		}
	}
}
