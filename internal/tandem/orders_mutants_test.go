//go:build mutants

package tandem

import (
	"sync"
	"testing"

	"mulleinrouter/internal/office/directory"
	"mulleinrouter/internal/tandem/ballot"
)

// The orders find what is seeded here, in the directory and in the ballots: in so many seeds, or in a scene.
func TestOrdersFind(t *testing.T) {
	for _, f := range []struct {
		mutant string
		of     *string
		scene  string
	}{
		{"answers-before", &Mutant, ""},
		{"answers-left", &Mutant, ""},
		{"answers-others", &Mutant, "other found"},
		{"learns-any", &Mutant, "word of another"},
		{"refuses-unsure", &Mutant, "cut off"},
		{"proposes-gone", &Mutant, "gone"},
		{"keeps-ballot", &ballot.Mutant, "late majority"},
		{"stale-ballot", &ballot.Mutant, ""},
		{"ignores-pending", &ballot.Mutant, ""},
		{"composes-blind", &ballot.Mutant, ""},
		{"byte-for-byte", &directory.Mutant, ""},
		{"forgets-past", &directory.Mutant, ""},
		{"judges-overtaken", &directory.Mutant, ""},
		{"takes-contradiction", &directory.Mutant, ""},
		{"equal-wins", &directory.Mutant, ""},
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
