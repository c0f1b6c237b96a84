package decision

// Where the system keeps its own counters, they are pairs: the demand in a cycle, summed over the gateways,
// and the number of gateways that it is from. Cycles are numbered by the common clock of those who keep them.
// The step is pinSlice. In the simulator a counter is one number, so this file is no part of its policy.

const (
	demandSmoothing  = 0.5  // weight of the last cycle in the local rate: noise would move slices for nothing
	presenceAmount   = 1e-6 // units a second that a gateway without demand reports, so that it counts as one
	demandTolerance  = 0.99 // of what was reported here: a smaller total has not counted this gateway
	reportExpiry     = 2.4  // s without an accepted report, after which others may soon be given the slice
	burstExpiry      = 1.5  // s beyond reportExpiry for which the bucket keeps its capacity
	pairUtilization  = 0.88 // of the quota, by sampling
	burstOverbooking = 1.5  // bursts that all buckets together may hold, where counters are no pairs

	// minPairCycleRequests is how many requests of a cycle's even share make a customer not sparse.
	minPairCycleRequests = 4.0
	// Seconds from its start for which a gateway does not know what its predecessor spent.
	youngGatewayAge = 10.0
	// youngToleranceShare is the part of a quota's tolerance that the buckets of all young gateways begin
	// with together: each predecessor may have spent its part of the burst just before.
	youngToleranceShare = 0.75
)

// pairCounters is the state of one customer where counters are pairs.
type pairCounters struct {
	ackedAt       Seconds // when a counter owner last accepted a report
	unreachableAt Seconds // when a request first met no counter owner, after one had answered
	shared        sharedBucket
}

// reportDemand reports what was asked here in the cycle that has closed. Every gateway reports once a cycle,
// also one that was asked nothing, and also while calls stay unanswered: one that does not report loses its
// slice.
func (g *Gateway) reportDemand(c *customer) {
	if c.quota <= 0 || c.sparse.active || !g.settings.HasCounter {
		return
	}
	c.cycle.stage = stageReported
	g.callCounter(c, c.cycle.number, max(presenceAmount, c.cycle.localRate))
}

// handlePairReply takes a counter owner's reply: the first one to the report, the second one to the call that
// reads both counters.
func (g *Gateway) handlePairReply(c *customer, e CounterReply) {
	cycle := &c.cycle
	if cycle.stage == stageReported {
		c.pairs.ackedAt = g.now
		cycle.readAt = g.now + readDelay
		return
	}
	reporters := float64(e.Reporters)
	if reporters < 1 || e.Total < cycle.localRate*demandTolerance-presenceAmount {
		return // it has not counted this gateway: the slice stays as it is
	}
	c.gateways = max(c.gateways, reporters)
	cycle.totalRate = e.Total
	cycle.reporters = reporters
	cycle.totalAt = g.now
	g.refill(c)
	c.pinSlice(c.grantable(reporters)) // gateways that have not reported yet keep their part
}

// observeReportAccepted notes that a counter owner accepted a report, though it does not know of all other
// reports yet and returns no total: the slice stays as it is, and is given to nobody else.
func (c *customer) observeReportAccepted(now Seconds, e CounterReply) {
	if e.Outcome == Failed && e.Reporters > 0 && e.Name == c.counterName(c.cycle.number) {
		c.pairs.ackedAt = now
	}
}

// observeOwnerReply notes that an owner of pair counters replied, whatever it was asked.
func (g *Gateway) observeOwnerReply(e CounterReply) {
	if g.settings.PairCounters && ownerAnswered(e) {
		g.ownerReachedAt = g.now
	}
}

// observeSparseReply notes that a counter owner replied for a sparse customer.
func (g *Gateway) observeSparseReply(c *customer, e CounterReply) {
	if ownerAnswered(e) {
		c.pairs.ackedAt = g.now
	}
}

// ownerAnswered reports whether a counter owner was reached, whether or not it returned a total. An agent
// that reaches none replies Failed too, without reporters.
func ownerAnswered(e CounterReply) bool {
	return e.Outcome == Succeeded || e.Outcome == Failed && e.Reporters > 0
}

