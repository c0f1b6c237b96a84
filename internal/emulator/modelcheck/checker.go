package modelcheck

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Options say how far to look.
type Options struct {
	Depth    int // events of every ordering, after the requests have been asked
	Random   int // further orderings drawn by chance, of five to eight events each
	Seed     uint64
	Configs  []Config // nil: all
	Progress func(done, all int, orderings int64)
}

// Result is what an exploration found.
type Result struct {
	Orderings, Steps int64
	States           int // kinds of states
	Pairs, AllPairs  int // of kinds of events that came one behind the other, of those of the alphabet
	Violations       []*Trace
}

// Trace is an ordering that violates a property.
type Trace struct {
	Config    Config
	Events    []string
	Violation Violation
}

// String is the trace as a text file that Replay reads.
func (t *Trace) String() string {
	return fmt.Sprintf(
		"# %s: %s\nworld %v\n%s\n",
		t.Violation.Property,
		t.Violation.Text,
		t.Config,
		strings.Join(t.Events, "\n"),
	)
}

// Configs are all the small worlds.
func Configs() (all []Config) {
	for _, servers := range []int{1, 2} {
		for bits := range 8 {
			base := Config{Servers: servers, IdleConnection: bits&1 != 0, Sparse: bits&2 != 0, OneConnection: bits&4 != 0}
			for _, send := range []bool{false, true} {
				one := base
				one.AtMostOnce[0] = send
				all = append(all, one)
			}
			if !base.Sparse { // two requests at once: the connection and the desk are what they share
				for _, pair := range [][2]bool{{false, true}, {true, true}} {
					two := base
					two.TwoRequests, two.AtMostOnce = true, pair
					all = append(all, two)
				}
			}
		}
	}
	for _, servers := range []int{1, 2} { // a body goes up as it comes
		for _, send := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				all = append(all, Config{Servers: servers, AtMostOnce: [2]bool{send}, IdleConnection: kept, StreamedBody: true})
			}
		}
	}
	for _, servers := range []int{1, 2} { // what nobody asked for comes, and what is long
		for _, send := range []bool{false, true} {
			all = append(all, Config{Servers: servers, AtMostOnce: [2]bool{send}, IdleConnection: true, OddServers: true})
		}
	}
	all = append(all, Config{Servers: 1, TwoRequests: true, AtMostOnce: [2]bool{false, true}, OneConnection: true, OddServers: true})
	for _, servers := range []int{1, 2} { // while a connection comes up, the list may change and the client leave
		for _, send := range []bool{false, true} {
			all = append(all, Config{Servers: servers, AtMostOnce: [2]bool{send}, SlowDials: true})
		}
	}
	return all
}

// kindOf is the kind of an event's name.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, " ")
	return kind
}

// play runs an ordering given by choices among the events that may happen, as far as it goes. It returns the world, the
// names of what happened, and how many events might have happened last.
func play(c Config, choices []int) (w *world, names []string, more int) {
	w = newWorld(c)
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

// explorer gathers what its workers find.
type explorer struct {
	orderings, steps atomic.Int64
	mu               sync.Mutex
	states           map[string]struct{}
	pairs            map[[2]string]struct{}
	found            map[string]*Trace // the first of each property
}

// Explore goes through every ordering up to a depth in each small world, and some deeper ones by chance.
func Explore(o Options) *Result {
	if o.Configs == nil {
		o.Configs = Configs()
	}
	x := &explorer{states: map[string]struct{}{}, pairs: map[[2]string]struct{}{}, found: map[string]*Trace{}}
	type job struct {
		config Config
		first  int // choice that it begins with; -1: orderings by chance
		seed   uint64
	}
	var jobs []job
	for i, c := range o.Configs {
		_, _, more := play(c, nil)
		for first := range more {
			jobs = append(jobs, job{c, first, 0})
		}
		if o.Random > 0 {
			jobs = append(jobs, job{c, -1, o.Seed*1000 + uint64(i)})
		}
	}
	var next, done atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := &coverage{states: map[string]struct{}{}, pairs: map[[2]string]struct{}{}}
			for {
				n := int(next.Add(1)) - 1
				if n >= len(jobs) {
					break
				}
				if j := jobs[n]; j.first >= 0 {
					x.exploreFrom(l, j.config, []int{j.first}, o.Depth)
				} else {
					x.exploreRandom(l, j.config, o.Random/len(o.Configs)+1, j.seed)
				}
				if d := done.Add(1); o.Progress != nil {
					o.Progress(int(d), len(jobs), x.orderings.Load())
				}
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			for s := range l.states {
				x.states[s] = struct{}{}
			}
			for p := range l.pairs {
				x.pairs[p] = struct{}{}
			}
		}()
	}
	wg.Wait()
	r := &Result{
		Orderings: x.orderings.Load(),
		Steps:     x.steps.Load(),
		States:    len(x.states),
		Pairs:     len(x.pairs),
		AllPairs:  len(alphabet) * len(alphabet),
	}
	for _, t := range x.found {
		r.Violations = append(r.Violations, minimize(t))
	}
	slices.SortFunc(
		r.Violations,
		func(a, b *Trace) int { return strings.Compare(a.Violation.Property, b.Violation.Property) },
	)
	return r
}

