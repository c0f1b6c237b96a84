package decision

import (
	"maps"
	"math"
	"slices"
)

// During an upgrade, a newer and an older process act as one gateway. SetShare sets the share of the
// gateway that this process is, and HandOver and Restore transfer the learned state from the older process
// to the newer one. An instance is always one process in the simulator, so this file is not part of its
// policy.

const (
	maxKnowledgeAge = 60.0 // s; older knowledge no longer describes the present
	// knowledgeDecay is the time constant, in seconds, by which learned limits and latencies of backends
	// decay. In this time they lose two thirds of their weight.
	knowledgeDecay = 10.0
	clockTolerance = 1.0 // s, largest difference between the clocks of two processes
)

// SetShare sets the share of the gateway that this process is, from 0 to 1. It scales the process's
// buckets, its part of rate limits and its concurrency limits at backends. Secondary means that the other
// process reports this gateway to the counter.
func (g *Gateway) SetShare(share float64, secondary bool) {
	g.settings.OtherShare = 1 - max(0, min(1, share))
	g.settings.Secondary = secondary
}

// processShare returns the share of the gateway that this process is, from 0 to 1.
func (g *Gateway) processShare() float64 { return 1 - g.settings.OtherShare }

// capacityShare returns this process's share of a bucket's capacity, which is at least one request.
func (g *Gateway) capacityShare(capacity float64) float64 {
	return max(min(capacity, g.settings.MaxUnits), g.processShare()*capacity)
}

// reporterCount returns the amount that a report adds to the number of reporters in a packed number. For the
// secondary process it is 0, because the other process reports the gateway.
func (g *Gateway) reporterCount(reporterUnit float64) float64 {
	if g.settings.Secondary {
		return 0
	}
	return reporterUnit
}

// Knowledge is the learned state of a gateway at a time on the clock that its processes share. An ingress in
// service stores it as JSON, so the tags keep the names that older versions used.
type Knowledge struct {
	At                     Seconds             `json:"At"`
	TypicalTime            Seconds             `json:"Usual"`  // typical latency of the default pool
	SendRate               float64             `json:"Rate"`   // attempts per second at the default pool
	CounterCallProbability float64             `json:"Chance"` // probability of a call for a sparse customer
	Customers              []CustomerKnowledge `json:"Customers"`
	Backends               []BackendKnowledge  `json:"Backends"`
}

// CustomerKnowledge is the learned state of a customer's quota.
type CustomerKnowledge struct {
	Terms         Terms   `json:"Terms"`
	Gateways      int     `json:"Doors"`
	Slice         float64 `json:"Slice"`    // units per second
	Tokens        float64 `json:"Level"`    // units
	LimitTokens   float64 `json:"Ceiling"`  // units
	TokensAt      Seconds `json:"Filled"`   // time at which Tokens were computed
	LimitTokensAt Seconds `json:"CeilFill"` // time at which LimitTokens were computed
	LocalDemand   float64 `json:"Rate"`     // units per second requested at this gateway
	TotalDemand   float64 `json:"Total"`    // units per second requested at all gateways, from the last total
	Reporters     float64 `json:"Told"`     // number of gateways that the last total is from
	TotalAt       Seconds `json:"TotalAt"`
	ValidFor      Seconds `json:"ValidFor"`
	AdmitRatio    float64 `json:"Ratio"` // admit ratio of a sparse customer
	DemandShare   float64 `json:"Part"`  // this gateway's share of a sparse customer's demand
}

// BackendKnowledge is the learned state of a backend.
type BackendKnowledge struct {
	ID                  string  `json:"ID"`
	Limit               float64 `json:"Limit"`
	Errors              float64 `json:"Errors"`
	TypicalTime         Seconds `json:"Time"`  // typical latency of this backend
	KindTypicalTime     Seconds `json:"Usual"` // typical latency of all backends of its kind
	ConsecutiveFailures int     `json:"Bad"`   // consecutive failures
	Healthy             bool    `json:"Good"`
	EjectedUntil        Seconds `json:"DownTill"`
	OverloadedUntil     Seconds `json:"FullTill"`
}

// HandOver halves the tokens of the local buckets, and returns the other half with the learned state. A
// bucket that is below zero, because requests were larger than estimated, keeps its debt here. The newer
// process then starts with an empty bucket, not with a full one.
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

// Restore applies the learned state of another process of this gateway, aged by the time since HandOver:
// buckets refill, totals expire, and limits and latencies decay towards the initial values of a new
// process. It is meant for a process that has received its backends and has not decided any request yet. It
// returns the numbers of customers and backends that it restored. It skips customers that are already known
// or whose knowledge is not valid (CustomerKnowledge.valid), and backends whose knowledge does not apply.
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

// decayWeight is the weight of knowledge by its age, from 0 to 1.
type decayWeight float64

// apply moves a value towards a learned one by the weight, unless the learned one is invalid.
func (dw decayWeight) apply(value *float64, known float64) {
	if known > 0 && !math.IsInf(known, 0) {
		*value += float64(dw) * (known - *value)
	}
}

// valid reports whether the knowledge of a customer can be correct at the given time.
func (ck *CustomerKnowledge) valid(now Seconds) bool {
	if ck.Gateways < 1 || ck.Tokens < 0 || ck.LimitTokens < 0 || ck.Slice < 0 {
		return false
	}
	if ck.TokensAt > now+clockTolerance || ck.LimitTokensAt > now+clockTolerance {
		return false
	}
	return true
}

// restoreCustomer applies the knowledge of a customer, and reports whether it did.
func (g *Gateway) restoreCustomer(e CustomerKnowledge, termsByTag map[string]*Terms) bool {
	if !e.valid(g.now) || g.customers[e.Terms.Customer] != nil {
		return false
	}
	terms := termsByTag[e.Terms.Tag]
	if terms == nil {
		terms = &e.Terms // not in the settings: terms from the catalogue
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

// restoreBackend applies the knowledge of a backend from the given time, and reports whether it did.
func (g *Gateway) restoreBackend(e BackendKnowledge, at Seconds, weight decayWeight) bool {
	b := g.backends[e.ID]
	if b == nil || !b.listed || b.StartedAt > at || g.warmFraction(b) < 1 {
		return false // not listed, restarted since, or in slow start: the knowledge does not apply
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
