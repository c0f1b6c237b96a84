//go:build mutants

package quorum

import (
	"testing"
	"testing/cryptotest"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Every fault that is seeded in what serves, or at the far end, is found by timelines, and none is found without.
func TestMutants(t *testing.T) {
	defer func() { Mutant, singleton.Mutant = "", "" }()
	const seeds = 100
	for _, m := range []struct {
		where *string
		name  string
	}{{&Mutant, ""}, {&Mutant, "unfenced"}, {&Mutant, "vote-unkept"}, {&Mutant, "entries-unkept"}, {&singleton.Mutant, "token-again"}, {&singleton.Mutant, "leader-forgets"},
		{&singleton.Mutant, "renewal-unagreed"}, {&singleton.Mutant, "expires-early"}, {&singleton.Mutant, "expires-unseen"}, {&singleton.Mutant, "acts-on"}} {
		t.Run(m.name, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1)
			*m.where = m.name
			defer func() { *m.where = "" }()
			n, found := uint64(seeds), ""
			if m.name == "" {
				n = 20
			}
			seed := uint64(0)
			for ; seed < n && found == ""; seed++ {
				if f := timeline(seed, 60); len(f.problems) > 0 {
					found = f.problems[0]
				}
			}
			if (found == "") != (m.name == "") {
				t.Errorf("%d timelines found %q", seed, found)
			}
			t.Logf("seed %d: %s", seed-1, found)
		})
	}
}

func TestWentBackMutant(t *testing.T) {
	defer func() { Mutant = "" }()
	cryptotest.SetGlobalRandom(t, 1)
	if Mutant = "gone-back-votes"; goneBack() == "" {
		t.Error("it lives")
	}
}
