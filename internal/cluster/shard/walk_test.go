package shard

import (
	"testing"

	"mulleinrouter/internal/race"
)

// walks returns the number of random walks, one per seed. It is lower under the race detector, which is slower.
func walks() uint64 {
	if race.Enabled {
		return 60
	}
	return 600
}

// The random walks inject all faults. At any time at most one replica may hold the lease, no committed batch may be
// lost, and the shard must work again once the faults end.
func TestRandomWalks(t *testing.T) {
	committed, elections := 0, 0
	for seed := range walks() {
		s := walk(seed)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		committed += len(s.committed)
		elections += s.elections
	}
	t.Logf("%d batches committed, %d terms of leaseholders in %d walks", committed, elections, walks())
	if committed < 10*int(walks()) || elections < 4*int(walks()) {
		t.Errorf("too little happened: %d batches, %d terms", committed, elections)
	}
}
