package consensus

import (
	"testing"

	"mulleinrouter/internal/race"
)

// walks returns the number of random walks, one per seed. It is lower under the race detector, which is slower.
func walks() uint64 {
	if race.Enabled {
		return 1000
	}
	return 10000
}

// randomWalk runs the simulation for a seed with a fault, or without faults if fault is empty. It returns the first
// violation and the number of chosen changes.
func randomWalk(seed uint64, fault string) (wrong string, chosen int) {
	s := newSimulation(seed, fault)
	for range 150 + seed%600 {
		if s.step(); s.violation != "" {
			return s.violation, 0
		}
	}
	s.heal()
	return s.violation, len(s.chosen)
}

// In no walk may two changes be chosen for one epoch, an acknowledged call be lost, a rejected call take effect, or a
// completed change of the electorate be on too few disks.
func TestRandomWalks(t *testing.T) {
	chosen := 0
	for seed := range walks() {
		wrong, n := randomWalk(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		chosen += n
	}
	if chosen < int(walks()) {
		t.Errorf("only %d changes in %d walks", chosen, walks())
	}
}

// The random walks must find two faults of a node: to answer before the state is synced, and to vote after the loss of
// its disk.
func TestRandomWalksFindFaults(t *testing.T) {
	for _, fault := range []string{"unsynced", "votes-blank"} {
		seed, wrong := uint64(0), ""
		for ; seed < 10*walks() && wrong == ""; seed++ {
			wrong, _ = randomWalk(seed, fault)
		}
		if wrong == "" {
			t.Errorf("%s: not found", fault)
		}
		t.Logf("%s: seed %d: %s", fault, seed-1, wrong)
	}
}
