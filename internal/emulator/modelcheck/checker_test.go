package modelcheck

import (
	"slices"
	"strings"
	"testing"
)

// shortDepth is the number of events that fits into the time limit of CI; `mulleinrouter model-check states` explores
// orderings of four and more events.
const shortDepth = 2

// TestEveryShortOrdering checks that no ordering violates a property, and that enough orderings were played.
func TestEveryShortOrdering(t *testing.T) {
	r := Explore(Options{Depth: shortDepth, Random: 6000, Seed: 1})
	for _, v := range r.Violations {
		t.Errorf("%v", v)
	}
	t.Logf("%d orderings, %d steps, %d kinds of states", r.Orderings, r.Steps, r.States)
	t.Logf("%d of %d pairs", r.Pairs, r.AllPairs)
	if r.Orderings < 10_000 || r.States < 500 {
		t.Errorf("got %d orderings and %d kinds of states, want at least 10000 and 500", r.Orderings, r.States)
	}
}

// TestEveryEventHappens checks that every kind of event happens in some world. With kinds that never happen, a run
// would cover less than its alphabet suggests. It follows every first event, and later events only of kinds not seen
// before.
func TestEveryEventHappens(t *testing.T) {
	seen := map[string]bool{}
	var explore func(config Config, choices []int, depth int)
	explore = func(config Config, choices []int, depth int) {
		w, _, _ := play(config, choices)
		for i, e := range w.events() {
			kind := kindOf(e.name)
			if !slices.Contains(alphabet, kind) {
				t.Fatalf("%q is not in the alphabet", e.name)
			}
			first := !seen[kind]
			seen[kind] = true
			if depth > 0 && (first || depth > 1) {
				explore(config, append(slices.Clone(choices), i), depth-1)
			}
		}
	}
	for _, config := range Configs() {
		explore(config, nil, 2)
	}
	for _, kind := range alphabet {
		if !seen[kind] {
			t.Errorf("%s never happens", kind)
		}
	}
}

// TestClientOrders checks that no ordering of six events on a client's connection violates a property.
func TestClientOrders(t *testing.T) {
	result := ExploreClientConnections(6)
	if v := result.Violation; v != nil {
		t.Errorf("%s: %s: %s", v.Property, v.Text, strings.Join(result.Trace, ", "))
	}
	t.Logf("%d orderings", result.Orderings)
}
