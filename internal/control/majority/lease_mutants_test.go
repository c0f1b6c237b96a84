//go:build mutants

package majority

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The reference model finds the seeded fault, and nothing without one.
func TestLeaseMutants(t *testing.T) {
	find := func() string {
		for seed := range uint64(300) {
			if difference := walkLease(seed); difference != "" {
				return difference
			}
		}
		return ""
	}
	for _, fault := range []string{"", "majority/contact-from-the-answer"} {
		mutants.Seed(t, fault)
		difference := find()
		if (difference != "") != (fault != "") {
			t.Errorf("fault %q: found %q", fault, difference)
		}
		t.Logf("%q: %.160s", fault, difference)
	}
}
