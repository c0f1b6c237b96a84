package decision

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/decision/ratelimit"
)

func (g *Gateway) customerFor(e Request, t *Terms) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		h := fnv.New32a()
		h.Write([]byte(e.Customer))
		c = &customer{key: e.Customer, hash: h.Sum32()}
		c.bucket.refilledAt = g.now
		c.cycle.startedAt = g.now
		c.cycle.totalAt = math.Inf(-1)
		c.gateways, c.pairs.ackedAt = float64(max(1, e.Gateways)), g.initialAckedAt()
		g.applyTerms(c, t)
		c.cycle.validFor = validCycles * c.cycle.period
		c.bucket.slice, c.bucket.tokens = c.quota/c.gateways, g.initialTokens(c, t) // fill cuts it
		c.sparse.demandShare = 1 / c.gateways
		c.limit.refilledAt, c.limit.tokens = g.startedAt, c.plan.initialLimitTokens()/c.gateways
		g.customers[e.Customer] = c
		g.customerList = append(g.customerList, c)
	}
	g.changeTerms(c, t)
	c.lastUsedAt = g.now
	return c
}

// adopt sets what follows from terms alone.
func (g *Gateway) applyTerms(c *customer, t *Terms) {
	c.plan, c.termsTag, c.counterSuffix = &t.Plan, t.Tag, g.counterSuffix(t)
	if c.quota = c.plan.Rate; c.quota <= 0 {
		c.quota = float64(c.plan.MaxInFlight)
	}
	// Without a quota it does not matter.
	c.cycle.period = cmp.Or(g.settings.CounterCycle, min(maxCyclePeriod, max(minCyclePeriod, unitsPerCycle/c.quota)))
	// The phase spreads the calls of a cycle over it.
	c.cycle.phase = float64(c.hash%1024) / 1024 * c.cycle.period
	c.cycle.number = c.cycleAt(g.now)
	if c.sparse.active = c.quota > 0 && c.gateways > 2*c.quota; c.plan.Rate > 0 {
		c.sparse.active = c.gateways > 1 && sparseBursts*c.plan.Burst < c.gateways*g.settings.MaxUnits
	}
	g.updatePairSparse(c)
}

// replan puts a customer on other terms. Stores keep what they hold, up to the new most, and a slice its part
// of the quota: no change costs what was held, and none, often as it comes, gives a second burst. Gateways
// hear at different times, and totals of one name are for one quota: k of the old name is put beyond all
// gateways, which freezes slices there, and those here stay until as many report: never more than the larger.
func (g *Gateway) changeTerms(c *customer, t *Terms) {
	if c.termsTag == t.Tag {
		return
	}
	g.refillLimit(c)
	part := 1 / c.gateways
	if c.quota > 0 {
		g.refill(c)
		part = c.bucket.slice / c.quota
	}
	field, _ := c.packing()
	if !g.settings.PairCounters && g.settings.HasCounter && g.now >= g.counter.pausedUntil && !c.sparse.active && c.gateways > 1 && c.quota > 0 {
		for n := range int64(termsChangeCycles + 1) {
			name, keep := c.counterName(c.cycleAt(g.now)+n), (termsChangeCycles+1)*c.cycle.period+1
			g.emit(CounterCall{Name: name, Add: field * c.gateways, Retention: keep})
		}
	}
	if c.plan.LimitRate > 0 {
		c.bucket.tokens = min(c.bucket.tokens, c.limit.tokens) // what the ceiling kept back is not set free
	} else {
		c.limit.tokens = max(c.limit.tokens, c.bucket.tokens) // what the quota let through, a new ceiling does
	}
	g.applyTerms(c, t)
	c.bucket.slice, c.bucket.refilledAt, c.cycle.readAt, c.cycle.calls, c.sparse.cycleTotal = part*c.quota, g.now, 0, 0, 0
	c.cycle.holdUntil = g.now + termsChangeCycles*c.cycle.period
	if c.sparse.active && c.sparse.admitRatio > 0 && c.cycle.totalRate > 0 {
		c.sparse.admitRatio = min(1, sampledUtilization*g.quotaRate(c)/c.cycle.totalRate)
	}
}

// topUp brings what this gateway's own part of the ceiling still lets through up to now.
func (g *Gateway) refillLimit(c *customer) {
	if c.plan.LimitRate > 0 {
		c.limit.tokens = c.plan.limitSplit(c.gateways, g.settings.HasCounter).OwnTokens(c.limit.tokens, g.now-c.limit.refilledAt, g.processShare())
	}
	c.limit.refilledAt = g.now
}

