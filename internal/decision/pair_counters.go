package decision

// Where the system keeps its own counters, they are pairs: what was asked in a cycle, summed over the gateways, and how many of these
// it is from ("each ingress holding a slice adds r to one counter and 1 to another"). Cycles are named by the common clock of those who
// keep them. The step is that of quotas.go. It is not part of the simulator's policy: there, a counter is one number.

const (
	demandSmoothing      = 0.5  // weight of a cycle in r: any r is pinned to the quota, and a noisy one moves slices for nothing
	presenceAmount       = 1e-6 // units a second: what a gateway adds that was asked nothing, so that it counts as a holder
	reportExpiry         = 2.4  // s without a report taken: its slice may be given to others soon (tally.Retain is 3.0)
	burstExpiry          = 1.5  // s beyond that for which its store stays
	youngGatewayAge      = 10.0 // s from its start for which a gateway cannot know what the one before it has spent
	pairUtilization      = 0.88
	burstOverbooking     = 1.5  // bursts that all stores together may hold, where counters are no pairs
	sparseGraceBase      = 0.4  // s without an answer of any keeper: the keeper of a thin customer answers each request
	sparseGraceRequests  = 8.0  // requests that may run meanwhile beyond what runs in that time
	sparseBurstShare     = 0.4  // of the burst: stores of thin customers, as those who reach the keeper have a burst of their own
	sparseSpareRequests  = 8.0  // requests beyond it in all stores together, where these hold less than one each
	partitionedShare     = 0.1  // of its even part, for who is cut off
	minPairCycleRequests = 4.0  // requests in a cycle's even share, below which each asks the keeper
	sharedBucketExpiry   = 3.0  // cycles after which a total says nothing of what ran since
	throttleSpan         = 0.5  // cycles' quota by which a bucket is overdrawn at which nothing is let through
	youngBurstShare      = 0.25 // of its part of the burst, which it then begins with
)

// pairs is what a customer has where counters are pairs.
type pairCounters struct {
	ackedAt       Seconds      // when a keeper last took a report
	unreachableAt Seconds      // when a request first met no keeper, after one had answered
	shared        sharedBucket // of a thin customer
}

// bucket is a token bucket of the whole quota, as one gateway reckons it from the totals that it sees: what all together have let through.
type sharedBucket struct {
	observedAt Seconds // when it last saw a total
	cycle      int64   // of that
	total      float64 // that total
	tokens     float64 // requests; below 0: so many more than the quota and its burst have run
}

// report adds what was asked here in the cycle that has closed. Every holder reports, also one that was asked little, and also while calls go
// unanswered: it is one a cycle, and who does not report loses its slice.
func (g *Gateway) reportDemand(c *customer) {
	if c.quota <= 0 || c.sparse.active || !g.settings.HasCounter {
		return
	}
	c.cycle.calls = 1
	g.callCounter(c, c.cycle.number, max(presenceAmount, c.cycle.localRate))
}

// read takes a keeper's answer: to the report, and then to the call that reads both counters.
func (g *Gateway) handlePairReply(c *customer, e CounterReply) {
	if c.cycle.calls == 1 {
		c.pairs.ackedAt, c.cycle.readAt = g.now, g.now+readDelay
		return
	}
	R, k := e.Total, float64(e.Holders)
	if k < 1 || R < c.cycle.localRate*0.99-presenceAmount {
		return // it has not counted this gateway: frozen
	}
	c.gateways = max(c.gateways, k)
	c.cycle.totalRate, c.cycle.reporters, c.cycle.totalAt = R, k, g.now
	g.refill(c)
	c.pinSlice(c.quota * (1 - quietFraction*(c.gateways-k)/c.gateways)) // who has not reported yet keeps its part
}

// taken notes that a keeper took a report, though it is not sure yet of all others and tells no sum: the slice stays frozen, and is given
// to nobody else.
func (c *customer) noteReportTaken(now Seconds, e CounterReply) {
	if e.Outcome == Failed && e.Holders > 0 && e.Name == c.counterName(c.cycle.number) {
		c.pairs.ackedAt = now
	}
}

// aimed is the share of a quota that chance aims at where each request is a report. Calls of the system's own keepers are rarely lost; with
// all of it, gateways that fall back to their stores while a keeper changes have passed the rule in the model.
func (g *Gateway) targetUtilization() float64 {
	if g.settings.PairCounters {
		return pairUtilization
	}
	return sampledUtilization
}

