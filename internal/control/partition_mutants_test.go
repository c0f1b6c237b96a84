//go:build mutants

package control

import (
	"testing"

	"mulleinrouter/internal/mutants"
)

// Each seeded fault in the handling of contact is found by a partition or a suspension.
func TestPartitionMutants(t *testing.T) {
	partition := func(t *testing.T) []string {
		return observe(t, 3, func(g *observedCluster) { partitionNode(g, g.seeds[0], partitionKinds["silent"]) })
	}
	suspension := func(t *testing.T) []string { return observe(t, 9, suspendNode) }
	for _, test := range []struct {
		name string
		play func(*testing.T) []string
	}{
		{"httpapi/acknowledges-alone", partition},
		{"control/judges-alone", partition},
		{"control/keeps-counters-alone", partition},
		{"control/ready-alone", partition},
		{"majority/contact-as-last-looked", suspension},
		{"control/serves-through-a-lapse", suspension},
	} {
		mutants.Seed(t, "")
		if failures := test.play(t); len(failures) > 0 {
			t.Errorf("without a fault: %s", failures[0])
		}
		mutants.Seed(t, test.name)
		failures := test.play(t)
		if len(failures) == 0 {
			t.Errorf("%s: not found", test.name)
			continue
		}
		t.Logf("%s: %.160s", test.name, failures[0])
	}
}
