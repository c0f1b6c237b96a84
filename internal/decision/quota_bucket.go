package decision

// reservedForValuable is the share of a bucket's capacity that is reserved for requests more valuable than
// the current one. It is scaled by their share of the customer's demand.
const reservedForValuable = 0.2

// tokenBucket holds this gateway's slice of a customer's quota and the tokens saved up from it.
type tokenBucket struct {
	slice      float64 // units per second that this gateway may admit
	tokens     float64 // units; below 0 if requests were larger than estimated
	capacity   float64 // units
	refilledAt Seconds
}

// refill adds the tokens since the last refill at a rate, in units per second, and limits them to a capacity.
func (tb *tokenBucket) refill(now Seconds, rate, capacity float64) {
	tb.capacity = capacity
	tb.tokens = min(tb.capacity, tb.tokens+rate*(now-tb.refilledAt))
	tb.refilledAt = now
}

// refill updates the local bucket to the present time. Its capacity is the slice's share of the burst, and at
// least minCapacity. For a sparse customer it is the burst times this gateway's share of the demand, or the
// even share as long as the demand is unknown, and at least one request.
func (g *Gateway) refill(c *customer) {
	rate := g.effectiveSlice(c)
	capacity := max(g.minCapacity(c), c.plan.Burst*min(1, g.sliceOfBurst(c)/c.quota))
	if c.sparse.active {
		rate = g.sparseRefillRate(c)
		capacity = max(g.settings.MaxUnits, c.plan.Burst*c.sparse.demandShare)
	}
	c.bucket.refill(g.now, g.processShare()*rate, g.capacityShare(capacity))
}

// takeTokens takes the tokens of a request from the local bucket, if it holds enough in addition to the
// reserve for more valuable requests. A full bucket still admits each request that is not larger than its
// capacity minus the reserve.
func (g *Gateway) takeTokens(r *request) bool {
	c := r.customer
	g.refill(c)
	g.limitWhenUnreachable(c, r)
	reserved := reservedForValuable * c.bucket.capacity * c.values.ShareAbove(r.class.Value)
	fraction := (c.bucket.tokens - reserved) / c.unitsOf(r)
	if fraction < 1 {
		return g.admitFraction(c, r, fraction)
	}
	c.bucket.tokens -= c.unitsOf(r)
	return true
}
