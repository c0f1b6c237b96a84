package loopback

import (
	"errors"
	"fmt"
)

// ErrMachineCount is returned for options with no machines of a kind, or with more than maxMachines.
var ErrMachineCount = errors.New("the numbers of core machines and of edge machines must each be from 1 to 50")

// ErrNoFreePorts is returned when no consecutive ports were found that are free on the addresses of all machines.
var ErrNoFreePorts = errors.New("no ports are free on all machines")

// PortsInUseError is returned if one of the ports that begin with Options.FirstPort is not free.
type PortsInUseError struct {
	First, Last int
}

func (pe *PortsInUseError) Error() string {
	return fmt.Sprintf("the ports %d to %d are not all free on the addresses of all machines", pe.First, pe.Last)
}

// StartupError is returned if the cluster does not serve its first configuration in time.
type StartupError struct {
	Problem string // the condition that was not met, and what was observed
	Logs    string // last part of each process's log
}

func (se *StartupError) Error() string { return se.Problem + "\n" + se.Logs }

// notReady returns the error for an edge machine that does not become ready in time.
func notReady(m *machine, logs string) error {
	return &StartupError{Problem: fmt.Sprintf("%s was not ready within %v", m.name, startTimeout), Logs: logs}
}

// ScheduleError is returned for an invalid line in a schedule file.
type ScheduleError struct {
	File    string
	Line    int // line number, from 1
	Problem string
}

func (se *ScheduleError) Error() string {
	return fmt.Sprintf("%s:%d: %s", se.File, se.Line, se.Problem)
}

// UnknownFaultError is returned for a schedule that is not the name of a readable file and lists an unknown fault.
type UnknownFaultError struct {
	Name string
}

func (ue *UnknownFaultError) Error() string {
	return fmt.Sprintf("%q is neither a file nor the name of a fault", ue.Name)
}
