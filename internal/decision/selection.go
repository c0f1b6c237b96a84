package decision

import (
	"math"
	"slices"
)

const (
	// lowPriorityShare is the share of a backend's limit that low-priority requests may use, so that requests
	// that conform and are in time find capacity.
	lowPriorityShare = 0.5
	// errorCost is the increase of a backend's cost factor at an error rate of 1. Without it, a backend that
	// fails quickly would look like a fast one and attract requests.
	errorCost = 10.0
)

// selectBackend returns the backend with the lowest expected cost, or nil if none may be used now.
//
// If there are many gateways, each uses a subset, the first backends in its own order of use. A gateway that
// spread its requests over all backends would rarely use the same one twice, and could not learn which are
// overloaded. An attempt at a backend that is not known to be healthy costs a trial token. With a subset,
// none is made without a token, which limits the attempts at a fleet that is mostly unhealthy.
func (g *Gateway) selectBackend(r *request) *backend {
	p := r.pool
	// If all available backends are ejected, ejections and overload pauses are ignored, because the fault may
	// be in this gateway's own network. An overloaded backend that is not ejected counts as healthy here.
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
		if !subsetting || b.failures == 0 { // a backend that fails gives its place in the subset to another
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

// hasCapacity reports whether a backend may get one more attempt from this process. A limit below one
// limits the rate of attempts instead, because if a backend is so slow that even one attempt from each
// gateway would overload it, each gateway must leave pauses between its attempts.
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

// expectedCost returns the expected wait for an answer of a backend, weighted by its errors and its zone.
// The wait is the learned latency, or the present time without an answer if that is longer, multiplied by the
// attempts in flight including the new one, and divided by warmFraction. If there are few recent answers, the
// cost is random, and lower for larger backends. Otherwise all gateways would choose the same one.
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
