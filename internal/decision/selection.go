package decision

import (
	"math"
	"slices"
)

const (
	// Of a backend's limit that low-priority work may use, so that paid work finds capacity.
	lowPriorityShare = 0.5
	errorCost        = 10.0 // a backend that fails fast seems fast: its errors raise its cost so much
)

// selectBackend chooses the backend with the least expected wait; nil if none may be used now.
//
// One of many gateways uses a subset, the first backends in its own order: from a backend that it never meets
// again it learns nothing, and would not find out which are overloaded. A backend that is not known to be
// healthy costs a trial token, so an unhealthy fleet is tried less.
func (g *Gateway) selectBackend(r *request) *backend {
	p := r.pool
	// Where all look unhealthy, none is the outlier: the fault may be this gateway's own network. An
	// overloaded backend is not unhealthy.
	anyHealthy := slices.ContainsFunc(p.order, func(b *backend) bool {
		return b.available() && g.now >= b.ejectedUntil
	})
	subsetting := p.subsetSize < p.serving
	var best *backend
	bestCost := math.Inf(1)
	used := 1
	for _, b := range p.order {
		if !b.available() || anyHealthy && g.now < max(b.ejectedUntil, b.overloadedUntil) {
			continue
		}
		if subsetting && !b.healthy && p.trialTokens < 1 {
			continue
		}
		if used > p.subsetSize {
			break
		}
		if !subsetting || b.failures == 0 {
			used++
		}
		if !g.hasCapacity(b, r.lowPriority) {
			continue
		}
		warmFraction := g.warmFraction(b)
		if warmFraction < 1 && !g.warmUpAdmits(b, warmFraction) {
			continue
		}
		if cost := g.expectedCost(b, warmFraction); cost < bestCost {
			best = b
			bestCost = cost
		}
	}
	return best
}

// hasCapacity reports whether a backend may hold one more attempt from this process. A limit below one is a
// pace: few gateways with one attempt each would overload a backend.
func (g *Gateway) hasCapacity(b *backend, lowPriority bool) bool {
	limit := b.limit * g.processShare()
	if lowPriority {
		limit *= lowPriorityShare
	}
	if float64(b.inFlight)+b.abandoned >= max(1, limit) {
		return false
	}
	return limit >= 1 || g.now >= b.lastSentAt+b.latency/limit
}

// expectedCost is the expected wait for an answer of a backend, weighted by its errors and its zone. A
// backend takes as long as learned, or as it has owed an answer without giving any. Where there is little
// evidence, the cost is random in proportion to size: all gateways would otherwise choose alike.
func (g *Gateway) expectedCost(b *backend, warmFraction float64) float64 {
	cost := float64(b.inFlight+1) * b.latency / warmFraction
	evidence := b.recentAnswers / (b.recentAnswers + 1)
	if b.unansweredSince > 0 {
		cost *= max(1, (g.now-b.unansweredSince)/b.latency)
	}
	cost *= (evidence + (1-evidence)*g.rng.ExpFloat64()*b.pool.meanSize/b.Size) * g.localityCost(b)
	cost *= (1 + errorCost*b.errorRate) * float64(1+b.failures)
	return cost
}
