package configuration

import (
	"errors"
	"fmt"
)

// Status codes (RFC 9110) of a RejectionError.
const (
	statusInvalid  = 400
	statusConflict = 409
)

// RejectionError is the reason why an operator's call is rejected. No part of the call takes effect. Its text is the
// body of the answer.
type RejectionError struct {
	// Status is 400 if the call is invalid, 409 if another call has set something else under the same version, and 413
	// if the items of the call are too long for one change.
	Status int
	Text   string // one short line for the operator
}

func (r *RejectionError) Error() string { return r.Text }

func invalid(format string, args ...any) *RejectionError {
	return &RejectionError{Status: statusInvalid, Text: fmt.Sprintf(format, args...)}
}

// FieldError is an invalid field of an item's body.
type FieldError struct {
	Path    string // names and list indexes, separated by dots
	Problem string
}

func (f *FieldError) Error() string { return f.Path + ": " + f.Problem }

// SyntaxError is text that is not JSON or exceeds a limit of the reader.
type SyntaxError struct {
	Offset  int // bytes from the start
	Problem string
}

func (s *SyntaxError) Error() string { return fmt.Sprintf("byte %d: %s", s.Offset, s.Problem) }

// Errors of an item as a whole.
var (
	errLimitsNamed    = errors.New("the limits have no name")
	errLimitsDeleted  = errors.New("cannot be dropped")
	errKindUnknown    = errors.New("unknown kind")
	errNameLength     = errors.New("the name is empty or too long")
	errNameCharacters = errors.New("the name has characters that no name may have")
	errKindMismatch   = errors.New("another kind, or dropped")
	errBodyTooLong    = errors.New("too long")
	errBodyNoObject   = errors.New("not an object")
	errTooManyItems   = errors.New("too many items")
)
