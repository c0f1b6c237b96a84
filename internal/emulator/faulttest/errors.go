package faulttest

import (
	"errors"
	"fmt"
)

var (
	// ErrNotComplete means that not every ingress received the membership of all others in time after the start.
	ErrNotComplete = errors.New("faulttest: the ingresses do not reach the complete membership")

	// errEmptyReply means that the reply to a management call has no line.
	errEmptyReply = errors.New("empty reply")
)

// UnknownScenarioError means that no scenario of this name ships with the program.
type UnknownScenarioError struct{ Name string }

func (u *UnknownScenarioError) Error() string {
	return fmt.Sprintf("faulttest: no scenario %q ships with the program, and no file has this name", u.Name)
}

// SetupError means that the machine did not let the fault test do something: open a file or a port, write a folder.
// It says nothing about the program under test.
type SetupError struct{ Err error }

func (s *SetupError) Error() string { return "faulttest: " + s.Err.Error() }

// Unwrap returns the error of the operating system.
func (s *SetupError) Unwrap() error { return s.Err }

// wrapSetup returns nil for nil, and a *SetupError otherwise.
func wrapSetup(err error) error {
	if err == nil {
		return nil
	}
	return &SetupError{Err: err}
}
