package decision

import "math"

const (
	// sparseBursts is how many bursts one request at each gateway may be: buckets hold one request each at
	// least.
	sparseBursts       = 2.0
	sampledUtilization = 0.85 // of the quota, by sampling: a bucket near empty rejects at random
	maxCallWeight      = 0.15 // of a cycle's quota that one call may add
	maxValidCycles     = 4.0  // for which a total that keeps saying the same is believed
	excessCallExponent = 4.0  // of the call probability: calls that decide nothing give way so much sooner
	// overloadedCallProbability is the call probability below which no second call is made for a request.
	overloadedCallProbability = 0.6
	amountTolerance           = 1e-6 // units: a total this near to what was added is of this gateway alone
	// The multiple of the quota up to which the previous cycle is assumed to have been used, where its total
	// is not known.
	maxAssumedQuotas   = 2.0
	minElapsedFraction = 0.25 // of a cycle, from which its rate is extrapolated
)

// sparseMode is the state of a customer whose slice is less than a few requests. Its demand at one gateway is
// zero or noise, so the counter is called for single requests, and all are decided by sampling.
type sparseMode struct {
	active      bool
	cycleTotal  float64 // of the present cycle, as last read
	admitRatio  float64 // part of the requests that is admitted, by the last totals; the same at all gateways
	demandShare float64 // part of the demand that comes through this gateway, by the last totals
	queries     []counterQuery
}

// counterQuery is a request that waits for the counter's reply.
type counterQuery struct {
	request       *request
	plan          *Plan // in force when it was sent
	counterName   string
	cycle         int64
	sentAt        Seconds
	amount        float64 // that it added
	previousCycle bool    // it reads the total of the cycle before
	spanCapacity  float64 // of a call for the shared part of the rate limit: what a span has; else 0
}

// isSparse reports whether a customer is decided by sampling.
func (g *Gateway) isSparse(c *customer) bool {
	if c.plan.Rate > 0 {
		return c.gateways > 1 && sparseBursts*c.plan.Burst < c.gateways*g.settings.MaxUnits
	}
	return c.quota > 0 && c.gateways > 2*c.quota
}

// querySparse calls the counter for a request of a sparse customer, with the customer's call probability. It
// reports whether the request now waits for the reply.
func (g *Gateway) querySparse(r *request) bool {
	c := r.customer
	if !c.sparse.active || g.withinEvenShare(c) || !g.counterAvailable() {
		return false
	}
	if r.TimeLeft <= g.settings.CounterTimeout+2*tickInterval {
		return false
	}
	probability := g.callProbability(c, r)
	if g.rng.Float64() >= probability {
		return false
	}
	g.queryCounter(r, c.cycle.numberAt(g.now), c.unitsOf(r)/probability)
	return true
}

// callProbability is how likely a request of a sparse customer calls the counter. What is added is divided by
// it, so it must not weigh much in a cycle: large quotas need few calls, small ones all. When the counter
// cannot take all calls, some customers are not watched, the same ones at all gateways, as half of a total is
// noise; first those whose reply decides nothing. Where excess costs, all are watched, but at a low sampling
// rate.
func (g *Gateway) callProbability(c *customer, r *request) float64 {
	if g.settings.PairCounters {
		return 1
	}
	available := g.counter.callProbability
	least := min(1, c.unitsOf(r)/(maxCallWeight*g.quotaRate(c)*c.cycle.period))
	// While the counter is silent, all requests help to find out whether it is back.
	if g.counter.unanswered < pauseAfterFailures {
		watched := available
		if c.plan.forwardsExcess() { // the reply decides nothing
			watched = math.Pow(available, excessCallExponent)
		} else if least > available && c.plan.ExcessCost > 0 {
			return available
		}
		if float64(c.hash)/math.MaxUint32*least > watched {
			return 0
		}
	}
	age := min(1, (g.now-c.cycle.totalAt)/c.cycle.validFor)
	return least + (1-least)*age*available
}

// queryCounter adds a request to a cycle's total, or with 0 reads it, and lets the request wait for the
// reply.
func (g *Gateway) queryCounter(r *request, cycle int64, amount float64) {
	c := r.customer
	c.sparse.queries = append(c.sparse.queries, counterQuery{
		request:       r,
		plan:          c.plan,
		counterName:   c.counterName(cycle),
		cycle:         cycle,
		sentAt:        g.now,
		amount:        amount,
		previousCycle: amount == 0,
	})
	g.callCounter(c, cycle, amount)
}

// expireQueries decides the requests whose reply is overdue: a host that loses one must not lose the request.
func (g *Gateway) expireQueries(c *customer) {
	maxAge := 2 * g.settings.CounterTimeout
	for len(c.sparse.queries) > 0 {
		query := c.sparse.queries[0]
		if g.now <= query.sentAt+maxAge+tickInterval {
			return
		}
		c.sparse.queries = c.sparse.queries[1:]
		g.handleQueryReply(c, query, CounterReply{Outcome: TimedOut})
	}
}

