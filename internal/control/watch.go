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
	watchInterval = 250 * time.Millisecond // between two rounds of watch
	flushRounds   = 4                      // rounds of watch between two flushes of instances to the disk
	// orphanTimeout is how long an accepted change may be pending before this node completes it itself, because its
	// proposer must have failed.
	orphanTimeout = 200 * time.Millisecond
	// orphanRankDelay is added to orphanTimeout for each voter that precedes this one, so that the voters do not all
	// complete the change at the same time.
	orphanRankDelay = 75 * time.Millisecond
	// warmUpFactor is the number of heartbeat intervals after the start in which every server has had time to send a
	// heartbeat, with a margin for late ones.
	warmUpFactor = 1.2
	// recentAdoptionSpan is the time after the start for which a node adopts the recent numbers of ingresses that the
	// others report. Later they would keep an old number in force among each other.
	recentAdoptionSpan = 5 * time.Second
)

// watcher is the state that watch keeps between its rounds.
type watcher struct {
	*Node
	term      uint64    // term of the majority lease in the last round
	termStart time.Time // time of the round in which watch first saw this term
	lag       catchup.Lag

	savedRecent int64 // recent number of ingresses that was saved last
}

// watch does the periodic work until the context ends. The goroutines that it starts run in wg.
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

// round does one round of the periodic work.
func (w *watcher) round(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	w.ping()
	reachable, term, held := w.majority.Reachable()
	if w.lastInContact.Swap(held) != held {
		level.Warn(w.log).Log("msg", "majority contact changed", "inContact", held)
		w.store.NotifySubscribers()
	}
	if term != w.term {
		// Contact was lost and is restored, even if no round saw the loss. Missing lease renewals and heartbeats from
		// before do not show that an ingress or a server is gone, because messages may have been lost in the meantime.
		w.term, w.termStart = term, now
		w.ingresses.BeginTerm()
		w.instances.QuorumLost()
	}
	w.detectSilent(held)
	w.publishIngressCount(now, held)
	w.saveRecentIngressCount()
	w.counters.update(w.internalAddrs(reachable), term, held)
	if held && (w.confirmedTerm.Load() != term || w.hasOrphan(now)) {
		w.proposals.RequestConfirmation()
	}
	w.fetcher.StartBackgroundFetch()
	w.updateLag(now)
	w.electorate.Maintain(ctx, wg)
}

// detectSilent makes the registry detect instances without heartbeats, and logs changed phases.
func (w *watcher) detectSilent(held bool) {
	changed := w.instances.DetectSilent(held || mutants.On("control/judges-alone"))
	if len(changed) > 0 {
		level.Info(w.log).Log("msg", "instance phases changed", "count", len(changed), "first", changed[0].ID,
			"phase", changed[0].Phase)
	}
}

// publishIngressCount counts the ingresses, publishes their number while contact is held, and updates their ranks.
func (w *watcher) publishIngressCount(now time.Time, held bool) {
	count := w.ingresses.Count(now, w.termStart)
	if held && w.ingresses.Publish(count) {
		level.Info(w.log).Log("msg", "ingress count changed", "count", count)
	}
	w.ingresses.UpdateRanks()
}

// saveRecentIngressCount saves the recent number of ingresses if it has changed. While this process is new, it first
// adopts the numbers of the other control nodes, because its disk may be empty or its number old.
func (w *watcher) saveRecentIngressCount() {
	if w.uptime() < recentAdoptionSpan.Seconds() {
		for _, p := range w.peers.All() {
			w.ingresses.AdoptRecent(int64(p.State().Recent))
		}
	}
	recent, disk := w.ingresses.Recent(), w.disk.Load()
	if disk == nil || recent == 0 || recent == w.savedRecent {
		return
	}
	disk.Put(storage.Batch{IngressCount: int(recent), NoSync: recent < w.savedRecent})
	w.savedRecent = recent
}

// updateLag records whether another node has had a newer snapshot for more than catchup.MaxLag, and notifies
// subscribers when that changes.
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

// notifyWatch makes watch start its next round at once. It does not block.
func (n *Node) notifyWatch() {
	select {
	case n.wakeWatch <- struct{}{}:
	default:
	}
}

// ping calls all connected voters. Their answers extend the majority lease.
func (n *Node) ping() {
	voters, _ := n.replica.Voters()
	for _, voter := range voters {
		if p := n.peers.Find(voter); p != nil && p.Connected() {
			go n.pingVoter(voter)
		}
	}
}

// pingVoter pings one voter. It notifies watch only if the answer restores contact with a majority, because each round
// of watch pings again.
func (n *Node) pingVoter(voter string) {
	answer := n.peers.Call(voter, majority.TTL, &transport.Frame{Ping: &transport.Ping{}})
	if answer == nil {
		return
	}
	n.electorate.RecordPong(voter, answer.Pong)
	if !n.lastInContact.Load() && n.majority.Held() {
		n.notifyWatch()
	}
}

// internalAddrs returns the internal addresses of the nodes with the given control addresses.
func (n *Node) internalAddrs(controlAddrs []string) []string {
	addrs := make([]string, len(controlAddrs))
	for i, addr := range controlAddrs {
		addrs[i] = n.config.InternalAddrOf(addr)
	}
	return addrs
}

// hasOrphan reports whether a change that this node has accepted has been pending for so long that its proposer must
// have failed.
func (n *Node) hasOrphan(now time.Time) bool {
	voters, _ := n.replica.Voters()
	rank := time.Duration(max(0, slices.Index(voters, n.self)))
	return n.replica.PendingFor(now) > orphanTimeout+rank*orphanRankDelay
}

// ingressCount returns the number of ready ingresses that hold a lease, or 0 if it is unknown. Without contact it is
// unknown.
func (n *Node) ingressCount() int {
	if !n.majority.Held() {
		return 0
	}
	return int(n.ingresses.Published())
}

// recentIngressCount returns the highest number of ingresses that held a lease lately, or 0 if it is unknown. Without
// contact it is unknown.
func (n *Node) recentIngressCount() int {
	if !n.majority.Held() {
		return 0
	}
	return int(n.ingresses.Recent())
}

// zoneRank returns the rank of an ingress among the ready ones in its zone, and their number. The number is 0 if the
// rank is unknown. Without contact it is unknown.
func (n *Node) zoneRank(node string) (rank, peers int) {
	if !n.majority.Held() {
		return 0, 0
	}
	return n.ingresses.Rank(node)
}

// ready reports whether an agent may serve with the state that this node streams: the configuration includes all
// changes that were acknowledged before this term of the majority lease began, it does not lag behind that of another
// node, and the servers are known.
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

// serversKnown reports whether the servers were known from the start, or have all had time to send a heartbeat.
func (n *Node) serversKnown() bool {
	return n.warm.Load() || n.uptime() > warmUpFactor*n.settings.HeartbeatInterval
}
