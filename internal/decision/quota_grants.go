package decision

import "math"

// QuotaGrant is what this gateway has of a customer's quota, in units a second. It goes before the slice that
// the gateway computes itself.
//
// Ingresses that know of each other divide the quotas of their customers among themselves while the counter
// is not reliable (internal/standalone/fleet/quotashare). In the simulator gateways do not communicate, so
// this file is no part of its policy.
type QuotaGrant struct {
	Customer string
	Rate     float64 // units a second; of Scaled: the part of what the gateway computes itself
	Less     float64 // of Scaled: units a second of that which are lent to others
	Keep     float64 // units a second that it has in any case
	Scaled   bool
}

// grant is a quota grant in force.
type grant struct {
	QuotaGrant
	expiresAt          Seconds
	appliedSlice       float64 // the slice as the grant set it
	ownSlice           float64 // the slice as the gateway computed it
	limitTransferredAt Seconds // when the rate limit was last brought up to now
}

// rateAt is what the grant allows at a time, in units a second.
func (gr *grant) rateAt(now Seconds) float64 {
	switch {
	case now > gr.expiresAt:
		return gr.Keep
	case gr.Scaled:
		return max(min(gr.Keep, gr.ownSlice), gr.ownSlice*gr.Rate-gr.Less)
	}
	return gr.Rate
}

// SetGrants sets what this gateway has of quotas, in place of all grants before. After the given time it has
// of each what it keeps.
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

// revokeGrant has a customer's slice be what the gateway computes itself.
func (g *Gateway) revokeGrant(c *customer, h *grant) {
	g.refill(c)
	if h.Scaled && c.bucket.slice == h.appliedSlice {
		c.bucket.slice = h.ownSlice
	}
	if c.sparse.active {
		c.cycle.totalAt = math.Inf(-1) // the grant is no evidence of the other gateways
		c.sparse.demandShare = 1 / c.gateways
	}
}

// ReapplyGrants puts the grants into force again, after an event that may have changed slices.
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

func (g *Gateway) applyGrant(c *customer, h *grant) {
	if c.bucket.slice != h.appliedSlice {
		h.ownSlice = c.bucket.slice
	}
	rate := h.rateAt(g.now)
	part := min(1, rate/c.quota)
	switch {
	case c.sparse.active && h.Scaled && g.now <= h.expiresAt:
		return // each request is decided by the counter's totals
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

// minCapacity is what a bucket holds at least, however little of the quota is here: one request. Over all
// gateways that is two bursts at most, or the customer is sparse. Where counters are pairs only a bucket with
// a grant has it, as gateways that are partitioned would admit more than the tolerance of the quota's rule.
func (g *Gateway) minCapacity(c *customer) float64 {
	switch {
	case g.grants[c.key] != nil:
		return g.settings.MaxUnits
	case g.settings.PairCounters:
		return 0
	}
	return min(c.plan.Burst, g.settings.MaxUnits)
}

// transferRateLimit has the parts of a hard rate limit follow those of the quota: what a gateway has beyond
// the even part, another has less.
func (g *Gateway) transferRateLimit(c *customer, h *grant, rate float64) {
	elapsed := max(0, g.now-h.limitTransferredAt)
	h.limitTransferredAt = g.now
	if c.plan.LimitRate <= 0 || h.Scaled {
		return
	}
	g.refillLimit(c)
	split := c.plan.limitSplit(c.gateways, g.settings.HasCounter)
	even := c.quota / c.gateways
	capacity := split.OwnTokens(math.Inf(1), 0, 1) // of the even part
	excess := rate/even - 1
	transferred := excess * elapsed * split.Rate * capacity / (split.Burst + split.Slack)
	c.limit.tokens = min(capacity*rate/even, max(0, c.limit.tokens+transferred))
}
