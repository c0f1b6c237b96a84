package control

import (
	"time"

	"mulleinrouter/internal/control/httpapi"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/operatorapi"
	"mulleinrouter/internal/control/replica"
)

// view returns the state of this node as served at GET /view.
func (n *Node) view() httpapi.View {
	epoch, snapshot := n.replica.Snapshot()
	voters, votes := n.replica.Voters()
	promised, pending := n.replica.Pending()
	connections := n.connections.Stats()
	return httpapi.View{
		Node:            n.settings.Node,
		Control:         n.self,
		Incarnation:     incarnationName(n.incarnation),
		UptimeSeconds:   n.uptime(),
		Ready:           n.ready(),
		Reason:          n.readinessReason(),
		Epoch:           epoch,
		Items:           snapshot.Len(),
		Promised:        promised,
		PendingEpoch:    pending,
		Voters:          voters,
		Votes:           votes,
		Sources:         n.peerViews(),
		Ingresses:       n.ingresses.Published(),
		Instances:       n.countInstances(),
		QuotaCounters:   n.counters.count(),
		InContact:       n.majority.Held(),
		EpochsBehind:    n.epochsBehind(),
		DiskStalled:     n.diskStalled(),
		ConnectionsUsed: connections.Total(),
		ConnectionLimit: connections.Limit,
	}
}

func (n *Node) countInstances() httpapi.InstanceCounts {
	counts := httpapi.InstanceCounts{}
	for _, instance := range n.store.Instances() {
		if counts[instance.Service] == nil {
			counts[instance.Service] = map[string]int{}
		}
		counts[instance.Service][instance.Phase.String()]++
	}
	return counts
}

func (n *Node) peerViews() (views []httpapi.PeerView) {
	for _, p := range n.peers.All() {
		state := p.State()
		lastContact := -1.0
		if state.Incarnation != 0 {
			lastContact = time.Since(state.LastUpdateAt).Seconds()
		}
		views = append(views, httpapi.PeerView{
			ControlAddr:        p.Addr,
			LastContactSeconds: lastContact,
			AnsweredSecondsAgo: max(-1, n.majority.Age(p.Addr).Seconds()),
			Epoch:              state.Epoch,
			Ready:              state.Ready,
			Quorum:             state.Quorum,
		})
	}
	return views
}

// readinessReason returns why this node is ready, or what it is waiting for.
func (n *Node) readinessReason() string {
	voters, _ := n.replica.Voters()
	term, held := n.majority.Current()
	switch {
	case n.ready():
		return "it has all"
	case n.disk.Load() == nil:
		return "the disk has not been read yet"
	case voters == nil:
		return "the disk was lost, and nobody has told who votes"
	case !held:
		return "it does not hear more than half of the voters"
	case n.confirmedTerm.Load() != term:
		return "the configuration here is not known to be the newest"
	case n.store.Snapshot().Len() == 0:
		return "there is no configuration yet"
	}
	return "servers have not had the time to call"
}

// member returns the state of a control node as known to this node, for GET /members. The member's epochs behind are
// counted from the given epoch.
func (n *Node) member(addr string, epoch uint64) operatorapi.Member {
	m := operatorapi.Member{Addr: addr, Zone: n.electorate.Zone(addr), LastContactSeconds: -1}
	if addr == n.self {
		m.Self, m.Up, m.LastContactSeconds = true, true, 0
		return m
	}
	p := n.peers.Find(addr)
	if p == nil {
		return m
	}
	state := p.State()
	if state.Incarnation != 0 {
		m.LastContactSeconds = max(0, time.Since(state.LastUpdateAt).Seconds())
	}
	// Voters are also pinged, and their answers may be newer than their last updates.
	if age := n.majority.Age(addr).Seconds(); age >= 0 && (m.LastContactSeconds < 0 || age < m.LastContactSeconds) {
		m.LastContactSeconds = age
	}
	m.Up = p.Connected() && m.LastContactSeconds >= 0 && m.LastContactSeconds <= majority.TTL.Seconds()
	m.EpochsBehind = epoch - min(epoch, state.Epoch)
	return m
}

// epochsBehind returns the number of changes that another control node is known to have and this node does not.
func (n *Node) epochsBehind() uint64 {
	epoch := n.replica.Epoch()
	return n.peers.NewestEpoch(epoch) - epoch
}

// diskStalled reports whether one write to the disk has taken longer than replica.SyncTimeout.
func (n *Node) diskStalled() bool {
	disk := n.disk.Load()
	return disk != nil && disk.Stalled(replica.SyncTimeout)
}

// oldestVoterAnswerAge returns the time in seconds since the last answer of the voter that has been silent the longest,
// or -1 if a voter has never answered.
func (n *Node) oldestVoterAnswerAge() float64 {
	oldest := 0.0
	voters, _ := n.replica.Voters()
	for _, voter := range voters {
		if voter == n.self {
			continue
		}
		age := n.majority.Age(voter)
		if age < 0 {
			return -1
		}
		oldest = max(oldest, age.Seconds())
	}
	return oldest
}
