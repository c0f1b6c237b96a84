package modelcheck

import (
	"errors"
	"testing"
)

// TestConfigs checks that the text form of each world is unique, and that ParseConfig returns the same world.
func TestConfigs(t *testing.T) {
	seen := map[string]bool{}
	for _, want := range Configs() {
		text := want.String()
		got, err := ParseConfig(text)
		if err != nil || got != want {
			t.Errorf("ParseConfig(%q) = %+v, %v, want %+v", text, got, err, want)
		}
		if seen[text] {
			t.Errorf("two worlds have the text form %q", text)
		}
		seen[text] = true
	}
}

func TestParseConfigErrors(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       error
	}{
		{"no server", "read kept", ErrServerCount},
		{"server count", "read servers=9", UnknownConditionError{"servers=9"}},
		{"class in second place", "servers=1 read", UnknownConditionError{"read"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := ParseConfig(tc.text); !errors.Is(err, tc.want) {
				t.Errorf("ParseConfig(%q): got error %v, want %v", tc.text, err, tc.want)
			}
		})
	}
}
