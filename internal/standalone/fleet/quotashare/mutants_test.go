//go:build mutants

package quotashare

import "testing"

// Each seeded fault breaks the bound in a timeline, or a rule of one part.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"give-after-take", "lease-from-answer", "back-early", "held-for-ever", "loan-for-ever", "promise-last", "promises-forgotten",
		"lends-twice", "totals-believed", "vote-twice", "warned-all"} {
		text := checkRules()
		for seed := uint64(0); seed < 300 && text == ""; seed++ {
			text = runScenario(seed).violation
		}
		if text == "" {
			t.Errorf("%s lives: a rule is missing", Mutant)
		}
		t.Logf("%s: %s", Mutant, text)
	}
}
