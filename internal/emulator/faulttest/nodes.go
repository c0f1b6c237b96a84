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
	name, ip string
	listen   string // for clients
	bound    string // for the fleet
	gate     *faultnet.Relay
	counter  string // relays to the stand-ins
	list     string
	bill     string
	counts   *faultnet.Relay // before the counter
	folder   string
	saved    string

	mu      sync.Mutex
	process *testcluster.Process // nil: none runs
	twin    *testcluster.Process
	starts  int
	off     []span // when nothing could be expected of it
	view    uint64
	latest  *gossip.Report
	changes []seen
}

// seen is a change of a view as a member told it.
type seen struct {
	at time.Time
	gossip.ChangeReport
}

// launch starts a member's process.
func (w *world) launch(i int, twin bool) (*testcluster.Process, error) {
	n := w.nodes[i]
	path, err := w.config(n, i, twin)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.starts++
	log := fmt.Sprintf("%s.%d.log", n.folder, n.starts)
	n.mu.Unlock()
	if err := n.fails(w.t, nil); err != nil { // its machine has a sound disk again
		return nil, err
	}
	return testcluster.Launch(log, "process-started", w.program, "serve", "-c", path, "--rehearsal", n.faults())
}

func (n *node) faults() string { return n.folder + ".faults.json" }

// fails has the disk below a member's process fail from now on, or no more.
func (n *node) fails(t *Timeline, all map[vfs.Op]vfs.Fault) error {
	text, err := jsontext.Encode(faultinjection.Plan{ClockRate: t.Clocks[n.name], Faults: all})
	if err != nil {
		return err
	}
	return vfs.Replace(vfs.OS{}, n.faults(), text, 0o644)
}

// plans is a member's own file of the catalogue. It stays where the folder of its state is lost.
func (n *node) plans() string { return n.folder + ".plans.hcl" }

// usage is where a member records use: it stays where the folder of its state is lost.
func (n *node) usage() string { return n.folder + ".usage" }

// run has a process be the member's.
func (n *node) run(p *testcluster.Process) {
	n.mu.Lock()
	n.process, n.view = p, 0
	n.mu.Unlock()
}

func (n *node) running() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// away notes that nothing is to be expected of a member from now on, or that it is again.
func (n *node) away(is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch last := len(n.off) - 1; {
	case is:
		n.off = append(n.off, span{from: now})
	case last >= 0 && n.off[last].to.IsZero():
		n.off[last].to = now
	}
}

// wasOff tells whether a member was away at a time, or was so shortly before.
func (n *node) wasOff(at time.Time, grace time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.off, func(s span) bool {
		return at.After(s.from) && (s.to.IsZero() || at.Before(s.to.Add(grace)))
	})
}

// call asks a management address.
func call(addr, line string) ([]string, error) { return mgmt.Call(addr, line, callMost) }

const callMost = 2 * time.Second

// look asks a member for its view, and keeps what changed.
func (n *node) look() {
	n.mu.Lock()
	p, after := n.process, n.view
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
	n.latest, n.view = r, r.View
	for _, c := range r.Changes {
		n.changes = append(n.changes, seen{now.Add(-time.Duration(c.AgoMillis) * time.Millisecond), c})
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
