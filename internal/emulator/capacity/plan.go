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
var stored []byte

// Stored are the slopes that came with the program. It errs where they cannot be read.
func Stored() (*costmodel.Run, error) { return costmodel.Read(bytes.NewReader(stored)) }

// Plan is a size, what is known where at it, and the limits: figures by their paths.
type Plan struct {
	Name    string
	figures map[string]float64
}

// field is a figure of the file; without a default it must be there.
type field struct {
	otherwise   float64
	must        bool
	least, most float64
}

func must(least float64) field { return field{must: true, least: least, most: math.MaxFloat64} }
func may(otherwise, least float64) field {
	return field{otherwise: otherwise, least: least, most: math.MaxFloat64}
}
func share(otherwise float64) field { return field{otherwise: otherwise, most: 1} }
func within(otherwise, least, most float64) field {
	return field{otherwise: otherwise, least: least, most: most}
}

// fields are all figures that a file may give. docs/operate/emulator.md says what each is.
var fields = map[string]field{
	"size.ingresses": must(
		1,
	),
	"size.servers":  must(0),
	"size.services": must(0),
	"size.routes":   must(0),
	"size.tenants":  must(0),
	"size.requests_per_s": must(
		0,
	),
	"size.changes_per_day":  must(0),
	"size.control_machines": must(1),
	"size.regions":          must(1),
	"size.zones": must(
		1,
	),
	"size.failures_per_day": must(0),
	"size.restarts_per_day": must(0),
	"size.beat_s":           may(1.5, 0.01),
	"size.days":             may(730, 0),

	"agent.routes":   share(1),
	"agent.tenants":  share(1),
	"agent.services": share(1),
	"agent.servers":  share(1),
	"proxy.routes":   share(1),
	"proxy.tenants":  share(1),
	"proxy.services": share(1),
	"proxy.servers":  share(1),
	"proxy.tenants_a_request": share(
		1,
	),
	"proxy.largest_group": may(20, 1),
	"proxy.ticks_per_s":   may(20, 0),
	"proxy.gc_percent":    may(100, 1),
	"agent.gc_percent":    may(50, 1),
	"agent.fixed_bytes":   may(0, 0),
	"proxy.fixed_bytes":   may(0, 0),

	"news.sources": may(
		3,
		1,
	),
	"news.copies":          may(3, 1),
	"news.source_nodes":    may(3, 1),
	"news.peak":            may(10, 1),
	"news.lines_a_restart": may(3, 0),
	"news.dropped":         share(0.25),
	"news.start":           share(1),
	"news.lookups":         share(0),
	"news.tombstone_days":  may(0, 0),

	"counters.asked":          share(1),
	"counters.batch":          may(1, 1),
	"counters.call_bytes":     may(0, 0),
	"counters.nodes":          may(3, 1),
	"counters.tenants_sliced": may(0, 0),
	"counters.keep_s":         may(3, 0),

	"core.nodes_with_beats": may(3, 1),
	"core.told":             may(2, 0),
	"core.routes":           share(1),
	"core.tenants":          share(1),
	"core.services":         share(1),
	"core.servers":          share(1),
	"core.gc_percent":       may(100, 1),
	"core.voters": within(
		3,
		1,
		99,
	),
	"core.rtt_s":       may(0.1, 0),
	"core.sync_s":      may(0.005, 0),
	"core.fixed_bytes": may(0, 0),

	"wire.segment":    may(66, 0),
	"wire.first_call": may(32<<20, 1),
	"wire.beat_http":  may(600, 0),

	"limits.ingress.memory": must(
		1,
	),
	"limits.ingress.cpu":         must(0),
	"limits.ingress.bytes_per_s": must(1),
	"limits.ingress.speed":       may(0.32, 0.01),
	"limits.core.memory":         must(1),
	"limits.core.cpu":            must(0),
	"limits.core.bytes_per_s":    must(1),
	"limits.added_s":             must(0),
	"limits.change_s":            must(0),
	"limits.start_s":             may(15, 0),
}

// scaled are the figures that grow with the size as a whole. Machines set aside for control do not grow by themselves.
var scaled = []string{
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
	p := &Plan{Name: file, figures: map[string]float64{}}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		s := paths[path]
		f, known := fields[path]
		v, err := strconv.ParseFloat(s.Value, 64)
		wrong := ""
		switch {
		case !known:
			wrong = "no such figure"
		case err != nil || math.IsNaN(v) || math.IsInf(v, 0):
			wrong = fmt.Sprintf("not a number: %.40q", s.Value)
		case v < f.least:
			wrong = fmt.Sprintf("below %g", f.least)
		case v > f.most:
			wrong = fmt.Sprintf("above %g", f.most)
		default:
			p.figures[path] = v
			continue
		}
		faults = append(faults, settings.SettingError{Line: s.Line, Key: path, Text: wrong})
	}
	for _, path := range slices.Sorted(maps.Keys(fields)) {
		f := fields[path]
		if _, given := paths[path]; given {
			continue
		}
		if f.must {
			faults = append(faults, settings.SettingError{Key: path, Text: "missing"})
		}
		p.figures[path] = f.otherwise
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

// at is the plan with its size so many times as large.
func (p *Plan) at(times float64) *Plan {
	q := &Plan{Name: p.Name, figures: maps.Clone(p.figures)}
	for _, path := range scaled {
		q.figures[path] *= times
	}
	return q
}

// of is a figure. That it is there was checked as the file was read.
func (p *Plan) of(path string) float64 {
	v, ok := p.figures[path]
	if !ok {
		panic("plan: no figure " + path)
	}
	return v
}
