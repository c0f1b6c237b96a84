package decision

import "mulleinrouter/internal/decision/ratelimit"

// limitBucket holds this gateway's own part of a customer's hard rate limit.
type limitBucket struct {
	tokens     float64 // units
	refilledAt Seconds
}

// refillLimit updates this gateway's own part of the hard rate limit to the present time.
func (g *Gateway) refillLimit(c *customer) {
	if c.plan.LimitRate > 0 {
		split := c.plan.limitSplit(c.gateways, g.settings.HasCounter)
		c.limit.tokens = split.OwnTokens(c.limit.tokens, g.now-c.limit.refilledAt, g.processShare())
	}
	c.limit.refilledAt = g.now
}

// takeLimitTokens takes the tokens of a request from this gateway's own part of the rate limit, unless the
// shared part has admitted it. It returns false if the limit rejects the request.
func (g *Gateway) takeLimitTokens(r *request) bool {
	if g.now <= r.sharedLimitUntil {
		return true
	}
	c := r.customer
	g.refillLimit(c)
	if c.plan.LimitRate > 0 && c.limit.tokens < r.Units {
		return false
	}
	c.limit.tokens = max(0, c.limit.tokens-r.Units)
	return true
}

// requestSharedLimit calls the counter for the shared part of the rate limit, if a conforming request needs
// more tokens than this gateway's own part holds. It makes no call while calls pause, nor for
// termsChangeCycles after a change of terms, because gateways may then use different limits. It reports
// whether the request now waits for the reply.
func (g *Gateway) requestSharedLimit(r *request) bool {
	c := r.customer
	g.refillLimit(c)
	if !r.conforming || c.limit.tokens >= r.Units || g.now < max(g.counter.pausedUntil, c.cycle.holdUntil) {
		return false
	}
	span, capacity, retention, ok := c.plan.limitSplit(c.gateways, g.settings.HasCounter).SharedSpan(g.now)
	if !ok {
		return false
	}
	name := c.key + "/" + span
	c.sparse.queries = append(c.sparse.queries, counterQuery{
		request:      r,
		plan:         c.plan,
		counterName:  name,
		sentAt:       g.now,
		spanCapacity: capacity,
	})
	g.emit(CounterCall{Name: name, Add: r.Units, Retention: retention})
	return true
}

// handleSharedLimitReply dispatches a request that has waited for the shared part of the rate limit. If the
// reply does not admit the request, takeLimitTokens decides.
func (g *Gateway) handleSharedLimitReply(c *customer, q counterQuery, e CounterReply) {
	if e.Outcome == Succeeded && e.Total <= q.spanCapacity && q.plan == c.plan {
		q.request.sharedLimitUntil = g.now + ratelimit.GrantValidity
	}
	g.dispatch(q.request)
}
