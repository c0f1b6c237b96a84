package capacity

import "math"

// parameter is one value of a plan's file: its bounds, and its default unless it is required.
type parameter struct {
	required  bool
	byDefault float64
	min, max  float64
}

func required(minimum float64) parameter {
	return parameter{required: true, min: minimum, max: math.MaxFloat64}
}

func optional(byDefault, minimum float64) parameter {
	return parameter{byDefault: byDefault, min: minimum, max: math.MaxFloat64}
}

// fraction is optional, from 0 to 1.
func fraction(byDefault float64) parameter {
	return parameter{byDefault: byDefault, max: 1}
}

func bounded(byDefault, minimum, maximum float64) parameter {
	return parameter{byDefault: byDefault, min: minimum, max: maximum}
}

// maxVoters bounds the voters of a plan.
const maxVoters = 99

// parameters are all values that a plan's file may give, by their paths. docs/operate/emulator.md explains each.
var parameters = map[string]parameter{
	"size.ingresses":        required(1),
	"size.servers":          required(0),
	"size.services":         required(0),
	"size.routes":           required(0),
	"size.tenants":          required(0),
	"size.requests_per_s":   required(0),
	"size.changes_per_day":  required(0),
	"size.control_machines": required(1),
	"size.regions":          required(1),
	"size.zones":            required(1),
	"size.failures_per_day": required(0),
	"size.restarts_per_day": required(0),
	"size.beat_s":           optional(1.5, 0.01),
	"size.days":             optional(730, 0),

	"agent.routes":            fraction(1),
	"agent.tenants":           fraction(1),
	"agent.services":          fraction(1),
	"agent.servers":           fraction(1),
	"proxy.routes":            fraction(1),
	"proxy.tenants":           fraction(1),
	"proxy.services":          fraction(1),
	"proxy.servers":           fraction(1),
	"proxy.tenants_a_request": fraction(1),
	"proxy.largest_group":     optional(20, 1),
	"proxy.ticks_per_s":       optional(20, 0),
	"proxy.gc_percent":        optional(100, 1),
	"agent.gc_percent":        optional(50, 1),
	"agent.fixed_bytes":       optional(0, 0),
	"proxy.fixed_bytes":       optional(0, 0),

	"news.sources":         optional(3, 1),
	"news.copies":          optional(3, 1),
	"news.source_nodes":    optional(3, 1),
	"news.peak":            optional(10, 1),
	"news.lines_a_restart": optional(3, 0),
	"news.dropped":         fraction(0.25),
	"news.start":           fraction(1),
	"news.lookups":         fraction(0),
	"news.tombstone_days":  optional(0, 0),

	"counters.asked":          fraction(1),
	"counters.batch":          optional(1, 1),
	"counters.call_bytes":     optional(0, 0),
	"counters.nodes":          optional(3, 1),
	"counters.tenants_sliced": optional(0, 0),
	"counters.keep_s":         optional(3, 0),

	"core.nodes_with_beats": optional(3, 1),
	"core.told":             optional(2, 0),
	"core.routes":           fraction(1),
	"core.tenants":          fraction(1),
	"core.services":         fraction(1),
	"core.servers":          fraction(1),
	"core.gc_percent":       optional(100, 1),
	"core.voters":           bounded(3, 1, maxVoters),
	"core.rtt_s":            optional(0.1, 0),
	"core.sync_s":           optional(0.005, 0),
	"core.fixed_bytes":      optional(0, 0),

	"wire.segment":    optional(66, 0),
	"wire.first_call": optional(32<<20, 1),
	"wire.beat_http":  optional(600, 0),

	"limits.ingress.memory":      required(1),
	"limits.ingress.cpu":         required(0),
	"limits.ingress.bytes_per_s": required(1),
	"limits.ingress.speed":       optional(0.32, 0.01),
	"limits.core.memory":         required(1),
	"limits.core.cpu":            required(0),
	"limits.core.bytes_per_s":    required(1),
	"limits.added_s":             required(0),
	"limits.change_s":            required(0),
	"limits.start_s":             optional(15, 0),
}
