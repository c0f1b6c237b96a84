package configuration

import (
	"fmt"
	"math"
)

// maxSeconds is the longest time that a field can set, in seconds. It is about 32 years, which a time.Duration can
// hold. Longer times are reduced to it.
const maxSeconds = 1e9

// fieldReader reads the fields of a JSON object and keeps the first error. A null field counts as absent.
type fieldReader struct {
	path   string // path of the object, with a trailing dot; empty for the body itself
	fields map[string]any
	err    error // a *FieldError
}

// openBody parses the body of an item, which must be of the given kind and not deleted.
func openBody(i Item, kind Kind) (*fieldReader, error) {
	switch err := i.Key.checkName(); {
	case err != nil:
		return nil, err
	case i.Key.Kind != kind || i.Deleted:
		return nil, errKindMismatch
	case len(i.Body) > MaxBodyBytes:
		return nil, errBodyTooLong
	}
	r := jsonReader{text: i.Body}
	v, err := r.value(0)
	if err == nil {
		err = r.end()
	}
	if err != nil {
		return nil, err
	}
	fields, ok := v.(map[string]any)
	if !ok {
		return nil, errBodyNoObject
	}
	return &fieldReader{fields: fields}, nil
}

// require records a problem with a field unless a condition holds.
func (f *fieldReader) require(ok bool, name, problem string) {
	if !ok && f.err == nil {
		f.err = &FieldError{Path: f.path + name, Problem: problem}
	}
}

// element returns a reader of an object in a list.
func (f *fieldReader) element(list string, index int, v any) *fieldReader {
	fields, ok := v.(map[string]any)
	element := &fieldReader{path: fmt.Sprintf("%s%s.%d.", f.path, list, index), fields: fields}
	f.require(ok, fmt.Sprintf("%s.%d", list, index), "not an object")
	return element
}

func (f *fieldReader) text(name string, maxBytes int) string {
	v := f.fields[name]
	s, ok := v.(string)
	f.require(ok || v == nil, name, "not a text")
	f.require(len(s) <= maxBytes, name, "too long")
	return s
}

func (f *fieldReader) flag(name string) bool {
	v := f.fields[name]
	b, ok := v.(bool)
	f.require(ok || v == nil, name, "neither true nor false")
	return b
}

func (f *fieldReader) list(name string, maxElements int) (list []any, given bool) {
	v := f.fields[name]
	list, given = v.([]any)
	f.require(given || v == nil, name, "not a list")
	f.require(len(list) <= maxElements, name, "too long")
	return list, given
}

func (f *fieldReader) number(name string, minimum float64) float64 {
	v := f.fields[name]
	number, ok := v.(float64)
	f.require(ok || v == nil, name, "not a number")
	f.require(!math.IsInf(number, 0), name, "too large")
	f.require(number >= minimum, name, "below 0")
	return number
}

// amount reads a number that is at least 0 and may have a fraction.
func (f *fieldReader) amount(name string) float64 { return f.number(name, 0) }

// seconds reads a time in milliseconds and returns it in seconds.
func (f *fieldReader) seconds(name string) float64 { return min(f.number(name, 0)/1000, maxSeconds) }

// integer reads a number that is at least minimum, drops its fraction, and limits it to the range of 32 bits.
func (f *fieldReader) integer(name string, minimum float64) int {
	return int(min(max(f.number(name, minimum), math.MinInt32), math.MaxInt32))
}
