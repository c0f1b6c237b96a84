package agent

import (
	"time"

	"mulleinrouter/internal/cluster/replication"
)

const (
	// statusTTL is the time for which the last update of a source is valid. After it the source counts as out of
	// contact with a majority.
	statusTTL = 2 * time.Second
	// singleSourceAfter is the time since the start after which one control node in contact with a majority is
	// sufficient, so that an agent that cannot connect to a majority itself becomes ready all the same.
	singleSourceAfter = 5 * time.Second
)

// clusterView is the combined state of all sources. Except for voters, its fields describe only control nodes that are
// in contact with a majority of the voters.
type clusterView struct {
	members       int      // highest reported number of ingresses; 0: not known
	recentMembers int      // highest reported number of recent ingresses; 0: not known
	quorum        bool     // a majority of the voters is in contact (see sourceStatus.inContact)
	sufficient    bool     // the updates received are enough to serve requests
	voters        []string // control addresses of the voters; nil: not known
	votersCurrent bool     // the voters were reported by a node in contact
	rank          int      // rank of this ingress in its zone, from the node that reports most ingresses
	peers         int      // number of ingresses ranked in the zone; 0: this ingress has no rank
	live          []string // internal addresses of the nodes that counter calls can be sent to
}

// sourceStatus is the state of the subscription to one control node.
type sourceStatus struct {
	addr         string
	fromVoters   bool
	connected    bool
	syncComplete bool
	replication.State
}

// view evaluates the current state of the sources.
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

// inContact reports whether a control node was in contact with a majority of the voters at its last update, and whether
// that update is still valid.
func (ss *sourceStatus) inContact(now time.Time) bool {
	return ss.Incarnation != 0 && now.Sub(ss.LastUpdateAt) <= statusTTL && ss.Quorum
}

// evaluate combines the states of the control nodes into a view. A majority of the voters has every acknowledged
// change, and so has a node that is ready and in contact with a majority. If the agent does not connect to a majority,
// one such node is sufficient after singleSourceAfter. A node that is out of contact, or that does not have all changes
// of another node, is never sufficient.
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
		view.recentMembers = max(view.recentMembers, status.Recent)
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

// evaluateVoters returns a view with the newest known list of voters, and the number of voters. If no node in contact
// has reported the voters, that number is the number of configured sources.
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
