package scenario

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A seed draws one day, and a few dozen seeds draw every kind and variant that may strike the core.
func TestDraw(t *testing.T) {
	is := is.New(t)
	var all strings.Builder
	most := 0
	for seed := range uint64(200) {
		d := Draw(seed, 0.9, 0.5)
		is.Equal(d.String(), Draw(seed, 0.9, 0.5).String())
		is.True(len(d.Faults) >= 2 && len(d.Faults) <= 4)
		for _, list := range [][]Fault{d.Faults, d.Plan} {
			for i, tr := range list {
				is.True(tr.At >= 2 && tr.At <= last)
				is.True(i == 0 || int(1000*list[i-1].At) <= int(1000*tr.At))
			}
		}
		most = max(most, len(d.Plan))
		all.WriteString(d.String())
	}
	is.True(most >= 100) // changes by the hundred
	for _, want := range []string{"core_cut", "node_kill", "after_ack_kill", "after_ack_wipe", "herd_kill", "disk_stall",
		"roll_term", "power_off_all", "wipe_after_ack",
		"kill_all", "seeds", "both", "one_way", "meet", "race hard", "timed", "taken", "remove", "drain", "stale_match",
		"reset", "refuse", "for_s = 20.0"} {
		is.True(strings.Contains(all.String(), want)) // a variant that no seed draws
	}
}

// The days of any trouble have every kind and variant that Draw lacks.
func TestDrawAny(t *testing.T) {
	is := is.New(t)
	var all strings.Builder
	for seed := range uint64(400) {
		d := DrawAny(seed, 0.9, 0.5)
		is.Equal(d.String(), DrawAny(seed, 0.9, 0.5).String())
		is.True(len(d.Faults) >= 3 && len(d.Faults) <= 6)
		all.WriteString(d.String())
	}
	for _, want := range []string{"hot_tenant", "burst", "retry_abuse", "give_up", "srv_crash", "srv_slow",
		"replace_with_reuse", "scale_in", "answer_lost", "garble", "node_kill",
		"node_freeze", "node_slow", "roll_term", "herd_kill", "node_cut", "clock_step", "hup", "reset_conns",
		"replace_core", "disk_full", "disk_slow", "lure", "near", "turn",
		"oldest", "planned", "taken gone", "taken all", "unframed", "early", "extra late", "spot", "servers", "dark",
		"across"} {
		is.True(strings.Contains(all.String(), want)) // a variant that no seed draws
	}
}