// handleQueryReply decides a request that has waited for the counter.
func (g *Gateway) handleQueryReply(c *customer, q counterQuery, e CounterReply) {
	g.observeSparseReply(c, e)
	switch {
	case q.request.answered:
	case q.spanCapacity > 0:
		g.handleSharedLimitReply(c, q, e)
	case e.Outcome != Succeeded || q.plan != c.plan:
		q.request.conforming = g.withinQuota(q.request)
		g.admit(q.request)
	default:
		g.decideBySample(c, q, e.Total)
	}
}

// sampledTotals are what the totals of two cycles tell of a sparse customer's demand.
type sampledTotals struct {
	cycle    int64   // the present one
	elapsed  Seconds // of the present cycle
	previous float64 // total of the cycle before, in units
}

// decideBySample decides a request of a sparse customer by the total that counts it. The step is the pinned
// one, with the request as the report: below the quota the slice covers it; above, sampling admits the common
// ratio of quota and demand. Up to what is left of the burst all conform.
func (g *Gateway) decideBySample(c *customer, q counterQuery, total float64) {
	r := q.request
	totals, complete := g.readSampledTotals(c, q, total)
	if !complete {
		return // the request waits for the total of the previous cycle
	}
	g.applySampledTotals(c, totals)
	g.refill(c)
	if c.plan.ExcessCost > 0 {
		g.conformance.Observe(r.ClientRetry, c.sparse.admitRatio)
	}
	r.conforming = g.rng.Float64() < c.sparse.admitRatio
	if r.conforming {
		c.bucket.tokens = max(0, c.bucket.tokens-c.unitsOf(r))
	}
	g.admit(r)
}

// readSampledTotals takes a total. Where demand is above the quota and the previous cycle's total is not
// known, it calls for that, or assumes it while the counter is overloaded.
func (g *Gateway) readSampledTotals(
	c *customer, q counterQuery, total float64,
) (t sampledTotals, complete bool) {
	quota, period := g.quotaRate(c), c.cycle.period
	known := g.previousCycleKnown(c)
	t.cycle = q.cycle
	t.previous = c.cycle.totalRate * period
	if q.previousCycle {
		known = true
		t.cycle = q.cycle + 1
		t.previous = total
	} else {
		c.sparse.cycleTotal = total
	}
	t.elapsed = min(period, g.now-float64(t.cycle)*period-c.cycle.phase)
	if known {
		return t, true
	}
	sum := c.sparse.cycleTotal
	if sum <= quota*t.elapsed || sum <= q.amount+amountTolerance {
		t.previous = 0
		return t, true
	}
	if g.counter.callProbability >= overloadedCallProbability || c.plan.ExcessCost <= 0 {
		g.queryCounter(q.request, q.cycle-1, 0)
		return t, false
	}
	// A second call would take another request's only one.
	t.previous = min(sum/max(t.elapsed, period*minElapsedFraction), maxAssumedQuotas*quota) * period
	return t, true
}

// applySampledTotals sets the common admit ratio and this gateway's share of the demand.
func (g *Gateway) applySampledTotals(c *customer, t sampledTotals) {
	quota, period, sum := g.quotaRate(c), c.cycle.period, c.sparse.cycleTotal
	lastRatio := c.sparse.admitRatio
	rate := (t.previous + sum) / (period + t.elapsed)
	c.cycle.validFor = min(maxValidCycles*period, 2*c.cycle.validFor)
	if c.cycle.neverRead() || (rate > quota) != (c.cycle.totalRate > quota) {
		c.cycle.validFor = period
	}
	c.cycle.totalRate = rate
	c.cycle.totalAt = g.now
	// The burst is used up by who was over the quota in the previous cycle, or near it: up to 0.8 of the
	// quota all of it is left, from 1.2 on nothing.
	burst := c.plan.Burst * max(0, min(1, 3-2.5*t.previous/(quota*period)))
	unrestricted := burst + quota*t.elapsed // units that all conform
	switch {
	case sum <= unrestricted:
		c.sparse.admitRatio = 1
	case t.previous > quota*period:
		c.sparse.admitRatio = min(1, g.targetUtilization()*quota/rate)
	default:
		c.sparse.admitRatio = min(1, g.targetUtilization()*quota*t.elapsed/sum)
	}
	g.throttleOverdraft(c, lastRatio, unrestricted, t)
	// Between two totals the ratio admits no more than this gateway's slice and burst. Its own demand is
	// noise, so the share of a quiet gateway is added to it.
	idleDemand := idleFraction * quota / c.gateways
	own := (c.cycle.localRate*period+c.cycle.demand)/(period+max(0, g.now-c.cycle.startedAt)) + idleDemand
	c.sparse.demandShare = min(1, own/(rate+idleDemand*c.gateways))
}
