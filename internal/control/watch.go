package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/control/mutant"
	"mulleinrouter/internal/control/storage"
)

// inContact tells whether this node is in contact with a majority.
func (n *Node) inContact() bool {
	return n.majority.Held()
}

// ingressCount is how many hold a lease; 0: it is not known, as where there is no contact.
func (n *Node) ingressCount() int {
	if !n.inContact() {
		return 0
	}
	return int(n.ingresses.Published())
}

// watch does what time alone brings on.
func (n *Node) watch(ctx context.Context, all *sync.WaitGroup) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	last, since := uint64(0), n.started // the span of contact
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.wakeWatch:
		}
		now := time.Now()
		n.ping()
		living, term, quorum := n.majority.Reachable()
		if n.lastInContact.Swap(quorum) != quorum {
			n.log.Log("msg", "quorum", "heard", quorum)
			n.store.NotifySubscribers()
		}
		if term != last {
			// Contact was lost, seen or not, and is there again: what was counted before is no ground to judge by.
			last, since = term, now
			n.ingresses.BeginTerm()
			n.instances.QuorumLost()
		}
		if due := n.instances.DetectSilent(quorum || mutant.Active("judges-alone")); len(due) > 0 {
			n.log.Log("msg", "instances judged", "count", len(due), "first", due[0].ID, "phase", due[0].Phase)
		}
		if members := n.ingresses.Count(now, since); quorum && n.ingresses.Publish(members) {
			n.log.Log("msg", "ingresses", "count", members)
			if disk := n.storage.Load(); disk != nil && members > 0 {
				disk.Put(storage.Batch{Members: int(members), NoSync: true})
			}
		}
		n.ingresses.UpdateRanks()
		n.updateKeeper(living, term, quorum)
		if quorum && (n.confirmed.Load() != term || n.hasOrphan(now)) {
			n.proposals.confirm()
		}
		n.sweep()
		n.updateLag(now)
		n.maintainElectorate(ctx, all)
		if round%4 == 0 {
			n.instances.Expire(n.storage.Load())
			n.instances.Flush(n.storage.Load())
		}
	}
}

// updateKeeper tells the keeper of counters who shares them. In a new span of contact its fence begins anew: another may have kept them meanwhile.
func (n *Node) updateKeeper(living []string, term uint64, quorum bool) {
	n.keeper.Lock()
	defer n.keeper.Unlock()
	me := n.config.InternalAddrOf(n.self)
	if n.keeper.term != term && !mutant.Active("serves-through-a-lapse") {
		n.keeper.SetMembers(n.uptime(), nil, me, false)
	}
	n.keeper.term = term
	n.keeper.SetMembers(n.uptime(), n.internalAddrs(living), me, quorum || mutant.Active("keeps-counters-alone"))
}

// zoneRankOf is where an ingress stands in its zone; 0 peers: it is not known, as where there is no contact.
func (n *Node) zoneRankOf(node string) (rank, peers int) {
	if !n.inContact() {
		return 0, 0
	}
	return n.ingresses.Rank(node)
}

// notifyWatch has watch look now.
func (n *Node) notifyWatch() {
	select {
	case n.wakeWatch <- struct{}{}:
	default:
	}
}

// hasOrphan tells whether something that was accepted here waits for so long that its proposer must be gone.
func (n *Node) hasOrphan(now time.Time) bool {
	voters, _ := n.replica.electorate()
	rank := time.Duration(max(0, slices.Index(voters, n.self)))
	return n.replica.pendingFor(now) > orphanTimeout+rank*orphanRankDelay
}

// ready tells whether a newcomer may serve with what it gets here: the configuration is as new as any that was acknowledged when this
// span of contact began, and servers have had the time to call.
func (n *Node) ready() bool {
	term, ok := n.majority.Current()
	if mutant.Active("ready-alone") {
		ok, term = true, n.confirmed.Load()
	}
	return ok && n.confirmed.Load() == term && (!n.behind.Load() || mutant.Active("ready-behind")) && n.store.Snapshot().Len() > 0 && (n.warm.Load() || n.uptime() > 1.2*n.settings.HeartbeatInterval)
}
