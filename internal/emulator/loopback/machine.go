package loopback

import (
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/invariants"
)

// File names of the programs in Options.ProgramsDir.
const (
	proxyProgram = "proxy"
	agentProgram = "agent"
	coreProgram  = "control"
)

// restartDelay is the time between the end of a process and its next start, both after a fault and after the process
// ended by itself.
const restartDelay = 300 * time.Millisecond

// machine is a simulated machine. It has a loopback address, a folder for settings and logs, processes, and for a core
// node a folder that represents the disk.
type machine struct {
	cluster   *cluster
	name      string
	ip        string
	zone      int
	core      bool
	dir       string
	processes []*process
	lifecycle sync.Mutex // held by a fault while it stops and starts processes
	links     []string   // lines of the links file, one for each cut link; guarded by the cluster's mu
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) diskPath() string { return filepath.Join(m.dir, "disk") }

// process returns the machine's process of a program.
func (m *machine) process(program string) *process {
	for _, p := range m.processes {
		if p.program == program {
			return p
		}
	}
	panic("loopback: " + m.name + " runs no " + program)
}

// beginFault records a fault of the machine that begins now and lasts until end is called.
func (m *machine) beginFault(planned bool) (end func(invariants.Seconds)) {
	cl := m.cluster
	return cl.recorder.beginFault(invariants.Fault{
		Machine: m.name,
		Core:    m.core,
		Planned: planned,
		From:    cl.now(),
	})
}

// start starts all processes of a machine.
func (m *machine) start() error {
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// startAgain starts processes that a fault has stopped, after restartDelay.
func (m *machine) startAgain(processes []*process) {
	m.cluster.sleep(restartDelay)
	for _, p := range processes {
		p.start()
	}
}

// crash kills processes of a machine, calls whileStopped unless it is nil, and starts the processes again. It records a
// fault of the machine for this time.
func (m *machine) crash(processes []*process, whileStopped func()) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	endFault := m.beginFault(false)
	for _, p := range processes {
		p.kill()
	}
	if whileStopped != nil {
		whileStopped()
	}
	m.startAgain(processes)
	endFault(m.cluster.now())
}

// restart terminates all processes of a machine with SIGTERM, and starts them again.
func (m *machine) restart() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	cl := m.cluster
	endFault := m.beginFault(true)
	if !m.core {
		cl.recorder.termination(m.name, cl.now())
	}
	var all sync.WaitGroup
	for _, p := range m.processes {
		all.Go(func() {
			if p.terminate(cl.gracePeriod()) {
				p.recordKilled()
			}
		})
	}
	all.Wait()
	m.startAgain(m.processes)
	endFault(cl.now())
}

// suspend suspends the machine's processes with SIGSTOP for a duration.
func (m *machine) suspend(d time.Duration) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	endFault := m.beginFault(false)
	for _, p := range m.processes {
		p.signal(unix.SIGSTOP, false)
	}
	m.cluster.sleepInTraffic(d)
	for _, p := range m.processes {
		p.signal(unix.SIGCONT, false)
	}
	endFault(m.cluster.now())
}

// retire kills the processes of a machine and does not start them again. The recorded fault ends at once, because the
// cluster must meet its bounds again while the machine is missing.
func (m *machine) retire() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	endFault := m.beginFault(false)
	endFault(m.cluster.now())
	for _, p := range m.processes {
		p.kill()
	}
}
