package modelcheck

import (
	"errors"
	"fmt"
)

// Errors of ParseConfig and ReadTrace.
var (
	// ErrServerCount is a config that does not say how many servers its world has.
	ErrServerCount = errors.New("a world needs servers=1 or servers=2")
	// ErrWorldCount is a trace that begins in no world, or in several.
	ErrWorldCount = errors.New("a trace needs one line with its world")
)

// UnknownWordError is a word of a config that no world has.
type UnknownWordError struct{ Word string }

func (e UnknownWordError) Error() string { return fmt.Sprintf("no world has %q", e.Word) }

// UnknownEventError is a line of a trace that names no event of the alphabet.
type UnknownEventError struct{ Event string }

func (e UnknownEventError) Error() string { return fmt.Sprintf("no event %q", e.Event) }
