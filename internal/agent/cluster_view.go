package agent

import (
	"time"

	"mulleinrouter/internal/cluster/replication"
)

const (
	statusTTL = 2 * time.Second // for which the last update of a source is valid
	// from the start, until one control node in contact with a majority is sufficient
	singleSourceAfter = 5 * time.Second
)

// clusterView is what the states of all sources say together. Only control nodes that are in contact with a majority of
// the voters count.
type clusterView struct {
	members       int      // the highest count of ingresses; 0: none is known
	quorum        bool     // a majority of the voters is connected and in contact
	sufficient    bool     // what has come from them is enough to serve with
	voters        []string // control addresses of the voters; nil: not known
	votersCurrent bool     // a node in contact has reported them
	rank          int      // of this ingress in its zone, by the node that counts most members
	peers         int      // ingresses that are ranked there; 0: this one has no rank
	live          []string // internal addresses that counter calls can go to
}

// sourceStatus is what is known of one control node.
type sourceStatus struct {
	addr         string
	fromVoters   bool
	connected    bool
	syncComplete bool
	replication.State
}

// view evaluates the sources as they are now.
func (a *Agent) view() clusterView {
	sources := *a.sources.Load()
	statuses := make([]sourceStatus, 0, maxSources)
	for _, src := range sources {
		statuses = append(statuses, sourceStatus{
			addr:         src.addr,
			fromVoters:   src.fromVoters.Load(),
			connected:    src.client.Connected(),
			syncComplete: src.syncComplete.Load(),
			State:        src.client.State(),
		})
	}
	return evaluate(statuses, time.Now(), time.Since(a.startedAt))
}

// inContact reports whether a control node was in contact with a majority of the voters as of its last update, and that
// is still valid.
func (ss *sourceStatus) inContact(now time.Time) bool {
	return ss.Incarnation != 0 && now.Sub(ss.LastUpdateAt) <= statusTTL && ss.Quorum
}

// evaluate draws the conclusions from what is known of the control nodes, at a time since the start. A majority of the
// voters has everything that was acknowledged, and a node that is in contact with one and ready has it too. Where no
// majority connects, one such node is sufficient after a while. One that is out of contact, or is known to lack changes
// that another has, is never sufficient.
func evaluate(statuses []sourceStatus, now time.Time, sinceStart time.Duration) clusterView {
	view, electorate := evaluateVoters(statuses, now)
	newestEpoch := uint64(0)
	for i := range statuses {
		newestEpoch = max(newestEpoch, statuses[i].Epoch)
	}
	inContact, complete := 0, 0
	for i := range statuses {
		status := &statuses[i]
		if !status.inContact(now) {
			continue
		}
		inContact++
		if status.ZonePeers > 0 && (status.Members > view.members || view.peers == 0) {
			view.rank, view.peers = status.Rank, status.ZonePeers
		}
		view.members = max(view.members, status.Members)
		if status.syncComplete && status.Ready && status.Epoch >= newestEpoch {
			complete++
		}
		if status.connected {
			view.live = append(view.live, status.addr)
		}
	}
	view.quorum = inContact > 0 && 2*inContact > electorate
	view.sufficient = complete > 0 && (2*complete > electorate || sinceStart > singleSourceAfter)
	return view
}

// evaluateVoters finds the newest electorate that is known, and its size: where no node in contact has reported it, the
// configured sources count in its place.
func evaluateVoters(statuses []sourceStatus, now time.Time) (view clusterView, electorate int) {
	votersEpoch := uint64(0)
	for i := range statuses {
		status := &statuses[i]
		if !status.fromVoters {
			electorate++
		}
		if len(status.Voters) == 0 {
			continue
		}
		current := status.inContact(now)
		newer := current && (!view.votersCurrent || status.Epoch > votersEpoch)
		if view.voters == nil || newer {
			view.voters, view.votersCurrent, votersEpoch = status.Voters, current, status.Epoch
		}
	}
	if view.votersCurrent {
		electorate = len(view.voters)
	}
	return view, electorate
}
