package scenario

import (
	"slices"
	"strings"
	"testing"
)

// drawDays draws the days of many seeds. It checks that a seed always draws the same day, that the number of faults is
// within bounds, and that entries are ordered by time.
func drawDays(
	t *testing.T,
	draw func(seed uint64, one, zero float64) Day,
	seeds uint64,
	minFaults, maxFaults int,
) (days []Day) {
	t.Helper()
	for seed := range seeds {
		day := draw(seed, 0.9, 0.5)
		if again := draw(seed, 0.9, 0.5); again.String() != day.String() {
			t.Errorf("seed %d: got another day the second time:\n%v\nwant\n%v", seed, again, day)
		}
		if n := len(day.Faults); n < minFaults || n > maxFaults {
			t.Errorf("seed %d: got %d faults, want %d to %d", seed, n, minFaults, maxFaults)
		}
		checkTimes(t, seed, day.Faults)
		checkTimes(t, seed, day.Plan)
		days = append(days, day)
	}
	return days
}

// checkTimes checks that entries are ordered by time, and that none is before earliest or after lastFault.
func checkTimes(t *testing.T, seed uint64, faults []Fault) {
	t.Helper()
	const earliest = 2
	for i, f := range faults {
		if f.At < earliest || f.At > lastFault {
			t.Errorf("seed %d: got %v at %v s, want %v to %v", seed, f.Kind, f.At, earliest, lastFault)
		}
		if i > 0 && milliseconds(faults[i-1].At) > milliseconds(f.At) {
			t.Errorf("seed %d: got %v after %v, want them in order", seed, f, faults[i-1])
		}
	}
}

// checkDrawn checks that each kind and variant is drawn on some day.
func checkDrawn(t *testing.T, days []Day, want []string) {
	t.Helper()
	var all strings.Builder
	for _, day := range days {
		all.WriteString(day.String())
	}
	for _, variant := range want {
		if !strings.Contains(all.String(), variant) {
			t.Errorf("no seed draws %q", variant)
		}
	}
}

// TestDraw checks that 200 seeds of Draw draw every kind of fault of control nodes, every closing fault, the listed
// variants, and a day with at least 100 changes.
func TestDraw(t *testing.T) {
	days := drawDays(t, Draw, 200, 2, 4)
	busiest := slices.MaxFunc(days, func(a, b Day) int { return len(a.Plan) - len(b.Plan) })
	if n := len(busiest.Plan); n < 100 {
		t.Errorf("got at most %d changes on a day, want a day with 100", n)
	}
	checkDrawn(t, days, []string{
		"core_cut", "node_kill", "after_ack_kill", "after_ack_wipe", "herd_kill", "disk_stall", "roll_term",
		"power_off_all", "wipe_after_ack", "kill_all",
		"seeds", "both", "one_way", "meet", "race hard", "timed", "taken", "remove", "drain", "stale_match",
		"reset", "refuse", "for_s = 20.0",
	})
}

// TestDrawAny checks that 400 seeds of DrawAny draw every kind of fault that Draw lacks, and the listed variants.
func TestDrawAny(t *testing.T) {
	days := drawDays(t, DrawAny, 400, 3, 6)
	checkDrawn(t, days, []string{
		"hot_tenant", "burst", "retry_abuse", "give_up", "srv_crash", "srv_slow", "replace_with_reuse", "scale_in",
		"answer_lost", "garble", "node_kill", "node_freeze", "node_slow", "roll_term", "herd_kill", "node_cut",
		"clock_step", "hup", "reset_conns", "replace_core", "disk_full", "disk_slow",
		"lure", "near", "turn", "oldest", "planned", "taken gone", "taken all", "unframed", "early", "extra late",
		"spot", "servers", "dark", "across",
	})
}
