package decision

// This file bounds the requests of a sparse customer that a gateway admits while no counter owner replies,
// with pair counters. The gateways that reach the counter owner use the complete quota, so the requests that
// all partitioned gateways admit in addition must stay within QuotaTolerance, part of which is a fixed number
// of units.

const (
	// sparseGraceBase is the time without a reply of any counter owner, in seconds, for which a gateway
	// uses its share of the quota.
	sparseGraceBase     = 0.4
	sparseGraceRequests = 8.0 // units that the complete quota admits in the rest of the grace period
	sparseBurstShare    = 0.4 // share of the burst that the buckets of all partitioned gateways hold together
	// sparseSpareRequests is the number of requests that are added to these buckets together. With more than
	// eight gateways that is less than one to each.
	sparseSpareRequests = 8.0
	partitionedShare    = 0.1 // share of its even share that a partitioned gateway admits
)

// sparseGracePeriod returns the time for which a gateway without a reply uses its share of a sparse
// customer's quota: sparseGraceBase and the time of sparseGraceRequests, but at most reportExpiry.
func (g *Gateway) sparseGracePeriod(c *customer) Seconds {
	return min(reportExpiry, sparseGraceBase+sparseGraceRequests/g.quotaRate(c))
}

// sparseRefillRate returns the refill rate of a sparse customer's bucket, in units per second. The bucket
// decides while the counter owner does not reply. If counter owners of other customers reply, this
// customer's counter owner is changing: no gateway reaches it, so only the buckets admit requests. If none
// replies, the gateway is partitioned and falls back to partitionedShare.
func (g *Gateway) sparseRefillRate(c *customer) float64 {
	rate := g.quotaRate(c) * c.sparse.demandShare
	contact := g.lastOwnerContact(c)
	grace := g.sparseGracePeriod(c)
	if !g.settings.PairCounters || g.now-contact < grace {
		return rate
	}
	if c.bucket.refilledAt-contact < grace { // the first refill after the grace period
		// The gateways that reach the counter owner use the saved tokens too.
		c.bucket.tokens *= partitionedShare
	}
	return min(rate, partitionedShare*c.quota/c.gateways)
}

// limitWhenUnreachable reduces the tokens of a bucket if no counter owner has replied since a request
// arrived. The gateways that reach the counter owners admit a complete burst, so the buckets of all other
// gateways together may hold only a part of another burst and a few requests. Until the grace period ends,
// the bucket is refilled with the gateway's share.
func (g *Gateway) limitWhenUnreachable(c *customer, r *request) {
	contact := g.lastOwnerContact(c)
	if !g.settings.PairCounters || !c.sparse.active || g.ownerReachedAt >= r.arrivedAt {
		return
	}
	if c.pairs.unreachableAt > contact {
		return // the tokens were already reduced
	}
	c.pairs.unreachableAt = g.now
	burst := sparseBurstShare * c.plan.Burst * c.sparse.demandShare
	spare := sparseSpareRequests * g.settings.MaxUnits / c.gateways
	silence := min(g.now-contact, g.sparseGracePeriod(c))
	refilled := g.processShare() * g.quotaRate(c) * c.sparse.demandShare * silence
	c.bucket.tokens = min(c.bucket.tokens, burst+spare+refilled)
}

// admitFraction decides a request of a sparse customer if the bucket holds only a fraction of the tokens that
// the request needs and no counter owner has replied since it arrived. The request is admitted with the
// probability of that fraction, and the bucket is emptied, so that many gateways together admit as much as
// their buckets hold. In any other case the request does not conform.
func (g *Gateway) admitFraction(c *customer, r *request, fraction float64) bool {
	if !g.settings.PairCounters || !c.sparse.active || g.ownerReachedAt >= r.arrivedAt {
		return false
	}
	c.bucket.tokens = 0
	return g.rng.Float64() < fraction
}
