package testcluster

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
)

// ErrInvalidOptions is returned by Run for options without enough ingresses or members, or without load.
var ErrInvalidOptions = errors.New("testcluster: need at least one ingress, two members, and positive seconds and load")

// ExitError reports that a process ended before it was ready.
type ExitError struct {
	Program string // path of the program
	Args    []string
	Log     []byte // content of the log file, to which earlier processes may have written too
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("testcluster: %s %s ended before it was ready: %s",
		filepath.Base(e.Program), strings.Join(e.Args, " "), e.Log)
}

// NotReadyError reports that a process did not log that it is ready within readyTimeout.
type NotReadyError struct {
	Args []string
	Code string // code of the awaited log line
}

func (n *NotReadyError) Error() string {
	return fmt.Sprintf("testcluster: %s: no log line with the code %s within %v",
		strings.Join(n.Args, " "), n.Code, readyTimeout)
}

// NotTerminatedError reports that a process did not end within quitTimeout after SIGTERM.
type NotTerminatedError struct {
	PID int
}

func (n *NotTerminatedError) Error() string {
	return fmt.Sprintf("testcluster: process %d did not end in time after SIGTERM", n.PID)
}
