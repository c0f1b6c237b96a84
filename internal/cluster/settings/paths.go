package settings

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// Paths is the settings by their paths, such as self.limits.maxFds.
type Paths map[string]Setting

// Setting is the value at a path, and the line that it stands on, from 1.
type Setting struct {
	Value string
	Line  int
}

// SettingError is one thing that is wrong with a file of settings.
type SettingError struct {
	File string // without its folder; empty where only a text was read
	Line int    // 0: the file lacks something
	Key  string // empty where the line has none
	Text string
}

func (f SettingError) Error() string {
	where := f.File
	if f.Line > 0 {
		where = strings.TrimPrefix(fmt.Sprintf("%s:%d", f.File, f.Line), ":")
	}
	return strings.TrimPrefix(strings.TrimPrefix(where+": ", ": ")+strings.TrimPrefix(f.Key+": ", ": ")+f.Text, ": ")
}

// SettingErrors is all that is wrong, in the order of the lines and what is missing at the end. It is an error of one line.
type SettingErrors []SettingError

func (f SettingErrors) Error() string {
	texts := make([]string, 0, len(f))
	for n, one := range f {
		if n == 10 {
			texts = append(texts, fmt.Sprintf("and %d more", len(f)-n))
			break
		}
		texts = append(texts, one.Error())
	}
	return strings.Join(texts, "; ")
}

// in is the faults as those of a file; nil, and so no error, where there are none.
func (f SettingErrors) in(file string) error {
	if len(f) == 0 {
		return nil
	}
	for n := range f {
		f[n].File = file
	}
	slices.SortStableFunc(f, func(a, b SettingError) int { return cmp.Compare(uint(a.Line)-1, uint(b.Line)-1) }) // no line: last
	return f
}

// Parse reads lines of the form a.b.c=value. Empty lines and those that begin with # say nothing. Errors are Faults: lines that are of no
// such form, and paths given twice.
func Parse(text string) (Paths, error) {
	paths, faults := Paths{}, SettingErrors(nil)
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		old, twice := paths[key]
		switch {
		case !ok:
			faults = append(faults, SettingError{Line: n, Text: fmt.Sprintf("no \"=\": %.40q", line)})
		case key == "":
			faults = append(faults, SettingError{Line: n, Text: fmt.Sprintf("no key: %.40q", line)})
		case twice:
			faults = append(faults, SettingError{Line: n, Key: key, Text: fmt.Sprintf("given on line %d already", old.Line)})
		default:
			paths[key] = Setting{strings.TrimSpace(value), n}
		}
	}
	return paths, faults.in("")
}

// reader reads settings by their paths and keeps all that is wrong.
type reader struct {
	paths  Paths
	faults SettingErrors
}

func (r *reader) fault(path, what string) {
	at := r.paths[path]
	r.faults = append(r.faults, SettingError{Line: at.Line, Key: path, Text: fmt.Sprintf("%s: %.60q", what, at.Value)})
}

// need marks paths that must be there.
func (r *reader) need(paths ...string) {
	for _, path := range paths {
		if at, ok := r.paths[path]; !ok {
			r.faults = append(r.faults, SettingError{Key: path, Text: "missing"})
		} else if at.Value == "" {
			r.fault(path, "empty")
		}
	}
}

func (r *reader) text(path string) string { return r.paths[path].Value }

// given tells whether there is a value to read.
func (r *reader) given(path string) (string, bool) {
	v := r.paths[path].Value
	return v, v != ""
}

func (r *reader) list(path string) (list []string) {
	v, ok := r.given(path)
	if !ok {
		return nil
	}
	for one := range strings.SplitSeq(v, ",") {
		one = strings.TrimSpace(one)
		if one == "" {
			r.fault(path, "a list with an empty place")
			return nil
		}
		list = append(list, one)
	}
	return list
}

// table is what stands below a path, by the rest of its path.
func (r *reader) table(path string) map[string]string {
	out := map[string]string{}
	for p, at := range r.paths {
		if name, ok := strings.CutPrefix(p, path+"."); ok && name != "" {
			out[name] = at.Value
		}
	}
	return out
}

func (r *reader) flag(path string) bool {
	v, ok := r.given(path)
	if ok && v != "true" && v != "false" {
		r.fault(path, "neither true nor false")
	}
	return v == "true"
}

func (r *reader) integer(path string, otherwise int) int {
	v, ok := r.given(path)
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.fault(path, "not a whole number")
		return otherwise
	}
	if n < 0 {
		r.fault(path, "below 0")
	}
	return n
}

func (r *reader) number(path string, otherwise float64) float64 {
	v, ok := r.given(path)
	if !ok {
		return otherwise
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fault(path, "not a number")
		return otherwise
	}
	if f < 0 {
		r.fault(path, "below 0")
	}
	return f
}

// millis is a span in milliseconds, as seconds; otherwise is in seconds.
func (r *reader) millis(path string, otherwise float64) float64 {
	return r.number(path, otherwise*1000) / 1000
}

// address is host:port; names are not looked up anywhere, so the host is an IPv4 address.
func (r *reader) address(path string) string {
	v, ok := r.given(path)
	if ok && !isAddress(v) {
		r.fault(path, "not an address and a port")
	}
	return v
}

func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Addr().Is4() && a.Port() > 0
}
