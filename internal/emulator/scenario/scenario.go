// Package scenario draws days of trouble. Draw is for the core: which of its machines are cut off, killed, emptied or
// stopped, when, in which of the ways that the bench of the operators knows (`fleetbench kinds`), while the
// configuration changes. DrawAny is for all that may come beside it. A seed always draws the same day. It does no
// I/O.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Seconds are counted from the start of traffic.
type Seconds = float64

// Fault is one entry of a day. Its strings are TOML values as they stand in the file.
type Fault struct {
	At     Seconds
	Kind   string
	Fields []string // name = value
}

func (t Fault) String() string {
	return fmt.Sprintf(
		"  { at = %.2f, kind = %q%s },",
		t.At,
		t.Kind,
		strings.Join(append([]string{""}, t.Fields...), ", "),
	)
}

// Day is what a file of a day holds. Traffic is that of the deployment.
type Day struct {
	Name    string
	Seed    uint64
	One     float64 // the marks between which worth less prices is read as a score
	Zero    float64
	Closing string // a TOML table; empty: none
	Plan    []Fault
	Faults  []Fault
}

const (
	first = 5.0  // s: when the first fault may come
	last  = 26.0 // s: and the last
)

// Draw draws a day: between two and four faults of the core, changes of the configuration through the day, now and then
// hundreds of them, other planned work, and mostly a closing fault.
func Draw(seed uint64, one, zero float64) Day {
	d := drawing{rand.New(rand.NewPCG(seed, 7))}
	day := Day{Name: fmt.Sprintf("worst-%02d", seed), Seed: 1000 + seed, One: one, Zero: zero}
	for range 2 + d.IntN(3) {
		day.Faults = append(day.Faults, d.fault(d.between(first, last)))
	}
	day.Plan = append(day.Plan, d.changes()...)
	for range 1 + d.IntN(3) {
		day.Plan = append(day.Plan, d.planned(d.between(3, last)))
	}
	d.finish(&day, []string{"", "power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all"}, "", "timed", "taken")
	return day
}

// finish puts the troubles of a day in order and draws its closing fault, of these kinds; a lost disk in one of these
// ways.
func (d drawing) finish(day *Day, kinds []string, wiped ...string) {
	for _, list := range [][]Fault{day.Faults, day.Plan} {
		slices.SortStableFunc(list, func(a, b Fault) int { return int(1000*a.At) - int(1000*b.At) })
	}
	if kind := d.pick(kinds...); kind != "" {
		day.Closing = fmt.Sprintf("{ kind = %q, down_s = %.2f", kind, d.between(0.7, 1.5))
		if kind == "wipe_after_ack" {
			day.Closing += fmt.Sprintf(", how = %q", d.pick(wiped...))
		}
		day.Closing += " }"
	}
}

type drawing struct{ *rand.Rand }

func (d drawing) between(least, most float64) float64 { return least + (most-least)*d.Float64() }
func (d drawing) pick(of ...string) string            { return of[d.IntN(len(of))] }

// how joins one choice from each list of variants.
func (d drawing) how(lists ...[]string) string {
	var words []string
	for _, l := range lists {
		if w := d.pick(l...); w != "" {
			words = append(words, w)
		}
	}
	return fmt.Sprintf("how = %q", strings.Join(words, " "))
}

func (d drawing) lasting(least, most Seconds) string {
	return fmt.Sprintf("for_s = %.1f", d.between(least, most))
}

var (
	whose  = []string{"", "leader", "reader", "seed"}
	silent = []string{"", "", "reset", "refuse"}
	after  = []string{"", "meet", "race", "meet race", "race hard"}
)

// fault is one of the core.
func (d drawing) fault(at Seconds) Fault {
	switch d.IntN(10) {
	case 0, 1:
		return Fault{
			at,
			"core_cut",
			[]string{"count = 1", d.lasting(4, 20), d.how(whose, silent, []string{"", "", "one_way", "seeds", "both"}, after)},
		}
	case 2:
		return Fault{at, "core_cut", []string{"count = 1", "for_s = 20.0", d.how(whose, []string{"", "seeds"}, after)}}
	case 3, 4:
		return Fault{
			at,
			"node_kill",
			[]string{
				`on = "core"`,
				"count = 1",
				d.lasting(1, 4),
				d.how([]string{"", "power"}, whose, after, []string{"", "drain"}),
			},
		}
	case 5:
		return Fault{
			at,
			"after_ack_kill",
			[]string{d.lasting(1, 3), d.how([]string{"", "kill"}, []string{"", "timed", "taken"})},
		}
	case 6:
		return Fault{at, "after_ack_wipe", []string{d.lasting(1, 3), d.how([]string{"", "timed"})}}
	case 7:
		return Fault{
			at,
			"herd_kill",
			[]string{`on = "core"`, d.lasting(1, 2), d.how([]string{"", "power"}, []string{"", "taken"})},
		}
	case 8:
		return Fault{at, "disk_stall", []string{"count = 1", d.lasting(1, 4), d.how([]string{"", "leader"})}}
	}
	return Fault{
		at,
		"roll_term",
		[]string{
			`on = "core"`,
			"x = 1.0",
			fmt.Sprintf("gap_s = %.1f", d.between(3, 6)),
			d.how([]string{"", "busy", "remove"}),
		},
	}
}