// lastOwnerContact is when this gateway last knew that it is not partitioned from the counter owners.
func (g *Gateway) lastOwnerContact(c *customer) Seconds {
	return max(c.pairs.ackedAt, g.ownerReachedAt)
}

// initialAckedAt is when the reports of a new customer would last have been accepted, as far as the replies
// for others and the host's contact tell: a gateway without other customers makes no calls.
func (g *Gateway) initialAckedAt(e Request) Seconds {
	if g.settings.PairCounters {
		return max(g.ownerReachedAt, g.startedAt, g.now-e.OwnerContactAge)
	}
	return g.now
}

// targetUtilization is the part of a quota that sampling aims at. Calls of the system's own counter owners
// are rarely lost, so it is higher there; with all of the quota, gateways that fall back to their buckets
// while a counter owner changes have passed the quota's rule in the model.
func (g *Gateway) targetUtilization() float64 {
	if g.settings.PairCounters {
		return pairUtilization
	}
	return sampledUtilization
}

// effectiveSlice is the slice as it may be used now. A gateway whose reports are not accepted any more falls
// back to the part that others leave to those who do not report: one that is partitioned gets more careful.
func (g *Gateway) effectiveSlice(c *customer) float64 {
	if g.settings.PairCounters && g.now-c.pairs.ackedAt > reportExpiry && c.gateways > 1 {
		return min(c.bucket.slice, idleFraction*c.quota/c.gateways)
	}
	return c.bucket.slice
}

// sliceOfBurst is the slice whose share of the burst the local bucket may hold.
//
// It falls back later than the rate: a counter owner that is late for a moment, or a process that stood
// still, would otherwise lose at once what was saved up, and reject what is well within the quota. Where
// counters are no pairs, buckets are overbooked: the rate stays pinned to the quota, but where a customer
// makes few requests a cycle, these come through other gateways than those of the last cycle.
func (g *Gateway) sliceOfBurst(c *customer) float64 {
	if !g.settings.PairCounters {
		return burstOverbooking * c.bucket.slice
	}
	if g.now-c.pairs.ackedAt < reportExpiry+burstExpiry {
		return c.bucket.slice
	}
	return g.effectiveSlice(c)
}

// initialTokens is what the local bucket of a new customer holds, before its capacity cuts it. A young
// gateway does not know what its predecessor spent, and begins with its part of the quota's tolerance and one
// request.
func (g *Gateway) initialTokens(c *customer) float64 {
	if g.settings.PairCounters && g.now-g.startedAt < youngGatewayAge {
		tolerance := g.settings.QuotaTolerance.units(c.plan)
		return 1 + youngToleranceShare*tolerance/c.gateways
	}
	return c.plan.Burst + g.settings.MaxUnits
}

// counterSuffix ends the names of a customer's counters. Packed totals of two quotas must not be mixed; pairs
// mean the same under any quota.
func (g *Gateway) counterSuffix(t *Terms) string {
	if g.settings.PairCounters {
		return ""
	}
	return "." + t.Tag
}

// updatePairSparse decides, where counters are pairs, which customers are sparse. The counter owners are near
// and a call takes a few milliseconds, while a bucket that holds a handful of requests rejects at random what
// is well within the quota.
func (g *Gateway) updatePairSparse(c *customer) {
	if g.settings.PairCounters {
		few := c.quota*c.cycle.period < minPairCycleRequests*c.gateways
		c.sparse.active = c.plan.Rate > 0 && c.gateways > 1 && few
	}
}

// previousCycleKnown reports whether the last total may stand for the previous cycle. Pair counters are near,
// so a total that is older than a cycle is read anew: each gateway whose last total is from before a rush
// would otherwise admit another burst.
func (g *Gateway) previousCycleKnown(c *customer) bool {
	if g.settings.PairCounters {
		return g.now-c.cycle.totalAt < c.cycle.period
	}
	return g.totalsValid(c)
}

// SetCustomerGateways sets through how many gateways customers may come from now on.
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

// enlargeEvenSlice begins anew with an even slice where there are fewer gateways than were assumed, and no
// totals have set the slice yet: at a start the host assumes many gateways until it knows their number.
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
	g.refill(c) // cuts it to the capacity
}
