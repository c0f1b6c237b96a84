package decision

const (
	sharedBucketExpiry    = 3.0 // cycles after which a total is too old to estimate what was admitted since
	fullThrottleOverdraft = 0.5 // share of a cycle's quota; a bucket overdrawn by this much admits nothing
)

// sharedBucket is a token bucket of a sparse customer's complete quota. Each gateway keeps its own one, and
// estimates from the totals that it reads how much all gateways together have admitted.
type sharedBucket struct {
	observedAt Seconds // time of the last total
	cycle      int64   // cycle of the last total
	total      float64 // last total, in units
	tokens     float64 // units; below 0: excess that was admitted over the quota and its burst
}

// throttleOverdraft lowers the common admit ratio if more was admitted than the quota and its burst.
//
// The ratio follows the totals of two cycles, so it lags if demand rises in the middle of a cycle. The
// excess that is admitted meanwhile is compensated over the next cycles. Each request is decided by its own
// total, so the share that was admitted between two totals is estimated as the mean of their two ratios. If
// the unrestricted units, up to which all requests conform, were exceeded between them, everything up to that
// amount was admitted.
func (g *Gateway) throttleOverdraft(c *customer, lastRatio, unrestricted float64, t sampledTotals) {
	if !g.settings.PairCounters || c.plan.Rate <= 0 {
		return
	}
	b := &c.pairs.shared
	since := g.now - b.observedAt
	b.tokens += c.quota*since - g.admittedSince(c, lastRatio, unrestricted, t)
	if since > sharedBucketExpiry*c.cycle.period {
		b.tokens = g.estimatedSharedTokens(c, unrestricted, t)
	}
	b.tokens = min(c.plan.Burst, b.tokens)
	b.observedAt = g.now
	b.cycle = t.cycle
	b.total = c.sparse.cycleTotal
	if b.tokens < 0 {
		c.sparse.admitRatio *= max(0, 1+b.tokens/(fullThrottleOverdraft*c.quota*c.cycle.period))
	}
}

// admittedSince estimates the units that all gateways have admitted since the last total.
func (g *Gateway) admittedSince(c *customer, lastRatio, unrestricted float64, t sampledTotals) float64 {
	b, period, sum := &c.pairs.shared, c.cycle.period, c.sparse.cycleTotal
	asked := sum - b.total
	from := b.total
	if t.cycle != b.cycle {
		// The final total of the previous cycle is not known. Its demand after the last total is assumed to
		// equal the demand of this cycle. The rate is taken over at least a quarter of a period, because it
		// would be noise over less.
		rest := min(period, max(0, g.now-b.observedAt-t.elapsed))
		asked = sum + sum/max(t.elapsed, period/4)*rest
		from = 0
	}
	ratio := c.sparse.admitRatio
	if lastRatio == 1 && ratio < 1 {
		unsampled := min(asked, max(0, unrestricted-from))
		return unsampled + (asked-unsampled)*ratio
	}
	return asked * (lastRatio + ratio) / 2
}

// estimatedSharedTokens estimates the bucket from this cycle and the previous one alone. It is used when
// the last total is too old.
func (g *Gateway) estimatedSharedTokens(c *customer, unrestricted float64, t sampledTotals) float64 {
	period, sum, burst := c.cycle.period, c.sparse.cycleTotal, c.plan.Burst
	// Units that were admitted in the previous cycle.
	before := min(c.cycle.totalRate*(period+t.elapsed)-sum, burst+c.quota*period)
	unsampled := min(sum, unrestricted)
	return burst + c.quota*(period+t.elapsed) - before - unsampled - (sum-unsampled)*c.sparse.admitRatio
}
