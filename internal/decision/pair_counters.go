package decision

// The counters that the system's own nodes keep are pairs: the demand in a cycle, summed over the gateways,
// and the number of gateways that reported it. Cycles are numbered by the common clock of the counter
// owners, the nodes that keep the counters. setSliceFromTotals computes a slice from a pair. A counter is a
// single number in the simulator, so this file is not part of its policy.

const (
	demandSmoothing  = 0.5  // weight of the last cycle in the local rate, so that noise does not move slices
	minReportedRate  = 1e-6 // units per second; reported without demand, to count as a reporter
	demandTolerance  = 0.99 // share of the reported rate; a total below it has not counted this gateway
	reportExpiry     = 2.4  // s without an accepted report, after which other gateways may soon get the slice
	burstExpiry      = 1.5  // s after reportExpiry for which the bucket keeps its capacity
	pairUtilization  = 0.88 // share of the quota that sampling aims at
	burstOverbooking = 1.5  // bursts that all buckets together may hold, without pair counters

	// minPairCycleRequests is the smallest even share, in units per cycle, of a customer that is not sparse.
	minPairCycleRequests = 4.0
	// newGatewayAge is the time after its start, in seconds, for which a gateway assumes that the process
	// before it may have spent its part of the burst.
	newGatewayAge = 10.0
	// newGatewayToleranceShare is the share of a quota's tolerance with which the buckets of all new gateways
	// together start. They do not start with the burst, because the processes before them may have spent it.
	newGatewayToleranceShare = 0.75
)

// pairCounters is the state of a customer with pair counters.
type pairCounters struct {
	ackedAt       Seconds // time of the last report, or call if sparse, that a counter owner accepted
	unreachableAt Seconds // time of the first request without a reachable counter owner, since the last reply
	shared        sharedBucket
}

// reportDemand reports the demand at this gateway in the cycle that has closed. Every gateway reports once
// per cycle, even without demand and while its calls get no reply, because a gateway that does not report
// loses its slice.
func (g *Gateway) reportDemand(c *customer) {
	if c.quota <= 0 || c.sparse.active || !g.settings.HasCounter {
		return
	}
	c.cycle.stage = stageReported
	g.callCounter(c, c.cycle.number, max(minReportedRate, c.cycle.localRate))
}

// handlePairReply processes a counter owner's reply. The first reply in a cycle is to the report, the
// second to the call that reads both numbers.
func (g *Gateway) handlePairReply(c *customer, e CounterReply) {
	cycle := &c.cycle
	if cycle.stage == stageReported {
		c.pairs.ackedAt = g.now
		cycle.readAt = g.now + readDelay
		return
	}
	reporters := float64(e.Reporters)
	if reporters < 1 || e.Total < cycle.localRate*demandTolerance-minReportedRate {
		return // it has not counted this gateway, so the slice stays unchanged
	}
	c.gateways = max(c.gateways, reporters)
	cycle.totalRate = e.Total
	cycle.reporters = reporters
	cycle.totalAt = g.now
	g.refill(c)
	c.setSliceFromTotals(c.grantable(reporters)) // gateways that have not reported yet keep their share
}

// handlePartialTotal processes the reply of a counter owner that may not have all reports yet, because the
// counters have just moved to it or it has restarted. An accepted report keeps the slice, because no other
// gateway gets it. A partial total may shrink the slice, because the even slices of gateways that have just
// started come on top of the slices of the others. It never enlarges the slice.
func (g *Gateway) handlePartialTotal(c *customer, e CounterReply) {
	cycle := &c.cycle
	if !g.settings.PairCounters || e.Outcome != Failed || e.Reporters < 1 {
		return
	}
	if cycle.stage == stageReported {
		c.pairs.ackedAt = g.now
		cycle.readAt = g.now + readDelay
		return
	}
	if e.Total < cycle.localRate*demandTolerance-minReportedRate {
		return // it has not counted this gateway, or is from an owner that sends no partial totals
	}
	reporters := float64(e.Reporters)
	grantable := c.grantable(min(reporters, c.gateways))
	g.refill(c)
	c.bucket.slice = min(c.bucket.slice, sliceFromTotals(cycle.localRate, e.Total, reporters, grantable))
}

// observeOwnerReply records that an owner of pair counters replied to any call.
func (g *Gateway) observeOwnerReply(e CounterReply) {
	if g.settings.PairCounters && ownerAnswered(e) {
		g.ownerReachedAt = g.now
	}
}

// observeSparseReply records that a counter owner replied to a call for a sparse customer.
func (g *Gateway) observeSparseReply(c *customer, e CounterReply) {
	if ownerAnswered(e) {
		c.pairs.ackedAt = g.now
	}
}

// ownerAnswered reports whether a counter owner was reached, whether or not it returned a total. An agent
// that reaches no counter owner also replies Failed, but without reporters.
func ownerAnswered(e CounterReply) bool {
	return e.Outcome == Succeeded || e.Outcome == Failed && e.Reporters > 0
}

// lastOwnerContact returns the last time at which this gateway was known to reach the counter owners.
func (g *Gateway) lastOwnerContact(c *customer) Seconds {
	return max(c.pairs.ackedAt, g.ownerReachedAt)
}

