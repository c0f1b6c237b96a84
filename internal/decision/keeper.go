package decision

// Where the system keeps its own counters, they are pairs: what was asked in a cycle, summed over the gateways, and how many of these
// it is from ("each ingress holding a slice adds r to one counter and 1 to another"). Cycles are named by the common clock of those who
// keep them. The step is that of quotas.go. It is not part of the simulator's policy: there, a counter is one number.

const (
	smoothing  = 0.5  // weight of a cycle in r: any r is pinned to the quota, and a noisy one moves slices for nothing
	present    = 1e-6 // units a second: what a gateway adds that was asked nothing, so that it counts as a holder
	lapse      = 2.4  // s without a report taken: its slice may be given to others soon (tally.Retain is 3.0)
	storedFor  = 1.5  // s beyond that for which its store stays
	young      = 10.0 // s from its start for which a gateway cannot know what the one before it has spent
	aimPairs   = 0.88
	overbooked = 1.5  // bursts that all stores together may hold, where counters are no pairs
	thinLeast  = 0.4  // s without an answer of any keeper: the keeper of a thin customer answers each request
	thinMore   = 8.0  // requests that may run meanwhile beyond what runs in that time
	thinStore  = 0.4  // of the burst: stores of thin customers, as those who reach the keeper have a burst of their own
	thinSpare  = 8.0  // requests beyond it in all stores together, where these hold less than one each
	thinAlone  = 0.1  // of its even part, for who is cut off
	thinPairs  = 4.0  // requests in a cycle's even share, below which each asks the keeper
	bucketFor  = 3.0  // cycles after which a total says nothing of what ran since
	brakeOver  = 0.5  // cycles' quota by which a bucket is overdrawn at which nothing is let through
	youngPart  = 0.25 // of its part of the burst, which it then begins with
)

// pairs is what a customer has where counters are pairs.
type pairs struct {
	ackedAt  Seconds // when a keeper last took a report
	silentAt Seconds // when a request first met no keeper, after one had answered
	bucket   bucket  // of a thin customer
}

// bucket is a token bucket of the whole quota, as one gateway reckons it from the totals that it sees: what all together have let through.
type bucket struct {
	at     Seconds // when it last saw a total
	cycle  int64   // of that
	sum    float64 // that total
	tokens float64 // requests; below 0: so many more than the quota and its burst have run
}

// report adds what was asked here in the cycle that has closed. Every holder reports, also one that was asked little, and also while calls go
// unanswered: it is one a cycle, and who does not report loses its slice.
func (g *Gateway) report(c *customer) {
	if c.quota <= 0 || c.thin || !g.s.HasCounter {
		return
	}
	c.calls = 1
	g.count(c, c.cycle, max(present, c.r))
}

// read takes a keeper's answer: to the report, and then to the call that reads both counters.
func (g *Gateway) read(c *customer, e CounterReply) {
	if c.calls == 1 {
		c.ackedAt, c.readAt = g.now, g.now+readDelay
		return
	}
	R, k := e.Total, float64(e.Holders)
	if k < 1 || R < c.r*0.99-present {
		return // it has not counted this gateway: frozen
	}
	c.doors = max(c.doors, k)
	c.R, c.k, c.totalAt = R, k, g.now
	g.fill(c)
	c.step(c.quota * (1 - quietShare*(c.doors-k)/c.doors)) // who has not reported yet keeps its part
}

// taken notes that a keeper took a report, though it is not sure yet of all others and tells no sum: the slice stays frozen, and is given
// to nobody else.
func (c *customer) taken(now Seconds, e CounterReply) {
	if e.Outcome == Failed && e.Holders > 0 && e.Name == c.name(c.cycle) {
		c.ackedAt = now
	}
}

// aimed is the share of a quota that chance aims at where each request is a report. Calls of the system's own keepers are rarely lost; with
// all of it, gateways that fall back to their stores while a keeper changes have passed the rule in the model.
func (g *Gateway) aimed() float64 {
	if g.s.PairCounters {
		return aimPairs
	}
	return aimShare
}