// changes of the configuration: a few, or one in a fraction of a second all day.
func (d drawing) changes() (all []Fault) {
	gap := d.between(3, 8)
	if d.IntN(4) == 0 {
		gap = d.between(0.1, 0.25)
	}
	for at := d.between(2, 4); at < last; at += gap * d.between(0.7, 1.3) {
		all = append(
			all,
			Fault{at, "config_change", []string{d.how([]string{"route", "weights", "timeout", "tenant", "quota", "idle"})}},
		)
	}
	return all
}

// planned is other work beside it.
func (d drawing) planned(at Seconds) Fault {
	switch d.IntN(5) {
	case 0:
		return Fault{
			at,
			"config_race",
			[]string{fmt.Sprintf("count = %d", 1+d.IntN(4)), fmt.Sprintf("gap_s = %.1f", d.between(0.2, 1.2))},
		}
	case 1:
		return Fault{
			at,
			"bad_config",
			[]string{
				"count = 3",
				"gap_s = 0.6",
				d.how([]string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
					"old_version", "same_version", "stale_match", "shared_key"}),
			},
		}
	case 2:
		return Fault{at, "revoke", []string{"count = 2", "gap_s = 1.0"}}
	case 3:
		return Fault{at, "release", []string{"share = 0.3", "x = 1.0", "gap_s = 1.0"}}
	}
	return Fault{at, "scale_in", []string{fmt.Sprintf("share = %.2f", d.between(0.08, 0.15))}}
}

// String is the file of the day.
func (d Day) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\none = %g\nzero = %g\n", d.Name, d.Seed, d.One, d.Zero)
	if d.Closing != "" {
		fmt.Fprintf(&b, "closing = %s\n", d.Closing)
	}
	for _, list := range []struct {
		name string
		of   []Fault
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		fmt.Fprintf(&b, "%s = [\n", list.name)
		for _, t := range list.of {
			fmt.Fprintln(&b, t)
		}
		fmt.Fprintln(&b, "]")
	}
	return b.String()
}

// DrawAny draws a day from every kind and variant that the bench knows for the contracts of the deployments: between
// three and six faults of servers, edge machines, the core and the callers, which overlap, while the configuration
// changes, other planned work, and mostly a closing fault.
func DrawAny(seed uint64, one, zero float64) Day {
	d := drawing{rand.New(rand.NewPCG(seed, 11))}
	day := Day{Name: fmt.Sprintf("any-%02d", seed), Seed: 2000 + seed, One: one, Zero: zero, Plan: d.changes()}
	for range 2 + d.IntN(3) {
		day.Faults = append(day.Faults, d.any(d.between(first, last)))
	}
	for range 1 + d.IntN(2) {
		day.Faults = append(day.Faults, d.hard(d.between(first, last)))
	}
	for range 1 + d.IntN(2) {
		day.Plan = append(day.Plan, d.planned(d.between(3, last)))
	}
	d.finish(&day, []string{"", "power_off_all", "wipe_after_ack", "kill_all"}, "", "timed", "taken", "oldest")
	return day
}

func (d drawing) share(least, most float64) string {
	return fmt.Sprintf("share = %.2f", d.between(least, most))
}

func (d drawing) times(least, most float64) string {
	return fmt.Sprintf("x = %.2f", d.between(least, most))
}

