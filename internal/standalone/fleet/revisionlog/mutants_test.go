//go:build mutants

package revisionlog

import "testing"

// Each seeded fault breaks a rule of a timeline, or one of a few steps.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"older-taken", "unkept-confirmed", "number-again", "ungathered"} {
		text := rules()
		for seed := uint64(0); seed < 300 && text == ""; seed++ {
			text = play(seed)
		}
		if text == "" {
			t.Errorf("%s lives: a rule is missing", Mutant)
		}
		t.Logf("%s: %s", Mutant, text)
	}
}
