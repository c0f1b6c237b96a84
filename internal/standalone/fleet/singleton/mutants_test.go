//go:build mutants

package singleton

import (
	"errors"
	"testing"

	"mulleinrouter/internal/mutants"
)

// TestMutants checks that each seeded fault is found by the tests of one component. The simulated fleets of package
// quorum find only some of these faults, because a second check masks the others.
func TestMutants(t *testing.T) {
	for _, fault := range []string{
		"token-unchecked",
		"held-granted",
		"token-again",
		"lease-from-answer",
		"woken-acts",
		"acts-on",
		"expires-unseen",
	} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "singleton/"+fault)
			err := errors.Join(checkLeaseTable(), checkLeaseHolder())
			if err == nil {
				t.Error("the fault is not found: a property is missing")
			}
			t.Log(err)
		})
	}
}

// TestGrantResponseMutant checks that checkGrantResponse finds a leader that confirms a lease in the response that
// first reports its grant.
func TestGrantResponseMutant(t *testing.T) {
	mutants.Seed(t, "singleton/grant-is-lease")
	if checkGrantResponse() == nil {
		t.Error("mutant grant-is-lease was not found")
	}
}
