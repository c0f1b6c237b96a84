package modelcheck

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// shortDepth keeps this under the time that CI has; `mulleinrouter audit states` goes to four and beyond.
const shortDepth = 2

func TestEveryShortOrdering(t *testing.T) {
	r := Explore(Options{Depth: shortDepth, Random: 6000, Seed: 1})
	for _, v := range r.Violations {
		t.Errorf("%v", v)
	}
	t.Logf(
		"%d orderings, %d steps, %d kinds of states, %d of %d pairs",
		r.Orderings,
		r.Steps,
		r.States,
		r.Pairs,
		r.AllPairs,
	)
	if r.Orderings < 10_000 || r.States < 500 {
		t.Errorf("only %d orderings and %d kinds of states", r.Orderings, r.States)
	}
}

// Every kind of event happens in some world: an alphabet with letters that nobody uses covers less than it says.
func TestEveryEventHappens(t *testing.T) {
	seen := map[string]bool{}
	var look func(c Config, choices []int, depth int)
	look = func(c Config, choices []int, depth int) {
		w, _, _ := play(c, choices)
		for i, e := range w.events() {
			kind := kindOf(e.name)
			if !slices.Contains(alphabet, kind) {
				t.Fatalf("%q is not in the alphabet", e.name)
			}
			fresh := !seen[kind]
			seen[kind] = true
			if depth > 0 && (fresh || depth > 1) {
				look(c, append(slices.Clone(choices), i), depth-1)
			}
		}
	}
	for _, c := range Configs() {
		look(c, nil, 2)
	}
	for _, kind := range alphabet {
		if !seen[kind] {
			t.Errorf("%s never happens", kind)
		}
	}
}

// Traces in testdata are those of violations that were found: they must stay away.
func TestTracesStayFixed(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		trace, err := ReadTrace(f)
		f.Close()
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		violations, happened := Replay(trace.Config, trace.Events)
		if diff := cmp.Diff(trace.Events, happened); diff != "" {
			t.Errorf("%s: not all of it can happen any more:\n%s", path, diff)
		}
		for _, v := range violations {
			t.Errorf("%s: %s: %s", path, v.Property, v.Text)
		}
	}
}

func TestTraceReadsAsWritten(t *testing.T) {
	want := &Trace{
		Config:    Config{AtMostOnce: [2]bool{true, false}, TwoRequests: true, Servers: 2, IdleConnection: true},
		Events:    []string{"leaves c1", "cancel-lands c1"},
		Violation: Violation{"one-answer", "c1 has 2: last words"},
	}
	got, err := ReadTrace(strings.NewReader(want.String()))
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v\n%s", err, diff)
	}
	for _, bad := range []string{"", "world read", "world read servers=1\nnonsense c1", "world read servers=9"} {
		if _, err := ReadTrace(strings.NewReader(bad)); err == nil {
			t.Errorf("%q is a trace", bad)
		}
	}
}

// Each world has another description, and reads as it is written.
func TestConfigs(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range Configs() {
		again, err := ParseConfig(c.String())
		if err != nil || again != c || seen[c.String()] {
			t.Errorf("%v reads as %v, %v", c, again, err)
		}
		seen[c.String()] = true
	}
}

// No order of six events on a client's connection violates a property.
func TestClientOrders(t *testing.T) {
	orders, trace, violation := ExploreClientConnections(6)
	if violation != nil {
		t.Errorf("%s: %s: %s", violation.Property, violation.Text, strings.Join(trace, ", "))
	}
	t.Logf("%d orders", orders)
}
