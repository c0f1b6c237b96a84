package decision

import "cmp"

// handleRequest admits a request or rejects it, or calls the counter to decide it by the reply.
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
	if class == nil { // not in the settings: safe to reject, never to retry
		class = &Class{LatencyTarget: e.TimeLeft, Value: 1}
	}
	terms := cmp.Or(e.Terms, g.plans[e.Plan])
	if terms == nil { // not in the settings: no quota is known
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

// elapsedAtClient is how long ago the client first sent a request that it retries, estimated from the time
// that the retry has left, as a part of what remains of the deadline. It guards against work in vain: in an
// overload, a quarter of all that was served came too late.
func (g *Gateway) elapsedAtClient(e Request, class *Class) Seconds {
	longest := max(g.maxTimeLeft[class.Name], e.TimeLeft)
	g.maxTimeLeft[class.Name] = longest
	if !e.ClientRetry {
		return 0
	}
	return max(0, class.Deadline*(1-(e.TimeLeft+tickInterval)/longest))
}

// lowestValueWindow is how long a value counts as the lowest, in seconds.
const lowestValueWindow = 10.0

// lowestValue is the lowest value of a group's recent requests that conformed and were not late. A late
// request that is worth more keeps its priority: an urgent kind with a short latency target is late before a
// less urgent one, which would then take its place.
type lowestValue struct {
	value      float64
	observedAt Seconds
}

func (lv *lowestValue) observe(now Seconds, value float64) {
	if value <= lv.value || now-lv.observedAt > lowestValueWindow {
		*lv = lowestValue{value: value, observedAt: now}
	}
}

// admit forwards a request, or rejects it, once it is known whether it conforms to its quota.
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

// withinQuota decides, without a call of the counter, whether a request conforms to its quota, as far as this
// gateway may use it.
func (g *Gateway) withinQuota(r *request) bool {
	c := r.customer
	// The probability of conforming above which forwarding pays.
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

// withinEvenShare reports whether one more attempt is within the even part of a limit on attempts in flight:
// no sum of these passes the limit.
func (g *Gateway) withinEvenShare(c *customer) bool {
	return c.plan.Rate <= 0 && float64(c.inFlight+1)*c.gateways <= c.quota
}

// probablyWithinInFlightLimit is the probability that one more attempt is within a limit on attempts in
// flight. A limit of two or three cannot be divided among gateways. The attempts of the others are estimated
// from the totals or, before these show a burst, from this gateway's own arrivals.
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

// passesSampling decides a request of a sparse customer by the last admit ratio or, where no total is valid,
// by what became of other requests.
func (g *Gateway) passesSampling(r *request, minProbability float64) bool {
	c := r.customer
	valid := g.totalsValid(c)
	// While the counter does not answer, the ratio stays as it is.
	frozen := g.counter.failures > 0 && c.sparse.admitRatio > 0
	if (valid || frozen) && g.rng.Float64() >= c.sparse.admitRatio {
		return false
	}
	if valid || c.plan.ExcessCost <= 0 {
		return true
	}
	return g.conformance.Conforming(r.ClientRetry) >= minProbability
}

// reject answers a request that is not executed, with advice on when to retry.
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

// finish marks a request as answered. It is forgotten once no attempt is in flight.
func (g *Gateway) finish(r *request) {
	r.answered = true
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}
