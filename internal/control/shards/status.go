package shards

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/control/operatorapi"
)

const millisPerSecond = 1000

// Status returns the state of the shards as known to this node. It is empty until the disk has been read.
func (s *Service) Status() []operatorapi.Shard {
	all := []operatorapi.Shard{}
	hosts := s.hosts.Load()
	if hosts == nil {
		return all
	}
	for _, h := range hosts {
		all = append(all, h.status())
	}
	return all
}

func (h *host) status() operatorapi.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.service.now()
	status := operatorapi.Shard{
		Number:      h.number,
		Leaseholder: h.replica.Leader(),
		Term:        h.replica.Term(),
		Batch:       h.replica.Last().Seq,
		Lease:       h.replica.HoldsLease(now),
		Replicas:    []operatorapi.Replica{},
	}
	for _, r := range h.replica.Replicas() {
		status.Replicas = append(status.Replicas, operatorapi.Replica{
			Addr: r.Addr, Learner: r.Learner, Behind: r.Behind,
		})
	}
	if status.Lease && h.tables != nil {
		stats := h.tables.Stats()
		status.LeaseAgeMs = int64(h.replica.LeaseAge(now) * millisPerSecond)
		status.Locks, status.Numbers, status.Cells = stats.Locks, stats.Numbers, stats.Cells
		status.Events = stats.Events
	}
	return status
}

// Transfer transfers the lease of a shard from this node to another voter. It returns a *TransferError if it refuses.
func (s *Service) Transfer(number uint32, to string) error {
	hosts := s.hosts.Load()
	if hosts == nil || number >= Count {
		return &TransferError{Shard: number, Reason: "there is no such shard here"}
	}
	h := hosts[number]
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.now()
	if !h.replica.HoldsLease(now) {
		leader := cmp.Or(h.replica.Leader(), "nobody known")
		return &TransferError{Shard: number, Reason: "the lease is held by " + leader}
	}
	if !h.replica.TransferTo(to, now) {
		return &TransferError{Shard: number, Reason: to + " is no other voter that answers and has everything"}
	}
	level.Info(s.log).Log("msg", "lease handed over", "shard", number, "to", to)
	h.processOutput(now)
	return nil
}

// Leases returns the number of shards whose lease this node holds, and of the terms that it has led since its start.
func (s *Service) Leases() (leases, terms int) {
	hosts := s.hosts.Load()
	if hosts == nil {
		return 0, 0
	}
	for _, h := range hosts {
		h.mu.Lock()
		if h.replica.HoldsLease(s.now()) {
			leases++
		}
		terms += h.termsLed
		h.mu.Unlock()
	}
	return leases, terms
}

// Metrics counts the calls of applications that this node has answered.
type Metrics struct {
	mu      sync.Mutex         // guards the totals
	results map[string]float64 // number of calls by outcome
	seconds map[string]float64 // total duration by kind of call, seconds
	calls   map[string]float64 // number of calls by kind
}

func newMetrics() *Metrics {
	return &Metrics{results: map[string]float64{}, seconds: map[string]float64{}, calls: map[string]float64{}}
}

var kindNames = map[coordination.Kind]string{
	coordination.AcquireLock: "lock_acquire",
	coordination.RenewLock:   "lock_renew",
	coordination.ReleaseLock: "lock_release",
	coordination.NextNumber:  "number",
	coordination.PutCell:     "cell_put",
	coordination.GetCell:     "cell_get",
	coordination.Watch:       "watch",
}

var codeNames = map[coordination.Code]string{
	coordination.OK:          "ok",
	coordination.Conflict:    "conflict",
	coordination.NotFound:    "not_found",
	coordination.Mismatch:    "mismatch",
	coordination.Unconfirmed: "unconfirmed",
	coordination.Compacted:   "compacted",
	coordination.TooMany:     "too_many_records",
	coordination.TooManyOpen: "too_many_calls",
}

// record counts a call and its duration in seconds.
func (m *Metrics) record(kind coordination.Kind, code coordination.Code, err error, took float64) {
	outcome := codeNames[code]
	switch {
	case errors.Is(err, ErrNoLeaseholder):
		outcome = "no_leaseholder"
	case err != nil:
		outcome = "unknown"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results[outcome]++
	m.seconds[kindNames[kind]] += took
	m.calls[kindNames[kind]]++
}

// Outcomes returns the number of calls by outcome.
func (m *Metrics) Outcomes() []metrics.Sample { return m.samples(m.results) }

// Seconds returns the total duration of calls by kind.
func (m *Metrics) Seconds() []metrics.Sample { return m.samples(m.seconds) }

// Calls returns the number of calls by kind.
func (m *Metrics) Calls() []metrics.Sample { return m.samples(m.calls) }

func (m *Metrics) samples(totals map[string]float64) (samples []metrics.Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(totals)) {
		samples = append(samples, metrics.Sample{Label: label, Value: totals[label]})
	}
	return samples
}
