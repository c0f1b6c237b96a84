//go:build mutants

package control

import "testing"

// Each seeded fault in the handling of contact with a majority is detected by a partition or a suspension.
func TestPartitionMutants(t *testing.T) {
	partition := func(t *testing.T) []string {
		return observe(t, 3, func(g *observedCluster) { partitionNode(g, g.seeds[0], partitionKinds["silent"]) })
	}
	suspension := func(t *testing.T) []string { return observe(t, 9, suspendNode) }
	findSeededFaults(t, []seededFault{
		{"httpapi/acknowledges-alone", partition},
		{"control/judges-alone", partition},
		{"control/keeps-counters-alone", partition},
		{"control/ready-alone", partition},
		{"majority/contact-as-last-looked", suspension},
		{"control/serves-through-a-lapse", suspension},
	})
}
