package scenario

// Fields that several kinds of fault share.
const (
	onCore = `on = "core"` // the fault affects control nodes
	single = "count = 1"
)

// Variants of faults, by the names that the bench gives them. An empty one adds nothing to the fault.
var (
	// targetVariants select the control node that the fault affects.
	targetVariants = []string{"", "leader", "reader", "seed"}
	// cutVariants determine what happens to the connections across a cut. Values that are listed twice, here and in
	// other lists, are twice as probable.
	cutVariants = []string{"", "", "reset", "refuse"}
	// recoverVariants determine what else happens while a node recovers.
	recoverVariants = []string{"", "meet", "race", "meet race", "race hard"}
	// rollVariants are the variants of a rolling restart.
	rollVariants = []string{"", "busy", "remove"}
)

// coreFaults are the kinds of fault of control nodes that Draw uses.
var coreFaults = []faultKind{
	{"core_cut", 2, func(d drawing) []string {
		directions := []string{"", "", "one_way", "seeds", "both"}
		return []string{
			single,
			d.duration(4, 20),
			d.how(targetVariants, cutVariants, directions, recoverVariants),
		}
	}},
	{"core_cut", 1, func(d drawing) []string {
		return []string{single, "for_s = 20.0", d.how(targetVariants, []string{"", "seeds"}, recoverVariants)}
	}},
	{"node_kill", 2, func(d drawing) []string {
		return []string{
			onCore,
			single,
			d.duration(1, 4),
			d.how([]string{"", "power"}, targetVariants, recoverVariants, []string{"", "drain"}),
		}
	}},
	{"after_ack_kill", 1, func(d drawing) []string {
		return []string{d.duration(1, 3), d.how([]string{"", "kill"}, []string{"", "timed", "taken"})}
	}},
	{"after_ack_wipe", 1, func(d drawing) []string {
		return []string{d.duration(1, 3), d.how([]string{"", "timed"})}
	}},
	{"herd_kill", 1, func(d drawing) []string {
		return []string{onCore, d.duration(1, 2), d.how([]string{"", "power"}, []string{"", "taken"})}
	}},
	{"disk_stall", 1, func(d drawing) []string {
		return []string{single, d.duration(1, 4), d.how([]string{"", "leader"})}
	}},
	{"roll_term", 1, func(d drawing) []string {
		return []string{onCore, "x = 1.0", d.gap(3, 6), d.how(rollVariants)}
	}},
}

// rareCoreFaults are the kinds of fault of control nodes that DrawAny uses, for the most part in variants that Draw
// does not draw.
var rareCoreFaults = []faultKind{
	{"core_cut", 2, func(d drawing) []string {
		return []string{
			single,
			d.duration(4, 20),
			d.how(
				[]string{"", "leader", "reader", "turn", "oldest"},
				cutVariants,
				[]string{"all", "near", "lure", "all lure"},
				recoverVariants,
				[]string{"", "drain"},
			),
		}
	}},
	{"replace_core", 1, func(d drawing) []string {
		return []string{d.factor(0.5, 3), d.how([]string{"", "oldest"}, []string{"", "planned"})}
	}},
	{"after_ack_kill", 1, func(d drawing) []string {
		return []string{d.duration(1, 3), d.how([]string{"taken gone", "timed", "kill taken"})}
	}},
	{"after_ack_wipe", 1, func(d drawing) []string {
		return []string{d.duration(1, 3), d.how([]string{"oldest", "timed"})}
	}},
	{"herd_kill", 1, func(d drawing) []string {
		return []string{onCore, d.duration(1, 2), d.how([]string{"power taken", "taken all", "power"})}
	}},
	{"disk_full", 1, func(d drawing) []string {
		return []string{single, d.duration(2, 6)}
	}},
	{"disk_slow", 1, func(d drawing) []string {
		return []string{single, d.factor(10, 40), d.duration(2, 8), d.how([]string{"", "leader"})}
	}},
}
