package decision

import (
	"maps"
	"math"
	"slices"
)

// Two processes may be one gateway for a while: a newer one starts beside an older one. SetShare sets how
// much of the gateway this process is; HandOver and Restore pass on what one has learned. In the simulator an
// instance is one process, so this file is no part of its policy.

const (
	maxKnowledgeAge = 60.0 // s: older knowledge is no evidence of the present
	// Seconds in which two thirds of what is known of backends' limits and latencies is forgotten.
	knowledgeDecay = 10.0
	clockTolerance = 1.0 // s by which the clocks of two processes may differ
)

// SetShare sets how much of the gateway this process is, from 0 to 1: its buckets, its part of rate limits
// and its limits at backends are so much smaller. Secondary: another process reports this gateway to the
// counter.
func (g *Gateway) SetShare(share float64, secondary bool) {
	g.settings.OtherShare = 1 - max(0, min(1, share))
	g.settings.Secondary = secondary
}

// processShare is how much of the gateway this process is, from 0 to 1.
func (g *Gateway) processShare() float64 { return 1 - g.settings.OtherShare }

// capacityShare is how much of a bucket's capacity this process may hold: its share, and one request at
// least.
func (g *Gateway) capacityShare(capacity float64) float64 {
	return max(min(capacity, g.settings.MaxUnits), g.processShare()*capacity)
}

// reporterCount is what a report adds to the reporters in a packed number.
func (g *Gateway) reporterCount(reporterUnit float64) float64 {
	if g.settings.Secondary {
		return 0
	}
	return reporterUnit
}

// Knowledge is what a gateway has learned, at a time on the clock that its processes share. It is stored as
// JSON by an ingress in service: the tags carry the names under which older versions stored it.
type Knowledge struct {
	At                     Seconds             `json:"At"`
	TypicalTime            Seconds             `json:"Usual"`  // of an answer, over all backends
	SendRate               float64             `json:"Rate"`   // attempts a second
	CounterCallProbability float64             `json:"Chance"` // of a call for a request of a sparse customer
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
	TokensAt      Seconds `json:"Filled"`   // when Tokens were computed
	LimitTokensAt Seconds `json:"CeilFill"` // when LimitTokens were computed
	LocalDemand   float64 `json:"Rate"`     // units a second asked at this gateway
	TotalDemand   float64 `json:"Total"`    // units a second asked at all gateways, by the last total
	Reporters     float64 `json:"Told"`     // gateways that the last total is from
	TotalAt       Seconds `json:"TotalAt"`
	ValidFor      Seconds `json:"ValidFor"`
	AdmitRatio    float64 `json:"Ratio"` // of a sparse customer
	DemandShare   float64 `json:"Part"`  // of a sparse customer
}

// BackendKnowledge is what is known of one backend.
type BackendKnowledge struct {
	ID                  string  `json:"ID"`
	Limit               float64 `json:"Limit"`
	Errors              float64 `json:"Errors"`
	TypicalTime         Seconds `json:"Time"`  // of an answer of this backend
	KindTypicalTime     Seconds `json:"Usual"` // of an answer of all backends of its kind
	ConsecutiveFailures int     `json:"Bad"`   // failures in a row
	Healthy             bool    `json:"Good"`
	EjectedUntil        Seconds `json:"DownTill"`
	OverloadedUntil     Seconds `json:"FullTill"`
}

// HandOver halves what the local buckets hold, and returns the other half with all that was learned. What a
// bucket is below zero, as requests turned out larger than guessed, stays here: the newer process begins with
// an empty bucket then, not with a full one.
func (g *Gateway) HandOver(now Seconds) Knowledge {
	g.now = now
	k := Knowledge{
		At:                     now,
		TypicalTime:            g.defaultPool.latency,
		SendRate:               g.defaultPool.sendRate,
		CounterCallProbability: g.counter.callProbability,
	}
	for _, c := range g.customerList {
		k.Customers = append(k.Customers, g.handOverCustomer(c))
	}
	for b := range g.allBackends() {
		if b.listed {
			k.Backends = append(k.Backends, b.knowledge())
		}
	}
	return k
}

func (g *Gateway) handOverCustomer(c *customer) CustomerKnowledge {
	g.refillLimit(c)
	if c.quota > 0 {
		g.refill(c)
	}
	half := max(0, c.bucket.tokens) / 2
	c.bucket.tokens -= half
	c.limit.tokens /= 2
	totalAt := c.cycle.totalAt
	if c.cycle.neverRead() {
		totalAt = 0 // JSON has no infinity
	}
	return CustomerKnowledge{
		Terms:         Terms{Customer: c.key, Plan: *c.plan, Tag: c.termsTag},
		Gateways:      int(c.gateways),
		Slice:         c.bucket.slice,
		Tokens:        half,
		LimitTokens:   c.limit.tokens,
		TokensAt:      c.bucket.refilledAt,
		LimitTokensAt: c.limit.refilledAt,
		LocalDemand:   c.cycle.localRate,
		TotalDemand:   c.cycle.totalRate,
		Reporters:     c.cycle.reporters,
		TotalAt:       totalAt,
		ValidFor:      c.cycle.validFor,
		AdmitRatio:    c.sparse.admitRatio,
		DemandShare:   c.sparse.demandShare,
	}
}