// common asks the counter for a request inside the quota that is more than this gateway's own part allows.
func (g *Gateway) requestSharedLimit(r *request) bool {
	c := r.customer
	if g.refillLimit(c); !r.conforming || c.limit.tokens >= r.Units || g.now < max(g.counter.pausedUntil, c.cycle.holdUntil) {
		return false
	}
	span, room, keep, ok := c.plan.limitSplit(c.gateways, g.settings.HasCounter).SharedSpan(g.now)
	if ok {
		c.sparse.queries = append(c.sparse.queries, counterQuery{request: r, plan: c.plan, counterName: c.key + "/" + span, sentAt: g.now, spanCapacity: room})
		g.emit(CounterCall{Name: c.key + "/" + span, Add: r.Units, Retention: keep})
	}
	return ok
}

// units is what a request counts against its quota.
func (c *customer) unitsOf(r *request) float64 {
	if c.plan.Rate <= 0 {
		return 1
	}
	return r.Units
}

// evenPart tells whether an attempt more is within the even part of an open limit: no sum passes it.
func (g *Gateway) withinEvenShare(c *customer) bool {
	return c.plan.Rate <= 0 && float64(c.inFlight+1)*c.gateways <= c.quota
}

// fill brings the local store up to now. It holds the slice's share of the burst; that of a thin customer the
// share of its demand, the even one while nothing is known of it, and one request at least.
func (g *Gateway) refill(c *customer) {
	slice := g.effectiveSlice(c)
	rate, most := slice, max(g.minCapacity(c), c.plan.Burst*min(1, g.sliceOfBurst(c)/c.quota))
	if c.sparse.active {
		rate, most = g.sparseRefillRate(c), max(g.settings.MaxUnits, c.plan.Burst*c.sparse.demandShare)
	}
	c.bucket.capacity = g.capacityShare(most)
	c.bucket.tokens = min(c.bucket.capacity, c.bucket.tokens+g.processShare()*rate*(g.now-c.bucket.refilledAt))
	c.bucket.refilledAt = g.now
}

func (g *Gateway) totalsValid(c *customer) bool { return g.now-c.cycle.totalAt < c.cycle.validFor }

func (c *customer) cycleAt(now Seconds) int64 {
	return int64(math.Floor((now - c.cycle.phase) / c.cycle.period))
}

func (c *customer) counterName(cycle int64) string {
	return c.key + "/" + strconv.FormatInt(cycle, 36) + c.counterSuffix
}

func (g *Gateway) callCounter(c *customer, cycle int64, add float64) {
	g.emit(CounterCall{c.counterName(cycle), add, 2*c.cycle.period + 1, c.key, cycle, c.sparse.active})
}

// turn closes a customer's cycle and, where its demand nears the slice, adds it to the counter.
func (g *Gateway) closeCycle(c *customer) {
	span := max(g.now-c.cycle.startedAt, c.cycle.period/2)
	r := c.cycle.demand / span / max(0.1, g.processShare())
	if g.settings.PairCounters && !math.IsInf(c.cycle.totalAt, -1) {
		r = c.cycle.localRate + demandSmoothing*(r-c.cycle.localRate)
	}
	c.cycle.localRate, c.cycle.demand, c.cycle.startedAt = r, 0, g.now
	c.cycle.number = c.cycleAt(g.now)
	c.cycle.readAt, c.cycle.calls = 0, 0
	if g.settings.PairCounters {
		g.reportDemand(c)
		return
	}
	if c.quota <= 0 || c.gateways < 2 || c.sparse.active {
		return
	}
	if even := c.quota / c.gateways; c.cycle.localRate < quietFraction*even {
		c.bucket.slice = even // quiet: no calls, and the others leave it quietShare of this
		return
	}
	if !g.settings.HasCounter || g.now < g.counter.pausedUntil {
		return // frozen
	}
	c.cycle.calls = 1
	field, unit := c.packing()
	most := math.Floor((field - 1) / c.gateways) // so that no number of gateways spills into k
	g.callCounter(c, c.cycle.number, g.reporterCount(field)+min(most, math.Floor(c.cycle.localRate*g.processShare()/unit+g.rng.Float64())))
}

