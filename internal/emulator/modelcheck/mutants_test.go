//go:build mutants

package modelcheck

import (
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/dataplane/attempt"
	clientconn "mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// mutants are faults that are seeded in what serves, and the properties of which one must be found violated.
var mutants = []struct {
	where *string
	name  string
}{
	{
		&upstreamconn.Mutant,
		"ready-draining",
	},
	{&upstreamconn.Mutant, "held-goes"},
	{&upstreamconn.Mutant, "ready-moved"},
	{&upstreamconn.Mutant, "unwritten-kept"},
	{&upstreamconn.Mutant, "more-kept"},
	{
		&upstreamconn.Mutant,
		"close-kept",
	},
	{&upstreamconn.Mutant, "cancelled-kept"},
	{&upstreamconn.Mutant, "busy-unproven"},
	{&upstreamconn.Mutant, "error-proves"},
	{
		&upstreamconn.Mutant,
		"reset-proves",
	},
	{&upstreamconn.Mutant, "late-proves"},
	{&upstreamconn.Mutant, "cancel-proves"},
	{&upstreamconn.Mutant, "spoilt-kept"},
	{
		&upstreamconn.Mutant,
		"early-kept",
	},
	{&attempt.Mutant, "spent-untold"},
	{&upstreamconn.Mutant, "taken-stays"},
	{&upstreamconn.Mutant, "put-twice"},
	{&upstreamconn.Mutant, "gone-uncounted"},
	{
		&attempt.Mutant,
		"deserted-waits",
	},
	{&attempt.Mutant, "left-is-over"},
	{&attempt.Mutant, "ended-stays"},
	{&attempt.Mutant, "gone-untold"},
	{
		&attempt.Mutant,
		"fail-refuses",
	},
	{&attempt.Mutant, "cancel-lost"},
	{&attempt.Mutant, "no-time-out"},
	{&attempt.Mutant, "leaving-untold"},
	{
		&upstreamconn.Mutant,
		"other-kept",
	},
	{&upstreamconn.Mutant, "cut-kept"},
	{&upstreamconn.Mutant, "stream-more-kept"},
	{&attempt.Mutant, "planned-untold"},
	{&attempt.Mutant, "impatient-always"},
}

// Every fault that is seeded in the clients' connections is found.
func TestClientMutants(t *testing.T) {
	defer func() { clientconn.Mutant = "" }()
	for _, clientconn.Mutant = range []string{"drained-stays", "taken-is-cut", "head-for-ever", "busy-spared",
		"stall-for-ever", "trickle-for-ever", "last-kept", "asked-dropped"} {
		_, trace, violation := Clients(6)
		if violation == nil {
			t.Errorf("%s lives: a property is missing", clientconn.Mutant)
			continue
		}
		t.Logf("%s: %s, %s: %s", clientconn.Mutant, violation.Property, violation.Text, strings.Join(trace, ", "))
	}
}

// Every fault that is seeded is found, with a short trace that violates nothing in the code as it is.
func TestMutants(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			*m.where = m.name
			defer func() { *m.where = "" }()
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
			*m.where = ""
			if violations, _ := Replay(shortest.Config, shortest.Events); len(violations) > 0 {
				t.Errorf("its trace violates %v without it", violations)
			}
		})
	}
}

// Seeded faults that only a longer order shows, and no property without them.
func TestMutantsFarOff(t *testing.T) {
	for _, m := range []struct {
		where       *string
		name, world string
		events      string
		want        string
	}{
		{&upstreamconn.Mutant, "unnamed-kept", "send servers=1 odd",
			"last-byte c1, 503-unnamed c1, retries c1, time, last-byte c2, other-answer c2", "refusal-is-harmless"},
		{&upstreamconn.Mutant, "others-endless", "send servers=1 odd", "last-byte c1" +
			strings.Repeat(", other-answer c1", 9), "bounded"},
	} {
		t.Run(m.name, func(t *testing.T) {
			defer func() { *m.where = "" }()
			c, err := ParseConfig(m.world)
			if err != nil {
				t.Fatal(err)
			}
			events := strings.Split(m.events, ", ")
			for _, *m.where = range []string{m.name, ""} {
				violations, happened := Replay(c, events)
				found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Property == m.want })
				if found != (*m.where != "") || *m.where == "" && len(violations) > 0 {
					t.Errorf("with %q seeded, %q violates %v, want %s", *m.where, happened, violations, m.want)
				}
			}
		})
	}
}

// A long body whose first bytes leave after the news of a drain is found, though one that had begun before may go on.
func TestLongBodyAfterDrain(t *testing.T) {
	defer func() { upstreamconn.Mutant = "" }()
	c := Config{Servers: 1, Kept: true, Long: true}
	late, begun := []string{"drains s1", "time", "last-byte c1"}, []string{"last-byte c1", "drains s1", "time", "up c1"}
	for _, row := range []struct {
		mutant string
		events []string
		want   string
	}{{"held-goes", late, "drained"}, {"", late, ""}, {"held-goes", begun, ""}, {"", begun, ""}} {
		upstreamconn.Mutant = row.mutant
		got := ""
		if found, _ := Replay(c, row.events); len(found) > 0 {
			got = found[0].Property
		}
		if got != row.want {
			t.Errorf("%q with %q seeded violates %q, want %q", row.events, row.mutant, got, row.want)
		}
	}
}
