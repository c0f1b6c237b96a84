//go:build mutants

package control

import (
	"sync"
	"testing"

	"mulleinrouter/internal/mutants"
)

// Each fault that is seeded into the proposal queue, the consensus or the configuration is detected by the random
// operators or by a scenario.
func TestOperatorMutants(t *testing.T) {
	for _, test := range []struct {
		fault    string
		scenario string // scenario that detects the fault; the random operators do if empty
	}{
		{fault: "proposals/answers-before"},
		{fault: "proposals/answers-left"},
		{fault: "proposals/answers-others", scenario: "foreign change chosen"},
		{fault: "replica/learns-any", scenario: "chosen message for another change"},
		{fault: "proposals/refuses-unsure", scenario: "partitioned node"},
		{fault: "proposals/proposes-gone", scenario: "abandoned call"},
		{fault: "consensus/keeps-ballot", scenario: "late majority"},
		{fault: "consensus/stale-ballot"},
		{fault: "consensus/ignores-pending"},
		{fault: "consensus/composes-blind"},
		{fault: "configuration/byte-for-byte"},
		{fault: "configuration/forgets-past"},
		{fault: "configuration/judges-overtaken"},
		{fault: "configuration/takes-contradiction"},
		{fault: "configuration/equal-wins"},
	} {
		mutants.Seed(t, test.fault)
		seed, failure := uint64(0), ""
		if test.scenario != "" {
			failure = runScenario(t, scenarios[test.scenario])
		} else {
			seed, failure = firstFailure(t, 200)
		}
		if failure == "" {
			t.Errorf("%s: not found", test.fault)
		}
		t.Logf("%s: seed %d: %.300s", test.fault, seed, failure)
	}
}

// firstFailure runs up to limit seeds until one fails, and returns that seed and its failure.
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
