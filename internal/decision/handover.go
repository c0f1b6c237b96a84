package decision

import (
	"maps"
	"math"
	"slices"
)

// Two processes may be one gateway for a while: a newer one starts beside an older one. Part says how much of the gateway
// this process is, Share and Take hand over what one has learned. None of it is part of the simulator's policy: there, an
// instance is one process.

const (
	maxKnowledgeAge = 60.0 // s: older knowledge tells nothing of the present
	knowledgeDecay  = 10.0 // s in which two thirds of what is known of a backend's bound and times is forgotten
)

// SetShare sets how much of the gateway this process is, from 0 to 1: its stores, its part of ceilings and its bounds at
// backends fill and hold so much less. Junior: another process reports this gateway to the counter as one that asks.
func (g *Gateway) SetShare(part float64, junior bool) {
	g.settings.OtherShare, g.settings.Secondary = 1-max(0, min(1, part)), junior
}

func (g *Gateway) processShare() float64 { return 1 - g.settings.OtherShare }

// room is how much of a store this process may hold: its part, but a whole request.
func (g *Gateway) capacityShare(most float64) float64 {
	return max(min(most, g.settings.MaxUnits), g.processShare()*most)
}

// reporter is what a report adds to the number of gateways that ask.
func (g *Gateway) reporterCount(field float64) float64 {
	if g.settings.Secondary {
		return 0
	}
	return field
}

// Knowledge is what a gateway has learned, as of a time on the clock that its processes share.
type Knowledge struct {
	At                     Seconds             `json:"At"`
	TypicalTime            Seconds             `json:"Usual"`  // time of an answer, over the fleet
	SendRate               float64             `json:"Rate"`   // sends a second
	CounterCallProbability float64             `json:"Chance"` // of a call to the counter
	Customers              []CustomerKnowledge `json:"Customers"`
	Backends               []BackendKnowledge  `json:"Backends"`
}

// CustomerKnowledge is what is known of one customer's quota.
type CustomerKnowledge struct {
	Terms         Terms   `json:"Terms"`
	Gateways      int     `json:"Doors"`
	Slice         float64 `json:"Slice"`    // units a second
	Tokens        float64 `json:"Level"`    // units
	LimitTokens   float64 `json:"Ceiling"`  // units
	TokensAt      Seconds `json:"Filled"`   // when these were reckoned
	LimitTokensAt Seconds `json:"CeilFill"` // when these were reckoned
	LocalDemand   float64 `json:"Rate"`     // asked here, and the last totals: asked at all gateways, by how many
	TotalDemand   float64 `json:"Total"`    // asked here, and the last totals: asked at all gateways, by how many
	Reporters     float64 `json:"Told"`     // asked here, and the last totals: asked at all gateways, by how many
	TotalAt       Seconds `json:"TotalAt"`
	ValidFor      Seconds `json:"ValidFor"`
	AdmitRatio    float64 `json:"Ratio"` // of a thin customer
	DemandShare   float64 `json:"Part"`  // of a thin customer
}

// BackendKnowledge is what is known of one backend.
type BackendKnowledge struct {
	ID                  string  `json:"ID"`
	Limit               float64 `json:"Limit"`
	Errors              float64 `json:"Errors"`
	TypicalTime         Seconds `json:"Time"`  // of an answer: its own, and that of its kind
	KindTypicalTime     Seconds `json:"Usual"` // of an answer: its own, and that of its kind
	ConsecutiveFailures int     `json:"Bad"`   // failures in a row
	Healthy             bool    `json:"Good"`
	EjectedUntil        Seconds `json:"DownTill"`
	OverloadedUntil     Seconds `json:"FullTill"`
}

