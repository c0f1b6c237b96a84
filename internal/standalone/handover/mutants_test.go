//go:build mutants

package handover

import "testing"

// Every fault that is seeded lets processes be more than one ingress.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"sleeper-keeps", "grows-unseen"} {
		found := false
		for seed := range uint64(3000) {
			if most, _ := parts(seed); most > 1+1e-9 {
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s lives: a property is missing", Mutant)
		}
	}
}
