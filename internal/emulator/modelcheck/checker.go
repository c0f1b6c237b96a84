package modelcheck

import (
	"slices"
	"strings"
)

// Options defines the extent of an exploration.
type Options struct {
	Depth    int      // number of events up to which every ordering is played, after the requests are submitted
	Random   int      // minimum number of additional random orderings, of five to eight events each; 0 means none
	Seed     uint64   // seed of the random orderings
	Configs  []Config // worlds to explore; nil means all
	Progress Progress // receives the progress; nil if it is not to be reported
}

// Progress receives the number of jobs of an exploration that are done, the number of all jobs, and the number of
// orderings played so far. The workers call it concurrently.
type Progress func(done, all int, orderings int64)

// Result is the result of an exploration.
type Result struct {
	Orderings  int64
	Steps      int64    // number of events in all orderings
	States     int      // number of different states, as far as the properties depend on them
	Pairs      int      // number of pairs of event kinds that followed each other directly
	AllPairs   int      // number of pairs that the alphabet allows
	Violations []*Trace // a short trace for each violated property, sorted by the property's name
}

// Explore plays every ordering of events up to a depth in each world, and additional longer orderings at random.
func Explore(options Options) *Result {
	if options.Configs == nil {
		options.Configs = Configs()
	}
	ex := newExplorer(options)
	ex.run()
	return ex.result()
}

// result returns the result of an exploration whose workers have ended.
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

// play plays an ordering as far as possible. Each choice is an index into the events that are possible at that point.
// It returns the world, the names of the events that happened, and the number of events that are possible next. This
// number is 0 if a choice is not possible or follows a violation.
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

// Replay plays the named events, skips those that are not possible, and lets the world run to completion. It returns
// the violations, and the names of the events that happened.
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
	w.runToCompletion()
	return w.violations, happened
}
