package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinrouter/internal/control/storage"
)

// inContact tells whether this node is in contact with a majority.
func (n *Node) inContact() bool {
	_, ok := n.contact.current()
	return ok
}

// ingresses is how many hold a lease; 0: it is not known, as where there is no contact.
func (n *Node) ingresses() int {
	if !n.inContact() {
		return 0
	}
	return int(n.members.Load())
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
		living, term, quorum := n.contact.living()
		if n.lastInContact.Swap(quorum) != quorum {
			n.log.Log("msg", "quorum", "heard", quorum)
			n.store.NotifySubscribers()
		}
		if term != last {
			// Contact was lost, seen or not, and is there again: what was counted before is no ground to judge by.
			last, since = term, now
			if m := n.members.Load(); m > 0 {
				n.lastMembers.Store(m)
			}
			n.instances.contactLost()
		}
		if due := n.instances.detectSilent(quorum || mutated("judges-alone")); len(due) > 0 {
			n.log.Log("msg", "instances judged", "count", len(due), "first", due[0].ID, "phase", due[0].Phase)
		}
		if members := n.ingressCount(now, since); quorum && n.members.Swap(members) != members {
			n.log.Log("msg", "ingresses", "count", members)
			if disk := n.storage.Load(); disk != nil && members > 0 {
				disk.Put(storage.Batch{Members: int(members), NoSync: true})
			}
		}
		if n.leases.takeChanged() {
			all := n.leases.ranked()
			n.zoneRanks.Store(&all)
		}
		n.updateKeeper(living, term, quorum)
		if quorum && (n.confirmed.Load() != term || n.hasOrphan(now)) {
			n.proposals.confirm()
		}
		n.sweep()
		n.updateLag(now)
		n.maintainElectorate(ctx, all)
		if round%4 == 0 {
			n.instances.expire(n.storage.Load())
			n.instances.flush(n.storage.Load())
		}
	}
}

// updateKeeper tells the keeper of counters who shares them. In a new span of contact its fence begins anew: another may have kept them meanwhile.
func (n *Node) updateKeeper(living []string, term uint64, quorum bool) {
	n.keeper.Lock()
	defer n.keeper.Unlock()
	me := n.config.InternalAddrOf(n.self)
	if n.keeper.term != term && !mutated("serves-through-a-lapse") {
		n.keeper.SetMembers(n.uptime(), nil, me, false)
	}
	n.keeper.term = term
	n.keeper.SetMembers(n.uptime(), n.internalAddrs(living), me, quorum || mutated("keeps-counters-alone"))
}

// ingressCount is how many ingresses hold a lease. While they may not all have renewed it with a node that has just started, or has just come
// into contact again, it is at least as many as were counted before: parts of quotas that are too large cannot be taken back. 0: it
// is not known.
func (n *Node) ingressCount(now, since time.Time) int64 {
	count := int64(n.leases.count(now))
	switch up := now.Sub(since); {
	case up < leaseSettleTime:
		return n.lastMembers.Load()
	case up < leaseSettleTime+2*leaseDuration:
		return max(count, n.lastMembers.Load())
	}
	return count
}

// zoneRankOf is where an ingress stands in its zone; 0 peers: it is not known, as where there is no contact.
func (n *Node) zoneRankOf(node string) (rank, peers int) {
	if all := n.zoneRanks.Load(); all != nil && n.inContact() {
		p := (*all)[node]
		return p.rank, p.peers
	}
	return 0, 0
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
	term, ok := n.contact.current()
	if mutated("ready-alone") {
		ok, term = true, n.confirmed.Load()
	}
	return ok && n.confirmed.Load() == term && (!n.behind.Load() || mutated("ready-behind")) && n.store.Snapshot().Len() > 0 && (n.warm.Load() || n.uptime() > 1.2*n.settings.HeartbeatInterval)
}