// pack tells how a total of seven digits holds k and, below it, R in units that are rounded by chance.
func (c *customer) packing() (field, unit float64) {
	field = math.Pow(10, 6-math.Floor(math.Log10(c.gateways)))
	return field, packedQuotas * c.quota / field
}

// counted takes a total. What is no sound answer for this cycle leaves the slice frozen.
func (g *Gateway) handleCounterReply(e CounterReply) {
	g.noteKeeperReply(e)
	if e.Outcome == Succeeded || e.Outcome == Rejected || e.Outcome == Failed {
		if g.counter.unanswered >= pauseAfterFailures && g.now-g.counter.repliedAt > counterLostAfter {
			g.counter.callProbability = g.counter.probabilityAtReply // else it took minutes, at few calls, until quotas were watched again
		}
		g.counter.repliedAt, g.counter.unanswered = g.now, 0
		defer func() { g.counter.probabilityAtReply = g.counter.callProbability }()
	} else {
		g.counter.unanswered++
	}
	switch e.Outcome {
	case Succeeded:
		g.counter.failures, g.counter.pausedUntil = 0, 0
		g.counter.callProbability = min(1, g.counter.callProbability+callProbabilityIncrease)
	case Failed: // answered, if not with a total: no sign that it has no room
	default:
		if (e.Outcome == Rejected || e.Outcome == TimedOut) && g.now >= g.counter.reducedAt+callProbabilityCutInterval {
			// A broken connection says nothing of room.
			g.counter.reducedAt = g.now
			g.counter.callProbability = max(minCallProbability, g.counter.callProbability*callProbabilityDecrease)
		}
		if g.counter.failures++; g.counter.failures >= pauseAfterFailures {
			g.counter.pausedUntil = g.now + pauseDuration
		}
	}
	c := cmp.Or(g.customers[e.Name[:max(0, strings.LastIndexByte(e.Name, '/'))]], &customer{}) // forgotten
	if i := slices.IndexFunc(c.sparse.queries, func(a counterQuery) bool { return a.counterName == e.Name }); i >= 0 {
		a := c.sparse.queries[i]
		c.sparse.queries = slices.Delete(c.sparse.queries, i, i+1)
		g.decideBySample(c, a, e)
		return
	}
	if c.sparse.active || c.cycle.calls == 0 || c.counterName(c.cycle.number) != e.Name || e.Outcome != Succeeded {
		c.noteReportTaken(g.now, e)
		return
	}
	if g.settings.PairCounters {
		g.handlePairReply(c, e)
		return
	}
	field, unit := c.packing()
	if k := math.Floor(e.Total / field); c.cycle.calls == 1 && k < c.gateways {
		c.cycle.readAt = g.now + readDelay
	} else {
		g.applyTotals(c, (e.Total-k*field)*unit, k)
	}
}

// settle sets the slice from totals, unless they cannot be true.
func (g *Gateway) applyTotals(c *customer, R, k float64) {
	doubt := g.totalsValid(c) && k < c.cycle.reporters && R < doubtFraction*c.cycle.totalRate // counts lost? once only
	if k < 1 || k > c.gateways || R < c.cycle.localRate/2 || k < c.cycle.reporters && g.now < c.cycle.holdUntil {
		return
	}
	if c.cycle.totalRate, c.cycle.reporters, c.cycle.totalAt = R, k, g.now; doubt || c.plan.Rate <= 0 {
		return
	}
	g.refill(c)
	c.pinSlice(c.quota * (1 - quietFraction*(c.gateways-k)/c.gateways)) // quiet gateways keep their part
}

// callChance is how likely a request of a thin customer asks the counter. What is added is divided by it,
// so it must not weigh much in a cycle: large quotas need few calls, small ones all. When the counter cannot
// take them all, some customers are not watched, the same ones at all gateways, for half a total is noise;
// first those whose answer decides nothing. Where what is beyond costs, all are watched, but sampled thinly.
func (g *Gateway) callProbability(c *customer, r *request) float64 {
	if g.settings.PairCounters {
		return 1
	}
	least := min(1, c.unitsOf(r)/(maxCallWeight*g.quotaRate(c)*c.cycle.period))
	if g.counter.unanswered < pauseAfterFailures { // else who tries it?
		watched := g.counter.callProbability
		if c.plan.forwardsExcess() { // the answer decides nothing
			watched = math.Pow(g.counter.callProbability, excessCallExponent)
		} else if least > g.counter.callProbability && c.plan.ExcessCost > 0 {
			return g.counter.callProbability
		}
		if float64(c.hash)/math.MaxUint32*least > watched {
			return 0
		}
	}
	return least + (1-least)*min(1, (g.now-c.cycle.totalAt)/c.cycle.validFor)*g.counter.callProbability
}