// HandOver halves what the local stores hold, and returns the other half with all that has been learned. What a store is below nothing, for requests turned out
// larger than guessed, stays here: the newer process begins with none of it, not with a full store.
func (g *Gateway) HandOver(now Seconds) Knowledge {
	g.now = now
	k := Knowledge{At: now, TypicalTime: g.defaultPool.latency, SendRate: g.defaultPool.sendRate, CounterCallProbability: g.counter.callProbability}
	for _, c := range g.customerList {
		g.refillLimit(c)
		if c.quota > 0 {
			g.refill(c)
		}
		half := max(0, c.bucket.tokens) / 2
		c.bucket.tokens, c.limit.tokens = c.bucket.tokens-half, c.limit.tokens/2
		totalAt := c.cycle.totalAt
		if math.IsInf(totalAt, -1) {
			totalAt = 0 // files have no infinity
		}
		k.Customers = append(k.Customers, CustomerKnowledge{Terms: Terms{Customer: c.key, Plan: *c.plan, Tag: c.termsTag}, Gateways: int(c.gateways), Slice: c.bucket.slice,
			Tokens: half, LimitTokens: c.limit.tokens, TokensAt: c.bucket.refilledAt, LimitTokensAt: c.limit.refilledAt, LocalDemand: c.cycle.localRate, TotalDemand: c.cycle.totalRate, Reporters: c.cycle.reporters, TotalAt: totalAt,
			ValidFor: c.cycle.validFor, AdmitRatio: c.sparse.admitRatio, DemandShare: c.sparse.demandShare})
	}
	for b := range g.allBackends() {
		if b.listed {
			k.Backends = append(k.Backends, BackendKnowledge{ID: b.ID, Limit: b.limit, Errors: b.errorRate, TypicalTime: b.latency, KindTypicalTime: *b.kindLatency,
				ConsecutiveFailures: b.failures, Healthy: b.healthy, EjectedUntil: b.ejectedUntil, OverloadedUntil: b.overloadedUntil})
		}
	}
	return k
}

// Restore takes up what another process of this gateway has learned, as if the time since had passed here: stores fill,
// totals lapse, bounds and times go back to what a new process begins with. It is meant for a process that has heard the
// list and decided nothing yet; what is known of customers whose quota or ceiling is impossible is left out.
func (g *Gateway) Restore(now Seconds, k Knowledge) (customers, backends int) {
	age := now - k.At
	if !(age > -1 && age < maxKnowledgeAge) {
		return 0, 0 // too old, or of a clock that has gone back
	}
	g.now = now
	weight := math.Exp(-max(0, age) / knowledgeDecay)
	mix := func(to *float64, from float64) {
		if from > 0 && !math.IsInf(from, 0) {
			*to += weight * (from - *to)
		}
	}
	mix(&g.defaultPool.latency, k.TypicalTime)
	mix(&g.counter.callProbability, min(1, k.CounterCallProbability))
	g.defaultPool.sendRate, g.counter.probabilityAtReply = weight*max(0, k.SendRate), g.counter.callProbability
	tags := map[string]*Terms{}
	for _, name := range slices.Sorted(maps.Keys(g.plans)) {
		tags[g.plans[name].Tag] = g.plans[name]
	}
	for _, e := range k.Customers {
		if e.Gateways < 1 || e.Tokens < 0 || e.LimitTokens < 0 || e.Slice < 0 || e.TokensAt > now+1 || e.LimitTokensAt > now+1 || g.customers[e.Terms.Customer] != nil {
			continue
		}
		terms := tags[e.Terms.Tag]
		if terms == nil {
			terms = &e.Terms // of the catalogue
		}
		c := g.customerFor(Request{Customer: e.Terms.Customer, Gateways: e.Gateways}, terms)
		c.bucket.slice, c.bucket.tokens, c.limit.tokens, c.bucket.refilledAt, c.limit.refilledAt = min(e.Slice, c.quota), e.Tokens, e.LimitTokens, min(e.TokensAt, now), min(e.LimitTokensAt, now)
		c.cycle.localRate, c.cycle.totalRate, c.cycle.reporters, c.sparse.admitRatio, c.sparse.demandShare = e.LocalDemand, e.TotalDemand, e.Reporters, e.AdmitRatio, min(1, max(0, e.DemandShare))
		if c.cycle.validFor = max(0, e.ValidFor); e.TotalAt > 0 {
			c.cycle.totalAt = min(e.TotalAt, now)
		}
		customers++
	}
	for _, e := range k.Backends {
		b := g.backends[e.ID]
		if b == nil || !b.listed || b.StartedAt > k.At || g.warmFraction(b) < 1 {
			continue // another process by now: nothing is known of it
		}
		mix(&b.limit, min(maxLimit, e.Limit))
		mix(&b.latency, e.TypicalTime)
		mix(b.kindLatency, e.KindTypicalTime)
		b.errorRate, b.failures, b.healthy = weight*min(1, max(0, e.Errors)), min(max(0, e.ConsecutiveFailures), ejectAfterFailures+2), e.Healthy
		b.ejectedUntil, b.overloadedUntil = min(e.EjectedUntil, now+maxEjection), min(e.OverloadedUntil, now+maxEjection)
		backends++
	}
	for _, p := range g.pools {
		g.updateSubset(p)
	}
	return customers, backends
}