// step is the pinned step: the slice follows what is asked here, all slices together make up the quota, and where more is asked than
// that, each has the same ratio of it.
func (c *customer) step(left float64) {
	if c.slice = c.r + (left-c.R)/c.k; c.R > left {
		c.slice = left * c.r / c.R
	}
}

// paced is the slice as it may be used now. Where counters are pairs, one whose reports are not taken any more falls back to the part
// that others leave to those who do not report: a gateway that is cut off gets more careful.
func (g *Gateway) paced(c *customer) float64 {
	if g.s.PairCounters && g.now-c.ackedAt > lapse && c.doors > 1 {
		return min(c.slice, quietShare*c.quota/c.doors)
	}
	return c.slice
}

// stored is the slice whose share of the burst the local store may hold. It falls back later than what comes into it: a keeper that is late
// for a moment, or a process that stood still, would else cost at once what was saved up, and what is well within the quota be refused.
// Elsewhere stores are overbooked: what comes in stays pinned to the quota, but few requests a cycle come anywhere else than the last cycle's did.
func (g *Gateway) stored(c *customer) float64 {
	if !g.s.PairCounters {
		return overbooked * c.slice
	}
	if g.now-c.ackedAt < lapse+storedFor {
		return c.slice
	}
	return g.paced(c)
}

// store is what the local store of a new customer holds.
func (g *Gateway) store(c *customer, t *Terms) float64 {
	if g.s.PairCounters && g.now-g.started < young {
		return 1 + youngPart*t.Plan.Burst/c.doors
	}
	return t.Plan.Burst + g.s.MaxUnits
}

// suffix ends the names of a customer's counters. Packed totals of two quotas must not be mixed; pairs say the same under any quota.
func (g *Gateway) suffix(t *Terms) string {
	if g.s.PairCounters {
		return ""
	}
	return "." + t.Tag
}

// thinOfPairs tells which customers' requests are reports of their own. The keepers are near, and a call costs a few milliseconds: a
// store that holds a handful of requests refuses by chance what is well within the quota.
func (g *Gateway) thinOfPairs(c *customer) {
	if g.s.PairCounters {
		c.thin = c.plan.Rate > 0 && c.doors > 1 && c.quota*c.period < thinPairs*c.doors
	}
}

// heardOf notes that a keeper answered for a thin customer, sure of all others or not.
func (g *Gateway) heardOf(c *customer, e CounterReply) {
	if answered(e) {
		c.ackedAt = g.now
	}
}

// answered tells whether a keeper was reached, sure of all others or not. An agent that reaches none says Failed too.
func answered(e CounterReply) bool {
	return e.Outcome == Succeeded || e.Outcome == Failed && e.Holders > 0
}

// reached notes that a keeper of pairs answered, whatever it was asked.
func (g *Gateway) reached(e CounterReply) {
	if g.s.PairCounters && answered(e) {
		g.kept = g.now
	}
}

// firstAck is when a new customer's reports were last taken, for all that is known: by the answers to others.
func (g *Gateway) firstAck() Seconds {
	if g.s.PairCounters {
		return max(g.kept, g.started)
	}
	return g.now
}

// thinLapse is how long a gateway that no keeper answers goes by its share of a thin customer's quota: what all who are cut off let through meanwhile
// must be within the slack of the rule, of which a part is a number of requests.
func (g *Gateway) thinLapse(c *customer) Seconds { return min(lapse, thinLeast+thinMore/g.rate(c)) }

// alone is what comes into the store of a thin customer, from which it is decided while the keeper does not answer. Where counters are pairs,
// those who reach it share the whole quota, so one that no keeper answers any more falls back to a part that is within the slack of the rule. Where
// others answer, the customer's keeper is changing hands: then nobody reaches it, and the stores are all there is.
func (g *Gateway) alone(c *customer) float64 {
	rate, at, most := g.rate(c)*c.share, g.reachedAt(c), g.thinLapse(c)
	if !g.s.PairCounters || g.now-at < most {
		return rate
	}
	if c.filled-at < most {
		c.level *= thinAlone // what was saved up is the others' too
	}
	return min(rate, thinAlone*c.quota/c.doors)
}

