//go:build mutants

package majority

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// The comparison with the reference model detects the seeded fault, and reports no difference without a fault.
func TestLeaseMutants(t *testing.T) {
	find := func() string {
		for seed := range uint64(300) {
			if difference := compareLeaseWithModel(seed); difference != "" {
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
