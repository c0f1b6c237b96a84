package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/faultinjection"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/mgmt"
	"mulleinrouter/internal/standalone/vfs"
)

// node is one member: its place, and the process that runs there.
type node struct {
	name, ip     string
	clientAddr   string // for clients
	gossipAddr   string // for the fleet
	relay        *faultnet.Relay
	counter      string // relays to the stand-ins
	discovery    string
	billing      string
	counterRelay *faultnet.Relay // before the counter
	dir          string
	savedDir     string

	mu       sync.Mutex
	process  *testcluster.Process // nil: none runs
	twin     *testcluster.Process
	starts   int
	absences []absence // when nothing could be expected of it
	lastView uint64
	latest   *gossip.Report
	changes  []stateChange
}

// stateChange is a change of a view as a member told it.
type stateChange struct {
	at time.Time
	gossip.ChangeReport
}

// launch starts a member's process.
func (w *environment) launch(i int, twin bool) (*testcluster.Process, error) {
	n := w.nodes[i]
	path, err := w.writeConfig(n, i, twin)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.starts++
	log := fmt.Sprintf("%s.%d.log", n.dir, n.starts)
	n.mu.Unlock()
	if err := n.writeFaults(w.scenario, nil); err != nil { // its machine has a sound disk again
		return nil, err
	}
	return testcluster.Launch(log, "process-started", w.program, "serve", "-c", path, "--rehearsal", n.faultsFile())
}

func (n *node) faultsFile() string { return n.dir + ".faults.json" }

// writeFaults has the disk below a member's process fail from now on, or no more.
func (n *node) writeFaults(t *Scenario, all map[vfs.Op]vfs.Fault) error {
	text, err := jsontext.Encode(faultinjection.Plan{ClockRate: t.ClockRates[n.name], Faults: all})
	if err != nil {
		return err
	}
	return vfs.Replace(vfs.OS{}, n.faultsFile(), text, 0o644)
}

// plansFile is a member's own file of the catalogue. It stays where the folder of its state is lost.
func (n *node) plansFile() string { return n.dir + ".plans.hcl" }

// usageDir is where a member records use: it stays where the folder of its state is lost.
func (n *node) usageDir() string { return n.dir + ".usage" }

// setProcess has a process be the member's.
func (n *node) setProcess(p *testcluster.Process) {
	n.mu.Lock()
	n.process, n.lastView = p, 0
	n.mu.Unlock()
}

func (n *node) running() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// setAbsent notes that nothing is to be expected of a member from now on, or that it is again.
func (n *node) setAbsent(is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch last := len(n.absences) - 1; {
	case is:
		n.absences = append(n.absences, absence{from: now})
	case last >= 0 && n.absences[last].to.IsZero():
		n.absences[last].to = now
	}
}

// wasAbsent tells whether a member was away at a time, or was so shortly before.
func (n *node) wasAbsent(at time.Time, grace time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.absences, func(s absence) bool {
		return at.After(s.from) && (s.to.IsZero() || at.Before(s.to.Add(grace)))
	})
}

// call asks a management address.
func call(addr, line string) ([]string, error) { return mgmt.Call(addr, line, callTimeout) }

const callTimeout = 2 * time.Second

// poll asks a member for its view, and keeps what changed.
func (n *node) poll() {
	n.mu.Lock()
	p, after := n.process, n.lastView
	n.mu.Unlock()
	if p == nil || p.Stopped() {
		return
	}
	lines, err := call(p.Mgmt, fmt.Sprint("FLEET ", after))
	if err != nil || len(lines) == 0 {
		return
	}
	r := &gossip.Report{}
	if jsontext.Decode([]byte(lines[0]), r) != nil {
		return
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != p {
		return
	}
	n.latest, n.lastView = r, r.View
	for _, c := range r.Changes {
		n.changes = append(n.changes, stateChange{now.Add(-time.Duration(c.AgoMillis) * time.Millisecond), c})
	}
}

// report is a member's last one; nil: it does not run.
func (n *node) report() *gossip.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Stopped() {
		return nil
	}
	return n.latest
}
