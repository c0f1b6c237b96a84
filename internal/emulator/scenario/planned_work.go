package scenario

// plannedWork are the kinds of planned work of operators, other than single changes of the configuration.
var plannedWork = []faultKind{
	{"config_race", 1, func(d drawing) []string {
		return []string{d.count(4), d.gap(0.2, 1.2)}
	}},
	{"bad_config", 1, func(d drawing) []string {
		return []string{"count = 3", "gap_s = 0.6", d.how([]string{
			"cut_short",
			"unknown_service",
			"same_place",
			"no_weight",
			"no_timeout",
			"old_version",
			"same_version",
			"stale_match",
			"shared_key",
		})}
	}},
	{"revoke", 1, func(drawing) []string {
		return []string{"count = 2", "gap_s = 1.0"}
	}},
	{"release", 1, func(drawing) []string {
		return []string{"share = 0.3", "x = 1.0", "gap_s = 1.0"}
	}},
	{"scale_in", 1, func(d drawing) []string {
		return []string{d.share(0.08, 0.15)}
	}},
}
