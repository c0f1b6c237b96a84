package modelcheck

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// The bounds of the number of events in a random ordering.
const (
	minRandomEvents = 5
	maxRandomEvents = 8
)

// job is a part of an exploration that one worker does at a time.
type job struct {
	config Config
	random bool
	seed   uint64 // seed of a random job
	first  int    // first choice of all orderings, unless the job is random
}

// coverage is the set of states and of pairs of events that were reached.
type coverage struct {
	states map[string]struct{}
	pairs  map[[2]string]struct{} // pairs of event kinds that followed each other directly
}

func newCoverage() *coverage {
	return &coverage{states: map[string]struct{}{}, pairs: map[[2]string]struct{}{}}
}

func (c *coverage) add(other *coverage) {
	for state := range other.states {
		c.states[state] = struct{}{}
	}
	for pair := range other.pairs {
		c.pairs[pair] = struct{}{}
	}
}

// explorer owns the workers of an exploration, and collects their findings.
type explorer struct {
	options   Options
	jobs      []job
	started   atomic.Int64 // number of jobs started
	done      atomic.Int64 // number of jobs done
	orderings atomic.Int64 // number of orderings played
	steps     atomic.Int64 // number of events in them

	mu         sync.Mutex // guards the fields below
	coverage   *coverage
	violations map[string]*Trace // the shortest trace for each violated property
}

func newExplorer(options Options) *explorer {
	ex := &explorer{options: options, coverage: newCoverage(), violations: map[string]*Trace{}}
	for i, config := range options.Configs {
		_, _, choices := play(config, nil)
		for first := range choices {
			ex.jobs = append(ex.jobs, job{config: config, first: first})
		}
		if options.Random > 0 {
			// 1000 exceeds the number of worlds, so that no two values of options.Seed share the seed of a job.
			seed := options.Seed*1000 + uint64(i)
			ex.jobs = append(ex.jobs, job{config: config, random: true, seed: seed})
		}
	}
	return ex
}

// run does all jobs, and returns when the workers have ended.
func (ex *explorer) run() {
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(ex.work)
	}
	workers.Wait()
}

// work does jobs until all are started.
func (ex *explorer) work() {
	seen := newCoverage()
	for {
		next := int(ex.started.Add(1)) - 1
		if next >= len(ex.jobs) {
			break
		}
		ex.explore(ex.jobs[next], seen)
		done := ex.done.Add(1)
		if ex.options.Progress != nil {
			ex.options.Progress(int(done), len(ex.jobs), ex.orderings.Load())
		}
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.coverage.add(seen)
}

func (ex *explorer) explore(j job, seen *coverage) {
	if j.random {
		ex.exploreRandom(j, seen)
		return
	}
	ex.exploreFrom(j.config, []int{j.first}, seen)
}

// exploreFrom plays all orderings that begin with the given choices.
func (ex *explorer) exploreFrom(config Config, choices []int, seen *coverage) {
	w, names, next := play(config, choices)
	ex.record(w, names, seen)
	if len(choices) >= ex.options.Depth || len(w.violations) > 0 {
		return
	}
	for choice := range next {
		ex.exploreFrom(config, append(slices.Clip(choices), choice), seen)
	}
}

// exploreRandom plays the random orderings of one world. All worlds get the same share.
func (ex *explorer) exploreRandom(j job, seen *coverage) {
	rng := rand.New(rand.NewPCG(j.seed, 1))
	for range ex.options.Random/len(ex.options.Configs) + 1 {
		w := newWorld(j.config)
		var names []string
		for range minRandomEvents + rng.IntN(maxRandomEvents-minRandomEvents+1) {
			events := w.events()
			e := events[rng.IntN(len(events))]
			names = append(names, e.name)
			w.step(e)
			if len(w.violations) > 0 {
				break
			}
		}
		ex.record(w, names, seen)
	}
}

// record counts an ordering, lets its world run to completion, and stores the shortest trace for each violated
// property. It adds only the state and the pair of events at the end of the ordering to the coverage, because
// exploreFrom records each shorter ordering as well. Earlier states and pairs of a random ordering are not counted.
func (ex *explorer) record(w *world, names []string, seen *coverage) {
	ex.orderings.Add(1)
	ex.steps.Add(int64(w.steps))
	seen.states[w.stateKey()] = struct{}{}
	if n := len(names); n >= 2 {
		seen.pairs[[2]string{kindOf(names[n-2]), kindOf(names[n-1])}] = struct{}{}
	}
	if len(w.violations) == 0 {
		w.runToCompletion()
	}
	if len(w.violations) == 0 {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, v := range w.violations {
		shortest := ex.violations[v.Property]
		if shortest == nil || len(names) < len(shortest.Events) {
			ex.violations[v.Property] = &Trace{Config: w.config, Events: slices.Clone(names), Violation: v}
		}
	}
}
