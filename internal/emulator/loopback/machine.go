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

// The programs, as they are named in the folder of programs.
const (
	proxyProgram = "proxy"
	agentProgram = "agent"
	coreProgram  = "control"
)

// restartDelay is the time after which a process that ended is started again.
const restartDelay = 300 * time.Millisecond

// machine is one of the simulated machines: a loopback address, a folder for settings and logs, one for the disk, and
// processes.
type machine struct {
	cluster   *cluster
	name      string
	ip        string
	zone      int
	core      bool
	dir       string
	processes []*process
	lifecycle sync.Mutex // held by the one fault at a time that stops and starts processes
	links     []string   // that are cut; guarded by the cluster's mu
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

// beginFault records a fault of the machine that begins now.
func (m *machine) beginFault(planned bool) (over func(invariants.Seconds)) {
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

// startAgain starts processes that were ended by a fault, after restartDelay.
func (m *machine) startAgain(processes []*process) {
	m.cluster.sleep(restartDelay)
	for _, p := range processes {
		p.start()
	}
}

// crash kills processes of a machine, calls meanwhile (nil: nothing) while they are gone, and starts them again. The
// machine counts as faulty until then.
func (m *machine) crash(processes []*process, meanwhile func()) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.beginFault(false)
	for _, p := range processes {
		p.kill()
	}
	if meanwhile != nil {
		meanwhile()
	}
	m.startAgain(processes)
	over(m.cluster.now())
}

// restart ends all processes of a machine with SIGTERM, and starts them again.
func (m *machine) restart() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	cl := m.cluster
	over := m.beginFault(true)
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
	over(cl.now())
}

// suspend stops the machine's processes for a while.
func (m *machine) suspend(d time.Duration) {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.beginFault(false)
	for _, p := range m.processes {
		p.signal(unix.SIGSTOP, false)
	}
	m.cluster.sleepInTraffic(d)
	for _, p := range m.processes {
		p.signal(unix.SIGCONT, false)
	}
	over(m.cluster.now())
}

// retire ends the processes of a machine for good.
func (m *machine) retire() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	over := m.beginFault(false)
	over(m.cluster.now())
	for _, p := range m.processes {
		p.kill()
	}
}
