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
type right struct {
	QuotaGrant
	until     Seconds
	set, base float64 // the slice as it was set; as the gateway itself had it
	at        Seconds // when the ceiling was last brought up to now
}

// SetGrants sets what this gateway has of quotas, in place of all before, until a time: behind it, it has of each what it keeps.
func (g *Gateway) SetGrants(now Seconds, all []QuotaGrant, until Seconds) {
	g.now = now
	was := g.rights
	g.rights = make(map[string]*right, len(all))
	for _, e := range all {
		if c := g.customers[e.Customer]; c != nil && c.quota > 0 && c.plan.Rate > 0 {
			h := &right{QuotaGrant: e, base: c.slice, set: c.slice, at: now}
			if w := was[e.Customer]; w != nil {
				h.base, h.set, h.at = w.base, w.set, w.at
			}
			h.until = until
			g.rights[e.Customer] = h
		}
	}
	for name, w := range was {
		if c := g.customers[name]; c != nil && g.rights[name] == nil {
			g.fill(c)
			if w.Scaled && c.slice == w.set {
				c.slice = w.base
			}
			if c.thin {
				c.totalAt, c.share = math.Inf(-1), 1/c.doors // what was held tells nothing of the others
			}
		}
	}
	g.ReapplyGrants(now)
}

// ReapplyGrants has what is held hold again, behind an event that may have changed it.
func (g *Gateway) ReapplyGrants(now Seconds) {
	if len(g.rights) == 0 {
		return
	}
	g.now = now
	for _, c := range g.known {
		h := g.rights[c.key]
		if h == nil {
			continue
		}
		if c.slice != h.set {
			h.base = c.slice
		}
		rate := h.Rate
		switch {
		case now > h.until:
			rate = h.Keep
		case h.Scaled:
			rate = max(min(h.Keep, h.base), h.base*h.Rate-h.Less)
		}
		if c.thin {
			if h.Scaled && now <= h.until {
				continue // each request goes by the counter's totals
			}
			g.fill(c)
			c.share, c.ratio, c.totalAt = min(1, rate/c.quota), 1, now
		} else if c.slice != rate {
			g.fill(c)
			c.slice = rate
			c.level = min(c.level, g.room(max(g.whole(c), c.plan.Burst*min(1, rate/c.quota))))
		}
		h.set = c.slice
		g.lendCeiling(c, h, rate)
	}
}

// whole is what a store holds at the least, however little of the quota is here: one request. Over all gateways that is two bursts at most, or the
// customer is thin; where counters are pairs only a held customer's does, as those who are cut off would let in what is beyond the rule's slack.
func (g *Gateway) whole(c *customer) float64 {
	switch {
	case g.rights[c.key] != nil:
		return g.s.MaxUnits
	case g.s.PairCounters:
		return 0
	}
	return min(c.plan.Burst, g.s.MaxUnits)
}

// lendCeiling has the parts of a hard ceiling follow those of the quota: what a gateway has beyond the even part another has less.
func (g *Gateway) lendCeiling(c *customer, h *right, rate float64) {
	dt := max(0, g.now-h.at)
	h.at = g.now
	if c.plan.LimitRate <= 0 || h.Scaled {
		return
	}
	g.topUp(c)
	s := c.plan.split(c.doors, g.s.HasCounter)
	even, own := c.quota/c.doors, s.Own(math.Inf(1), 0, 1) // all that its even part can hold
	more := rate/even - 1
	c.ceiling = min(own*rate/even, max(0, c.ceiling+more*dt*s.Rate*own/(s.Depth+s.Slack)))
}

// UnhealthyServers names the servers that this gateway itself finds bad: it rests them after failures, or a good part of their answers lately were.
func (g *Gateway) UnhealthyServers(now Seconds) (all []string) {
	for b := range g.all() {
		if b.listed && b.Serving && (b.downTill > now || b.errs > badShare) {
			all = append(all, b.ID)
		}
	}
	slices.Sort(all)
	return all
}

// SetSuspects tells of servers that others find bad. One that has answered well here a moment ago is not touched; another has to prove
// itself, and costs more than those of which nothing is said. Nothing is done to a server that is not on the list.
func (g *Gateway) SetSuspects(now Seconds, servers []string) {
	for b := range g.all() {
		if b.listed && slices.Contains(servers, b.ID) && !(b.good && b.bad == 0 && b.seen >= 1) {
			b.good, b.errs = false, max(b.errs, badShare)
		}
	}
}

const badShare = 0.3 // of the answers lately, by weight
