//go:build mutants

package control

import (
	"sync"
	"testing"

	"mulleinrouter/internal/mutants"
)

// The orders find what is seeded here, in the directory and in the ballots: in so many seeds, or in a scene.
func TestOrdersFind(t *testing.T) {
	for _, f := range []struct {
		mutant string
		of     *string // nil: it is one of package mutants
		scene  string
	}{
		{"answers-before", &Mutant, ""},
		{"answers-left", &Mutant, ""},
		{"answers-others", &Mutant, "other found"},
		{"learns-any", &Mutant, "word of another"},
		{"refuses-unsure", &Mutant, "cut off"},
		{"proposes-gone", &Mutant, "gone"},
		{"consensus/keeps-ballot", nil, "late majority"},
		{"consensus/stale-ballot", nil, ""},
		{"consensus/ignores-pending", nil, ""},
		{"consensus/composes-blind", nil, ""},
		{"configuration/byte-for-byte", nil, ""},
		{"configuration/forgets-past", nil, ""},
		{"configuration/judges-overtaken", nil, ""},
		{"configuration/takes-contradiction", nil, ""},
		{"configuration/equal-wins", nil, ""},
	} {
		if f.of != nil {
			*f.of = f.mutant
		} else {
			mutants.Seed(t, f.mutant)
		}
		seed, wrong := uint64(0), ""
		if f.scene != "" {
			wrong = play(t, scenes[f.scene])
		} else {
			seed, wrong = firstWrong(t, 200)
		}
		if f.of != nil {
			*f.of = ""
		} else {
			mutants.Seed(t, "")
		}
		if wrong == "" {
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