// reachedAt is when a gateway last knew that it is not cut off from the keepers.
func (g *Gateway) reachedAt(c *customer) Seconds { return max(c.ackedAt, g.kept) }

// restrain cuts a store to a part where no keeper has answered since a request came: a burst is let in by those who reach them, so the stores of all
// gateways together stand for a part of one more and a few requests. What comes in after that is the gateway's share, until the lapse.
func (g *Gateway) restrain(c *customer, r *request) {
	if at := g.reachedAt(c); g.s.PairCounters && c.thin && g.kept < r.arrived && c.silentAt <= at {
		c.silentAt = g.now
		c.level = min(c.level, thinStore*c.plan.Burst*c.share+thinSpare*g.s.MaxUnits/c.doors+g.part()*g.rate(c)*c.share*min(g.now-at, g.thinLapse(c)))
	}
}

// luck lets a request of a thin customer through for which its store holds less than it needs, with that chance, where no keeper has answered since
// it came. The store is empty then: over many gateways just what they hold runs.
func (g *Gateway) luck(c *customer, r *request, p float64) bool {
	if !g.s.PairCounters || !c.thin || g.kept >= r.arrived {
		return false
	}
	c.level = 0
	return g.rng.Float64() < p
}

// brake lowers the common ratio where more has run than the quota and its burst. The ratio follows the totals of two cycles and so lags where a rush
// begins in the middle of one; what ran meanwhile is given back over the next. Each request is decided upon its own total, so between two
// totals ran what their ratios say: all up to the limit, where it was crossed.
func (g *Gateway) brake(c *customer, ratio, limit float64, cycle int64, spent Seconds) {
	if !g.s.PairCounters || c.plan.Rate <= 0 {
		return
	}
	b, since, asked, from := &c.bucket, g.now-c.bucket.at, c.sum-c.bucket.sum, c.bucket.sum
	if cycle != b.cycle { // nobody told how the cycle before ended: as this one begins
		asked, from = c.sum+c.sum/max(spent, c.period/4)*min(c.period, max(0, since-spent)), 0
	}
	ran := asked * (ratio + c.ratio) / 2
	if ratio == 1 && c.ratio < 1 {
		whole := min(asked, max(0, limit-from))
		ran = whole + (asked-whole)*c.ratio
	}
	if b.tokens += c.quota*since - ran; since > bucketFor*c.period { // too long ago to tell: by this cycle and the one before
		before := min(c.R*(c.period+spent)-c.sum, c.plan.Burst+c.quota*c.period)
		whole := min(c.sum, limit)
		b.tokens = c.plan.Burst + c.quota*(c.period+spent) - before - whole - (c.sum-whole)*c.ratio
	}
	b.tokens = min(c.plan.Burst, b.tokens)
	b.at, b.cycle, b.sum = g.now, cycle, c.sum
	if b.tokens < 0 {
		c.ratio *= max(0, 1+b.tokens/(brakeOver*c.quota*c.period))
	}
}

// recent tells whether the last total may stand for the cycle before. Keepers are near: where counters are pairs, one that is older than a cycle
// is asked for anew, or each gateway whose last word is from before a rush would let another burst in.
func (g *Gateway) recent(c *customer) bool {
	if g.s.PairCounters {
		return g.now-c.totalAt < c.period
	}
	return g.believed(c)
}

// SetCustomerGateways tells through how many gateways customers may come now, where that is learned.
func (g *Gateway) SetCustomerGateways(n int) {
	for _, c := range g.known {
		c.doors = float64(max(1, n))
		g.thinOfPairs(c)
	}
}
