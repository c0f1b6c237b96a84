//go:build mutants

package control

import (
	"testing"
	"time"

	"mulleinrouter/internal/mutants"
)

// Each seeded fault in what is concluded from pauses, resets and kills is found by them.
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
	for _, test := range []struct {
		name string
		play func(*testing.T) []string
	}{
		{"majority/lease-of-one-round", quota},
		{"replication/heartbeats-not-resumed", resets},
		{"httpapi/acknowledges-alone", kills},
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
