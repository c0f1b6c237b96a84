//go:build mutants

package control

import (
	"testing"
	"time"
)

// Each seeded fault in the handling of pauses, connection resets and kills is detected by the scenario that causes
// them.
func TestMachineMutants(t *testing.T) {
	quota := func(t *testing.T) []string {
		return observeOver(t, 9, &partitionableLinks{pauses: new(processPauses)}, func(g *observedCluster) {
			underQuota(g, append([]string{""}, g.seeds...), func(string) time.Duration { return 0 })
		})
	}
	resets := func(t *testing.T) []string {
		return observe(t, 9, func(g *observedCluster) { resetBursts(g, g.seeds[:1], 300*time.Millisecond) })
	}
	kills := func(t *testing.T) []string {
		return observe(t, 9, func(g *observedCluster) { killTogether(g, g.seeds[:2], nil) })
	}
	findSeededFaults(t, []seededFault{
		{"majority/lease-of-one-round", quota},
		{"replication/heartbeats-not-resumed", resets},
		{"httpapi/acknowledges-alone", kills},
	})
}