// coverage is what one worker has seen.
type coverage struct {
	states map[string]struct{}
	pairs  map[[2]string]struct{}
}

// exploreFrom goes through all orderings that begin with some choices.
func (x *explorer) exploreFrom(l *coverage, c Config, choices []int, depth int) {
	w, names, more := play(c, choices)
	x.record(l, c, w, names)
	if len(choices) >= depth || len(w.violations) > 0 {
		return
	}
	for choice := range more {
		x.exploreFrom(l, c, append(choices[:len(choices):len(choices)], choice), depth)
	}
}

// exploreRandom goes through orderings drawn by chance.
func (x *explorer) exploreRandom(l *coverage, c Config, many int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range many {
		w := newWorld(c)
		var names []string
		for range 5 + rng.IntN(4) {
			events := w.events()
			e := events[rng.IntN(len(events))]
			names = append(names, e.name)
			if w.step(e); len(w.violations) > 0 {
				break
			}
		}
		x.record(l, c, w, names)
	}
}

// record counts an ordering, lets its world come to its end, and takes note of what is violated.
func (x *explorer) record(l *coverage, c Config, w *world, names []string) {
	x.orderings.Add(1)
	x.steps.Add(int64(w.steps))
	l.states[w.stateKey()] = struct{}{}
	if n := len(names); n >= 2 {
		l.pairs[[2]string{kindOf(names[n-2]), kindOf(names[n-1])}] = struct{}{}
	}
	if len(w.violations) == 0 {
		w.settle()
	}
	for _, v := range w.violations {
		x.mu.Lock()
		if was := x.found[v.Property]; was == nil || len(names) < len(was.Events) {
			x.found[v.Property] = &Trace{c, slices.Clone(names), v}
		}
		x.mu.Unlock()
	}
}

// Replay plays a trace's events by name, leaves out those that may not happen, and lets the world come to its end. It
// tells what is violated and which events happened.
func Replay(c Config, names []string) (violations []Violation, happened []string) {
	w := newWorld(c)
	for _, name := range names {
		if e, ok := w.find(name); ok {
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

// minimize shortens a trace for as long as it violates the same property.
func minimize(t *Trace) *Trace {
	violates := func(events []string) (Violation, []string, bool) {
		found, happened := Replay(t.Config, events)
		i := slices.IndexFunc(found, func(v Violation) bool { return v.Property == t.Violation.Property })
		if i < 0 {
			return Violation{}, nil, false
		}
		return found[i], happened, true
	}
	best := *t
	for shorter := true; shorter; {
		shorter = false
		for i := range best.Events {
			less := slices.Delete(slices.Clone(best.Events), i, i+1)
			if v, happened, ok := violates(less); ok {
				best.Events, best.Violation, shorter = happened, v, true
				break
			}
		}
	}
	return &best
}

// ReadTrace reads a trace's text.
func ReadTrace(r io.Reader) (*Trace, error) {
	t, worlds := &Trace{}, 0
	for lines := bufio.NewScanner(r); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if rest, ok := strings.CutPrefix(line, "# "); ok && t.Violation.Property == "" {
			t.Violation.Property, t.Violation.Text, _ = strings.Cut(rest, ": ")
			continue
		}
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "world "):
			c, err := ParseConfig(strings.TrimPrefix(line, "world "))
			if err != nil {
				return nil, err
			}
			t.Config, worlds = c, worlds+1
		default:
			if !slices.Contains(alphabet, kindOf(line)) {
				return nil, fmt.Errorf("no event %q", line)
			}
			t.Events = append(t.Events, line)
		}
	}
	if worlds != 1 {
		return nil, fmt.Errorf("a trace needs one line with its world")
	}
	return t, nil
}
