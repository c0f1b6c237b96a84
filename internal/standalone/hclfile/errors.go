package hclfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Error is an error at one position of a file. Its text is a single line.
type Error struct {
	File         string
	Line, Column int // counted from 1
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

// newError combines the errors among the HCL library's diagnostics into one. It sorts them by position, because the
// library checks keys in the iteration order of a map, which is random.
func newError(name string, diagnostics hcl.Diagnostics) *Error {
	var found []rankedError
	for _, d := range diagnostics {
		if d.Severity == hcl.DiagError {
			found = append(found, rankedError{rank(d), fromDiagnostic(name, d)})
		}
	}
	// A misspelt required key is reported twice, as an unknown key and as a missing one. The unknown key comes first
	// because only its diagnostic has the position of the mistake.
	slices.SortStableFunc(found, func(a, b rankedError) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.err.Line, b.err.Line),
			cmp.Compare(a.err.Column, b.err.Column),
			cmp.Compare(a.err.Text, b.err.Text),
		)
	})
	e := found[0].err
	for _, other := range found[1:] {
		e.Others = append(e.Others, other.err)
	}
	return e
}

// rankedError is an error with the rank of its diagnostic, by which errors are sorted first.
type rankedError struct {
	rank int
	err  *Error
}

// fromDiagnostic converts a diagnostic of the HCL library to an Error. The library's texts may have several lines, and
// the text of an Error has one.
func fromDiagnostic(name string, d *hcl.Diagnostic) *Error {
	e := &Error{File: name, Line: 1, Column: 1}
	if s := d.Subject; s != nil {
		e.Line, e.Column = s.Start.Line, s.Start.Column
	}
	e.Text = strings.Join(strings.Fields(d.Summary+": "+d.Detail), " ")
	return e
}

// rank returns 0 for an unknown key or block and 1 for any other diagnostic.
func rank(d *hcl.Diagnostic) int {
	if strings.HasPrefix(d.Summary, "Unsupported") {
		return 0
	}
	return 1
}
