//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/control/mutant"
)

// Each fault of contact that is seeded is found by what partition_test.go plays.
func TestPartitionMutants(t *testing.T) {
	defer func() { mutant.Name = "" }()
	partition := func(t *testing.T) []string {
		return observe(t, 3, func(g *observedCluster) { partitionNode(g, g.seeds[0], partitionKinds["silent"]) })
	}
	suspension := func(t *testing.T) []string { return observe(t, 9, suspendNode) }
	for _, test := range []struct {
		name string
		play func(*testing.T) []string
	}{
		{"acknowledges-alone", partition}, {"judges-alone", partition}, {"keeps-counters-alone", partition}, {"ready-alone", partition},
		{"contact-as-last-looked", suspension}, {"serves-through-a-lapse", suspension},
	} {
		mutant.Name = ""
		if failures := test.play(t); len(failures) > 0 {
			t.Errorf("without a fault: %s", failures[0])
		}
		mutant.Name = test.name
		failures := test.play(t)
		if len(failures) == 0 {
			t.Errorf("%s: not found", test.name)
			continue
		}
		t.Logf("%s: %.160s", test.name, failures[0])
	}
}
