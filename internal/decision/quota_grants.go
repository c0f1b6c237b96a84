package decision

import (
	"math"
	"slices"
)

// Ingresses that know of each other may share the quotas of their customers among themselves while the counter is not to be trusted
// (internal/standalone/fleet/quotashare). What this gateway has of each is held here, and goes before what the gateway reckons itself. It is not
// part of the simulator's policy: there, gateways do not talk.

// QuotaGrant is what this gateway has of a customer's quota, in units a second.
type QuotaGrant struct {
	Customer   string
	Rate       float64 // of Scaled: the part of what the gateway reckons itself
	Less, Keep float64 // of Scaled: what is lent of that; what it has in any case
	Scaled     bool
}

// right is one that is held.
type grant struct {
	QuotaGrant
	expiresAt              Seconds
	appliedSlice, ownSlice float64 // the slice as it was set; as the gateway itself had it
	limitTransferredAt     Seconds // when the ceiling was last brought up to now
}

// SetGrants sets what this gateway has of quotas, in place of all before, until a time: behind it, it has of each what it keeps.
func (g *Gateway) SetGrants(now Seconds, all []QuotaGrant, until Seconds) {
	g.now = now
	was := g.grants
	g.grants = make(map[string]*grant, len(all))
	for _, e := range all {
		if c := g.customers[e.Customer]; c != nil && c.quota > 0 && c.plan.Rate > 0 {
			h := &grant{QuotaGrant: e, ownSlice: c.bucket.slice, appliedSlice: c.bucket.slice, limitTransferredAt: now}
			if w := was[e.Customer]; w != nil {
				h.ownSlice, h.appliedSlice, h.limitTransferredAt = w.ownSlice, w.appliedSlice, w.limitTransferredAt
			}
			h.expiresAt = until
			g.grants[e.Customer] = h
		}
	}
	for name, w := range was {
		if c := g.customers[name]; c != nil && g.grants[name] == nil {
			g.refill(c)
			if w.Scaled && c.bucket.slice == w.appliedSlice {
				c.bucket.slice = w.ownSlice
			}
			if c.sparse.active {
				c.cycle.totalAt, c.sparse.demandShare = math.Inf(-1), 1/c.gateways // what was held tells nothing of the others
			}
		}
	}
	g.ReapplyGrants(now)
}

// ReapplyGrants has what is held hold again, behind an event that may have changed it.
func (g *Gateway) ReapplyGrants(now Seconds) {
	if len(g.grants) == 0 {
		return
	}
	g.now = now
	for _, c := range g.customerList {
		h := g.grants[c.key]
		if h == nil {
			continue
		}
		if c.bucket.slice != h.appliedSlice {
			h.ownSlice = c.bucket.slice
		}
		rate := h.Rate
		switch {
		case now > h.expiresAt:
			rate = h.Keep
		case h.Scaled:
			rate = max(min(h.Keep, h.ownSlice), h.ownSlice*h.Rate-h.Less)
		}
		if c.sparse.active {
			if h.Scaled && now <= h.expiresAt {
				continue // each request goes by the counter's totals
			}
			g.refill(c)
			c.sparse.demandShare, c.sparse.admitRatio, c.cycle.totalAt = min(1, rate/c.quota), 1, now
		} else if c.bucket.slice != rate {
			g.refill(c)
			c.bucket.slice = rate
			c.bucket.tokens = min(c.bucket.tokens, g.capacityShare(max(g.minCapacity(c), c.plan.Burst*min(1, rate/c.quota))))
		}
		h.appliedSlice = c.bucket.slice
		g.transferLimit(c, h, rate)
	}
}

// whole is what a store holds at the least, however little of the quota is here: one request. Over all gateways that is two bursts at most, or the
// customer is thin; where counters are pairs only a held customer's does, as those who are cut off would let in what is beyond the rule's slack.
func (g *Gateway) minCapacity(c *customer) float64 {
	switch {
	case g.grants[c.key] != nil:
		return g.settings.MaxUnits
	case g.settings.PairCounters:
		return 0
	}
	return min(c.plan.Burst, g.settings.MaxUnits)
}

// lendCeiling has the parts of a hard ceiling follow those of the quota: what a gateway has beyond the even part another has less.
func (g *Gateway) transferLimit(c *customer, h *grant, rate float64) {
	dt := max(0, g.now-h.limitTransferredAt)
	h.limitTransferredAt = g.now
	if c.plan.LimitRate <= 0 || h.Scaled {
		return
	}
	g.refillLimit(c)
	s := c.plan.limitSplit(c.gateways, g.settings.HasCounter)
	even, own := c.quota/c.gateways, s.OwnTokens(math.Inf(1), 0, 1) // all that its even part can hold
	more := rate/even - 1
	c.limit.tokens = min(own*rate/even, max(0, c.limit.tokens+more*dt*s.Rate*own/(s.Burst+s.Slack)))
}

// UnhealthyServers names the servers that this gateway itself finds bad: it rests them after failures, or a good part of their answers lately were.
func (g *Gateway) UnhealthyServers(now Seconds) (all []string) {
	for b := range g.allBackends() {
		if b.listed && b.Serving && (b.ejectedUntil > now || b.errorRate > suspectErrorRate) {
			all = append(all, b.ID)
		}
	}
	slices.Sort(all)
	return all
}

// SetSuspects tells of servers that others find bad. One that has answered well here a moment ago is not touched; another has to prove
// itself, and costs more than those of which nothing is said. Nothing is done to a server that is not on the list.
func (g *Gateway) SetSuspects(now Seconds, servers []string) {
	for b := range g.allBackends() {
		if b.listed && slices.Contains(servers, b.ID) && !(b.healthy && b.failures == 0 && b.recentAnswers >= 1) {
			b.healthy, b.errorRate = false, max(b.errorRate, suspectErrorRate)
		}
	}
}

const suspectErrorRate = 0.3 // of the answers lately, by weight
