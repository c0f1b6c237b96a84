package decision

import "math"

// QuotaGrant is the part of a customer's quota that is granted to this gateway. It overrides the slice that
// the gateway computes.
//
// Ingresses that know each other divide the quotas of their customers among themselves while the counter is
// not reliable (internal/standalone/fleet/quotashare). Gateways do not communicate in the simulator, so
// this file is not part of its policy.
type QuotaGrant struct {
	Customer string
	Rate     float64 // units per second; if Scaled: a factor on the slice that the gateway computes
	Lent     float64 // if Scaled: units per second of that slice that are lent to other gateways
	Reserved float64 // units per second after the grant has expired; if Scaled, also the minimum before
	Scaled   bool
}

// grant is a quota grant in force.
type grant struct {
	QuotaGrant
	expiresAt          Seconds
	appliedSlice       float64 // slice that the grant set, in units per second
	ownSlice           float64 // slice that the gateway computed, in units per second
	limitTransferredAt Seconds // time of the last transfer of rate limit tokens
}

// rateAt returns the units per second that the grant allows at the given time.
func (gr *grant) rateAt(now Seconds) float64 {
	switch {
	case now > gr.expiresAt:
		return gr.Reserved
	case gr.Scaled:
		return max(min(gr.Reserved, gr.ownSlice), gr.ownSlice*gr.Rate-gr.Lent)
	}
	return gr.Rate
}

// SetGrants replaces all quota grants of this gateway. After the given time, only the Reserved rate of each
// grant is in force. A grant for a customer that is not known or has no quota in units per second is ignored.
func (g *Gateway) SetGrants(now Seconds, grants []QuotaGrant, until Seconds) {
	g.now = now
	previous := g.grants
	g.grants = make(map[string]*grant, len(grants))
	for _, e := range grants {
		c := g.customers[e.Customer]
		if c == nil || c.quota <= 0 || c.plan.Rate <= 0 {
			continue
		}
		slice := c.bucket.slice
		h := &grant{
			QuotaGrant: e, expiresAt: until, ownSlice: slice, appliedSlice: slice, limitTransferredAt: now,
		}
		if old := previous[e.Customer]; old != nil {
			h.ownSlice = old.ownSlice
			h.appliedSlice = old.appliedSlice
			h.limitTransferredAt = old.limitTransferredAt
		}
		g.grants[e.Customer] = h
	}
	for name, old := range previous {
		if c := g.customers[name]; c != nil && g.grants[name] == nil {
			g.revokeGrant(c, old)
		}
	}
	g.ReapplyGrants(now)
}

// revokeGrant ends a grant that is no longer listed. It restores the slice that a scaled grant replaced,
// unless the gateway has computed a new slice since.
func (g *Gateway) revokeGrant(c *customer, h *grant) {
	g.refill(c)
	if h.Scaled && c.bucket.slice == h.appliedSlice {
		c.bucket.slice = h.ownSlice
	}
	if c.sparse.active {
		c.cycle.totalAt = math.Inf(-1) // the time was set by the grant and not by a total of all gateways
		c.sparse.demandShare = 1 / c.gateways
	}
}

// ReapplyGrants applies the grants again after an event that may have changed slices.
func (g *Gateway) ReapplyGrants(now Seconds) {
	if len(g.grants) == 0 {
		return
	}
	g.now = now
	for _, c := range g.customerList {
		if h := g.grants[c.key]; h != nil {
			g.applyGrant(c, h)
		}
	}
}

// applyGrant sets a customer's slice to the rate of its grant. For a sparse customer it sets this gateway's
// share of the demand instead, which determines the refill rate of the bucket, unless the counter's totals
// decide each request.
func (g *Gateway) applyGrant(c *customer, h *grant) {
	if c.bucket.slice != h.appliedSlice {
		h.ownSlice = c.bucket.slice // the gateway has computed a new slice since
	}
	rate := h.rateAt(g.now)
	part := min(1, rate/c.quota)
	switch {
	case c.sparse.active && h.Scaled && g.now <= h.expiresAt:
		return // the counter's totals decide each request
	case c.sparse.active:
		g.refill(c)
		c.sparse.demandShare = part
		c.sparse.admitRatio = 1
		c.cycle.totalAt = g.now
	case c.bucket.slice != rate:
		g.refill(c)
		c.bucket.slice = rate
		capacity := max(g.minCapacity(c), c.plan.Burst*part)
		c.bucket.tokens = min(c.bucket.tokens, g.capacityShare(capacity))
	}
	h.appliedSlice = c.bucket.slice
	g.transferRateLimit(c, h, rate)
}

// minCapacity returns the smallest capacity of a bucket, however small its slice is: one request, or without
// a grant the burst if that is smaller. Over all gateways that is at most two bursts, because otherwise the
// customer is sparse. With pair counters, only a bucket with a grant has this minimum, because partitioned
// gateways would otherwise admit more than QuotaTolerance.
func (g *Gateway) minCapacity(c *customer) float64 {
	switch {
	case g.grants[c.key] != nil:
		return g.settings.MaxUnits
	case g.settings.PairCounters:
		return 0
	}
	return min(c.plan.Burst, g.settings.MaxUnits)
}

// transferRateLimit adjusts this gateway's part of a hard rate limit to its part of the quota, unless the
// grant is scaled. A gateway with more than the even share gains the rate limit tokens that another gateway
// loses.
func (g *Gateway) transferRateLimit(c *customer, h *grant, rate float64) {
	elapsed := max(0, g.now-h.limitTransferredAt)
	h.limitTransferredAt = g.now
	if c.plan.LimitRate <= 0 || h.Scaled {
		return
	}
	g.refillLimit(c)
	split := c.plan.limitSplit(c.gateways, g.settings.HasCounter)
	even := c.quota / c.gateways
	capacity := split.OwnTokens(math.Inf(1), 0, 1) // of the even share
	excess := rate/even - 1
	transferred := excess * elapsed * split.Rate * capacity / (split.Burst + split.Slack)
	c.limit.tokens = min(capacity*rate/even, max(0, c.limit.tokens+transferred))
}
