package decision

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

type backend struct {
	Backend
	pool                              *backendPool
	listed, healthy                   bool     // good: its last answer was
	rank                              uint64   // place in this gateway's order
	inFlight, failures, rejections    int      // attempts out; failures, and times it turned work away, in a row
	latency, recentAnswers, errorRate float64  // learned time of an answer, answers lately, share of them that failed
	kindLatency                       *float64 // time of an answer, over all of its kind
	lastSentAt, limitCutAt            Seconds  // last sent to; when the limit was last cut
	unansweredSince                   Seconds  // since when it owes an answer and gave none, 0: owes none
	limit, abandoned                  float64  // attempts it may hold; those not waited for that it may still work on
	ejectedUntil, overloadedUntil     Seconds  // left alone until then, for it failed, or turned work away
	warmingSince, warmUpTokensAt      Seconds  // when it is taken to have started, 0: warm; when tokens were reckoned
	warmUpTokens                      float64  // sends saved up while cold
	homeSlots                         float64  // its slots that this gateway goes for first
}

func (g *Gateway) updateBackends(e Backends) {
	if e.Complete {
		for _, p := range g.pools {
			for _, b := range p.order {
				b.listed = false
			}
		}
	}
	for _, row := range e.List {
		row.Size = min(1e3, cmp.Or(max(0, row.Size), 1)) // 0: not told
		b := g.backends[row.ID]
		if b == nil {
			p := g.poolFor(row.Group)
			if p.kindLatencies[row.Kind] == nil {
				p.kindLatencies[row.Kind] = new(p.latency)
			}
			h := fnv.New64a()
			h.Write([]byte(row.ID))
			b = &backend{pool: p, kindLatency: p.kindLatencies[row.Kind], warmUpTokensAt: g.now}
			b.limit = max(1, initialLimit/float64(g.settings.Gateways))
			b.rank = rand.NewPCG(h.Sum64(), uint64(g.settings.Index)).Uint64()
			b.latency = *b.kindLatency
			g.backends[row.ID] = b
			p.order = append(p.order, b)
		}
		if row.StartedAt > b.StartedAt {
			b.warmingSince = min(row.StartedAt, g.now+g.settings.SlowStartTime) // a start far ahead would leave it cold for ever
			b.warmUpTokensAt, b.warmUpTokens, b.limit, b.ejectedUntil = g.now, 0, 1, 0
		}
		if b.Backend, b.listed = row, true; g.settings.CapacityInSlots {
			b.limit = b.slotLimit()
		}
	}
	for _, p := range g.pools {
		slices.SortFunc(p.order, func(a, b *backend) int { return cmp.Compare(a.rank, b.rank) })
		g.updateSubset(p)
		g.assignHomeSlots(p)
	}
}

