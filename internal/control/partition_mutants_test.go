//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

// Each fault of contact that is seeded is found by what partition_test.go plays.
func TestPartitionMutants(t *testing.T) {
	defer func() { mutant.Name = "" }()
	cut := func(t *testing.T) []string {
		return watched(t, 3, func(g *gateway) { cutFor(g, g.seeds[0], ways["silent"]) })
	}
	wakes := func(t *testing.T) []string { return watched(t, 9, stoodStill) }
	for _, m := range []struct {
		name string
		play func(*testing.T) []string
	}{
		{"acknowledges-alone", cut}, {"judges-alone", cut}, {"keeps-counters-alone", cut}, {"ready-alone", cut},
		{"contact-as-last-looked", wakes}, {"serves-through-a-lapse", wakes},
	} {
		mutant.Name = ""
		if wrong := m.play(t); len(wrong) > 0 {
			t.Errorf("without a fault: %s", wrong[0])
		}
		mutant.Name = m.name
		wrong := m.play(t)
		if len(wrong) == 0 {
			t.Errorf("%s: not found", m.name)
			continue
		}
		t.Logf("%s: %.160s", m.name, wrong[0])
	}
}
