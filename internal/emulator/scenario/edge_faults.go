package scenario

import (
	"fmt"
	"strings"
)

// edgeFaults are the faults of servers, edge machines and callers.
var edgeFaults = []faultKind{
	{"hot_tenant", 1, func(d drawing) []string {
		return []string{d.factor(5, 9), d.duration(4, 9), d.count(6)}
	}},
	{"burst", 1, func(d drawing) []string {
		return []string{d.factor(1.5, 2.5), d.duration(3, 6)}
	}},
	{"retry_abuse", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.4), d.factor(1, 3), d.duration(3, 6)}
	}},
	{"give_up", 1, func(d drawing) []string {
		return []string{d.share(0.2, 0.7), d.factor(50, 200), d.duration(3, 8)}
	}},
	{"srv_crash", 1, func(d drawing) []string {
		return []string{
			d.share(0.1, 0.3),
			d.duration(3, 6),
			d.how([]string{"", "dark"}, []string{"", "gone"}, []string{"", "across"}),
		}
	}},
	{"srv_slow", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.3), d.factor(3, 6), d.duration(4, 8)}
	}},
	{"replace_with_reuse", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.2), d.how([]string{"", "drain", "dark"})}
	}},
	{"scale_in", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.2), d.how([]string{"spot"})}
	}},
	{"answer_lost", 1, func(d drawing) []string {
		return []string{d.share(0.3, 0.6), d.factor(0.02, 0.06), d.duration(3, 6), d.how([]string{"", "reset"})}
	}},
	{"garble", 2, func(d drawing) []string {
		return []string{
			d.share(0.3, 0.6),
			d.factor(0.02, 0.05),
			d.duration(3, 6),
			d.how([]string{"", "extra", "extra late", "unframed", "early"}),
		}
	}},
	{"node_kill", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.4), d.duration(2, 5), d.how([]string{"", "power"})}
	}},
	{"node_freeze", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.3), d.duration(1, 6)}
	}},
	{"node_slow", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.3), d.factor(3, 6), d.duration(3, 6)}
	}},
	{"roll_term", 1, rollingRestart},
	{"herd_kill", 1, func(d drawing) []string {
		return []string{d.share(0.3, 0.7), d.duration(1, 3), d.how([]string{"", "power"})}
	}},
	{"node_cut", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.4), d.duration(4, 12), d.how([]string{"", "all", "servers"})}
	}},
	{"clock_step", 1, func(d drawing) []string {
		return []string{
			d.share(0.2, 0.5),
			fmt.Sprintf("x = %.0f.0", d.between(500, 4000)),
			d.duration(3, 8),
			d.how([]string{"", "back", "ahead"}),
		}
	}},
	{"hup", 1, func(d drawing) []string {
		return []string{d.share(0.3, 1), d.gap(0.5, 2)}
	}},
	{"reset_conns", 1, func(d drawing) []string {
		return []string{d.share(0.1, 0.5), d.factor(0.3, 1), d.how([]string{""})} // how is always empty
	}},
}

// rollingRestart draws the restart of edge machines one after the other.
func rollingRestart(d drawing) []string {
	variant, high := d.how(rollVariants), 1.0
	if strings.Contains(variant, "remove") {
		high = 0.3 // the remaining machines must be able to handle the traffic
	}
	return []string{
		d.share(high/2, high),
		fmt.Sprintf("x = %d.0", 1+d.IntN(4)),
		d.gap(0.3, 1.5),
		variant,
	}
}