// pick chooses the backend with the least expected wait; nil if none may be used now. One of many gateways
// uses the first backends in its own order (subsetting), for one that it never meets again teaches it nothing
// (issue 11: full ones stayed full). One not known to be good costs a trial: a sick fleet is tried less.
func (g *Gateway) selectBackend(r *request) (best *backend) {
	// When all look bad, none is the outlier: the fault may be this gateway's own link. Full is not bad.
	up := func(b *backend) bool { return b.listed && b.Serving && g.now >= b.ejectedUntil }
	p := r.pool
	healthy, bestCost, used, thin := slices.ContainsFunc(p.order, up), math.Inf(1), 1, p.subsetSize < p.serving
	for _, b := range p.order {
		if !b.listed || !b.Serving || healthy && g.now < max(b.ejectedUntil, b.overloadedUntil) {
			continue
		}
		if thin && !b.healthy && p.trialTokens < 1 {
			continue
		}
		if used > p.subsetSize {
			break
		}
		if !thin || b.failures == 0 {
			used++
		}
		limit := b.limit * g.processShare()
		if r.lowPriority {
			limit *= lowPriorityShare
		}
		if float64(b.inFlight)+b.abandoned >= max(1, limit) || limit < 1 && g.now < b.lastSentAt+b.latency/limit {
			continue
		}
		share := g.warmFraction(b)
		if share < 1 && !g.warmUpAdmits(b, share) {
			continue
		}
		// A backend takes as long as learned, or as it has owed an answer without giving any (it hangs).
		// Where evidence is thin, chance in proportion to size: all gateways would else choose alike.
		cost, known := float64(b.inFlight+1)*b.latency/share, b.recentAnswers/(b.recentAnswers+1)
		if b.unansweredSince > 0 {
			cost *= max(1, (g.now-b.unansweredSince)/b.latency)
		}
		cost *= (known + (1-known)*g.rng.ExpFloat64()*p.meanSize/b.Size) * g.localityCost(b)
		cost *= (1 + errorCost*b.errorRate) * float64(1+b.failures)
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// cold is the share of its capacity that a backend surely has.
func (g *Gateway) warmFraction(b *backend) float64 {
	if b.warmingSince == 0 || g.now-b.warmingSince >= g.settings.SlowStartTime {
		return 1
	}
	return g.settings.SlowStartShare + (1-g.settings.SlowStartShare)*max(0, g.now-b.warmingSince)/g.settings.SlowStartTime
}

// coldRoom keeps a cold backend to its share of a warm one's; below one send while cold, chance in pick does.
func (g *Gateway) warmUpAdmits(b *backend, share float64) bool {
	rate := share * b.pool.sendRate / float64(max(1, b.pool.warm))
	b.warmUpTokens = min(1, b.warmUpTokens+rate*(g.now-b.warmUpTokensAt))
	b.warmUpTokensAt = g.now
	return b.warmUpTokens >= 1 || rate*g.settings.SlowStartTime < 1
}

// judge learns a backend's time and health from outcomes alone.
func (g *Gateway) observeOutcome(b *backend, r *request, a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Succeeded:
		if !a.countedLate {
			if b.pool.trialTokens = min(minSubset, b.pool.trialTokens+trialsPerAnswer); !b.healthy {
				// Or all stay with the few they know (join+vast).
				b.pool.trialTokens = min(minSubset, b.pool.trialTokens+1)
			}
			b.failures, b.rejections, b.healthy = 0, 0, true
		}
		b.recentAnswers++
		b.errorRate, b.latency = b.errorRate*(1-errorWeight), b.latency+latencyWeight*(e.Duration-b.latency)
		*b.kindLatency += latencyWeight / 2 * (e.Duration - *b.kindLatency)
		b.pool.latency += latencyWeight / 4 * (e.Duration - b.pool.latency)
		if !a.countedSlow {
			g.adjustLimit(b, e.Duration > slowFraction*r.class.LatencyTarget)
		}
	case Rejected:
		b.failures, b.healthy, b.rejections = 0, false, min(b.rejections+1, 4)
		b.overloadedUntil = g.now + overloadPause*math.Exp2(float64(b.rejections))
		g.adjustLimit(b, true)
	case ConnectionRefused, ConnectionReset, TimedOut, Failed:
		b.errorRate += errorWeight * (1 - b.errorRate)
		if e.Outcome == TimedOut {
			if !a.countedSlow {
				g.adjustLimit(b, true)
			}
			b.latency = max(b.latency, b.latency+latencyWeight*(e.Duration-b.latency))
		}
		if !a.countedLate {
			// A sound one fails one request in a thousand: one error is enough, where others stand by.
			others := b.pool.subsetSize < b.pool.serving
			g.recordFailure(b, e.Outcome == ConnectionRefused || e.Outcome == Failed && others)
		}
	}
}

// failed lets a backend rest that failed several times in a row.
func (g *Gateway) recordFailure(b *backend, proven bool) {
	b.healthy = b.healthy && b.failures == 0 && !proven // one answer may be lost
	if b.failures++; b.failures >= ejectAfterFailures || proven {
		b.ejectedUntil = g.now + min(maxEjection, minEjection*math.Exp2(float64(max(0, b.failures-ejectAfterFailures))))
		b.failures = min(b.failures, ejectAfterFailures+2)
		b.limit, b.latency = 1, *b.kindLatency
	}
}

// adapt moves a backend's limit: up by one for its worth of good answers, down on a slow one, once at a time.
func (g *Gateway) adjustLimit(b *backend, slow bool) {
	if g.settings.CapacityInSlots {
		b.limit = b.slotLimit() // told, not learned
	} else if !slow {
		if float64(b.inFlight+1) >= b.limit*limitUtilization {
			b.limit = min(maxLimit, b.limit+limitIncrease/max(1, b.limit))
		}
	} else if g.now > b.limitCutAt+b.pool.latency {
		b.limit, b.limitCutAt = max(minLimit/b.pool.gatewaysPerBackend, b.limit*limitDecrease), g.now
	}
}
