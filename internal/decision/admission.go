package decision

import (
	"cmp"
	"math"
)

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	class, terms := cmp.Or(e.Kind, g.classes[e.Class]), cmp.Or(e.Terms, g.plans[e.Plan])
	if class == nil { // not in the settings: safe to refuse, never to repeat
		class = &Class{LatencyTarget: e.TimeLeft, Value: 1}
	}
	if terms == nil { // not in the settings: no quota is known
		terms = &Terms{Plan: Plan{ValueWeight: 1}, Tag: "x"}
	}
	c := g.customer(e, terms)
	r := &request{Request: e, class: class, pool: g.group(e.Group), c: c, arrived: g.now}
	r.dueAt = g.now + e.TimeLeft
	r.aimAt = g.now + class.LatencyTarget - g.age(e, class)
	g.requests[e.ID] = r
	g.open = append(g.open, r)
	c.demand += e.Units
	c.mix.Observe(class.Value, e.Units)
	c.fast = c.fast*math.Exp((c.fastAt-g.now)/fastSpan) + 1/fastSpan
	c.fastAt = g.now
	if c.thin && !g.evenPart(c) && g.s.HasCounter && g.now >= g.muted && e.TimeLeft > g.s.CounterTimeout+2*tickEvery {
		if p := g.callChance(c, r); g.rng.Float64() < p {
			g.ask(r, c.cycleAt(g.now), c.units(r)/p)
			return
		}
	}
	r.inside = g.inside(r)
	g.admit(r)
}

// age is how long ago the client first asked, told by the time a repeat has left: a part of what remains of
// the deadline. It guards against work in vain, in an overload a quarter of all served (trebic-later).
func (g *Gateway) age(e Request, class *Class) Seconds {
	g.patience[class.Name] = max(g.patience[class.Name], e.TimeLeft)
	if !e.ClientRetry {
		return 0
	}
	return max(0, class.Deadline*(1-(e.TimeLeft+tickEvery)/g.patience[class.Name]))
}

// admit sends a request on, or refuses it, once it is known whether it is inside.
func (g *Gateway) admit(r *request) {
	plan := r.c.plan
	r.value = r.class.Value * plan.ValueWeight
	if r.spare = !r.inside; g.now+r.pool.lat > r.aimAt {
		r.value, r.spare = r.value*r.class.LateValue, true
	}
	if !r.inside {
		if r.value *= plan.ExcessValue - plan.ExcessCost; r.value <= 0 {
			g.refuse(r)
			return
		}
	}
	if !g.common(r) {
		g.send(r)
	}
}

// inside tells, without asking, whether the quota has room, as far as this gateway may use it.
func (g *Gateway) inside(r *request) bool {
	c, worth := r.c, r.c.plan.ExcessCost/(1+r.c.plan.ExcessCost) // the chance of being inside that pays
	if limit := c.plan.MaxInFlight; limit > 0 {
		if c.open >= limit || g.evenPart(c) {
			return c.open < limit
		}
		if c.plan.Rate <= 0 && !c.thin {
			// Exception: limits of two or three do not divide. Sent on is what is inside by chance, with the
			// others' attempts by the totals or, before these tell of a burst, the own rate.
			rest := min(c.r, quietShare*c.quota/c.doors) * (c.doors - 1)
			if g.believed(c) {
				rest = c.R - c.r + (c.doors-c.k)*quietShare*c.quota/c.doors
			}
			return chanceUnder(limit-c.open, max(rest, c.fast*(c.doors-1))*g.lat) > worth
		}
	}
	if c.quota <= 0 {
		return true
	}
	if c.thin && (g.believed(c) || g.silent > 0 && c.ratio > 0) && g.rng.Float64() >= c.ratio {
		return false // a silent counter freezes the ratio
	}
	if c.thin && c.plan.ExcessCost > 0 && !g.believed(c) && g.odds.Conforming(r.ClientRetry) < worth {
		return false
	}
	g.fill(c)
	g.restrain(c, r)
	// A part of the store is for dearer requests: of one that is full it costs nothing.
	if p := (c.level - keptForDear*c.most*c.mix.ShareAbove(r.class.Value)) / c.units(r); p < 1 {
		return g.luck(c, r, p)
	}
	c.level -= c.units(r)
	return true
}

// refuse answers a request that may not have run.
func (g *Gateway) refuse(r *request) {
	wait := g.s.MaxRetryAfter
	if c := r.c; c.plan.Rate > 0 && !r.inside && c.slice > 0 {
		wait = min(wait, max(0, r.Units-c.level)/c.slice)
	}
	if !g.s.MayRetryAfter {
		wait = 0
	}
	g.do(Reject{r.ID, wait, !r.inside})
	g.end(r)
}

func (g *Gateway) end(r *request) {
	r.answered = true
	if r.out == 0 {
		delete(g.requests, r.ID)
	}
}
