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

// RejectionError is why an operator's call has no effect: no part of it does. Its text is the body of the answer.
type RejectionError struct {
	Status int    // 400: the call is invalid; 409: another call has set something else under the same version
	Text   string // for the operator: short, one line
}

func (r *RejectionError) Error() string { return r.Text }

func invalid(format string, args ...any) *RejectionError {
	return &RejectionError{Status: statusInvalid, Text: fmt.Sprintf(format, args...)}
}

// FieldError is a field of an item's body that can't be read.
type FieldError struct {
	Path    string // names and list indexes, separated by points
	Problem string
}

func (f *FieldError) Error() string { return f.Path + ": " + f.Problem }

// SyntaxError is text that is not JSON, or breaks a limit of its reader.
type SyntaxError struct {
	Offset  int // bytes from the start
	Problem string
}

func (s *SyntaxError) Error() string { return fmt.Sprintf("byte %d: %s", s.Offset, s.Problem) }

// What may be wrong with an item as a whole.
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
