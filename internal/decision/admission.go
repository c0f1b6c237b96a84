package decision

import "cmp"

// handleRequest admits or rejects a request, or calls the counter and decides when the reply comes. A
// request with the ID of a pending one is ignored.
func (g *Gateway) handleRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	r := g.newRequest(e)
	g.requests[e.ID] = r
	g.unanswered = append(g.unanswered, r)
	c := r.customer
	c.cycle.demand += e.Units
	c.values.Observe(r.class.Value, e.Units)
	c.arrivals.observe(g.now)
	if g.querySparse(r) {
		return
	}
	r.conforming = g.withinQuota(r)
	g.admit(r)
}

func (g *Gateway) newRequest(e Request) *request {
	class := cmp.Or(e.ClassTerms, g.classes[e.Class])
	if class == nil { // unknown: NonIdempotent, so it is sent again only if it was certainly not executed
		class = &Class{LatencyTarget: e.TimeLeft, Value: 1}
	}
	terms := cmp.Or(e.Terms, g.plans[e.Plan])
	if terms == nil { // unknown plan: no quota applies
		terms = &Terms{Plan: Plan{ValueWeight: 1}, Tag: "x"}
	}
	return &request{
		Request:   e,
		class:     class,
		customer:  g.customerFor(e, terms),
		pool:      g.poolFor(e.Group),
		arrivedAt: g.now,
		deadline:  g.now + e.TimeLeft,
		targetAt:  g.now + class.LatencyTarget - g.elapsedAtClient(e, class),
	}
}

// elapsedAtClient estimates the time since the client first sent a request that it now retries, from the
// share of the deadline that the retry has left. A difference of up to tickInterval counts as none. Without
// the estimate, a quarter of the requests that were served during an overload were answered too late.
func (g *Gateway) elapsedAtClient(e Request, class *Class) Seconds {
	longest := max(g.maxTimeLeft[class.Name], e.TimeLeft)
	g.maxTimeLeft[class.Name] = longest
	if !e.ClientRetry {
		return 0
	}
	return max(0, class.Deadline*(1-(e.TimeLeft+tickInterval)/longest))
}

// lowestValueWindow is the time for which an observed value counts as the lowest, in seconds.
const lowestValueWindow = 10.0

// lowestValue is the lowest value of a group's recent requests that conformed and were not late. A late
// request with a higher value keeps its priority. Otherwise an urgent class with a short latency target,
// which is late first, would lose its capacity to a less urgent class.
type lowestValue struct {
	value      float64
	observedAt Seconds
}

func (lv *lowestValue) observe(now Seconds, value float64) {
	if value <= lv.value || now-lv.observedAt > lowestValueWindow {
		*lv = lowestValue{value: value, observedAt: now}
	}
}

// admit sets the value and the priority of a request whose r.conforming is decided, and forwards, queues or
// rejects it, or waits for the shared part of its rate limit. Excess that does not earn more than it costs is
// rejected.
func (g *Gateway) admit(r *request) {
	plan := r.customer.plan
	r.value = r.class.Value * plan.ValueWeight
	r.lowPriority = !r.conforming
	if g.now+r.pool.latency > r.targetAt {
		r.value *= r.class.LateValue
		r.lowPriority = r.lowPriority || r.value <= r.pool.lowestValue.value
	} else if r.conforming {
		r.pool.lowestValue.observe(g.now, r.value)
	}
	if !r.conforming {
		r.value *= plan.ExcessValue - plan.ExcessCost
		if r.value <= 0 {
			g.reject(r)
			return
		}
	}
	if !g.requestSharedLimit(r) {
		g.dispatchArrival(r)
	}
}

// withinQuota decides, without a counter call, whether a request conforms to this gateway's part of the
// quota.
func (g *Gateway) withinQuota(r *request) bool {
	c := r.customer
	// Forwarding pays if the probability of conforming is above this, even if excess earns nothing.
	minProbability := c.plan.ExcessCost / (1 + c.plan.ExcessCost)
	if limit := c.plan.MaxInFlight; limit > 0 {
		if c.inFlight >= limit {
			return false
		}
		if g.withinEvenShare(c) {
			return true
		}
		if c.plan.Rate <= 0 && !c.sparse.active {
			return g.probablyWithinInFlightLimit(c) > minProbability
		}
	}
	if c.quota <= 0 {
		return true
	}
	if c.sparse.active && !g.passesSampling(r, minProbability) {
		return false
	}
	return g.takeTokens(r)
}

// withinEvenShare reports whether one more attempt is within this gateway's even share of a limit on
// attempts in flight. All gateways may use their even shares at once without exceeding the limit.
func (g *Gateway) withinEvenShare(c *customer) bool {
	return c.plan.Rate <= 0 && float64(c.inFlight+1)*c.gateways <= c.quota
}

// probablyWithinInFlightLimit returns the probability that one more attempt is within a limit on attempts in
// flight. A limit of two or three cannot be divided among gateways, so the attempts of the other gateways are
// estimated. The estimate follows the totals, but is at least what this gateway's own arrivals suggest,
// because totals show a burst late.
func (g *Gateway) probablyWithinInFlightLimit(c *customer) float64 {
	cycle := &c.cycle
	others := min(cycle.localRate, idleFraction*c.quota/c.gateways) * (c.gateways - 1)
	if g.totalsValid(c) {
		idleDemand := (c.gateways - cycle.reporters) * idleFraction * c.quota / c.gateways
		others = cycle.totalRate - cycle.localRate + idleDemand
	}
	rate := max(others, c.arrivals.perSecond*(c.gateways-1))
	return poissonBelow(c.plan.MaxInFlight-c.inFlight, rate*g.defaultPool.latency)
}

// passesSampling decides a request of a sparse customer by the last admit ratio, if its totals are valid or
// calls are rejected or get no reply. If no total is valid and excess costs, the share of conforming requests
// over all customers whose excess costs must be high enough, too.
func (g *Gateway) passesSampling(r *request, minProbability float64) bool {
	c := r.customer
	valid := g.totalsValid(c)
	// After a call that was rejected or got no reply, the last ratio remains in use until a call succeeds.
	frozen := g.counter.failures > 0 && c.sparse.admitRatio > 0
	if (valid || frozen) && g.rng.Float64() >= c.sparse.admitRatio {
		return false
	}
	if valid || c.plan.ExcessCost <= 0 {
		return true
	}
	return g.conformance.Conforming(r.ClientRetry) >= minProbability
}

// reject answers a request that the client may safely retry. With MayRetryAfter, it advises a delay:
// MaxRetryAfter, or for a request over a rate quota the time until the bucket holds its units, if that is
// shorter.
func (g *Gateway) reject(r *request) {
	wait := g.settings.MaxRetryAfter
	if c := r.customer; c.plan.Rate > 0 && !r.conforming && c.bucket.slice > 0 {
		wait = min(wait, max(0, r.Units-c.bucket.tokens)/c.bucket.slice)
	}
	if !g.settings.MayRetryAfter {
		wait = 0
	}
	g.emit(Reject{ID: r.ID, RetryAfter: wait, OverQuota: !r.conforming})
	g.finish(r)
}

// finish marks a request as answered. Its state is deleted once none of its attempts is in flight.
func (g *Gateway) finish(r *request) {
	r.answered = true
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}
