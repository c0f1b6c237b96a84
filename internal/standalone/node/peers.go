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
	peerRecord      = "record"    // a process's own handover record
	knowledgeRecord = "knowledge" // what an older process hands over
)

const (
	heartbeatInterval     = time.Duration(handover.HeartbeatInterval * float64(time.Second))
	knowledgeTimeout      = time.Second           // for an older process to hand over what it knows
	knowledgePollInterval = 20 * time.Millisecond // between looks for it
	staleRecordSeconds    = 60.0                  // after its last heartbeat, the record of a killed process is removed
)

// peerProcesses is this process beside others of the same ingress, while one upgrades another. After the start, the
// goroutine of runPeerHeartbeats alone uses it.
type peerProcesses struct {
	folder *state.Folder
	member *handover.Member
	log    log.Logger

	handedOver  map[int64]bool // newer processes that have been given this one's knowledge
	failed      bool           // something could not be written or read in this exchange
	reported    bool           // the failure has been logged
	overlapping bool           // other processes were there in the last exchange
}

// newPeerProcesses makes this process known to others of the same ingress. It returns nil where there is no state
// folder, or where no second process could listen on the address.
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

// unixNow is the time in seconds that the processes of one machine share.
func unixNow() float64 { return float64(time.Now().UnixNano()) / float64(time.Second) }

// records reads the records of the other processes. A record that cannot be read counts as missing.
func (p *peerProcesses) records() (all []handover.Record, err error) {
	processes, err := p.folder.Processes(peerRecord)
	if err != nil {
		return nil, err
	}
	for _, process := range processes {
		var record handover.Record
		if err := p.folder.Read(peerRecord, process, &record); err != nil {
			if !errors.Is(err, fs.ErrNotExist) { // it has ended meanwhile
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

// reportFailure logs the first failure of a series; nil is none.
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

// exchange reads the others' records and writes this process's own. Each newer process is given once what knowledge
// returns; nil: there is none yet.
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

// awaitKnowledge waits for what an older process hands over; nil where there is no older process, or it hands over
// nothing in time.
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
			} else if knowledge.At > begun-handover.LeaseDuration {
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

// runPeerHeartbeats exchanges records with the other processes until the context ends, and then removes its own.
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

// peerHeartbeat is one exchange. The engine learns which part of the ingress this process is, and for how long
// unless it is renewed: a process that was stopped and resumes must not act on a part that others have taken over.
func (n *Node) peerHeartbeat() {
	view := n.peers.exchange(n.engine.HandOver)
	n.newerProcess.Store(len(view.Newer) > 0)
	lease := 0.0
	if !view.Alone {
		lease = handover.LeaseDuration
	}
	n.engine.SetShare(view.Own.Share, view.Secondary, lease)
}