// initialAckedAt returns the time at which a report of a new customer would last have been accepted. It is
// estimated from the replies for other customers, and from the host's contact with the counter owners,
// because a gateway without other customers makes no calls.
func (g *Gateway) initialAckedAt(e Request) Seconds {
	if g.settings.PairCounters {
		return max(g.ownerReachedAt, g.startedAt, g.now-e.OwnerContactAge)
	}
	return g.now
}

// targetUtilization returns the share of a quota that sampling aims at. It is higher with pair counters,
// because calls to the system's own counter owners are rarely lost. With the complete quota, gateways that
// fall back to their buckets while a counter owner changes exceed the quota's tolerance in simulation.
func (g *Gateway) targetUtilization() float64 {
	if g.settings.PairCounters {
		return pairUtilization
	}
	return sampledUtilization
}

// effectiveSlice returns the slice that may be used now. A gateway whose reports are no longer accepted
// falls back to the share that the other gateways leave to each gateway that does not report, so a
// partitioned gateway admits less.
func (g *Gateway) effectiveSlice(c *customer) float64 {
	if g.settings.PairCounters && g.now-c.pairs.ackedAt > reportExpiry && c.gateways > 1 {
		return min(c.bucket.slice, idleFraction*c.quota/c.gateways)
	}
	return c.bucket.slice
}

// sliceOfBurst returns the slice that determines the local bucket's share of the burst.
//
// It falls back later than the rate does. Otherwise a short delay of a counter owner, or a stalled process,
// would lose the saved tokens at once and reject requests that are well within the quota. Without pair
// counters, the capacities of buckets are overbooked, because the few requests that a customer makes per
// cycle come through other gateways than in the last cycle. The refill rates of all buckets still sum up to
// the quota.
func (g *Gateway) sliceOfBurst(c *customer) float64 {
	if !g.settings.PairCounters {
		return burstOverbooking * c.bucket.slice
	}
	if g.now-c.pairs.ackedAt < reportExpiry+burstExpiry {
		return c.bucket.slice
	}
	return g.effectiveSlice(c)
}

// initialTokens returns the tokens of a new customer's local bucket, before they are limited to its
// capacity. With pair counters, a gateway that has just started does not know what the process before it
// spent, so it starts with one unit and its part of newGatewayToleranceShare of the quota's tolerance.
func (g *Gateway) initialTokens(c *customer) float64 {
	if g.settings.PairCounters && g.now-g.startedAt < newGatewayAge {
		tolerance := g.settings.QuotaTolerance.units(c.plan)
		return 1 + newGatewayToleranceShare*tolerance/c.gateways
	}
	return c.plan.Burst + g.settings.MaxUnits
}

// counterSuffix returns the suffix of the names of a customer's counters. It separates the packed totals of
// different quotas. Pair counters need no suffix, because they mean the same under any quota.
func (g *Gateway) counterSuffix(t *Terms) string {
	if g.settings.PairCounters {
		return ""
	}
	return "." + t.Tag
}

// updatePairSparse decides, with pair counters, whether a customer is sparse. One with few requests per
// gateway and cycle is, because a call to a counter owner takes only a few milliseconds, while a bucket
// that holds only a few requests randomly rejects requests that are well within the quota.
func (g *Gateway) updatePairSparse(c *customer) {
	if g.settings.PairCounters {
		fewRequests := c.quota*c.cycle.period < minPairCycleRequests*c.gateways
		c.sparse.active = c.plan.Rate > 0 && c.gateways > 1 && fewRequests
	}
}

// previousCycleKnown reports whether the last total may be used for the previous cycle. With pair counters,
// a total older than a cycle is read again, because calls are fast. Otherwise each gateway whose last total
// is from before a rise in demand would admit another burst.
func (g *Gateway) previousCycleKnown(c *customer) bool {
	if g.settings.PairCounters {
		return g.now-c.cycle.totalAt < c.cycle.period
	}
	return g.totalsValid(c)
}

// SetCustomerGateways sets the number of gateways that may receive a customer's requests, for all customers.
func (g *Gateway) SetCustomerGateways(now Seconds, n int) {
	g.now = now
	gateways := float64(max(1, n))
	for _, c := range g.customerList {
		if gateways < c.gateways && c.cycle.reporters == 0 {
			g.enlargeEvenSlice(c, gateways)
		}
		c.gateways = gateways
		g.updatePairSparse(c)
	}
}

// enlargeEvenSlice resets a customer to the even slice if there are fewer gateways than assumed and no
// totals have set the slice yet. At its start, the host assumes many gateways until it knows their number.
func (g *Gateway) enlargeEvenSlice(c *customer, gateways float64) {
	if c.quota <= 0 {
		return
	}
	g.refill(c)
	before := min(c.bucket.capacity, g.initialTokens(c))
	c.gateways = gateways
	c.bucket.slice = c.quota / gateways
	c.sparse.demandShare = 1 / gateways
	c.bucket.tokens += max(0, g.initialTokens(c)-before)
	g.refill(c) // limits the tokens to the capacity
}
