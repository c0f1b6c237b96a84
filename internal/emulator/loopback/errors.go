package loopback

import (
	"errors"
	"fmt"
)

// ErrMachineCount is returned for options with no machine of a kind, or too many for the loopback addresses.
var ErrMachineCount = errors.New("between 1 and 50 core machines, and as many edge machines")

// ErrNoFreePorts is returned when no consecutive ports were found that are free on the addresses of all machines.
var ErrNoFreePorts = errors.New("no ports are free on all machines")

// PortsInUseError is returned for Options.FirstPort when one of the ports from there on is not free.
type PortsInUseError struct {
	First, Last int
}

func (pe *PortsInUseError) Error() string {
	return fmt.Sprintf("the ports %d to %d are not all free on the addresses of all machines", pe.First, pe.Last)
}

// StartupError is returned when the cluster does not serve its first configuration in time.
type StartupError struct {
	Problem string // what was waited for, and what came instead
	Logs    string // the end of each process's log
}

func (se *StartupError) Error() string { return se.Problem + "\n" + se.Logs }

// notReady is the error of an edge machine that does not become ready.
func notReady(m *machine, logs string) error {
	return &StartupError{Problem: fmt.Sprintf("%s was not ready in %v", m.name, startTimeout), Logs: logs}
}

// ScheduleError is returned for a line of a schedule file that cannot be used.
type ScheduleError struct {
	File    string
	Line    int // from 1
	Problem string
}

func (se *ScheduleError) Error() string {
	return fmt.Sprintf("%s:%d: %s", se.File, se.Line, se.Problem)
}

// UnknownFaultError is returned for a schedule on the command line that names no fault and no file.
type UnknownFaultError struct {
	Name string
}

func (ue *UnknownFaultError) Error() string {
	return fmt.Sprintf("%q is neither a file nor the name of a fault", ue.Name)
}
