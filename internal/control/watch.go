package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/catchup"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/storage"
	"mulleinrouter/internal/mutants"
)

const (
	watchInterval   = 250 * time.Millisecond
	flushRounds     = 4                      // rounds of watch between two flushes of instances to the disk
	orphanTimeout   = 200 * time.Millisecond // after which a node that has accepted a change completes it itself
	orphanRankDelay = 75 * time.Millisecond  // more, for each voter before this one: they should not all do it
	warmUpFactor    = 1.2                    // heartbeat intervals after the start, by which all servers have called
)

// watcher is the state of watch from one round to the next.
type watcher struct {
	*Node
	term      uint64    // of the majority lease
	termStart time.Time // when watch saw it begin
	lag       catchup.Lag
}

// watch does the periodic work until the context ends; what it starts runs in wg.
func (n *Node) watch(ctx context.Context, wg *sync.WaitGroup) {
	w := &watcher{Node: n, termStart: n.started}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wakeWatch:
		}
		w.round(ctx, wg)
		if round%flushRounds == 0 {
			n.instances.Expire(n.disk.Load())
			n.instances.Flush(n.disk.Load())
		}
	}
}

// round is one round of the periodic work.
func (w *watcher) round(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	w.ping()
	reachable, term, held := w.majority.Reachable()
	if w.lastInContact.Swap(held) != held {
		level.Warn(w.log).Log("msg", "majority contact changed", "inContact", held)
		w.store.NotifySubscribers()
	}
	if term != w.term {
		// Contact was lost, whether it was seen or not, and is back: what was counted before is no evidence.
		w.term, w.termStart = term, now
		w.ingresses.BeginTerm()
		w.instances.QuorumLost()
	}
	w.detectSilent(held)
	w.countIngresses(now, held)
	w.counters.update(w.internalAddrs(reachable), term, held)
	if held && (w.confirmedTerm.Load() != term || w.hasOrphan(now)) {
		w.proposals.RequestConfirmation()
	}
	w.fetcher.Sweep()
	w.updateLag(now)
	w.electorate.Maintain(ctx, wg)
}

// detectSilent has the registry look for instances without heartbeats.
func (w *watcher) detectSilent(held bool) {
	changed := w.instances.DetectSilent(held || mutants.On("control/judges-alone"))
	if len(changed) > 0 {
		level.Info(w.log).Log("msg", "instance phases changed", "count", len(changed), "first", changed[0].ID,
			"phase", changed[0].Phase)
	}
}

// countIngresses publishes the number of ingresses and their ranks.
func (w *watcher) countIngresses(now time.Time, held bool) {
	count := w.ingresses.Count(now, w.termStart)
	if held && w.ingresses.Publish(count) {
		level.Info(w.log).Log("msg", "ingress count changed", "count", count)
		if disk := w.disk.Load(); disk != nil && count > 0 {
			disk.Put(storage.Batch{IngressCount: int(count), NoSync: true})
		}
	}
	w.ingresses.UpdateRanks()
}

// updateLag notes whether another node has had a newer snapshot for a while.
func (w *watcher) updateLag(now time.Time) {
	epoch := w.replica.Epoch()
	lagging := w.lag.Update(now, epoch, w.peers)
	if w.lagging.Swap(lagging) != lagging {
		level.Warn(w.log).Log("msg", "lag changed",
			"lagging", lagging, "epoch", epoch, "newestEpoch", w.lag.NewestEpoch(),
		)
		w.store.NotifySubscribers()
	}
}

// notifyWatch has watch do a round now. It does not block.
func (n *Node) notifyWatch() {
	select {
	case n.wakeWatch <- struct{}{}:
	default:
	}
}

// ping asks the voters for an answer, which extends the majority lease.
func (n *Node) ping() {
	voters, _ := n.replica.Voters()
	for _, voter := range voters {
		if p := n.peers.Find(voter); p != nil && p.Connected() {
			go n.pingVoter(voter)
		}
	}
}

// pingVoter pings one voter. If contact is back with its answer, watch is notified; at other answers it is not,
// for its next round pings again.
func (n *Node) pingVoter(voter string) {
	answer := n.peers.Call(voter, majority.TTL, &transport.Frame{Ping: &transport.Ping{}})
	if answer != nil && !n.lastInContact.Load() && n.majority.Held() {
		n.notifyWatch()
	}
}

// internalAddrs returns the internal addresses of control nodes.
func (n *Node) internalAddrs(controlAddrs []string) []string {
	addrs := make([]string, len(controlAddrs))
	for i, addr := range controlAddrs {
		addrs[i] = n.config.InternalAddrOf(addr)
	}
	return addrs
}

// hasOrphan tells whether a change that was accepted here has been pending for so long that its proposer must
// have failed.
func (n *Node) hasOrphan(now time.Time) bool {
	voters, _ := n.replica.Voters()
	rank := time.Duration(max(0, slices.Index(voters, n.self)))
	return n.replica.PendingFor(now) > orphanTimeout+rank*orphanRankDelay
}

// ingressCount is how many ingresses hold a lease; 0: unknown, as without contact.
func (n *Node) ingressCount() int {
	if !n.majority.Held() {
		return 0
	}
	return int(n.ingresses.Published())
}

// zoneRank is the position of an ingress in its zone; 0 peers: unknown, as without contact.
func (n *Node) zoneRank(node string) (rank, peers int) {
	if !n.majority.Held() {
		return 0, 0
	}
	return n.ingresses.Rank(node)
}

// ready tells whether an agent may serve with what it gets here: the configuration is as new as any that was
// acknowledged when this term of contact began, and servers have had the time to call.
func (n *Node) ready() bool {
	term, held := n.majority.Current()
	if mutants.On("control/ready-alone") {
		held, term = true, n.confirmedTerm.Load()
	}
	if !held || n.confirmedTerm.Load() != term {
		return false
	}
	if n.lagging.Load() && !mutants.On("control/ready-behind") {
		return false
	}
	return n.store.Snapshot().Len() > 0 && n.serversKnown()
}

// serversKnown tells whether the servers were known from the start, or have all had the time to call.
func (n *Node) serversKnown() bool {
	return n.warm.Load() || n.uptime() > warmUpFactor*n.settings.HeartbeatInterval
}