func (b *backend) knowledge() BackendKnowledge {
	return BackendKnowledge{
		ID:                  b.ID,
		Limit:               b.limit,
		Errors:              b.errorRate,
		TypicalTime:         b.latency,
		KindTypicalTime:     *b.kindLatency,
		ConsecutiveFailures: b.failures,
		Healthy:             b.healthy,
		EjectedUntil:        b.ejectedUntil,
		OverloadedUntil:     b.overloadedUntil,
	}
}

// Restore applies what another process of this gateway has learned, as if the time since had passed here:
// buckets refill, totals expire, limits and latencies decay to what a new process begins with. It is meant
// for a process that knows its backends and has decided nothing yet. It returns how many customers and
// backends it restored: knowledge of customers whose quota or rate limit is impossible is left out.
func (g *Gateway) Restore(now Seconds, k Knowledge) (customers, backends int) {
	age := now - k.At
	if !(age > -clockTolerance && age < maxKnowledgeAge) {
		return 0, 0 // too old, or the clock was set back
	}
	g.now = now
	weight := decayWeight(math.Exp(-max(0, age) / knowledgeDecay))
	weight.apply(&g.defaultPool.latency, k.TypicalTime)
	weight.apply(&g.counter.callProbability, min(1, k.CounterCallProbability))
	g.counter.probabilityAtReply = g.counter.callProbability
	g.defaultPool.sendRate = float64(weight) * max(0, k.SendRate)
	termsByTag := map[string]*Terms{}
	for _, name := range slices.Sorted(maps.Keys(g.plans)) {
		termsByTag[g.plans[name].Tag] = g.plans[name]
	}
	for _, e := range k.Customers {
		if g.restoreCustomer(e, termsByTag) {
			customers++
		}
	}
	for _, e := range k.Backends {
		if g.restoreBackend(e, k.At, weight) {
			backends++
		}
	}
	for _, p := range g.pools {
		g.updateSubset(p)
	}
	return customers, backends
}

// decayWeight is the weight of knowledge of a certain age, from 0 to 1.
type decayWeight float64

// apply moves a value towards a known one by the weight, unless that is impossible.
func (dw decayWeight) apply(value *float64, known float64) {
	if known > 0 && !math.IsInf(known, 0) {
		*value += float64(dw) * (known - *value)
	}
}

// valid reports whether what is known of a customer can be true at a time.
func (ck *CustomerKnowledge) valid(now Seconds) bool {
	if ck.Gateways < 1 || ck.Tokens < 0 || ck.LimitTokens < 0 || ck.Slice < 0 {
		return false
	}
	if ck.TokensAt > now+clockTolerance || ck.LimitTokensAt > now+clockTolerance {
		return false
	}
	return true
}

// restoreCustomer applies what is known of one customer. It reports whether it did.
func (g *Gateway) restoreCustomer(e CustomerKnowledge, termsByTag map[string]*Terms) bool {
	if !e.valid(g.now) || g.customers[e.Terms.Customer] != nil {
		return false
	}
	terms := termsByTag[e.Terms.Tag]
	if terms == nil {
		terms = &e.Terms // of the catalogue
	}
	c := g.customerFor(Request{Customer: e.Terms.Customer, Gateways: e.Gateways}, terms)
	c.bucket.slice = min(e.Slice, c.quota)
	c.bucket.tokens = e.Tokens
	c.bucket.refilledAt = min(e.TokensAt, g.now)
	c.limit.tokens = e.LimitTokens
	c.limit.refilledAt = min(e.LimitTokensAt, g.now)
	c.cycle.localRate = e.LocalDemand
	c.cycle.totalRate = e.TotalDemand
	c.cycle.reporters = e.Reporters
	c.cycle.validFor = max(0, e.ValidFor)
	if e.TotalAt > 0 {
		c.cycle.totalAt = min(e.TotalAt, g.now)
	}
	c.sparse.admitRatio = e.AdmitRatio
	c.sparse.demandShare = min(1, max(0, e.DemandShare))
	return true
}

// restoreBackend applies what was known of one backend at a time. It reports whether it did.
func (g *Gateway) restoreBackend(e BackendKnowledge, at Seconds, weight decayWeight) bool {
	b := g.backends[e.ID]
	if b == nil || !b.listed || b.StartedAt > at || g.warmFraction(b) < 1 {
		return false // another process by now: nothing is known of it
	}
	weight.apply(&b.limit, min(maxLimit, e.Limit))
	weight.apply(&b.latency, e.TypicalTime)
	weight.apply(b.kindLatency, e.KindTypicalTime)
	b.errorRate = float64(weight) * min(1, max(0, e.Errors))
	b.failures = min(max(0, e.ConsecutiveFailures), ejectAfterFailures+maxEjectionSteps)
	b.healthy = e.Healthy
	b.ejectedUntil = min(e.EjectedUntil, g.now+maxEjection)
	b.overloadedUntil = min(e.OverloadedUntil, g.now+maxEjection)
	return true
}
