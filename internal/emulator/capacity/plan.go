package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"mulleinrouter/internal/cluster/settings"
)

// Plan is a planned size of the system, which part of the state each role holds, and the limits of the roles. Read
// makes one.
type Plan struct {
	Name   string // of its file
	values map[string]float64
}

// scaledPaths are the values that grow with the size as a whole. Machines that are reserved for control do not grow by
// themselves.
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

// Read reads a file of settings, lines a.b=value; docs/operate/emulator.md explains the paths. The error is
// settings.SettingErrors: what is missing, unknown or out of bounds, in the order of the lines.
func Read(file, text string) (*Plan, error) {
	given, problems := settings.Parse(text)
	p := &Plan{Name: file, values: map[string]float64{}}
	for _, path := range slices.Sorted(maps.Keys(given)) {
		setting := given[path]
		value, problem := parseValue(path, setting.Value)
		if problem != "" {
			problems = append(problems, settings.SettingError{Line: setting.Line, Key: path, Text: problem})
			continue
		}
		p.values[path] = value
	}
	for _, path := range slices.Sorted(maps.Keys(parameters)) {
		if _, ok := given[path]; ok {
			continue
		}
		if parameters[path].required {
			problems = append(problems, settings.SettingError{Key: path, Text: "missing"})
		}
		p.values[path] = parameters[path].byDefault
	}
	if len(problems) == 0 {
		return p, nil
	}
	for n := range problems {
		problems[n].File = file
	}
	slices.SortStableFunc(problems, byLine)
	return nil, problems
}

// parseValue parses the value of a path. A problem that is not empty says why there is none.
func parseValue(path, text string) (value float64, problem string) {
	parameter, known := parameters[path]
	if !known {
		return 0, "no such figure"
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, fmt.Sprintf("not a number: %.40q", text)
	case value < parameter.min:
		return 0, fmt.Sprintf("below %g", parameter.min)
	case value > parameter.max:
		return 0, fmt.Sprintf("above %g", parameter.max)
	}
	return value, ""
}

// byLine orders errors by their line. What is missing has line 0, which wraps around to the end.
func byLine(a, b settings.SettingError) int {
	return cmp.Compare(uint16(a.Line-1), uint16(b.Line-1))
}

// scaledBy returns the plan with its size times a factor.
func (p *Plan) scaledBy(factor float64) *Plan {
	scaled := &Plan{Name: p.Name, values: maps.Clone(p.values)}
	for _, path := range scaledPaths {
		scaled.values[path] *= factor
	}
	return scaled
}

// value returns the value of a path. Read gives each path of parameters a value, so that it panics only for a path that
// this package misspells.
func (p *Plan) value(path string) float64 {
	v, ok := p.values[path]
	if !ok {
		panic("plan: no figure " + path)
	}
	return v
}
