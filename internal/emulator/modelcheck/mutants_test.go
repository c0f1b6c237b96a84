//go:build mutants

package modelcheck

import (
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/mutants"
)

// faults lists the faults seeded in the production code that Explore must find.
var faults = []struct {
	pkg  string
	name string
}{
	{"upstreamconn", "ready-draining"},
	{"upstreamconn", "held-goes"},
	{"upstreamconn", "ready-moved"},
	{"upstreamconn", "unwritten-kept"},
	{"upstreamconn", "more-kept"},
	{"upstreamconn", "close-kept"},
	{"upstreamconn", "cancelled-kept"},
	{"upstreamconn", "busy-unproven"},
	{"upstreamconn", "error-proves"},
	{"upstreamconn", "reset-proves"},
	{"upstreamconn", "late-proves"},
	{"upstreamconn", "cancel-proves"},
	{"upstreamconn", "spoilt-kept"},
	{"upstreamconn", "early-kept"},
	{"attempt", "spent-untold"},
	{"upstreamconn", "taken-stays"},
	{"upstreamconn", "put-twice"},
	{"upstreamconn", "gone-uncounted"},
	{"attempt", "deserted-waits"},
	{"attempt", "left-is-over"},
	{"attempt", "ended-stays"},
	{"attempt", "gone-untold"},
	{"attempt", "fail-refuses"},
	{"attempt", "cancel-lost"},
	{"attempt", "no-time-out"},
	{"attempt", "leaving-untold"},
	{"upstreamconn", "other-kept"},
	{"upstreamconn", "cut-kept"},
	{"upstreamconn", "stream-more-kept"},
	{"attempt", "planned-untold"},
	{"attempt", "impatient-always"},
}

// TestClientMutants checks that every fault that is seeded in clientconn is found.
func TestClientMutants(t *testing.T) {
	for _, fault := range []string{
		"drained-stays",
		"taken-is-cut",
		"head-for-ever",
		"busy-spared",
		"stall-for-ever",
		"trickle-for-ever",
		"last-kept",
		"asked-dropped",
	} {
		t.Run(fault, func(t *testing.T) {
			mutants.Seed(t, "clientconn/"+fault)
			result := ExploreClientConnections(6)
			if result.Violation == nil {
				t.Fatal("no property is violated, so the seeded fault is not found")
			}
			t.Logf("%+v: %s", *result.Violation, strings.Join(result.Trace, ", "))
		})
	}
}

// TestMutants checks that every seeded fault is found, and that its trace violates no property without the fault.
func TestMutants(t *testing.T) {
	for _, m := range faults {
		t.Run(m.name, func(t *testing.T) {
			mutants.Seed(t, m.pkg+"/"+m.name)
			var found []*Trace
			for depth := 1; depth <= 2 && len(found) == 0; depth++ {
				found = Explore(Options{Depth: depth, Random: 20_000 * (depth - 1), Seed: 1}).Violations
			}
			if len(found) == 0 {
				t.Fatal("no property is violated, so the seeded fault is not found")
			}
			shortest := slices.MinFunc(found, func(a, b *Trace) int { return len(a.Events) - len(b.Events) })
			t.Logf("%d events: %v", len(shortest.Events), shortest)
			mutants.Seed(t, "")
			if violations, _ := Replay(shortest.Config, shortest.Events); len(violations) > 0 {
				t.Errorf("without the fault its trace violates %v, want nothing", violations)
			}
		})
	}
}

// TestMutantsFoundByLongOrderings covers the faults that only a longer ordering shows. It checks that the ordering
// violates the expected property, and violates none without the fault.
func TestMutantsFoundByLongOrderings(t *testing.T) {
	for _, tc := range []struct {
		pkg, name string
		world     string
		events    []string
		want      string
	}{
		{
			pkg:   "upstreamconn",
			name:  "unnamed-kept",
			world: "send servers=1 odd",
			events: []string{
				"last-byte c1", "503-unnamed c1", "retries c1", "time", "last-byte c2", "other-answer c2",
			},
			want: propertyHarmlessRejection,
		},
		{
			pkg:    "upstreamconn",
			name:   "others-endless",
			world:  "send servers=1 odd",
			events: append([]string{"last-byte c1"}, slices.Repeat([]string{"other-answer c1"}, 9)...),
			want:   propertyBounded,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			config, err := ParseConfig(tc.world)
			if err != nil {
				t.Fatal(err)
			}
			mutants.Seed(t, tc.pkg+"/"+tc.name)
			violations, happened := Replay(config, tc.events)
			if !slices.ContainsFunc(violations, func(v Violation) bool { return v.Property == tc.want }) {
				t.Errorf("%q violates %v, want %s", happened, violations, tc.want)
			}
			mutants.Seed(t, "")
			if violations, happened := Replay(config, tc.events); len(violations) > 0 {
				t.Errorf("%q violates %v without the fault, want nothing", happened, violations)
			}
		})
	}
}

// TestLongBodyAfterDrain checks that a streamed body whose first bytes are sent after the drain of the server is known
// counts as a violation, while a body whose first bytes were sent before may continue.
func TestLongBodyAfterDrain(t *testing.T) {
	config := Config{Servers: 1, IdleConnection: true, StreamedBody: true}
	late := []string{"drains s1", "time", "last-byte c1"}
	begun := []string{"last-byte c1", "drains s1", "time", "up c1"}
	for _, tc := range []struct {
		name   string
		mutant string
		events []string
		want   string // the first property that is violated
	}{
		{"late with the fault", "upstreamconn/held-goes", late, propertyDraining},
		{"late", "", late, ""},
		{"begun with the fault", "upstreamconn/held-goes", begun, ""},
		{"begun", "", begun, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mutants.Seed(t, tc.mutant)
			got := ""
			if violations, _ := Replay(config, tc.events); len(violations) > 0 {
				got = violations[0].Property
			}
			if got != tc.want {
				t.Errorf("got violation %q, want %q", got, tc.want)
			}
		})
	}
}
