//go:build mutants

package modelcheck

import (
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/mutants"
)

// faults are seeded in the code that serves; a violation of a property must be found for each.
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

// Every fault that is seeded in the clients' connections is found.
func TestClientMutants(t *testing.T) {
	for _, fault := range []string{"drained-stays", "taken-is-cut", "head-for-ever", "busy-spared",
		"stall-for-ever", "trickle-for-ever", "last-kept", "asked-dropped"} {
		mutants.Seed(t, "clientconn/"+fault)
		_, trace, violation := ExploreClientConnections(6)
		if violation == nil {
			t.Errorf("%s lives: a property is missing", fault)
			continue
		}
		t.Logf("%s: %s, %s: %s", fault, violation.Property, violation.Text, strings.Join(trace, ", "))
	}
}

// Every fault that is seeded is found, with a short trace that violates nothing in the code as it is.
func TestMutants(t *testing.T) {
	for _, m := range faults {
		t.Run(m.name, func(t *testing.T) {
			mutants.Seed(t, m.pkg+"/"+m.name)
			var found []*Trace
			for depth := 1; depth <= 2 && len(found) == 0; depth++ {
				found = Explore(Options{Depth: depth, Random: 20_000 * (depth - 1), Seed: 1}).Violations
			}
			if len(found) == 0 {
				t.Fatal("it lives: a property is missing")
			}
			shortest := found[0]
			for _, f := range found {
				if len(f.Events) < len(shortest.Events) {
					shortest = f
				}
			}
			t.Logf(
				"%d events, %s: %q in %v",
				len(shortest.Events),
				shortest.Violation.Property,
				shortest.Events,
				shortest.Config,
			)
			mutants.Seed(t, "")
			if violations, _ := Replay(shortest.Config, shortest.Events); len(violations) > 0 {
				t.Errorf("its trace violates %v without it", violations)
			}
		})
	}
}

// Seeded faults that only a longer order shows, and no property without them.
func TestMutantsFarOff(t *testing.T) {
	for _, m := range []struct {
		pkg, name string
		world     string
		events    string
		want      string
	}{
		{"upstreamconn", "unnamed-kept", "send servers=1 odd",
			"last-byte c1, 503-unnamed c1, retries c1, time, last-byte c2, other-answer c2", "refusal-is-harmless"},
		{"upstreamconn", "others-endless", "send servers=1 odd", "last-byte c1" +
			strings.Repeat(", other-answer c1", 9), "bounded"},
	} {
		t.Run(m.name, func(t *testing.T) {
			c, err := ParseConfig(m.world)
			if err != nil {
				t.Fatal(err)
			}
			events := strings.Split(m.events, ", ")
			for _, fault := range []string{m.pkg + "/" + m.name, ""} {
				mutants.Seed(t, fault)
				violations, happened := Replay(c, events)
				found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Property == m.want })
				if found != (fault != "") || fault == "" && len(violations) > 0 {
					t.Errorf("with %q seeded, %q violates %v, want %s", fault, happened, violations, m.want)
				}
			}
		})
	}
}

// A long body whose first bytes leave after the news of a drain is found, though one that had begun before may go on.
func TestLongBodyAfterDrain(t *testing.T) {
	c := Config{Servers: 1, IdleConnection: true, StreamedBody: true}
	late, begun := []string{"drains s1", "time", "last-byte c1"}, []string{"last-byte c1", "drains s1", "time", "up c1"}
	for _, row := range []struct {
		mutant string
		events []string
		want   string
	}{{"upstreamconn/held-goes", late, "drained"}, {"", late, ""}, {"upstreamconn/held-goes", begun, ""}, {"", begun, ""}} {
		mutants.Seed(t, row.mutant)
		got := ""
		if found, _ := Replay(c, row.events); len(found) > 0 {
			got = found[0].Property
		}
		if got != row.want {
			t.Errorf("%q with %q seeded violates %q, want %q", row.events, row.mutant, got, row.want)
		}
	}
}
