package decision

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	unitsPerCycle  = 8.0 // units of a fully used quota in a cycle; with fewer, its rate is noise
	minCyclePeriod = 2.0 // s; shorter cycles see fewer requests and call the counter more often
	maxCyclePeriod = 6.0 // s; longer cycles follow changes of demand too slowly
	// readDelay is the time from the reply to a report until the totals are read, in seconds. The clocks of
	// the gateways must differ by much less, because the totals do not include the reports that come later.
	readDelay    = 0.5
	packedQuotas = 20.0 // multiple of the quota up to which a packed number can hold the total rate
	// maxDigits is the power of ten of the first of the seven digits of a packed number, which the counter
	// stores exactly. With more digits, rounding would change the number of reporters or the rate.
	maxDigits = 6.0

	// idleFraction is the part of the even share that the other gateways leave to a gateway whose demand is
	// below it and that makes no calls.
	idleFraction = 0.4
	validCycles  = 2.5 // cycles for which a total is valid; an older one does not show the present demand
	// implausibleTotalFraction is the share of the last total below which a total from fewer reporters is
	// rejected once, because the counter may have lost reports.
	implausibleTotalFraction = 0.5
	// minProcessShare is the smallest share of a gateway by which a process scales up its demand to that of
	// the gateway. It bounds the factor to ten: a larger one would amplify the noise of few requests.
	minProcessShare = 0.1
)

// cycleStage is the last counter call that was made in a cycle.
type cycleStage int

const (
	stageNoCall   cycleStage = iota
	stageReported            // the demand of the last cycle was reported
	stageReading             // the totals were requested
)

// counterCycle is the state of a customer in the cycles of the shared counter. Unless the customer is sparse,
// a gateway reports its demand once per cycle, and reads the total of all gateways readDelay after the reply.
// Without pair counters, a gateway below idleFraction of the even share makes no calls, and a reply that
// includes all gateways is used without a second call.
type counterCycle struct {
	period    Seconds
	phase     Seconds // offset of the cycles, which spreads the calls of all customers over a period
	number    int64   // number of the present cycle
	startedAt Seconds
	readAt    Seconds // time at which the totals are to be read; 0: not in this cycle
	demand    float64 // units requested at this gateway in this cycle
	stage     cycleStage

	localRate float64 // units per second requested at this gateway in the last cycle (measureDemand)
	totalRate float64 // units per second requested at all gateways, from the last valid total
	reporters float64 // number of gateways that the total is from
	totalAt   Seconds // time of the last total; -Inf: none has come
	validFor  Seconds // time for which a total is valid
	holdUntil Seconds // until then totals of fewer gateways than before are ignored
}

// numberAt returns the number of the cycle at the given time, which is the same at all gateways.
func (cc *counterCycle) numberAt(now Seconds) int64 {
	return int64(math.Floor((now - cc.phase) / cc.period))
}

// neverRead reports whether no total has been received yet.
func (cc *counterCycle) neverRead() bool { return math.IsInf(cc.totalAt, -1) }

// totalsValid reports whether the last total is still valid.
func (g *Gateway) totalsValid(c *customer) bool {
	return g.now-c.cycle.totalAt < c.cycle.validFor
}

// setSliceFromTotals sets the slice from the last totals. With x the slice, r the demand at this gateway, R
// the demand at all k gateways that report, and Q the rate that these may admit together:
//
//	x = r + (Q - R) / k    where R <= Q
//	x = Q * r / R          where R > Q
//
// So the slices always sum up to Q, and if the demand exceeds Q, each gateway can admit the same share of its
// demand.
func (c *customer) setSliceFromTotals(grantable float64) {
	c.bucket.slice = sliceFromTotals(c.cycle.localRate, c.cycle.totalRate, c.cycle.reporters, grantable)
}

func sliceFromTotals(localRate, totalRate, reporters, grantable float64) float64 {
	if totalRate > grantable {
		return grantable * localRate / totalRate
	}
	return localRate + (grantable-totalRate)/reporters
}

// grantable returns the units per second that the given number of reporting gateways may admit together. Idle
// gateways, which do not report, keep their part.
func (c *customer) grantable(reporters float64) float64 {
	return c.quota * (1 - idleFraction*(c.gateways-reporters)/c.gateways)
}

// counterName returns the name of a customer's counter for a cycle, from which handleCounterReply takes the
// customer.
func (c *customer) counterName(cycle int64) string {
	return c.key + "/" + strconv.FormatInt(cycle, 36) + c.counterSuffix
}

