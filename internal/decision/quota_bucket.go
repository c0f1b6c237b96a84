package decision

// reservedForValuable is the part of a bucket's capacity that is kept for requests more valuable than the one
// that is decided.
const reservedForValuable = 0.2

// tokenBucket holds this gateway's slice of a customer's quota and what is saved up of it.
type tokenBucket struct {
	slice      float64 // units a second that this gateway may grant
	tokens     float64 // units; below 0 where requests turned out larger than guessed
	capacity   float64 // units
	refilledAt Seconds
}

// refill adds what has come in at a rate, in units a second, since the last refill.
func (tb *tokenBucket) refill(now Seconds, rate, capacity float64) {
	tb.capacity = capacity
	tb.tokens = min(tb.capacity, tb.tokens+rate*(now-tb.refilledAt))
	tb.refilledAt = now
}

// refill brings the local bucket up to now. It holds the slice's share of the burst; that of a sparse
// customer its share of the demand, the even one while nothing is known of it, and one request at least.
func (g *Gateway) refill(c *customer) {
	rate := g.effectiveSlice(c)
	capacity := max(g.minCapacity(c), c.plan.Burst*min(1, g.sliceOfBurst(c)/c.quota))
	if c.sparse.active {
		rate = g.sparseRefillRate(c)
		capacity = max(g.settings.MaxUnits, c.plan.Burst*c.sparse.demandShare)
	}
	c.bucket.refill(g.now, g.processShare()*rate, g.capacityShare(capacity))
}

// takeTokens takes the tokens of a request from the local bucket, if it holds enough beside what is reserved
// for more valuable requests. Of a full bucket the reserve costs nothing.
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
