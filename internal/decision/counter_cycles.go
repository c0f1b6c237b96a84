package decision

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	unitsPerCycle  = 8.0  // of a full quota that a cycle should see, or its rate is noise
	minCyclePeriod = 2.0  // s: shorter ones see less
	maxCyclePeriod = 6.0  // s: demand moves faster than longer ones
	readDelay      = 0.5  // s after the reports; gateways' clocks must agree to well within this
	packedQuotas   = 20.0 // quotas that the total rate in a packed number can hold
	maxDigits      = 6.0  // power of ten up to which a packed number is exact at the counter

	// quietFraction is the part of the even share that is left to a gateway that asks for less and makes no
	// calls.
	idleFraction  = 0.4
	validCycles   = 2.5 // for which a total is believed
	doubtFraction = 0.5 // less than this of the last total, by fewer reporters, is doubted once
	minProcess    = 0.1 // share of a gateway at least that a process computes its demand by
)

// cycleStage is which calls of the counter were made in a cycle.
type cycleStage int

const (
	stageNoCall   cycleStage = iota
	stageReported            // the demand of the last cycle was added
	stageReading             // the totals were asked for
)

// counterCycle is the state of one customer in the cycles of the shared counter: each gateway reports its
// demand once a cycle, and reads the total of all gateways a moment later.
type counterCycle struct {
	period    Seconds
	phase     Seconds // offset of the cycles, so that the calls of all customers spread over a period
	number    int64   // of the present cycle
	startedAt Seconds
	readAt    Seconds // when the totals are to be read; 0: not in this cycle
	demand    float64 // units asked here in this cycle
	stage     cycleStage

	localRate float64 // units a second asked here in the last cycle
	totalRate float64 // units a second asked at all gateways, by the last valid total
	reporters float64 // gateways that the total is from
	totalAt   Seconds // when the last total came; -Inf: none has
	validFor  Seconds // how long a total is believed
	holdUntil Seconds // until then totals of fewer gateways than before are not believed
}

// numberAt is the number of the cycle at a time, the same at all gateways.
func (cc *counterCycle) numberAt(now Seconds) int64 {
	return int64(math.Floor((now - cc.phase) / cc.period))
}

// neverRead reports whether no total has come yet.
func (cc *counterCycle) neverRead() bool { return math.IsInf(cc.totalAt, -1) }

// totalsValid reports whether the last total is believed.
func (g *Gateway) totalsValid(c *customer) bool {
	return g.now-c.cycle.totalAt < c.cycle.validFor
}

// pinSlice is the pinned step. With x the slice, r what is asked here, R what is asked at all k gateways that
// report, and Q what these may grant together:
//
//	x = r + (Q - R) / k    where R <= Q
//	x = Q * r / R          where R > Q
//
// So all slices sum up to Q at each step, and where more is asked, each gateway has the same ratio of it.
func (c *customer) pinSlice(grantable float64) {
	cycle := &c.cycle
	if cycle.totalRate > grantable {
		c.bucket.slice = grantable * cycle.localRate / cycle.totalRate
		return
	}
	c.bucket.slice = cycle.localRate + (grantable-cycle.totalRate)/cycle.reporters
}

// grantable is what the given number of reporting gateways may grant together: quiet ones keep their part.
func (c *customer) grantable(reporters float64) float64 {
	return c.quota * (1 - idleFraction*(c.gateways-reporters)/c.gateways)
}

func (c *customer) counterName(cycle int64) string {
	return c.key + "/" + strconv.FormatInt(cycle, 36) + c.counterSuffix
}

func (g *Gateway) callCounter(c *customer, cycle int64, add float64) {
	g.emit(CounterCall{
		Name:       c.counterName(cycle),
		Add:        add,
		Retention:  2*c.cycle.period + 1,
		Customer:   c.key,
		Cycle:      cycle,
		PerRequest: c.sparse.active,
	})
}

// advanceCycle closes a customer's cycle that is over, or reads its totals when they are due.
func (g *Gateway) advanceCycle(c *customer) {
	switch {
	case c.cycle.numberAt(g.now) != c.cycle.number:
		g.closeCycle(c)
	case c.cycle.readAt > 0 && g.now >= c.cycle.readAt:
		c.cycle.readAt = 0
		c.cycle.stage = stageReading
		g.callCounter(c, c.cycle.number, 0)
	}
}

