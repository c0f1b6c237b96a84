package modelcheck

import (
	"slices"
	"strings"
)

// Options say how far to explore.
type Options struct {
	Depth    int      // events of every ordering, after the requests have been submitted
	Random   int      // further orderings that are drawn at random, of five to eight events each; 0: none
	Seed     uint64   // of those
	Configs  []Config // the worlds; nil: all
	Progress Progress // nil: not reported
}

// Progress receives how many of the parts of an exploration are done, and how many orderings these had. Workers call
// it, several at once.
type Progress func(done, all int, orderings int64)

// Result is what an exploration found.
type Result struct {
	Orderings  int64
	Steps      int64    // events of all orderings
	States     int      // different states, as far as the properties depend on them
	Pairs      int      // of kinds of events of which one came right behind the other
	AllPairs   int      // of the alphabet
	Violations []*Trace // a short trace for each property that does not hold, by the property's name
}

// Explore plays every ordering up to a depth in each world, and some deeper ones that are drawn at random.
func Explore(options Options) *Result {
	if options.Configs == nil {
		options.Configs = Configs()
	}
	ex := newExplorer(options)
	ex.run()
	return ex.result()
}

// result sums up an exploration whose workers have ended.
func (ex *explorer) result() *Result {
	r := &Result{
		Orderings: ex.orderings.Load(),
		Steps:     ex.steps.Load(),
		States:    len(ex.coverage.states),
		Pairs:     len(ex.coverage.pairs),
		AllPairs:  len(alphabet) * len(alphabet),
	}
	for _, t := range ex.violations {
		r.Violations = append(r.Violations, minimize(t))
	}
	slices.SortFunc(r.Violations, func(a, b *Trace) int {
		return strings.Compare(a.Violation.Property, b.Violation.Property)
	})
	return r
}

// play plays an ordering, given by choices among the events that may happen, as far as possible. It returns the world,
// the names of what happened, and how many events may happen next.
func play(config Config, choices []int) (w *world, names []string, next int) {
	w = newWorld(config)
	w.checkInvariants()
	for _, choice := range choices {
		events := w.events()
		if choice >= len(events) || len(w.violations) > 0 {
			return w, names, 0
		}
		names = append(names, events[choice].name)
		w.step(events[choice])
	}
	return w, names, len(w.events())
}

// Replay plays the events of these names, leaves out those that may not happen, and lets the world settle. It
// returns the violations, and the events that happened.
func Replay(config Config, names []string) (violations []Violation, happened []string) {
	w := newWorld(config)
	for _, name := range names {
		if e, ok := w.findEvent(name); ok {
			w.step(e)
			happened = append(happened, name)
		}
		if len(w.violations) > 0 {
			return w.violations, happened
		}
	}
	w.settle()
	return w.violations, happened
}
