package decision

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
)

// maxBackendSize bounds the relative size of a backend, so that an invalid entry in an endpoint list cannot
// dominate the mean size and the slot limits.
const maxBackendSize = 1e3

// backend is the state of a backend at a gateway.
type backend struct {
	Backend
	pool   *backendPool
	listed bool
	rank   uint64 // random sort key of this gateway's order of use

	inFlight        int     // attempts in flight
	abandoned       float64 // estimated number of abandoned attempts that it still works on
	lastSentAt      Seconds
	unansweredSince Seconds // start of the present time without an answer; 0: none is expected

	healthy         bool     // its last answer was successful
	failures        int      // consecutive failures
	rejections      int      // consecutive rejections
	errorRate       float64  // share of errors among its recent answers
	recentAnswers   float64  // number of recent answers, weighted by age
	latency         Seconds  // typical latency
	kindLatency     *float64 // typical latency of all backends of its kind
	ejectedUntil    Seconds
	overloadedUntil Seconds // it has rejected work and is avoided until then

	limit      float64 // concurrency limit: attempts in flight from this gateway
	limitCutAt Seconds
	homeSlots  float64 // slots that are assigned to this gateway and that it prefers

	warmingSince   Seconds // start of its slow start; 0: it has its full capacity
	warmUpTokens   float64 // attempts that it may get now during slow start
	warmUpTokensAt Seconds
}

// available reports whether the endpoint list lets the backend be used.
func (b *backend) available() bool { return b.listed && b.Serving }

// updateBackends applies an endpoint list, or a change to it.
func (g *Gateway) updateBackends(e Backends) {
	if e.Complete {
		for b := range g.allBackends() {
			b.listed = false
		}
	}
	for _, row := range e.List {
		row.Size = min(maxBackendSize, cmp.Or(max(0, row.Size), 1)) // a size that is not known counts as 1
		g.updateBackend(row)
	}
	for _, p := range g.pools {
		g.orderBackends(p)
		g.updateSubset(p)
	}
}

func (g *Gateway) updateBackend(row Backend) {
	b := g.backends[row.ID]
	if b == nil {
		b = g.newBackend(row)
		g.backends[row.ID] = b
		b.pool.order = append(b.pool.order, b)
	}
	if row.StartedAt > b.StartedAt { // it has started or restarted
		// A start time far in the future must not leave the backend in slow start forever.
		b.warmingSince = min(row.StartedAt, g.now+g.settings.SlowStartTime)
		b.warmUpTokensAt = g.now
		b.warmUpTokens = 0
		b.limit = 1
		b.ejectedUntil = 0
	}
	b.Backend = row
	b.listed = true
	if g.settings.CapacityInSlots {
		b.limit = b.slotLimit()
	}
}

func (g *Gateway) newBackend(row Backend) *backend {
	p := g.poolFor(row.Group)
	if p.kindLatencies[row.Kind] == nil {
		p.kindLatencies[row.Kind] = new(p.latency)
	}
	kindLatency := p.kindLatencies[row.Kind]
	h := fnv.New64a()
	h.Write([]byte(row.ID))
	return &backend{
		pool:           p,
		rank:           rand.NewPCG(h.Sum64(), uint64(g.settings.Index)).Uint64(),
		kindLatency:    kindLatency,
		latency:        *kindLatency,
		limit:          max(1, initialLimit/float64(g.settings.Gateways)),
		warmUpTokensAt: g.now,
	}
}

// countSent counts an attempt that is sent to a backend.
func (g *Gateway) countSent(b *backend) {
	b.inFlight++
	b.lastSentAt = g.now
	if b.unansweredSince == 0 {
		b.unansweredSince = g.now
	}
	if g.warmFraction(b) < 1 {
		b.warmUpTokens--
	}
	b.pool.sendRate += 1 / sendRateWindow
	if !b.healthy {
		b.pool.trialTokens--
	}
}

// countEnded counts an attempt at a backend that has ended.
func (g *Gateway) countEnded(b *backend, outcome Outcome) {
	b.inFlight--
	b.unansweredSince = 0
	if b.inFlight > 0 {
		b.unansweredSince = g.now
	}
	if outcome == TimedOut || outcome == Cancelled {
		b.abandoned++ // the backend may go on working on the request
	}
}

// warmFraction returns the share of its capacity that a backend certainly has.
func (g *Gateway) warmFraction(b *backend) float64 {
	s := &g.settings
	if b.warmingSince == 0 || g.now-b.warmingSince >= s.SlowStartTime {
		return 1
	}
	return s.SlowStartShare + (1-s.SlowStartShare)*max(0, g.now-b.warmingSince)/s.SlowStartTime
}

// warmUpAdmits reports whether a backend in slow start may get an attempt: its rate is limited to
// warmFraction of the rate of a warm backend. If that is less than one attempt during slow start,
// every attempt is allowed, and the random part of the selection decides.
func (g *Gateway) warmUpAdmits(b *backend, warmFraction float64) bool {
	rate := warmFraction * b.pool.sendRate / float64(max(1, b.pool.warm))
	b.warmUpTokens = min(1, b.warmUpTokens+rate*(g.now-b.warmUpTokensAt))
	b.warmUpTokensAt = g.now
	return b.warmUpTokens >= 1 || rate*g.settings.SlowStartTime < 1
}