// hard is a trouble of the core in the variants that Draw does not know.
func (d drawing) hard(at Seconds) Fault {
	switch d.IntN(8) {
	case 0, 1:
		return Fault{
			at,
			"core_cut",
			[]string{"count = 1", d.lasting(4, 20), d.how([]string{"", "leader", "reader", "turn", "oldest"}, silent,
				[]string{"all", "near", "lure", "all lure"}, after, []string{"", "drain"})},
		}
	case 2:
		return Fault{at, "replace_core", []string{d.times(0.5, 3), d.how([]string{"", "oldest"}, []string{"", "planned"})}}
	case 3:
		return Fault{at, "after_ack_kill", []string{d.lasting(1, 3), d.how([]string{"taken gone", "timed", "kill taken"})}}
	case 4:
		return Fault{at, "after_ack_wipe", []string{d.lasting(1, 3), d.how([]string{"oldest", "timed"})}}
	case 5:
		return Fault{
			at,
			"herd_kill",
			[]string{`on = "core"`, d.lasting(1, 2), d.how([]string{"power taken", "taken all", "power"})},
		}
	case 6:
		return Fault{at, "disk_full", []string{"count = 1", d.lasting(2, 6)}}
	}
	return Fault{at, "disk_slow", []string{"count = 1", d.times(10, 40), d.lasting(2, 8), d.how([]string{"", "leader"})}}
}

// any is a trouble of servers, edge machines or callers.
func (d drawing) any(at Seconds) Fault {
	switch d.IntN(20) {
	case 0:
		return Fault{at, "hot_tenant", []string{d.times(5, 9), d.lasting(4, 9), fmt.Sprintf("count = %d", 1+d.IntN(6))}}
	case 1:
		return Fault{at, "burst", []string{d.times(1.5, 2.5), d.lasting(3, 6)}}
	case 2:
		return Fault{at, "retry_abuse", []string{d.share(0.1, 0.4), d.times(1, 3), d.lasting(3, 6)}}
	case 3:
		return Fault{at, "give_up", []string{d.share(0.2, 0.7), d.times(50, 200), d.lasting(3, 8)}}
	case 4:
		return Fault{
			at,
			"srv_crash",
			[]string{
				d.share(0.1, 0.3),
				d.lasting(3, 6),
				d.how([]string{"", "dark"}, []string{"", "gone"}, []string{"", "across"}),
			},
		}
	case 5:
		return Fault{at, "srv_slow", []string{d.share(0.1, 0.3), d.times(3, 6), d.lasting(4, 8)}}
	case 6:
		return Fault{at, "replace_with_reuse", []string{d.share(0.1, 0.2), d.how([]string{"", "drain", "dark"})}}
	case 7:
		return Fault{at, "scale_in", []string{d.share(0.1, 0.2), d.how([]string{"spot"})}}
	case 8:
		return Fault{
			at,
			"answer_lost",
			[]string{d.share(0.3, 0.6), d.times(0.02, 0.06), d.lasting(3, 6), d.how([]string{"", "reset"})},
		}
	case 9, 10:
		return Fault{
			at,
			"garble",
			[]string{
				d.share(0.3, 0.6),
				d.times(0.02, 0.05),
				d.lasting(3, 6),
				d.how([]string{"", "extra", "extra late", "unframed", "early"}),
			},
		}
	case 11:
		return Fault{at, "node_kill", []string{d.share(0.1, 0.4), d.lasting(2, 5), d.how([]string{"", "power"})}}
	case 12:
		return Fault{at, "node_freeze", []string{d.share(0.1, 0.3), d.lasting(1, 6)}}
	case 13:
		return Fault{at, "node_slow", []string{d.share(0.1, 0.3), d.times(3, 6), d.lasting(3, 6)}}
	case 14:
		how, most := d.how([]string{"", "busy", "remove"}), 1.0
		if strings.Contains(how, "remove") {
			most = 0.3 // what is left must carry the traffic
		}
		return Fault{
			at,
			"roll_term",
			[]string{
				d.share(most/2, most),
				fmt.Sprintf("x = %d.0", 1+d.IntN(4)),
				fmt.Sprintf("gap_s = %.1f", d.between(0.3, 1.5)),
				how,
			},
		}
	case 15:
		return Fault{at, "herd_kill", []string{d.share(0.3, 0.7), d.lasting(1, 3), d.how([]string{"", "power"})}}
	case 16:
		return Fault{at, "node_cut", []string{d.share(0.1, 0.4), d.lasting(4, 12), d.how([]string{"", "all", "servers"})}}
	case 17:
		return Fault{
			at,
			"clock_step",
			[]string{
				d.share(0.2, 0.5),
				fmt.Sprintf("x = %.0f.0", d.between(500, 4000)),
				d.lasting(3, 8),
				d.how([]string{"", "back", "ahead"}),
			},
		}
	case 18:
		return Fault{at, "hup", []string{d.share(0.3, 1), fmt.Sprintf("gap_s = %.1f", d.between(0.5, 2))}}
	}
	return Fault{at, "reset_conns", []string{d.share(0.1, 0.5), d.times(0.3, 1), d.how([]string{""})}}
}
