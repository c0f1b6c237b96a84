//go:build mutants

package control

import (
	"sync"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/control/mutant"
)

// The orders find what is seeded here, in the directory and in the ballots: in so many seeds, or in a scene.
func TestOrdersFind(t *testing.T) {
	for _, f := range []struct {
		mutant string
		of     *string
		scene  string
	}{
		{"answers-before", &mutant.Name, ""},
		{"answers-left", &mutant.Name, ""},
		{"answers-others", &mutant.Name, "other found"},
		{"learns-any", &mutant.Name, "word of another"},
		{"refuses-unsure", &mutant.Name, "cut off"},
		{"proposes-gone", &mutant.Name, "gone"},
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
		*f.of = f.mutant
		seed, wrong := uint64(0), ""
		if f.scene != "" {
			wrong = play(t, scenes[f.scene])
		} else {
			seed, wrong = firstWrong(t, 200)
		}
		if *f.of = ""; wrong == "" {
			t.Errorf("%s: not found", f.mutant)
		}
		t.Logf("%s: seed %d: %.300s", f.mutant, seed, wrong)
	}
}

// firstWrong plays seeds until one shows something.
func firstWrong(t *testing.T, most uint64) (seed uint64, wrong string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	next := uint64(0)
	for range 4 {
		all.Go(func() {
			for {
				mu.Lock()
				s, over := next, next >= most || wrong != ""
				next++
				mu.Unlock()
				if over {
					return
				}
				if r := orders(t, s); r.wrong != "" {
					mu.Lock()
					seed, wrong = s, r.wrong
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return seed, wrong
}