// callCounter calls the counter of a cycle. The counter is kept for that cycle, for the next one, in which
// its total may still be read, and for one second more.
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

// advanceCycle closes a customer's cycle if it has ended, or reads its totals when they are due.
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

// closeCycle starts a customer's next cycle. It reports the demand in the last cycle to the counter. Without
// pair counters, a gateway whose demand is below idleFraction of the even share does not report.
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
		c.bucket.slice = even // idle: it makes no calls, and others leave it idleFraction of this
		return
	}
	if !g.counterAvailable() {
		return // the slice stays unchanged
	}
	c.cycle.stage = stageReported
	reporterUnit, rateUnit := c.packing()
	// The sum of the rates of all gateways must not overflow into the number of reporters.
	maxRate := math.Floor((reporterUnit - 1) / c.gateways)
	rate := math.Floor(c.cycle.localRate*g.processShare()/rateUnit + g.rng.Float64())
	g.callCounter(c, c.cycle.number, g.reporterCount(reporterUnit)+min(maxRate, rate))
}

// measureDemand sets the local rate from the demand of the cycle that ends. With pair counters, the rate is
// smoothed over cycles.
func (g *Gateway) measureDemand(c *customer) {
	cycle := &c.cycle
	// The first cycle of a customer may be short, and a few requests in it must not look like a high rate.
	span := max(g.now-cycle.startedAt, cycle.period/2)
	rate := cycle.demand / span / max(minProcessShare, g.processShare())
	if g.settings.PairCounters && !cycle.neverRead() {
		rate = cycle.localRate + demandSmoothing*(rate-cycle.localRate)
	}
	cycle.localRate = rate
	cycle.demand = 0
	cycle.startedAt = g.now
}

// packing returns the units of a packed number. Its seven digits hold the number of reporters, in multiples
// of reporterUnit, and below them the total rate, in multiples of rateUnit. Rates are rounded up or down at
// random, so that the rounding errors of many gateways cancel out.
func (c *customer) packing() (reporterUnit, rateUnit float64) {
	reporterUnit = math.Pow(10, maxDigits-math.Floor(math.Log10(c.gateways)))
	return reporterUnit, packedQuotas * c.quota / reporterUnit
}

// handleCounterReply processes a counter reply. A reply that is not a valid total for this cycle does not
// change the slice.
func (g *Gateway) handleCounterReply(e CounterReply) {
	g.observeOwnerReply(e)
	g.counter.observe(g.now, e.Outcome)
	c := g.customers[e.Name[:max(0, strings.LastIndexByte(e.Name, '/'))]]
	if c == nil {
		return // its state was deleted meanwhile
	}
	isQuery := func(q counterQuery) bool { return q.counterName == e.Name }
	if i := slices.IndexFunc(c.sparse.queries, isQuery); i >= 0 {
		query := c.sparse.queries[i]
		c.sparse.queries = slices.Delete(c.sparse.queries, i, i+1)
		g.handleQueryReply(c, query, e)
		return
	}
	current := c.cycle.stage != stageNoCall && c.counterName(c.cycle.number) == e.Name
	if c.sparse.active || !current {
		return
	}
	if e.Outcome != Succeeded {
		g.handlePartialTotal(c, e)
		return
	}
	if g.settings.PairCounters {
		g.handlePairReply(c, e)
		return
	}
	g.handlePackedTotal(c, e.Total)
}

// handlePackedTotal processes the total that a call in this cycle returned.
func (g *Gateway) handlePackedTotal(c *customer, total float64) {
	reporterUnit, rateUnit := c.packing()
	reporters := math.Floor(total / reporterUnit)
	if c.cycle.stage == stageReported && reporters < c.gateways {
		c.cycle.readAt = g.now + readDelay // other gateways have not reported yet
		return
	}
	g.applyTotals(c, (total-reporters*reporterUnit)*rateUnit, reporters)
}

// applyTotals sets the slice from totals, unless these are invalid. For a limit on attempts in flight it only
// stores the totals, which probablyWithinInFlightLimit uses.
func (g *Gateway) applyTotals(c *customer, totalRate, reporters float64) {
	cycle := &c.cycle
	fewer := reporters < cycle.reporters
	// The counter may have lost reports. An implausible total is rejected once, and the next one is accepted.
	doubtful := g.totalsValid(c) && fewer && totalRate < implausibleTotalFraction*cycle.totalRate
	switch {
	case reporters < 1 || reporters > c.gateways:
		return
	case totalRate < cycle.localRate/2: // the report of this gateway is missing
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
	c.setSliceFromTotals(c.grantable(reporters))
}
