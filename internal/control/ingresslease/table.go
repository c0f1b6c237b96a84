package ingresslease

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// leaseDuration is how long a lease is valid after its last renewal. After that the ingress is not counted any
	// more.
	leaseDuration = 2 * time.Second
	// initialRenewalPeriod is the time from the start of a term of contact in which Count returns only the lower bound,
	// because some holders may not have renewed their leases here yet.
	initialRenewalPeriod = 1500 * time.Millisecond
	maxLeases            = 1 << 14 // bounds memory; further ingresses get no lease
	// recentSpan is how long an ingress counts in Recent after it has lost its lease. Many ingresses that were lost
	// together may return together until then, and divide quotas by that number.
	recentSpan = 10 * time.Minute

	// MaxNameLength limits the names of ingresses and the zones of control nodes, in bytes. An ingress with a longer
	// name gets no lease, and a longer zone is ignored.
	MaxNameLength = 4096
)

// Table holds the leases of the ingresses that subscribe to this node. The zero value is an empty table. It is safe
// for concurrent use.
type Table struct {
	mu       sync.Mutex       // guards the fields of this group
	leases   map[string]lease // by node name of the ingress
	changed  bool             // whether the ranks must be computed again
	recentAt time.Time        // time of the last number that was as high as recent

	published  atomic.Int64
	lowerBound atomic.Int64 // count from before this term of contact
	recent     atomic.Int64 // highest number of leases since recentAt, of ready ingresses or not
	ranks      atomic.Pointer[map[string]zoneRank]
}

type lease struct {
	incarnation uint64
	renewedAt   time.Time
	ready       bool // whether the ingress takes requests
	zone        string
}

// zoneRank is the position of an ingress among the ready ones of its zone.
type zoneRank struct {
	rank  int
	peers int
}

// Renew renews the lease of a subscriber. Ready means that it takes requests.
func (t *Table) Renew(hello *transport.Hello, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases == nil {
		t.leases = map[string]lease{}
	}
	old, ok := t.leases[hello.Node]
	if !ok && (len(t.leases) >= maxLeases || len(hello.Node) > MaxNameLength) {
		return
	}
	if !ok || old.ready != ready {
		t.changed = true
	}
	t.leases[hello.Node] = lease{
		incarnation: hello.Incarnation,
		renewedAt:   time.Now(),
		ready:       ready,
		zone:        hello.Zone,
	}
}

// countReady returns the number of ready ingresses whose leases are valid, removes expired leases, and records the
// number of all valid leases.
func (t *Table) countReady(now time.Time) (ready int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, l := range t.leases {
		if now.Sub(l.renewedAt) > leaseDuration {
			delete(t.leases, node)
			t.changed = true
		} else if l.ready {
			ready++
		}
	}
	t.observeRecent(now, int64(len(t.leases)))
	return ready
}

// observeRecent records a number of ingresses. A lower number replaces the highest one after recentSpan. t.mu is held.
func (t *Table) observeRecent(now time.Time, count int64) {
	if count >= t.recent.Load() || now.Sub(t.recentAt) > recentSpan {
		t.recent.Store(count)
		t.recentAt = now
	}
}

// Recent returns the highest number of ingresses that held a lease within recentSpan, whether or not they were ready,
// as of the last Count. If many ingresses start together, each of them counts here before it is ready.
func (t *Table) Recent() int64 { return max(t.recent.Load(), t.Published()) }

// Restore sets the lower bound to the recent number that was stored on disk. That number also counts as a recent one
// for recentSpan, because ingresses that were lost before this process started may return.
func (t *Table) Restore(recent int) {
	t.lowerBound.Store(int64(recent))
	t.AdoptRecent(int64(recent))
}

// AdoptRecent records a recent number of ingresses that this process has not counted itself.
func (t *Table) AdoptRecent(recent int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeRecent(time.Now(), max(recent, t.recent.Load()))
}

// BeginTerm makes the published count the lower bound for a new term of contact.
func (t *Table) BeginTerm() {
	if count := t.published.Load(); count > 0 {
		t.lowerBound.Store(count)
	}
}

// Count is the number of ready ingresses in a term of contact that began at termStart; 0 means unknown. Until all
// ingresses have had time to renew their leases here, it is not below the lower bound, because shares of quotas that
// are too large cannot be revoked.
func (t *Table) Count(now, termStart time.Time) int64 {
	count := int64(t.countReady(now))
	switch elapsed := now.Sub(termStart); {
	case elapsed < initialRenewalPeriod:
		return t.lowerBound.Load()
	case elapsed < initialRenewalPeriod+2*leaseDuration:
		return max(count, t.lowerBound.Load())
	}
	return count
}

// Publish sets the count that Published returns, and reports whether it has changed.
func (t *Table) Publish(count int64) (changed bool) { return t.published.Swap(count) != count }

// Published is the count that was published last.
func (t *Table) Published() int64 { return t.published.Load() }

// UpdateRanks computes the ranks again if an ingress has got a lease, lost it or changed its readiness since.
func (t *Table) UpdateRanks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.changed {
		return
	}
	t.changed = false
	ranks := t.computeRanks()
	t.ranks.Store(&ranks)
}

// computeRanks orders the ready ingresses of each zone by name, so that all control nodes agree. t.mu is held.
func (t *Table) computeRanks() map[string]zoneRank {
	zones := map[string][]string{}
	for node, l := range t.leases {
		if l.ready {
			zones[l.zone] = append(zones[l.zone], node)
		}
	}
	ranks := make(map[string]zoneRank, len(t.leases))
	for _, nodes := range zones {
		slices.Sort(nodes)
		for i, node := range nodes {
			ranks[node] = zoneRank{rank: i, peers: len(nodes)}
		}
	}
	return ranks
}

// Rank is the position of an ingress in its zone as of the last UpdateRanks. If peers is 0, it is unknown.
func (t *Table) Rank(node string) (rank, peers int) {
	ranks := t.ranks.Load()
	if ranks == nil {
		return 0, 0
	}
	r := (*ranks)[node]
	return r.rank, r.peers
}