// step is the pinned step: the slice follows what is asked here, all slices together make up the quota, and where more is asked than
// that, each has the same ratio of it.
func (c *customer) pinSlice(left float64) {
	if c.bucket.slice = c.cycle.localRate + (left-c.cycle.totalRate)/c.cycle.reporters; c.cycle.totalRate > left {
		c.bucket.slice = left * c.cycle.localRate / c.cycle.totalRate
	}
}

// paced is the slice as it may be used now. Where counters are pairs, one whose reports are not taken any more falls back to the part
// that others leave to those who do not report: a gateway that is cut off gets more careful.
func (g *Gateway) effectiveSlice(c *customer) float64 {
	if g.settings.PairCounters && g.now-c.pairs.ackedAt > reportExpiry && c.gateways > 1 {
		return min(c.bucket.slice, quietFraction*c.quota/c.gateways)
	}
	return c.bucket.slice
}

// stored is the slice whose share of the burst the local store may hold. It falls back later than what comes into it: a keeper that is late
// for a moment, or a process that stood still, would else cost at once what was saved up, and what is well within the quota be refused.
// Elsewhere stores are overbooked: what comes in stays pinned to the quota, but few requests a cycle come anywhere else than the last cycle's did.
func (g *Gateway) sliceOfBurst(c *customer) float64 {
	if !g.settings.PairCounters {
		return burstOverbooking * c.bucket.slice
	}
	if g.now-c.pairs.ackedAt < reportExpiry+burstExpiry {
		return c.bucket.slice
	}
	return g.effectiveSlice(c)
}

// store is what the local store of a new customer holds.
func (g *Gateway) initialTokens(c *customer, t *Terms) float64 {
	if g.settings.PairCounters && g.now-g.startedAt < youngGatewayAge {
		return 1 + youngBurstShare*t.Plan.Burst/c.gateways
	}
	return t.Plan.Burst + g.settings.MaxUnits
}

// suffix ends the names of a customer's counters. Packed totals of two quotas must not be mixed; pairs say the same under any quota.
func (g *Gateway) counterSuffix(t *Terms) string {
	if g.settings.PairCounters {
		return ""
	}
	return "." + t.Tag
}

// thinOfPairs tells which customers' requests are reports of their own. The keepers are near, and a call costs a few milliseconds: a
// store that holds a handful of requests refuses by chance what is well within the quota.
func (g *Gateway) updatePairSparse(c *customer) {
	if g.settings.PairCounters {
		c.sparse.active = c.plan.Rate > 0 && c.gateways > 1 && c.quota*c.cycle.period < minPairCycleRequests*c.gateways
	}
}

// heardOf notes that a keeper answered for a thin customer, sure of all others or not.
func (g *Gateway) noteSparseReply(c *customer, e CounterReply) {
	if keeperAnswered(e) {
		c.pairs.ackedAt = g.now
	}
}

// answered tells whether a keeper was reached, sure of all others or not. An agent that reaches none says Failed too.
func keeperAnswered(e CounterReply) bool {
	return e.Outcome == Succeeded || e.Outcome == Failed && e.Holders > 0
}

// reached notes that a keeper of pairs answered, whatever it was asked.
func (g *Gateway) noteKeeperReply(e CounterReply) {
	if g.settings.PairCounters && keeperAnswered(e) {
		g.keeperReachedAt = g.now
	}
}

// firstAck is when a new customer's reports were last taken, for all that is known: by the answers to others.
func (g *Gateway) initialAckedAt() Seconds {
	if g.settings.PairCounters {
		return max(g.keeperReachedAt, g.startedAt)
	}
	return g.now
}

// thinLapse is how long a gateway that no keeper answers goes by its share of a thin customer's quota: what all who are cut off let through meanwhile
// must be within the slack of the rule, of which a part is a number of requests.
func (g *Gateway) sparseGracePeriod(c *customer) Seconds {
	return min(reportExpiry, sparseGraceBase+sparseGraceRequests/g.quotaRate(c))
}

// alone is what comes into the store of a thin customer, from which it is decided while the keeper does not answer. Where counters are pairs,
// those who reach it share the whole quota, so one that no keeper answers any more falls back to a part that is within the slack of the rule. Where
// others answer, the customer's keeper is changing hands: then nobody reaches it, and the stores are all there is.
func (g *Gateway) sparseRefillRate(c *customer) float64 {
	rate, at, most := g.quotaRate(c)*c.sparse.demandShare, g.lastKeeperContact(c), g.sparseGracePeriod(c)
	if !g.settings.PairCounters || g.now-at < most {
		return rate
	}
	if c.bucket.refilledAt-at < most {
		c.bucket.tokens *= partitionedShare // what was saved up is the others' too
	}
	return min(rate, partitionedShare*c.quota/c.gateways)
}

