//go:build mutants

package control

import (
	"sync"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/mutant"
)

// The random operators or a scenario find each fault that is seeded in the queue, the ballots and the configuration.
func TestOperatorMutants(t *testing.T) {
	for _, test := range []struct {
		mutant   string
		name     *string // variable of the package that has the fault
		scenario string  // empty: the random operators find it
	}{
		{"answers-before", &mutant.Name, ""},
		{"answers-left", &mutant.Name, ""},
		{"answers-others", &mutant.Name, "foreign change chosen"},
		{"learns-any", &mutant.Name, "chosen message for another change"},
		{"refuses-unsure", &mutant.Name, "partitioned node"},
		{"proposes-gone", &mutant.Name, "abandoned call"},
		{"keeps-ballot", &consensus.Mutant, "late majority"},
		{"stale-ballot", &consensus.Mutant, ""},
		{"ignores-pending", &consensus.Mutant, ""},
		{"composes-blind", &consensus.Mutant, ""},
		{"byte-for-byte", &configuration.Mutant, ""},
		{"forgets-past", &configuration.Mutant, ""},
		{"judges-overtaken", &configuration.Mutant, ""},
		{"takes-contradiction", &configuration.Mutant, ""},
		{"equal-wins", &configuration.Mutant, ""},
	} {
		*test.name = test.mutant
		seed, failure := uint64(0), ""
		if test.scenario != "" {
			failure = runScenario(t, scenarios[test.scenario])
		} else {
			seed, failure = firstFailure(t, 200)
		}
		if *test.name = ""; failure == "" {
			t.Errorf("%s: not found", test.mutant)
		}
		t.Logf("%s: seed %d: %.300s", test.mutant, seed, failure)
	}
}

// firstFailure runs seeds until one fails.
func firstFailure(t *testing.T, limit uint64) (seed uint64, failure string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	next := uint64(0)
	for range 4 {
		all.Go(func() {
			for {
				mu.Lock()
				s, over := next, next >= limit || failure != ""
				next++
				mu.Unlock()
				if over {
					return
				}
				if r := runOperators(t, s); r.failure != "" {
					mu.Lock()
					seed, failure = s, r.failure
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return seed, failure
}
