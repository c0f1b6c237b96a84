package decision

import (
	"cmp"
	"hash/fnv"
	"math"

	"mulleinrouter/internal/decision/conformance"
)

const (
	// idleExpiry is the time, in seconds, after which the state of an unused customer, removed backend or
	// empty group is deleted, so that state does not accumulate.
	idleExpiry = 60.0
	// termsChangeCycles is the number of cycles for which other gateways may not know a change of terms yet.
	termsChangeCycles = 3
	// phaseSteps is the number of steps in which a hash of the customer spreads the starts of cycles over a
	// period.
	phaseSteps = 1024
)

// customer is the state of a customer at a gateway: its terms, its usage and this gateway's part of its
// quota.
type customer struct {
	key           string
	hash          uint32 // hash of the key, equal at all gateways
	termsTag      string // Terms.Tag of the terms in force
	counterSuffix string // suffix of the names of its counters
	plan          *Plan
	gateways      float64 // number of gateways that may receive its requests
	quota         float64 // over all gateways: units per second, or attempts in flight

	inFlight   int // attempts in flight
	lastUsedAt Seconds
	arrivals   arrivalRate
	values     conformance.ValueDistribution // values of its requests

	bucket tokenBucket
	limit  limitBucket
	cycle  counterCycle
	sparse sparseMode
	pairs  pairCounters
}

// customerFor returns the customer of a request under the given terms. It creates an unknown customer and
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
	c.bucket.tokens = g.initialTokens(c) // refill limits it to the capacity
	c.sparse.demandShare = 1 / c.gateways
	c.limit.refilledAt = g.startedAt // the limit has refilled since the start
	c.limit.tokens = c.plan.initialLimitTokens() / c.gateways
	return c
}

// applyTerms sets the fields that depend on the terms.
func (g *Gateway) applyTerms(c *customer, t *Terms) {
	c.plan = &t.Plan
	c.termsTag = t.Tag
	c.counterSuffix = g.counterSuffix(t)
	c.quota = c.plan.Rate
	if c.quota <= 0 {
		c.quota = float64(c.plan.MaxInFlight)
	}
	// Without a quota the quotient is infinite. The period is then maxCyclePeriod, and does not matter.
	period := min(maxCyclePeriod, max(minCyclePeriod, unitsPerCycle/c.quota))
	c.cycle.period = cmp.Or(g.settings.CounterCycle, period)
	c.cycle.phase = float64(c.hash%phaseSteps) / phaseSteps * c.cycle.period
	c.cycle.number = c.cycle.numberAt(g.now)
	c.sparse.active = g.isSparse(c)
	g.updatePairSparse(c)
}

// changeTerms applies new terms to a customer.
//
// Buckets keep their tokens, up to the new capacity, and a slice keeps its share of the quota. So no change
// loses saved tokens, and repeated changes cannot give a second burst. Gateways learn of a change at
// different times, but each counter name is for the totals of a single quota. Therefore the number of
// reporters under the old name is raised above the number of gateways, which freezes the slices of gateways
// that still use it, and the slices here stay until as many gateways report as before, or
// termsChangeCycles have passed. So the sum of all slices does not exceed the larger of the two quotas in
// that time.
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
		// Tokens that the old rate limit would have held back must not become available.
		c.bucket.tokens = min(c.bucket.tokens, c.limit.tokens)
	} else {
		// A new rate limit admits what the quota already admitted.
		c.limit.tokens = max(c.limit.tokens, c.bucket.tokens)
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

// invalidateCounters makes the totals of this cycle and the next ones invalid for gateways that still use the
// old terms. Pair counters do not need this, because their totals mean the same under any quota.
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

// isIdle reports whether the customer has been unused for long enough that its state may be deleted.
func (c *customer) isIdle(now Seconds) bool {
	return now-c.lastUsedAt > idleExpiry && c.inFlight == 0
}

// unitsOf returns the units that a request counts against the quota.
func (c *customer) unitsOf(r *request) float64 {
	if c.plan.Rate <= 0 {
		return 1
	}
	return r.Units
}

// quotaRate returns the units per second that a fully used quota admits. A limit on attempts in flight
// counts as used to a quarter on average.
func (g *Gateway) quotaRate(c *customer) float64 {
	if c.plan.Rate <= 0 {
		return c.quota / 4 / g.defaultPool.latency
	}
	return c.quota
}
