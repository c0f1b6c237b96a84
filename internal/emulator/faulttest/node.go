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

const (
	callTimeout = 2 * time.Second // timeout of a management call

	// processStarted is the code of the log line that a process writes when it begins to serve.
	processStarted = "process-started"
)

// Management calls of an ingress.
const (
	callFleet     = "FLEET "    // followed by the number of the last view; returns the view and the changes since
	callLeases    = "DUTIES"    // the leases of singleton roles
	callCatalogue = "CATALOGUE" // the announced revisions
	callState     = "STATE -"   // shared quotas, and the servers of which other members have warned this one
	callTransfer  = "GIVE "     // followed by a role and the member that shall hold its lease
	callLameDuck  = "LAMEDUCK"  // enter lame-duck mode
	callRejoin    = "REJOIN"    // leave lame-duck mode
)

// node is one member: its addresses, its files and the process that runs there.
type node struct {
	name, ip      string
	clientAddr    string          // where its process listens for clients
	gossipAddr    string          // where its process listens for other members
	relay         *faultnet.Relay // in front of gossipAddr
	counterRelay  *faultnet.Relay // in front of the quota counter
	discoveryAddr string          // of the relay in front of the fake
	billingAddr   string          // of the relay in front of the fake
	dir           string          // folder of its state
	savedDir      string          // copy of dir that a step with ActionSave made

	mu       sync.Mutex           // guards the fields below
	process  *testcluster.Process // nil: none runs
	twin     *testcluster.Process // nil: there is none
	starts   int                  // number of processes launched so far, twins included, for the names of logs
	absences []absence
	lastView uint64         // number of the view that was polled last; 0: the process was not polled yet
	latest   *gossip.Report // report that was polled last, possibly of an earlier process; nil: none yet
	changes  []stateChange
}

// absence is a period in which a member is not expected to answer. It has not ended if to is zero.
type absence struct{ from, to time.Time }

// stateChange is a change of a member's view, with the time of the change.
type stateChange struct {
	at time.Time
	gossip.ChangeReport
}

// launch starts a process of the member with this index, or of its twin. It ends all faults of the member's disk.
func (e *environment) launch(i int, twin bool) (*testcluster.Process, error) {
	n := e.nodes[i]
	path, err := e.writeConfig(n, i, twin)
	if err != nil {
		return nil, err
	}
	if err := n.writeFaults(e.scenario, nil); err != nil {
		return nil, err
	}
	return testcluster.Launch(
		n.nextLogFile(), processStarted, e.program, "serve", "-c", path, "--rehearsal", n.faultsFile())
}

// nextLogFile returns the name of the log of a process that is about to start.
func (n *node) nextLogFile() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	return fmt.Sprintf("%s.%d.log", n.dir, n.starts)
}

func (n *node) faultsFile() string { return n.dir + ".faults.json" }

// writeFaults writes the file with the clock rate of a member's process and the faults of its disk. The process reads
// the file while it runs.
func (n *node) writeFaults(scenario *Scenario, faults map[vfs.Op]vfs.Fault) error {
	text, err := jsontext.Encode(faultinjection.Plan{ClockRate: scenario.ClockRates[n.name], Faults: faults})
	if err != nil {
		return err
	}
	return vfs.Replace(vfs.OS{}, n.faultsFile(), text, 0o644)
}

// plansFile is the member's file of the catalogue. It is outside dir, so that a member that loses its state keeps it.
func (n *node) plansFile() string { return n.dir + ".plans.hcl" }

// usageDir is where a member records usage. It is outside dir, so that a member that loses its state keeps it.
func (n *node) usageDir() string { return n.dir + ".usage" }

// setProcess sets the member's process; nil: none runs.
func (n *node) setProcess(process *testcluster.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	n.lastView = 0
}

func (n *node) setTwin(process *testcluster.Process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.twin = process
}

// running returns the member's process, which may be suspended; nil: none runs.
func (n *node) running() *testcluster.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// responsive returns the member's process if it runs and is not suspended, else nil.
func (n *node) responsive() *testcluster.Process {
	process := n.running()
	if process == nil || process.Stopped() {
		return nil
	}
	return process
}

// beginAbsence records that the member is not expected to answer from now on.
func (n *node) beginAbsence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.absences = append(n.absences, absence{from: time.Now()})
}

// endAbsence records that the member is expected to answer again.
func (n *node) endAbsence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := len(n.absences) - 1; last >= 0 && n.absences[last].to.IsZero() {
		n.absences[last].to = time.Now()
	}
}

// wasAbsent reports whether a member was absent at a time, or its absence ended less than a grace period before it.
func (n *node) wasAbsent(at time.Time, grace time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.absences, func(a absence) bool {
		return at.After(a.from) && (a.to.IsZero() || at.Before(a.to.Add(grace)))
	})
}

// call sends a line to a process's management address and returns the lines of the reply.
func call(process *testcluster.Process, line string) ([]string, error) {
	return mgmt.Call(process.Mgmt, line, callTimeout)
}

// query makes a management call whose reply is a line of JSON.
func query[Reply any](process *testcluster.Process, line string) (reply Reply, err error) {
	lines, err := call(process, line)
	if err != nil {
		return reply, err
	}
	if len(lines) == 0 {
		return reply, errEmptyReply
	}
	err = jsontext.Decode([]byte(lines[0]), &reply)
	return reply, err
}

// poll asks a member for its view, and records what changed since the last poll.
func (n *node) poll() {
	n.mu.Lock()
	process, after := n.process, n.lastView
	n.mu.Unlock()
	if process == nil || process.Stopped() {
		return
	}
	report, err := query[gossip.Report](process, fmt.Sprint(callFleet, after))
	if err != nil {
		return
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != process {
		return
	}
	n.latest = &report
	n.lastView = report.View
	for _, change := range report.Changes {
		age := time.Duration(change.AgoMillis) * time.Millisecond
		n.changes = append(n.changes, stateChange{at: now.Add(-age), ChangeReport: change})
	}
}

// report returns the view that a member reported when it was last polled; nil: its process does not run or is
// suspended, or the member was not polled yet. After a restart, this is the view of the previous process until the new
// one has been polled.
func (n *node) report() *gossip.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.process.Stopped() {
		return nil
	}
	return n.latest
}

// stateChanges returns the changes of the members' states that the member reported.
func (n *node) stateChanges() (changes []stateChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, change := range n.changes {
		if change.What == "state" {
			changes = append(changes, change)
		}
	}
	return changes
}
