package coordinationclient

import (
	"errors"
	"fmt"
)

var (
	// ErrTaken means that another owner holds the lock.
	ErrTaken = errors.New("another owner holds the lock")

	// ErrLost means that the caller no longer holds the lock.
	ErrLost = errors.New("the lock is lost")

	// ErrNotFound means that the cell does not exist.
	ErrNotFound = errors.New("there is no such cell")

	// ErrCompacted means that the events after a revision are no longer stored. The caller must read the cells again
	// before it continues.
	ErrCompacted = errors.New("the events after this revision are no longer stored")
)

// MismatchError means that a cell did not have the expected revision and that the put had no effect. Revision is the
// revision that the cell has.
type MismatchError struct{ Revision uint64 }

func (me *MismatchError) Error() string { return fmt.Sprintf("the cell has revision %d", me.Revision) }

// StatusError means that a call was rejected and that a repetition would be rejected, too. An UnknownOutcomeError may
// also wrap a StatusError, with a 429 or a 5xx: there, the call may have taken effect, and a repetition may succeed.
type StatusError struct {
	Status  int // HTTP status code
	Message string
}

func (se *StatusError) Error() string { return fmt.Sprintf("%d: %s", se.Status, se.Message) }

// UnknownOutcomeError means that the context ended before a call got a definite answer. The call may have taken effect.
// Last is the error of the last attempt, joined with that of the context.
type UnknownOutcomeError struct{ Last error }

func (uo *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", uo.Last) }

func (uo *UnknownOutcomeError) Unwrap() error { return uo.Last }
