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
	takenFor    = 60.0 // s: older knowledge tells nothing of the present
	forgetTimes = 10.0 // s in which two thirds of what is known of a backend's bound and times is forgotten
)

// SetShare sets how much of the gateway this process is, from 0 to 1: its stores, its part of ceilings and its bounds at
// backends fill and hold so much less. Junior: another process reports this gateway to the counter as one that asks.
func (g *Gateway) SetShare(part float64, junior bool) {
	g.s.OtherShare, g.s.Secondary = 1-max(0, min(1, part)), junior
}

func (g *Gateway) part() float64 { return 1 - g.s.OtherShare }

// room is how much of a store this process may hold: its part, but a whole request.
func (g *Gateway) room(most float64) float64 {
	return max(min(most, g.s.MaxUnits), g.part()*most)
}

// reporter is what a report adds to the number of gateways that ask.
func (g *Gateway) reporter(field float64) float64 {
	if g.s.Secondary {
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
	k := Knowledge{At: now, TypicalTime: g.lat, SendRate: g.sentRate, CounterCallProbability: g.chance}
	for _, c := range g.known {
		g.topUp(c)
		if c.quota > 0 {
			g.fill(c)
		}
		half := max(0, c.level) / 2
		c.level, c.ceiling = c.level-half, c.ceiling/2
		totalAt := c.totalAt
		if math.IsInf(totalAt, -1) {
			totalAt = 0 // files have no infinity
		}
		k.Customers = append(k.Customers, CustomerKnowledge{Terms: Terms{Customer: c.key, Plan: *c.plan, Tag: c.tag}, Gateways: int(c.doors), Slice: c.slice,
			Tokens: half, LimitTokens: c.ceiling, TokensAt: c.filled, LimitTokensAt: c.ceilFill, LocalDemand: c.r, TotalDemand: c.R, Reporters: c.k, TotalAt: totalAt,
			ValidFor: c.validFor, AdmitRatio: c.ratio, DemandShare: c.share})
	}
	for b := range g.all() {
		if b.listed {
			k.Backends = append(k.Backends, BackendKnowledge{ID: b.ID, Limit: b.limit, Errors: b.errs, TypicalTime: b.lat, KindTypicalTime: *b.usual,
				ConsecutiveFailures: b.bad, Healthy: b.good, EjectedUntil: b.downTill, OverloadedUntil: b.fullTill})
		}
	}
	return k
}

// Restore takes up what another process of this gateway has learned, as if the time since had passed here: stores fill,
// totals lapse, bounds and times go back to what a new process begins with. It is meant for a process that has heard the
// list and decided nothing yet; what is known of customers whose quota or ceiling is impossible is left out.
func (g *Gateway) Restore(now Seconds, k Knowledge) (customers, backends int) {
	age := now - k.At
	if !(age > -1 && age < takenFor) {
		return 0, 0 // too old, or of a clock that has gone back
	}
	g.now = now
	weight := math.Exp(-max(0, age) / forgetTimes)
	mix := func(to *float64, from float64) {
		if from > 0 && !math.IsInf(from, 0) {
			*to += weight * (from - *to)
		}
	}
	mix(&g.lat, k.TypicalTime)
	mix(&g.chance, min(1, k.CounterCallProbability))
	g.sentRate, g.rated = weight*max(0, k.SendRate), g.chance
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
		c := g.customer(Request{Customer: e.Terms.Customer, Gateways: e.Gateways}, terms)
		c.slice, c.level, c.ceiling, c.filled, c.ceilFill = min(e.Slice, c.quota), e.Tokens, e.LimitTokens, min(e.TokensAt, now), min(e.LimitTokensAt, now)
		c.r, c.R, c.k, c.ratio, c.share = e.LocalDemand, e.TotalDemand, e.Reporters, e.AdmitRatio, min(1, max(0, e.DemandShare))
		if c.validFor = max(0, e.ValidFor); e.TotalAt > 0 {
			c.totalAt = min(e.TotalAt, now)
		}
		customers++
	}
	for _, e := range k.Backends {
		b := g.backends[e.ID]
		if b == nil || !b.listed || b.StartedAt > k.At || g.cold(b) < 1 {
			continue // another process by now: nothing is known of it
		}
		mix(&b.limit, min(limitMost, e.Limit))
		mix(&b.lat, e.TypicalTime)
		mix(b.usual, e.KindTypicalTime)
		b.errs, b.bad, b.good = weight*min(1, max(0, e.Errors)), min(max(0, e.ConsecutiveFailures), ejectAfter+2), e.Healthy
		b.downTill, b.fullTill = min(e.EjectedUntil, now+ejectMost), min(e.OverloadedUntil, now+ejectMost)
		backends++
	}
	for _, p := range g.pools {
		g.extent(p)
	}
	return customers, backends
}
