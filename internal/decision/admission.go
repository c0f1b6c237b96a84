package decision

import (
	"cmp"
	"math"
)

func (g *Gateway) handleRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	class, terms := cmp.Or(e.Kind, g.classes[e.Class]), cmp.Or(e.Terms, g.plans[e.Plan])
	if class == nil { // not in the settings: safe to refuse, never to repeat
		class = &Class{LatencyTarget: e.TimeLeft, Value: 1}
	}
	if terms == nil { // not in the settings: no quota is known
		terms = &Terms{Plan: Plan{ValueWeight: 1}, Tag: "x"}
	}
	c := g.customerFor(e, terms)
	r := &request{Request: e, class: class, pool: g.poolFor(e.Group), customer: c, arrivedAt: g.now}
	r.deadline = g.now + e.TimeLeft
	r.targetAt = g.now + class.LatencyTarget - g.elapsedAtClient(e, class)
	g.requests[e.ID] = r
	g.unanswered = append(g.unanswered, r)
	c.cycle.demand += e.Units
	c.values.Observe(class.Value, e.Units)
	c.arrivals.perSecond = c.arrivals.perSecond*math.Exp((c.arrivals.at-g.now)/arrivalWindow) + 1/arrivalWindow
	c.arrivals.at = g.now
	if c.sparse.active && !g.withinEvenShare(c) && g.settings.HasCounter && g.now >= g.counter.pausedUntil && e.TimeLeft > g.settings.CounterTimeout+2*tickInterval {
		if p := g.callProbability(c, r); g.rng.Float64() < p {
			g.queryCounter(r, c.cycleAt(g.now), c.unitsOf(r)/p)
			return
		}
	}
	r.conforming = g.withinQuota(r)
	g.admit(r)
}

// age is how long ago the client first asked, told by the time a repeat has left: a part of what remains of
// the deadline. It guards against work in vain, in an overload a quarter of all served (trebic-later).
func (g *Gateway) elapsedAtClient(e Request, class *Class) Seconds {
	g.maxTimeLeft[class.Name] = max(g.maxTimeLeft[class.Name], e.TimeLeft)
	if !e.ClientRetry {
		return 0
	}
	return max(0, class.Deadline*(1-(e.TimeLeft+tickInterval)/g.maxTimeLeft[class.Name]))
}

// admit sends a request on, or refuses it, once it is known whether it is inside.
func (g *Gateway) admit(r *request) {
	plan := r.customer.plan
	r.value = r.class.Value * plan.ValueWeight
	if r.lowPriority = !r.conforming; g.now+r.pool.latency > r.targetAt {
		r.value, r.lowPriority = r.value*r.class.LateValue, true
	}
	if !r.conforming {
		if r.value *= plan.ExcessValue - plan.ExcessCost; r.value <= 0 {
			g.reject(r)
			return
		}
	}
	if !g.requestSharedLimit(r) {
		g.dispatch(r)
	}
}

// inside tells, without asking, whether the quota has room, as far as this gateway may use it.
func (g *Gateway) withinQuota(r *request) bool {
	c, worth := r.customer, r.customer.plan.ExcessCost/(1+r.customer.plan.ExcessCost) // the chance of being inside that pays
	if limit := c.plan.MaxInFlight; limit > 0 {
		if c.inFlight >= limit || g.withinEvenShare(c) {
			return c.inFlight < limit
		}
		if c.plan.Rate <= 0 && !c.sparse.active {
			// Exception: limits of two or three do not divide. Sent on is what is inside by chance, with the
			// others' attempts by the totals or, before these tell of a burst, the own rate.
			rest := min(c.cycle.localRate, quietFraction*c.quota/c.gateways) * (c.gateways - 1)
			if g.totalsValid(c) {
				rest = c.cycle.totalRate - c.cycle.localRate + (c.gateways-c.cycle.reporters)*quietFraction*c.quota/c.gateways
			}
			return poissonBelow(limit-c.inFlight, max(rest, c.arrivals.perSecond*(c.gateways-1))*g.defaultPool.latency) > worth
		}
	}
	if c.quota <= 0 {
		return true
	}
	if c.sparse.active && (g.totalsValid(c) || g.counter.failures > 0 && c.sparse.admitRatio > 0) && g.rng.Float64() >= c.sparse.admitRatio {
		return false // a silent counter freezes the ratio
	}
	if c.sparse.active && c.plan.ExcessCost > 0 && !g.totalsValid(c) && g.conformance.Conforming(r.ClientRetry) < worth {
		return false
	}
	g.refill(c)
	g.limitWhenUnreachable(c, r)
	// A part of the store is for dearer requests: of one that is full it costs nothing.
	if p := (c.bucket.tokens - reservedForValuable*c.bucket.capacity*c.values.ShareAbove(r.class.Value)) / c.unitsOf(r); p < 1 {
		return g.admitFraction(c, r, p)
	}
	c.bucket.tokens -= c.unitsOf(r)
	return true
}

// refuse answers a request that may not have run.
func (g *Gateway) reject(r *request) {
	wait := g.settings.MaxRetryAfter
	if c := r.customer; c.plan.Rate > 0 && !r.conforming && c.bucket.slice > 0 {
		wait = min(wait, max(0, r.Units-c.bucket.tokens)/c.bucket.slice)
	}
	if !g.settings.MayRetryAfter {
		wait = 0
	}
	g.emit(Reject{r.ID, wait, !r.conforming})
	g.finish(r)
}

func (g *Gateway) finish(r *request) {
	r.answered = true
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}
