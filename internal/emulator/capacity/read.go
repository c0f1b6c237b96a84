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

// Read parses a settings file with lines of the form a.b=value. docs/operate/emulator.md explains the paths. It returns
// settings.SettingErrors for all values that are missing, unknown or out of bounds, in the order of the lines.
func Read(file, text string) (*Plan, error) {
	given, problems := settings.Parse(text)
	p := &Plan{Name: file}
	parameters := p.parameters()
	for _, path := range slices.Sorted(maps.Keys(given)) {
		setting := given[path]
		parameter, known := parameters[path]
		if !known {
			problems = append(problems, settings.SettingError{Line: setting.Line, Key: path, Text: "no such figure"})
			continue
		}
		value, problem := parameter.parse(setting.Value)
		if problem != "" {
			problems = append(problems, settings.SettingError{Line: setting.Line, Key: path, Text: problem})
			continue
		}
		*parameter.field = value
	}
	for _, path := range slices.Sorted(maps.Keys(parameters)) {
		if _, ok := given[path]; ok {
			continue
		}
		parameter := parameters[path]
		if parameter.required {
			problems = append(problems, settings.SettingError{Key: path, Text: "missing"})
		}
		*parameter.field = parameter.defaultValue
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

// parse parses the value of a parameter. If it is invalid, problem says why; otherwise problem is empty.
func (p parameter) parse(text string) (value float64, problem string) {
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, fmt.Sprintf("not a number: %.40q", text)
	case value < p.min:
		return 0, fmt.Sprintf("below %g", p.min)
	case value > p.max:
		return 0, fmt.Sprintf("above %g", p.max)
	}
	return value, ""
}

// byLine orders errors by line. Errors about missing values have line 0, which wraps around and sorts last.
func byLine(a, b settings.SettingError) int {
	return cmp.Compare(uint16(a.Line-1), uint16(b.Line-1))
}
