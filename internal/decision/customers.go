package decision

import (
	"cmp"
	"hash/fnv"
	"math"

	"mulleinrouter/internal/decision/conformance"
)

const (
	// idleExpiry is how long a customer, a removed backend or an empty group stays known without use, in
	// seconds.
	idleExpiry = 60.0
	// termsChangeCycles is for how many cycles after a change of terms other gateways may not know of it.
	termsChangeCycles = 3
	// phaseSteps is in how many steps a hash of the customer spreads the start of cycles over a period.
	phaseSteps = 1024
)

// customer is what a gateway knows of one customer: its terms, what it uses and its part of the quota.
type customer struct {
	key           string
	hash          uint32 // of the key; equal at all gateways
	termsTag      string // Terms.Tag of the terms in force
	counterSuffix string // ends the names of its counters
	plan          *Plan
	gateways      float64 // that its requests may come through
	quota         float64 // over all gateways: units a second, or attempts in flight

	inFlight   int // attempts
	lastUsedAt Seconds
	arrivals   arrivalRate
	values     conformance.ValueDistribution // of what it asks for

	bucket tokenBucket
	limit  limitBucket
	cycle  counterCycle
	sparse sparseMode
	pairs  pairCounters
}

// customerFor returns the customer of a request under the given terms. It creates one that is not known and
// applies terms that have changed.
func (g *Gateway) customerFor(e Request, t *Terms) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		c = g.newCustomer(e, t)
		g.customers[e.Customer] = c
		g.customerList = append(g.customerList, c)
	}
	g.changeTerms(c, t)
	c.lastUsedAt = g.now
	return c
}

func (g *Gateway) newCustomer(e Request, t *Terms) *customer {
	h := fnv.New32a()
	h.Write([]byte(e.Customer))
	c := &customer{
		key:      e.Customer,
		hash:     h.Sum32(),
		gateways: float64(max(1, e.Gateways)),
	}
	c.bucket.refilledAt = g.now
	c.cycle.startedAt = g.now
	c.cycle.totalAt = math.Inf(-1)
	c.pairs.ackedAt = g.initialAckedAt(e)
	g.applyTerms(c, t)
	c.cycle.validFor = validCycles * c.cycle.period
	c.bucket.slice = c.quota / c.gateways
	c.bucket.tokens = g.initialTokens(c) // refill cuts it to the capacity
	c.sparse.demandShare = 1 / c.gateways
	c.limit.refilledAt = g.startedAt
	c.limit.tokens = c.plan.initialLimitTokens() / c.gateways
	return c
}

// applyTerms sets what follows from terms alone.
func (g *Gateway) applyTerms(c *customer, t *Terms) {
	c.plan = &t.Plan
	c.termsTag = t.Tag
	c.counterSuffix = g.counterSuffix(t)
	c.quota = c.plan.Rate
	if c.quota <= 0 {
		c.quota = float64(c.plan.MaxInFlight)
	}
	// Without a quota the period does not matter.
	period := min(maxCyclePeriod, max(minCyclePeriod, unitsPerCycle/c.quota))
	c.cycle.period = cmp.Or(g.settings.CounterCycle, period)
	c.cycle.phase = float64(c.hash%phaseSteps) / phaseSteps * c.cycle.period
	c.cycle.number = c.cycle.numberAt(g.now)
	c.sparse.active = g.isSparse(c)
	g.updatePairSparse(c)
}

// changeTerms puts a customer on other terms.
//
// Buckets keep what they hold, up to the new capacity, and a slice keeps its part of the quota: no change
// costs what was saved up, and none, however often it comes, gives a second burst. Gateways learn of a change
// at different times, while the totals of one name are for one quota. So the number of reporters under the
// old name is raised beyond all gateways, which freezes the slices of those who still use it, and slices here
// stay until as many report as before: the sum of all slices never passes the larger of the two quotas.
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
	g.invalidateCounters(c)
	if c.plan.LimitRate > 0 {
		// What the rate limit kept back is not set free.
		c.bucket.tokens = min(c.bucket.tokens, c.limit.tokens)
	} else {
		c.limit.tokens = max(c.limit.tokens, c.bucket.tokens) // a new rate limit admits what the quota did
	}
	g.applyTerms(c, t)
	c.bucket.slice = part * c.quota
	c.bucket.refilledAt = g.now
	c.cycle.readAt = 0
	c.cycle.stage = stageNoCall
	c.sparse.cycleTotal = 0
	c.cycle.holdUntil = g.now + termsChangeCycles*c.cycle.period
	if c.sparse.active && c.sparse.admitRatio > 0 && c.cycle.totalRate > 0 {
		c.sparse.admitRatio = min(1, sampledUtilization*g.quotaRate(c)/c.cycle.totalRate)
	}
}

// invalidateCounters makes the totals of this cycle and the next ones impossible for gateways that still go
// by the old terms. Pair counters need none of it: they mean the same under any quota.
func (g *Gateway) invalidateCounters(c *customer) {
	if g.settings.PairCounters || !g.counterAvailable() {
		return
	}
	if c.sparse.active || c.gateways <= 1 || c.quota <= 0 {
		return
	}
	reporterUnit, _ := c.packing()
	for n := range int64(termsChangeCycles + 1) {
		g.emit(CounterCall{
			Name:      c.counterName(c.cycle.numberAt(g.now) + n),
			Add:       reporterUnit * c.gateways,
			Retention: (termsChangeCycles+1)*c.cycle.period + 1,
		})
	}
}

// isIdle reports whether nothing was asked for so long that the customer may be forgotten.
func (c *customer) isIdle(now Seconds) bool {
	return now-c.lastUsedAt > idleExpiry && c.inFlight == 0
}

// unitsOf is what a request counts against the quota.
func (c *customer) unitsOf(r *request) float64 {
	if c.plan.Rate <= 0 {
		return 1
	}
	return r.Units
}

// quotaRate is how many units a second a fully used quota admits. Of a limit on attempts in flight, a quarter
// may be used on average.
func (g *Gateway) quotaRate(c *customer) float64 {
	if c.plan.Rate <= 0 {
		return c.quota / 4 / g.defaultPool.latency
	}
	return c.quota
}
