package modelcheck

import (
	"errors"
	"fmt"
)

// Errors of ParseConfig and ReadTrace.
var (
	// ErrServerCount is a config without the number of servers.
	ErrServerCount = errors.New("a world needs servers=1 or servers=2")
	// ErrWorldCount is a trace without a world, or with several.
	ErrWorldCount = errors.New("a trace needs one line with its world")
)

// UnknownConditionError is a condition in the text of a config that no world has.
type UnknownConditionError struct{ Condition string }

func (uc UnknownConditionError) Error() string { return fmt.Sprintf("no world has %q", uc.Condition) }

// UnknownEventError is a line of a trace that names no event of the alphabet.
type UnknownEventError struct{ Event string }

func (ue UnknownEventError) Error() string { return fmt.Sprintf("no event %q", ue.Event) }
