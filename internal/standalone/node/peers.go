package node

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/handover"
	"mulleinrouter/internal/standalone/state"
)

// Kinds of files in the state folder.
const (
	peerRecord      = "record"    // handover.Record of a process
	knowledgeRecord = "knowledge" // decision.Knowledge that an older process hands over to a newer one
)

const (
	// heartbeatInterval is the time between two exchanges with the other processes.
	heartbeatInterval = time.Duration(handover.HeartbeatInterval * float64(time.Second))

	// knowledgeTimeout is the time for an older process to hand over its knowledge, which it does at its next
	// heartbeat. The newer process does not listen until then.
	knowledgeTimeout      = time.Second
	knowledgePollInterval = 20 * time.Millisecond // between checks for the knowledge

	// staleRecordSeconds is the time from a killed process's last heartbeat to the removal of its files. Its record is
	// ignored much earlier, after handover.LeaseDuration, so the removal only tidies the folder.
	staleRecordSeconds = 60.0
)

// peerProcesses exchanges records with other processes of the same ingress, which exist during an upgrade. After the
// start, only the goroutine of runPeerHeartbeats uses it.
type peerProcesses struct {
	folder *state.Folder
	member *handover.Member
	log    log.Logger

	handedOver  map[int64]bool // newer processes to which this one's knowledge was handed over
	failed      bool           // a read or write has failed in this exchange
	reported    bool           // the failure has been logged
	overlapping bool           // other processes were live in the last exchange
}

// newPeerProcesses prepares the exchange with other processes of the same ingress. It returns nil if there is no state
// folder, or if no second process can listen on the address because the port is 0 (any free port) or the address is
// invalid.
func newPeerProcesses(dir, name, listen string, process int64, logger log.Logger) *peerProcesses {
	if _, port, err := net.SplitHostPort(listen); dir == "" || err != nil || port == "0" {
		return nil
	}
	return &peerProcesses{
		folder:     state.Open(dir, name+" "+listen, process),
		member:     handover.New(process, unixNow()),
		log:        logger,
		handedOver: map[int64]bool{},
	}
}

// unixNow returns the Unix time in seconds, which the processes of one machine share.
func unixNow() float64 { return float64(time.Now().UnixNano()) / float64(time.Second) }

// records reads the records of the other processes. It skips records that cannot be read, and removes the files of
// processes whose last heartbeat is older than staleRecordSeconds.
func (p *peerProcesses) records() (all []handover.Record, err error) {
	processes, err := p.folder.Processes(peerRecord)
	if err != nil {
		return nil, err
	}
	for _, process := range processes {
		var record handover.Record
		if err := p.folder.Read(peerRecord, process, &record); err != nil {
			if !errors.Is(err, fs.ErrNotExist) { // a process that has ended meanwhile is no failure
				p.reportFailure(err)
			}
			continue
		}
		if unixNow()-record.HeartbeatAt > staleRecordSeconds {
			p.folder.Remove(peerRecord, process)
			p.folder.Remove(knowledgeRecord, process)
			continue
		}
		all = append(all, record)
	}
	return all, nil
}

// reportFailure logs the first failure of a series. A nil error is not a failure.
func (p *peerProcesses) reportFailure(err error) {
	if err == nil {
		return
	}
	if p.failed = true; !p.reported {
		p.reported = true
		level.Warn(p.log).Log("msg", "cannot exchange state with other processes of this ingress",
			"code", "state-unusable", "error", err,
		)
	}
}

// exchange reads the others' records and writes this process's own. It hands over the result of knowledge to each newer
// process once, or nothing if knowledge is nil.
func (p *peerProcesses) exchange(knowledge func() decision.Knowledge) handover.View {
	p.failed = false
	records, err := p.records()
	p.reportFailure(err)
	view := p.member.Heartbeat(unixNow(), records)
	for _, process := range view.Newer {
		if knowledge != nil && !p.handedOver[process] {
			p.handedOver[process] = true
			p.reportFailure(p.folder.Write(knowledgeRecord, knowledge()))
		}
	}
	p.reportFailure(p.folder.Write(peerRecord, view.Own))
	if p.reported && !p.failed {
		p.reported = false
		level.Info(p.log).Log("msg", "state exchanged with other processes of this ingress again",
			"code", "state-usable",
		)
	}
	if overlapping := !view.Alone; overlapping != p.overlapping {
		p.overlapping = overlapping
		level.Info(p.log).Log("msg", "another process of this ingress started or ended",
			"code", "process-overlap", "together", overlapping, "part", view.Own.Share,
		)
	}
	return view
}

// awaitKnowledge waits for the knowledge of an older process. It returns nil if there is no older process, or if that
// process hands over nothing within knowledgeTimeout.
func (p *peerProcesses) awaitKnowledge() *decision.Knowledge {
	begun := unixNow()
	alone := p.exchange(nil).Alone
	deadline := time.Now().Add(knowledgeTimeout)
	for ; !alone && time.Now().Before(deadline); time.Sleep(knowledgePollInterval) {
		processes, err := p.folder.Processes(knowledgeRecord)
		p.reportFailure(err)
		for _, process := range processes {
			var knowledge decision.Knowledge
			if err := p.folder.Read(knowledgeRecord, process, &knowledge); err != nil {
				p.reportFailure(err)
			} else if knowledge.At > begun-handover.LeaseDuration { // older knowledge is left from an earlier upgrade
				return &knowledge
			}
		}
	}
	return nil
}

// remove removes this process's files.
func (p *peerProcesses) remove() {
	p.folder.Remove(peerRecord, p.folder.Process())
	p.folder.Remove(knowledgeRecord, p.folder.Process())
}

// runPeerHeartbeats exchanges records with the other processes until the context ends, and then removes this process's
// files.
func (n *Node) runPeerHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer n.peers.remove()
	for {
		n.peerHeartbeat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.draining.Load() {
				n.peers.member.Leave()
			}
		}
	}
}

// peerHeartbeat makes one exchange and sets the engine's share of the ingress. While other processes are live, the
// share expires unless it is renewed, because a process that was suspended and resumes must not use a share that others
// have taken over. With a lease of 0 the share does not expire.
func (n *Node) peerHeartbeat() {
	view := n.peers.exchange(n.engine.HandOver)
	n.newerProcess.Store(len(view.Newer) > 0)
	lease := 0.0
	if !view.Alone {
		lease = handover.LeaseDuration
	}
	n.engine.SetShare(view.Own.Share, view.Secondary, lease)
}
