package decision

// What a gateway admits for a sparse customer, where counters are pairs, while no counter owner replies.
// The gateways that reach the counter owner share the complete quota, so what all partitioned gateways
// admit beside them must stay within the tolerance of the quota's rule, a part of which is a number of
// requests.

const (
	// Seconds without a reply of any counter owner for which a gateway goes by its share of the quota.
	sparseGraceBase     = 0.4
	sparseGraceRequests = 8.0 // requests that the complete quota admits in the rest of the grace period
	sparseBurstShare    = 0.4 // of the burst: buckets of all partitioned gateways together
	sparseSpareRequests = 8.0 // requests beyond it in these buckets, where each holds less than one
	partitionedShare    = 0.1 // of its even part, for a gateway that is partitioned
)

// sparseGracePeriod is how long a gateway without a reply goes by its share of a sparse customer's quota.
func (g *Gateway) sparseGracePeriod(c *customer) Seconds {
	return min(reportExpiry, sparseGraceBase+sparseGraceRequests/g.quotaRate(c))
}

// sparseRefillRate is what comes into the bucket of a sparse customer, from which it is decided while the
// counter owner does not reply, in units a second. Where counter owners of other customers reply, this one's
// counter owner is changing: nobody reaches it, and the buckets are all there is. Where none replies, the
// gateway is partitioned and falls back.
func (g *Gateway) sparseRefillRate(c *customer) float64 {
	rate := g.quotaRate(c) * c.sparse.demandShare
	contact := g.lastOwnerContact(c)
	grace := g.sparseGracePeriod(c)
	if !g.settings.PairCounters || g.now-contact < grace {
		return rate
	}
	if c.bucket.refilledAt-contact < grace {
		c.bucket.tokens *= partitionedShare // what was saved up belongs to the others too
	}
	return min(rate, partitionedShare*c.quota/c.gateways)
}

// limitWhenUnreachable cuts a bucket to a part where no counter owner has replied since a request arrived:
// those who reach the counter owners admit a burst, so the buckets of all other gateways stand for a part of
// one more and a few requests. What comes in after that is the gateway's share, until the grace period ends.
func (g *Gateway) limitWhenUnreachable(c *customer, r *request) {
	contact := g.lastOwnerContact(c)
	if !g.settings.PairCounters || !c.sparse.active || g.ownerReachedAt >= r.arrivedAt {
		return
	}
	if c.pairs.unreachableAt > contact {
		return // it was cut when it began
	}
	c.pairs.unreachableAt = g.now
	burst := sparseBurstShare * c.plan.Burst * c.sparse.demandShare
	spare := sparseSpareRequests * g.settings.MaxUnits / c.gateways
	silence := min(g.now-contact, g.sparseGracePeriod(c))
	refilled := g.processShare() * g.quotaRate(c) * c.sparse.demandShare * silence
	c.bucket.tokens = min(c.bucket.tokens, burst+spare+refilled)
}

// admitFraction admits a request of a sparse customer for which the bucket holds only a fraction of the
// tokens, with that probability, where no counter owner has replied since it arrived. The bucket is empty
// then: over many gateways, just what they hold is admitted.
func (g *Gateway) admitFraction(c *customer, r *request, fraction float64) bool {
	if !g.settings.PairCounters || !c.sparse.active || g.ownerReachedAt >= r.arrivedAt {
		return false
	}
	c.bucket.tokens = 0
	return g.rng.Float64() < fraction
}
