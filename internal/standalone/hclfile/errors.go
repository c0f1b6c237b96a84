package hclfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Error is what is wrong at one place of a file.
type Error struct {
	File         string
	Line, Column int // from 1
	Text         string
	Others       []*Error // further errors in the same file
}

func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
	if len(e.Others) > 0 {
		text += fmt.Sprintf(" (and %d more)", len(e.Others))
	}
	return text
}

// newError makes one error of what the library found.
func newError(name string, diagnostics hcl.Diagnostics) *Error {
	var found []*hcl.Diagnostic
	for _, d := range diagnostics {
		if d.Severity == hcl.DiagError {
			found = append(found, d)
		}
	}
	// A misspelt key is found twice, as an unknown one and as a missing one: the former names the place.
	slices.SortStableFunc(found, func(a, b *hcl.Diagnostic) int { return rank(a) - rank(b) })
	e := fromDiagnostic(name, found[0])
	for _, d := range found[1:] {
		e.Others = append(e.Others, fromDiagnostic(name, d))
	}
	return e
}

// fromDiagnostic makes an error of one thing that the library found. The library's texts may run over several lines; an
// Error has one.
func fromDiagnostic(name string, d *hcl.Diagnostic) *Error {
	e := &Error{File: name, Line: 1, Column: 1}
	if s := d.Subject; s != nil {
		e.Line, e.Column = s.Start.Line, s.Start.Column
	}
	e.Text = strings.Join(strings.Fields(d.Summary+": "+d.Detail), " ")
	return e
}

// rank puts unknown keys first.
func rank(d *hcl.Diagnostic) int {
	if strings.HasPrefix(d.Summary, "Unsupported") {
		return 0
	}
	return 1
}
