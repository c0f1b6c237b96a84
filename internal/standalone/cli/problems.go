package cli

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/standalone/hclfile"
)

// problem is one error in a file. The parts of its position that are not known are 0 or empty.
type problem struct {
	File   string `json:"file,omitempty"`   // empty: the text names the file
	Line   int    `json:"line,omitempty"`   // from 1
	Column int    `json:"column,omitempty"` // from 1
	Key    string `json:"key,omitempty"`    // key of a setting
	Text   string `json:"text"`
}

// String returns "file:line:column: key: text", without the parts that are not known.
func (p problem) String() string {
	place := p.File
	for _, number := range []int{p.Line, p.Column} {
		if number > 0 {
			place += ":" + strconv.Itoa(number)
		}
	}
	parts := slices.DeleteFunc([]string{place, p.Key, p.Text}, func(part string) bool { return part == "" })
	return strings.Join(parts, ": ")
}

// newProblems returns the problems that an error about a file contains.
func newProblems(file string, err error) (found []problem) {
	var place *hclfile.Error
	var wrong settings.SettingErrors
	switch {
	case errors.As(err, &place):
		for _, e := range append([]*hclfile.Error{place}, place.Others...) {
			found = append(found, problem{File: e.File, Line: e.Line, Column: e.Column, Text: e.Text})
		}
	case errors.As(err, &wrong):
		for _, e := range wrong {
			found = append(found, problem{File: file, Line: e.Line, Key: e.Key, Text: e.Text})
		}
	default:
		found = []problem{{Text: oneLine(err)}} // the text names the file
	}
	return found
}
