package decision

const (
	sharedBucketExpiry = 3.0 // cycles after which a total is no evidence of what was admitted since
	throttleSpan       = 0.5 // of a cycle's quota: a bucket that is overdrawn by it lets nothing through
)

// sharedBucket is a token bucket of a sparse customer's whole quota, as one gateway estimates it from the
// totals that it reads: what all gateways together have admitted.
type sharedBucket struct {
	observedAt Seconds // when it last saw a total
	cycle      int64   // of that total
	total      float64
	tokens     float64 // requests; below 0: so many more than the quota and its burst were admitted
}

// throttleOverdraft lowers the common ratio where more was admitted than the quota and its burst.
//
// The ratio follows the totals of two cycles, and so lags where a rush begins in the middle of one; what was
// admitted meanwhile is given back over the next cycles. Each request is decided by its own total, so between
// two totals their two ratios were admitted: all, up to the amount that was unrestricted, where that was
// passed.
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
		c.sparse.admitRatio *= max(0, 1+b.tokens/(throttleSpan*c.quota*c.cycle.period))
	}
}

// admittedSince estimates how many requests all gateways have admitted since the last total.
func (g *Gateway) admittedSince(c *customer, lastRatio, unrestricted float64, t sampledTotals) float64 {
	b, period, sum := &c.pairs.shared, c.cycle.period, c.sparse.cycleTotal
	asked := sum - b.total
	from := b.total
	if t.cycle != b.cycle {
		// It is not known how the cycle before ended: it is assumed to have ended as this one begins.
		rest := min(period, max(0, g.now-b.observedAt-t.elapsed))
		asked = sum + sum/max(t.elapsed, period/4)*rest
		from = 0
	}
	ratio := c.sparse.admitRatio
	if lastRatio == 1 && ratio < 1 {
		full := min(asked, max(0, unrestricted-from))
		return full + (asked-full)*ratio
	}
	return asked * (lastRatio + ratio) / 2
}

// estimatedSharedTokens estimates the bucket from this cycle and the one before alone, where the last total
// is too old to tell.
func (g *Gateway) estimatedSharedTokens(c *customer, unrestricted float64, t sampledTotals) float64 {
	period, sum, burst := c.cycle.period, c.sparse.cycleTotal, c.plan.Burst
	before := min(c.cycle.totalRate*(period+t.elapsed)-sum, burst+c.quota*period)
	full := min(sum, unrestricted)
	return burst + c.quota*(period+t.elapsed) - before - full - (sum-full)*c.sparse.admitRatio
}
