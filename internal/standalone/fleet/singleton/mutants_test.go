//go:build mutants

package singleton

import (
	"errors"
	"testing"
)

// Faults that the simulated fleets of package quorum cannot tell apart, as two guards stand behind each other, are
// found by the dialogues of each part.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	mutants := []string{
		"token-unchecked",
		"held-granted",
		"token-again",
		"lease-from-answer",
		"woken-acts",
		"acts-on",
		"expires-unseen",
	}
	for _, Mutant = range mutants {
		err := errors.Join(checkLeaseTable(), checkLeaseHolder())
		if err == nil {
			t.Errorf("mutant %s was not found", Mutant)
		}
		t.Logf("%s: %v", Mutant, err)
	}
}