// reachedAt is when a gateway last knew that it is not cut off from the keepers.
func (g *Gateway) lastKeeperContact(c *customer) Seconds {
	return max(c.pairs.ackedAt, g.keeperReachedAt)
}

// restrain cuts a store to a part where no keeper has answered since a request came: a burst is let in by those who reach them, so the stores of all
// gateways together stand for a part of one more and a few requests. What comes in after that is the gateway's share, until the lapse.
func (g *Gateway) limitWhenUnreachable(c *customer, r *request) {
	if at := g.lastKeeperContact(c); g.settings.PairCounters && c.sparse.active && g.keeperReachedAt < r.arrivedAt && c.pairs.unreachableAt <= at {
		c.pairs.unreachableAt = g.now
		c.bucket.tokens = min(c.bucket.tokens, sparseBurstShare*c.plan.Burst*c.sparse.demandShare+sparseSpareRequests*g.settings.MaxUnits/c.gateways+g.processShare()*g.quotaRate(c)*c.sparse.demandShare*min(g.now-at, g.sparseGracePeriod(c)))
	}
}

// luck lets a request of a thin customer through for which its store holds less than it needs, with that chance, where no keeper has answered since
// it came. The store is empty then: over many gateways just what they hold runs.
func (g *Gateway) admitFraction(c *customer, r *request, p float64) bool {
	if !g.settings.PairCounters || !c.sparse.active || g.keeperReachedAt >= r.arrivedAt {
		return false
	}
	c.bucket.tokens = 0
	return g.rng.Float64() < p
}

// brake lowers the common ratio where more has run than the quota and its burst. The ratio follows the totals of two cycles and so lags where a rush
// begins in the middle of one; what ran meanwhile is given back over the next. Each request is decided upon its own total, so between two
// totals ran what their ratios say: all up to the limit, where it was crossed.
func (g *Gateway) throttleOverdraft(c *customer, ratio, limit float64, cycle int64, spent Seconds) {
	if !g.settings.PairCounters || c.plan.Rate <= 0 {
		return
	}
	b, since, asked, from := &c.pairs.shared, g.now-c.pairs.shared.observedAt, c.sparse.cycleTotal-c.pairs.shared.total, c.pairs.shared.total
	if cycle != b.cycle { // nobody told how the cycle before ended: as this one begins
		asked, from = c.sparse.cycleTotal+c.sparse.cycleTotal/max(spent, c.cycle.period/4)*min(c.cycle.period, max(0, since-spent)), 0
	}
	ran := asked * (ratio + c.sparse.admitRatio) / 2
	if ratio == 1 && c.sparse.admitRatio < 1 {
		whole := min(asked, max(0, limit-from))
		ran = whole + (asked-whole)*c.sparse.admitRatio
	}
	if b.tokens += c.quota*since - ran; since > sharedBucketExpiry*c.cycle.period { // too long ago to tell: by this cycle and the one before
		before := min(c.cycle.totalRate*(c.cycle.period+spent)-c.sparse.cycleTotal, c.plan.Burst+c.quota*c.cycle.period)
		whole := min(c.sparse.cycleTotal, limit)
		b.tokens = c.plan.Burst + c.quota*(c.cycle.period+spent) - before - whole - (c.sparse.cycleTotal-whole)*c.sparse.admitRatio
	}
	b.tokens = min(c.plan.Burst, b.tokens)
	b.observedAt, b.cycle, b.total = g.now, cycle, c.sparse.cycleTotal
	if b.tokens < 0 {
		c.sparse.admitRatio *= max(0, 1+b.tokens/(throttleSpan*c.quota*c.cycle.period))
	}
}

// recent tells whether the last total may stand for the cycle before. Keepers are near: where counters are pairs, one that is older than a cycle
// is asked for anew, or each gateway whose last word is from before a rush would let another burst in.
func (g *Gateway) previousCycleKnown(c *customer) bool {
	if g.settings.PairCounters {
		return g.now-c.cycle.totalAt < c.cycle.period
	}
	return g.totalsValid(c)
}

// SetCustomerGateways tells through how many gateways customers may come now, where that is learned.
func (g *Gateway) SetCustomerGateways(n int) {
	for _, c := range g.customerList {
		c.gateways = float64(max(1, n))
		g.updatePairSparse(c)
	}
}