// rate is what a full quota lets through in a second; a quarter of an open limit may be out on average.
func (g *Gateway) quotaRate(c *customer) float64 {
	if c.plan.Rate <= 0 {
		return c.quota / 4 / g.defaultPool.latency
	}
	return c.quota
}

// ask adds a request to a cycle's total, or with 0 reads it, and lets the request wait for the answer.
func (g *Gateway) queryCounter(r *request, cycle int64, add float64) {
	r.customer.sparse.queries = append(r.customer.sparse.queries, counterQuery{r, r.customer.plan, r.customer.counterName(cycle), cycle, g.now, add, add == 0, 0})
	g.callCounter(r.customer, cycle, add)
}

// told decides a request of a thin customer. Exception: each counted one is a report, as r is 0 or noise. It
// adds itself, and the answer is the read. The step is the same: with R under the quota x covers r, above it
// x is Q*r/R, and chance admits that part: it stays pinned to Q. Up to the burst's room all is inside.
func (g *Gateway) decideBySample(c *customer, a counterQuery, e CounterReply) {
	r, Q, T := a.request, g.quotaRate(c), c.cycle.period
	g.noteSparseReply(c, e)
	if r.answered {
		return
	}
	if a.spanCapacity > 0 {
		if e.Outcome == Succeeded && e.Total <= a.spanCapacity && a.plan == c.plan {
			r.sharedLimitUntil = g.now + ratelimit.GrantValidity
		}
		g.dispatch(r)
		return
	}
	if e.Outcome != Succeeded || a.plan != c.plan {
		r.conforming = g.withinQuota(r)
		g.admit(r)
		return
	}
	now, before, known := a.cycle, c.cycle.totalRate*T, g.previousCycleKnown(c)
	if a.previousCycle {
		now, before, known = a.cycle+1, e.Total, true
	} else {
		c.sparse.cycleTotal = e.Total
	}
	spent := min(T, g.now-float64(now)*T-c.cycle.phase)
	if !known {
		if before = 0; c.sparse.cycleTotal > Q*spent && c.sparse.cycleTotal > a.amount+1e-6 {
			if g.counter.callProbability >= crowdedCallProbability || c.plan.ExcessCost <= 0 {
				g.queryCounter(r, a.cycle-1, 0)
				return
			}
			before = min(c.sparse.cycleTotal/max(spent, T/4), 2*Q) * T // a second call would cost another its only one
		}
	}
	R, ratio := (before+c.sparse.cycleTotal)/(T+spent), c.sparse.admitRatio
	c.cycle.validFor = min(maxValidCycles*T, 2*c.cycle.validFor)
	if math.IsInf(c.cycle.totalAt, -1) || (R > Q) != (c.cycle.totalRate > Q) {
		c.cycle.validFor = T
	}
	c.cycle.totalRate, c.cycle.totalAt = R, g.now
	room := c.plan.Burst * max(0, min(1, 3-2.5*before/(Q*T))) // spent by who was over the quota, or near it
	switch {
	case c.sparse.cycleTotal <= room+Q*spent:
		c.sparse.admitRatio = 1
	case before > Q*T:
		c.sparse.admitRatio = min(1, g.targetUtilization()*Q/R)
	default:
		c.sparse.admitRatio = min(1, g.targetUtilization()*Q*spent/c.sparse.cycleTotal)
	}
	g.throttleOverdraft(c, ratio, room+Q*spent, now, spent)
	// Between two words the ratio lets in no more than its slice and burst (fleet day: 3 quotas for 6 s).
	quiet := quietFraction * Q / c.gateways // as r is noise
	own := (c.cycle.localRate*T+c.cycle.demand)/(T+max(0, g.now-c.cycle.startedAt)) + quiet
	c.sparse.demandShare = min(1, own/(R+quiet*c.gateways))
	g.refill(c)
	if c.plan.ExcessCost > 0 {
		g.conformance.Observe(r.ClientRetry, c.sparse.admitRatio)
	}
	if r.conforming = g.rng.Float64() < c.sparse.admitRatio; r.conforming {
		c.bucket.tokens = max(0, c.bucket.tokens-c.unitsOf(r))
	}
	g.admit(r)
}
