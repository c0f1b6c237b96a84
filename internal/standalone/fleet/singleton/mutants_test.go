//go:build mutants

package singleton

import "testing"

// What the timelines cannot tell apart, for two guards stand behind each other, the rules of each part do.
func TestMutants(t *testing.T) {
	defer func() { Mutant = "" }()
	for _, Mutant = range []string{"token-unchecked", "held-granted", "token-again", "lease-from-answer", "woken-acts", "acts-on", "expires-unseen"} {
		text := rules()
		if text == "" {
			t.Errorf("%s lives: a rule is missing", Mutant)
		}
		t.Logf("%s: %s", Mutant, text)
	}
}
