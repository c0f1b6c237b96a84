//go:build mutants

package majority

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

// The reference model finds the seeded fault.
func TestLeaseMutants(t *testing.T) {
	defer func() { mutant.Name = "" }()
	find := func() string {
		for seed := range uint64(300) {
			if difference := walkLease(seed); difference != "" {
				return difference
			}
		}
		return ""
	}
	for _, mutant.Name = range []string{"", "contact-from-the-answer"} {
		difference := find()
		if (difference != "") != (mutant.Name != "") {
			t.Errorf("mutant %q: found %q", mutant.Name, difference)
		}
		t.Logf("%q: %.160s", mutant.Name, difference)
	}
}