// closeCycle begins a customer's next cycle. Where its demand in the last one nears the slice, it is added to
// the counter.
func (g *Gateway) closeCycle(c *customer) {
	g.measureDemand(c)
	c.cycle.number = c.cycle.numberAt(g.now)
	c.cycle.readAt = 0
	c.cycle.stage = stageNoCall
	if g.settings.PairCounters {
		g.reportDemand(c)
		return
	}
	if c.quota <= 0 || c.gateways < 2 || c.sparse.active {
		return
	}
	even := c.quota / c.gateways
	if c.cycle.localRate < idleFraction*even {
		c.bucket.slice = even // quiet: it makes no calls, and others leave it quietFraction of this
		return
	}
	if !g.counterAvailable() {
		return // the slice stays as it is
	}
	c.cycle.stage = stageReported
	reporterUnit, rateUnit := c.packing()
	// No number of gateways may spill over into the reporters.
	maxRate := math.Floor((reporterUnit - 1) / c.gateways)
	rate := math.Floor(c.cycle.localRate*g.processShare()/rateUnit + g.rng.Float64())
	g.callCounter(c, c.cycle.number, g.reporterCount(reporterUnit)+min(maxRate, rate))
}

// measureDemand sets the local rate from the demand of the cycle that ends.
func (g *Gateway) measureDemand(c *customer) {
	cycle := &c.cycle
	span := max(g.now-cycle.startedAt, cycle.period/2)
	rate := cycle.demand / span / max(minProcess, g.processShare())
	if g.settings.PairCounters && !cycle.neverRead() {
		rate = cycle.localRate + demandSmoothing*(rate-cycle.localRate)
	}
	cycle.localRate = rate
	cycle.demand = 0
	cycle.startedAt = g.now
}

// packing is how one number of seven digits holds the reporters, in multiples of reporterUnit, and below
// these the total rate, in multiples of rateUnit that are rounded at random.
func (c *customer) packing() (reporterUnit, rateUnit float64) {
	reporterUnit = math.Pow(10, maxDigits-math.Floor(math.Log10(c.gateways)))
	return reporterUnit, packedQuotas * c.quota / reporterUnit
}

// handleCounterReply takes a total. One that is no valid answer for this cycle leaves the slice as it is.
func (g *Gateway) handleCounterReply(e CounterReply) {
	g.observeOwnerReply(e)
	g.counter.observe(g.now, e.Outcome)
	c := g.customers[e.Name[:max(0, strings.LastIndexByte(e.Name, '/'))]]
	if c == nil {
		return // it was forgotten meanwhile
	}
	isQuery := func(q counterQuery) bool { return q.counterName == e.Name }
	if i := slices.IndexFunc(c.sparse.queries, isQuery); i >= 0 {
		query := c.sparse.queries[i]
		c.sparse.queries = slices.Delete(c.sparse.queries, i, i+1)
		g.handleQueryReply(c, query, e)
		return
	}
	current := c.cycle.stage != stageNoCall && c.counterName(c.cycle.number) == e.Name
	if c.sparse.active || !current || e.Outcome != Succeeded {
		c.observeReportAccepted(g.now, e)
		return
	}
	if g.settings.PairCounters {
		g.handlePairReply(c, e)
		return
	}
	g.handlePackedTotal(c, e.Total)
}

// handlePackedTotal takes the total that a call of this cycle returned.
func (g *Gateway) handlePackedTotal(c *customer, total float64) {
	reporterUnit, rateUnit := c.packing()
	reporters := math.Floor(total / reporterUnit)
	if c.cycle.stage == stageReported && reporters < c.gateways {
		c.cycle.readAt = g.now + readDelay // others have yet to report
		return
	}
	g.applyTotals(c, (total-reporters*reporterUnit)*rateUnit, reporters)
}

// applyTotals sets the slice from totals, unless they cannot be true.
func (g *Gateway) applyTotals(c *customer, totalRate, reporters float64) {
	cycle := &c.cycle
	fewer := reporters < cycle.reporters
	// The counter may have lost what it counted. This is doubted once only.
	doubtful := g.totalsValid(c) && fewer && totalRate < doubtFraction*cycle.totalRate
	switch {
	case reporters < 1 || reporters > c.gateways:
		return
	case totalRate < cycle.localRate/2: // not even what this gateway reported
		return
	case fewer && g.now < cycle.holdUntil:
		return
	}
	cycle.totalRate = totalRate
	cycle.reporters = reporters
	cycle.totalAt = g.now
	if doubtful || c.plan.Rate <= 0 {
		return
	}
	g.refill(c)
	c.pinSlice(c.grantable(reporters))
}
