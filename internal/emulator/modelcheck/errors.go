package modelcheck

import (
	"errors"
	"fmt"
)

// Errors of ParseConfig and ReadTrace.
var (
	// ErrServerCount reports a config without the number of servers.
	ErrServerCount = errors.New("a world needs servers=1 or servers=2")
	// ErrWorldCount reports a trace without a world, or with several.
	ErrWorldCount = errors.New("a trace needs one line with its world")
)

// UnknownConditionError reports an unknown condition in the text form of a config.
type UnknownConditionError struct{ Condition string }

func (uc UnknownConditionError) Error() string {
	return fmt.Sprintf("unknown condition %q", uc.Condition)
}

// UnknownEventError reports a line of a trace that names no event of the alphabet.
type UnknownEventError struct{ Event string }

func (ue UnknownEventError) Error() string { return fmt.Sprintf("unknown event %q", ue.Event) }
