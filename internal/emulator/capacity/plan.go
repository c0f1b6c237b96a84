// Package capacity reckons what each role of the system needs at a size: memory, processor time and bytes a second,
// from slopes that were measured. What it goes by is in a file of settings: the size, what is known where, and the
// limits.
package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/emulator/costmodel"
)

//go:embed slopes.json
var storedRun []byte

// StoredRun are the slopes that came with the program. It errs where they cannot be read.
func StoredRun() (*costmodel.Run, error) { return costmodel.Read(bytes.NewReader(storedRun)) }

// Plan is a size, what is known where at it, and the limits: figures by their paths.
type Plan struct {
	Name   string
	values map[string]float64
}

// parameter is a figure of the file; without a default it must be there.
type parameter struct {
	byDefault float64
	required  bool
	min, max  float64
}

func required(least float64) parameter {
	return parameter{required: true, min: least, max: math.MaxFloat64}
}
func optional(otherwise, least float64) parameter {
	return parameter{byDefault: otherwise, min: least, max: math.MaxFloat64}
}
func fraction(otherwise float64) parameter { return parameter{byDefault: otherwise, max: 1} }
func bounded(otherwise, least, most float64) parameter {
	return parameter{byDefault: otherwise, min: least, max: most}
}

// parameters are all figures that a file may give. docs/operate/emulator.md says what each is.
var parameters = map[string]parameter{
	"size.ingresses": required(
		1,
	),
	"size.servers":  required(0),
	"size.services": required(0),
	"size.routes":   required(0),
	"size.tenants":  required(0),
	"size.requests_per_s": required(
		0,
	),
	"size.changes_per_day":  required(0),
	"size.control_machines": required(1),
	"size.regions":          required(1),
	"size.zones": required(
		1,
	),
	"size.failures_per_day": required(0),
	"size.restarts_per_day": required(0),
	"size.beat_s":           optional(1.5, 0.01),
	"size.days":             optional(730, 0),

	"agent.routes":   fraction(1),
	"agent.tenants":  fraction(1),
	"agent.services": fraction(1),
	"agent.servers":  fraction(1),
	"proxy.routes":   fraction(1),
	"proxy.tenants":  fraction(1),
	"proxy.services": fraction(1),
	"proxy.servers":  fraction(1),
	"proxy.tenants_a_request": fraction(
		1,
	),
	"proxy.largest_group": optional(20, 1),
	"proxy.ticks_per_s":   optional(20, 0),
	"proxy.gc_percent":    optional(100, 1),
	"agent.gc_percent":    optional(50, 1),
	"agent.fixed_bytes":   optional(0, 0),
	"proxy.fixed_bytes":   optional(0, 0),

	"news.sources": optional(
		3,
		1,
	),
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
	"core.voters": bounded(
		3,
		1,
		99,
	),
	"core.rtt_s":       optional(0.1, 0),
	"core.sync_s":      optional(0.005, 0),
	"core.fixed_bytes": optional(0, 0),

	"wire.segment":    optional(66, 0),
	"wire.first_call": optional(32<<20, 1),
	"wire.beat_http":  optional(600, 0),

	"limits.ingress.memory": required(
		1,
	),
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

// scaledPaths are the figures that grow with the size as a whole. Machines set aside for control do not grow by themselves.
var scaledPaths = []string{
	"size.ingresses",
	"size.servers",
	"size.services",
	"size.routes",
	"size.tenants",
	"size.requests_per_s",
	"size.changes_per_day",
	"size.failures_per_day",
	"size.restarts_per_day",
}

// Read reads a file of settings, lines a.b=value. Errors are premises.Faults: what is missing, unknown or no figure
// that can be.
func Read(file, text string) (*Plan, error) {
	paths, faults := settings.Parse(text)
	p := &Plan{Name: file, values: map[string]float64{}}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		s := paths[path]
		f, known := parameters[path]
		v, err := strconv.ParseFloat(s.Value, 64)
		wrong := ""
		switch {
		case !known:
			wrong = "no such figure"
		case err != nil || math.IsNaN(v) || math.IsInf(v, 0):
			wrong = fmt.Sprintf("not a number: %.40q", s.Value)
		case v < f.min:
			wrong = fmt.Sprintf("below %g", f.min)
		case v > f.max:
			wrong = fmt.Sprintf("above %g", f.max)
		default:
			p.values[path] = v
			continue
		}
		faults = append(faults, settings.SettingError{Line: s.Line, Key: path, Text: wrong})
	}
	for _, path := range slices.Sorted(maps.Keys(parameters)) {
		f := parameters[path]
		if _, given := paths[path]; given {
			continue
		}
		if f.required {
			faults = append(faults, settings.SettingError{Key: path, Text: "missing"})
		}
		p.values[path] = f.byDefault
	}
	for i := range faults {
		faults[i].File = file
	}
	if len(faults) > 0 {
		slices.SortStableFunc(
			faults,
			func(a, b settings.SettingError) int { return int(uint16(a.Line-1)) - int(uint16(b.Line-1)) },
		)
		return nil, faults
	}
	return p, nil
}

// scaledBy is the plan with its size so many times as large.
func (p *Plan) scaledBy(times float64) *Plan {
	q := &Plan{Name: p.Name, values: maps.Clone(p.values)}
	for _, path := range scaledPaths {
		q.values[path] *= times
	}
	return q
}

// value is a figure. That it is there was checked as the file was read.
func (p *Plan) value(path string) float64 {
	v, ok := p.values[path]
	if !ok {
		panic("plan: no figure " + path)
	}
	return v
}
