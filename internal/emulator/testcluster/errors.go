package testcluster

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
)

// ErrInvalidOptions is returned by Run for options that describe no cluster or no load.
var ErrInvalidOptions = errors.New("testcluster: one ingress, two members, some seconds and some load at least")

// ExitError says that a process ended before it was ready.
type ExitError struct {
	Program string // its path
	Args    []string
	Log     []byte // what it logged
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("testcluster: %s %s ended at once: %s",
		filepath.Base(e.Program), strings.Join(e.Args, " "), e.Log)
}

// NotReadyError says that a process did not log that it is ready within readyTimeout.
type NotReadyError struct {
	Args []string
	Code string // of the log line that was expected
}

func (n *NotReadyError) Error() string {
	return fmt.Sprintf("testcluster: %s: no line with %s in %v", strings.Join(n.Args, " "), n.Code, readyTimeout)
}

// NotTerminatedError says that a process did not end within quitTimeout after SIGTERM.
type NotTerminatedError struct {
	PID int
}

func (n *NotTerminatedError) Error() string {
	return fmt.Sprintf("testcluster: process %d does not end", n.PID)
}
