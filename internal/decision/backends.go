package decision

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
)

// maxBackendSize bounds the relative size that a list may give a backend.
const maxBackendSize = 1e3

// backend is what a gateway knows of one backend.
type backend struct {
	Backend
	pool   *backendPool
	listed bool
	rank   uint64 // its place in this gateway's order

	inFlight        int     // attempts
	abandoned       float64 // attempts that nobody waits for, on which it may still work
	lastSentAt      Seconds
	unansweredSince Seconds // since when it owes an answer and has given none; 0: it owes none

	healthy         bool     // its last answer was good
	failures        int      // in a row
	rejections      int      // in a row
	errorRate       float64  // share of its recent answers that were errors
	recentAnswers   float64  // weighted by age
	latency         Seconds  // typical
	kindLatency     *float64 // typical of all backends of its kind
	ejectedUntil    Seconds
	overloadedUntil Seconds // it has rejected work

	limit      float64 // attempts in flight that it may hold from this gateway
	limitCutAt Seconds
	homeSlots  float64 // its slots that this gateway uses first

	warmingSince   Seconds // when it started; 0: it is warm
	warmUpTokens   float64 // attempts saved up while it warms up
	warmUpTokensAt Seconds
}

// available reports whether the endpoint list lets the backend be used.
func (b *backend) available() bool { return b.listed && b.Serving }

// updateBackends takes an endpoint list, or a change of it.
func (g *Gateway) updateBackends(e Backends) {
	if e.Complete {
		for b := range g.allBackends() {
			b.listed = false
		}
	}
	for _, row := range e.List {
		row.Size = min(maxBackendSize, cmp.Or(max(0, row.Size), 1)) // 0: not known
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
	if row.StartedAt > b.StartedAt {
		// A start far in the future would leave it warming up for ever.
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

// countSent notes that an attempt is sent to a backend.
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

// countEnded notes that an attempt at a backend has ended.
func (g *Gateway) countEnded(b *backend, outcome Outcome) {
	b.inFlight--
	b.unansweredSince = 0
	if b.inFlight > 0 {
		b.unansweredSince = g.now
	}
	if outcome == TimedOut || outcome == Cancelled {
		b.abandoned++ // it is not known whether work stops when nobody waits for it
	}
}

// warmFraction is the share of its capacity that a backend surely has.
func (g *Gateway) warmFraction(b *backend) float64 {
	s := &g.settings
	if b.warmingSince == 0 || g.now-b.warmingSince >= s.SlowStartTime {
		return 1
	}
	return s.SlowStartShare + (1-s.SlowStartShare)*max(0, g.now-b.warmingSince)/s.SlowStartTime
}

// warmUpAdmits keeps a backend that is warming up to its share of what a warm one gets. Where that is less
// than one attempt in all of the slow start, the random part of the selection decides.
func (g *Gateway) warmUpAdmits(b *backend, warmFraction float64) bool {
	rate := warmFraction * b.pool.sendRate / float64(max(1, b.pool.warm))
	b.warmUpTokens = min(1, b.warmUpTokens+rate*(g.now-b.warmUpTokensAt))
	b.warmUpTokensAt = g.now
	return b.warmUpTokens >= 1 || rate*g.settings.SlowStartTime < 1
}
