package decision

import "math"

const (
	// sparseThresholdBursts makes a customer sparse if one request at each gateway adds up to more than this
	// number of bursts. It bounds the capacity of all buckets together, as each holds at least one request.
	sparseThresholdBursts = 2.0
	sampledUtilization    = 0.85 // target share of the quota, because a bucket near empty rejects at random
	maxCallWeight         = 0.15 // share of a cycle's quota that one call may add
	// maxValidCycles is the longest time for which a total is valid, in cycles. The time doubles with each
	// total that shows the demand on the same side of the quota as the last one.
	maxValidCycles = 4.0
	// excessCallExponent is the exponent on the call probability of customers for whom the reply decides
	// nothing, so that their calls are the first to stop when the counter is overloaded.
	excessCallExponent = 4.0
	// overloadedCallProbability is the call probability below which no second call is made for a request of a
	// customer whose excess costs.
	overloadedCallProbability = 0.6
	amountTolerance           = 1e-6 // units above a call's amount up to which a total is this call's alone
	// maxAssumedQuotas is the largest demand in the previous cycle, as a multiple of the quota, that is
	// assumed if its total is not known.
	maxAssumedQuotas = 2.0
	// minElapsedFraction is the shortest time, as a share of a cycle, by which a cycle's total is divided to
	// get a rate. Early in a cycle the rate would be noise.
	minElapsedFraction = 0.25
)

// sparseMode is the state of a customer whose slice is less than a few requests. Its demand at one gateway
// is zero or noise, so the counter is called for single requests, and all requests are admitted by
// sampling.
type sparseMode struct {
	active      bool
	cycleTotal  float64 // total of the present cycle at the last reading, in units
	admitRatio  float64 // share of requests to admit, from the last totals; about the same at all gateways
	demandShare float64 // share of the demand at this gateway, from the last totals
	queries     []counterQuery
}

// counterQuery is a request that waits for the counter's reply.
type counterQuery struct {
	request       *request
	plan          *Plan // plan in force when the call was sent
	counterName   string
	cycle         int64 // number of the cycle whose counter was called
	sentAt        Seconds
	amount        float64 // units that the call added
	previousCycle bool    // the call reads the total of the previous cycle
	spanCapacity  float64 // units of a span, for a call for the shared part of the rate limit; else 0
}

// isSparse reports whether a customer's requests are admitted by sampling. A limit on attempts in flight is
// sparse if the even share of a gateway is below half an attempt.
func (g *Gateway) isSparse(c *customer) bool {
	if c.plan.Rate > 0 {
		return c.gateways > 1 && sparseThresholdBursts*c.plan.Burst < c.gateways*g.settings.MaxUnits
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
		return false // the reply could come too late
	}
	probability := g.callProbability(c, r)
	if g.rng.Float64() >= probability {
		return false
	}
	g.queryCounter(r, c.cycle.numberAt(g.now), c.unitsOf(r)/probability)
	return true
}

// callProbability returns the probability that a request of a sparse customer calls the counter. The added
// amount is divided by it, so one call must not be a large part of a cycle's total: large quotas need few
// calls, and for small ones all requests call. If the counter cannot handle all calls, some customers are not
// sampled at all. All gateways drop the same customers, because a total from half of the gateways is noise.
// The first to be dropped are customers whose excess is forwarded, for whom the reply decides nothing. Other
// customers whose excess costs are all sampled, but at a low rate. The older the last total is, the more
// probable is a call.
func (g *Gateway) callProbability(c *customer, r *request) float64 {
	if g.settings.PairCounters {
		return 1
	}
	available := g.counter.callProbability
	least := min(1, c.unitsOf(r)/(maxCallWeight*g.quotaRate(c)*c.cycle.period))
	// While the counter does not reply, requests of all customers test whether it is back.
	if g.counter.unanswered < pauseAfterFailures {
		sampledShare := available
		if c.plan.forwardsExcess() { // the request is forwarded in any case, so the reply decides nothing
			sampledShare = math.Pow(available, excessCallExponent)
		} else if least > available && c.plan.ExcessCost > 0 {
			return available
		}
		if float64(c.hash)/math.MaxUint32*least > sampledShare {
			return 0
		}
	}
	age := min(1, (g.now-c.cycle.totalAt)/c.cycle.validFor)
	return least + (1-least)*age*available
}

// queryCounter adds an amount to a cycle's total, or reads the total if the amount is 0, and lets the
// request wait for the reply.
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

// expireQueries decides the requests whose reply has not come within two timeouts and a tick, so that a reply
// that the host loses does not lose the request.
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

// sampledTotals is a sparse customer's demand according to the totals of two cycles.
type sampledTotals struct {
	cycle    int64   // number of the present cycle
	elapsed  Seconds // time since the start of the present cycle
	previous float64 // total of the previous cycle, in units
}

// decideBySample decides a request of a sparse customer by the total that includes it. It follows the same
// rule as setSliceFromTotals, with the request as the report: while the demand is below the quota, all
// requests conform; above it, sampling admits the common ratio of quota and demand. All requests conform up
// to the rest of the burst.
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

// readSampledTotals processes a total. If the demand is above the quota, is not from this call alone, and the
// previous cycle's total is not known, it calls the counter for that total. If the counter is overloaded and
// excess costs, it assumes a value instead.
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
	// The counter is overloaded: a second call for this request would displace the only call of another.
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
	// A customer whose demand was near or over the quota in the previous cycle has used up its burst: up to
	// 0.8 of the quota the complete burst is left, from 1.2 on nothing.
	burst := c.plan.Burst * max(0, min(1, 3-2.5*t.previous/(quota*period)))
	unrestricted := burst + quota*t.elapsed // units up to which all requests conform
	switch {
	case sum <= unrestricted:
		c.sparse.admitRatio = 1
	case t.previous > quota*period: // the demand was over the quota in the previous cycle, too
		c.sparse.admitRatio = min(1, g.targetUtilization()*quota/rate)
	default:
		c.sparse.admitRatio = min(1, g.targetUtilization()*quota*t.elapsed/sum)
	}
	g.throttleOverdraft(c, lastRatio, unrestricted, t)
	// Between two totals this gateway admits no more than its share of the quota and the burst. Its own
	// demand is noise, so the share of an idle gateway is added to it.
	idleDemand := idleFraction * quota / c.gateways
	own := (c.cycle.localRate*period+c.cycle.demand)/(period+max(0, g.now-c.cycle.startedAt)) + idleDemand
	c.sparse.demandShare = min(1, own/(rate+idleDemand*c.gateways))
}
