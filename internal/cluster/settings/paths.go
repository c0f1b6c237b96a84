package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// Paths maps paths, such as self.limits.maxFds, to settings.
type Paths map[string]Setting

// Setting is the value at a path and the number of its line, from 1.
type Setting struct {
	Value string
	Line  int
}

// Parse parses lines of the form a.b.c=value. Empty lines and those that begin with # are ignored. There is an error
// for each line of another form and for each path that is given twice.
func Parse(text string) (Paths, SettingErrors) {
	paths, errs := Paths{}, SettingErrors(nil)
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		old, duplicate := paths[key]
		switch {
		case !ok:
			errs = append(errs, SettingError{Line: n, Text: fmt.Sprintf("no \"=\": %.40q", line)})
		case key == "":
			errs = append(errs, SettingError{Line: n, Text: fmt.Sprintf("no key: %.40q", line)})
		case duplicate:
			text := fmt.Sprintf("given on line %d already", old.Line)
			errs = append(errs, SettingError{Line: n, Key: key, Text: text})
		default:
			paths[key] = Setting{Value: strings.TrimSpace(value), Line: n}
		}
	}
	return paths, errs
}

// reader reads settings by their paths and collects all errors.
type reader struct {
	paths  Paths
	errors SettingErrors
}

// fail adds an error of the value at a path.
func (r *reader) fail(path, text string) {
	at := r.paths[path]
	r.errors = append(r.errors, SettingError{Line: at.Line, Key: path, Text: fmt.Sprintf("%s: %.60q", text, at.Value)})
}

// require adds an error for each path that is missing or empty.
func (r *reader) require(paths ...string) {
	for _, path := range paths {
		if at, ok := r.paths[path]; !ok {
			r.errors = append(r.errors, SettingError{Key: path, Text: "missing"})
		} else if at.Value == "" {
			r.fail(path, "empty")
		}
	}
}

// text returns the value at a path; empty if it is missing.
func (r *reader) text(path string) string { return r.paths[path].Value }

// given returns the value at a path, and whether there is a value that is not empty.
func (r *reader) given(path string) (string, bool) {
	v := r.paths[path].Value
	return v, v != ""
}

// list reads values that are separated by commas.
func (r *reader) list(path string) (values []string) {
	v, ok := r.given(path)
	if !ok {
		return nil
	}
	for value := range strings.SplitSeq(v, ",") {
		value = strings.TrimSpace(value)
		if value == "" {
			r.fail(path, "a list with an empty place")
			return nil
		}
		values = append(values, value)
	}
	return values
}

// table returns the values below a path, keyed by the rest of their paths.
func (r *reader) table(path string) map[string]string {
	table := map[string]string{}
	for p, at := range r.paths {
		if name, ok := strings.CutPrefix(p, path+"."); ok && name != "" {
			table[name] = at.Value
		}
	}
	return table
}

// flag reads true or false. It returns false if the value is missing.
func (r *reader) flag(path string) bool {
	v, ok := r.given(path)
	if ok && v != "true" && v != "false" {
		r.fail(path, "neither true nor false")
	}
	return v == "true"
}

// integer reads an integer that is at least 0. It returns 0 if the value is missing.
func (r *reader) integer(path string) int {
	v, ok := r.given(path)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.fail(path, "not a whole number")
		return 0
	}
	if n < 0 {
		r.fail(path, "below 0")
	}
	return n
}

// number reads a finite number that is at least 0. It returns fallback if the value is missing.
func (r *reader) number(path string, fallback float64) float64 {
	v, ok := r.given(path)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.fail(path, "not a number")
		return fallback
	}
	if x < 0 {
		r.fail(path, "below 0")
	}
	return x
}

// millis reads a duration in milliseconds and returns it in seconds; fallback is in seconds.
func (r *reader) millis(path string, fallback float64) float64 {
	return r.number(path, fallback*1000) / 1000
}

// address reads host:port. The host must be an IPv4 address, because names are not resolved anywhere.
func (r *reader) address(path string) string {
	v, ok := r.given(path)
	if ok && !isAddress(v) {
		r.fail(path, "not an address and a port")
	}
	return v
}

// isAddress reports whether a value is an IPv4 address with a port.
func isAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Addr().Is4() && address.Port() > 0
}
