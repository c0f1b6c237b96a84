package cli

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/standalone/hclfile"
)

// problem is one thing that is wrong with a file. What is not known of its place is 0 or empty.
type problem struct {
	File   string `json:"file,omitempty"`   // empty: the text names it
	Line   int    `json:"line,omitempty"`   // from 1
	Column int    `json:"column,omitempty"` // from 1
	Key    string `json:"key,omitempty"`    // of a setting
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

// newProblems returns what an error says is wrong with a file.
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
		found = []problem{{Text: oneLine(err)}} // it names the file
	}
	return found
}
