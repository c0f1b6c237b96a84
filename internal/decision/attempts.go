package decision

import (
	"cmp"
	"slices"
)

const (
	// A first attempt times out as lost after the longer of these two times.
	lostAttemptFraction  = 0.3  // share of the latency target
	lostAttemptLatencies = 10.0 // typical latencies
)

// request is the state of a client's request from its arrival until it is answered and none of its attempts
// is in flight.
type request struct {
	Request
	class     *Class
	pool      *backendPool // backends that may serve it
	customer  *customer
	arrivedAt Seconds
	deadline  Seconds
	targetAt  Seconds // time until which an answer earns the full value

	value            float64
	sharedLimitUntil Seconds // end of its grant from the shared part of the rate limit; 0: it has none
	attempts         []attempt
	inFlight         int  // attempts in flight
	answered         bool // the gateway or an attempt has answered it
	conforming       bool // it conforms to its quota
	// lowPriority is set for a request that is over quota, or whose answer is expected after the latency
	// target and is worth no more than backendPool.lowestValue. Such requests may use only lowPriorityShare
	// of the backends' limits.
	lowPriority bool
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	backend         *backend
	sentAt          Seconds
	ended           bool
	mayHaveExecuted bool // the backend may have executed it, or may do so later
	countedSlow     bool // it was slow and has lowered the backend's limit
	countedLate     bool // it has exceeded the latency target and has counted as a failure
}

// startAttempt sends a request to a backend. If the first attempt would exceed the customer's hard rate
// limit, the request is rejected instead.
func (g *Gateway) startAttempt(r *request, b *backend) {
	first := len(r.attempts) == 0
	if first && !g.takeLimitTokens(r) {
		g.reject(r)
		return
	}
	slowAfter := g.slowAttemptTimeout(r)
	timeout := g.attemptTimeout(r)
	if timeout > 0 {
		slowAfter = 0 // the timeout ends a slow attempt
	}
	r.attempts = append(r.attempts, attempt{backend: b, sentAt: g.now, mayHaveExecuted: true})
	r.inFlight++
	r.customer.inFlight++
	g.countSent(b)
	if first {
		r.pool.retryBudget.ObserveFirstAttempt()
	}
	g.emit(Send{ID: r.ID, Backend: b.ID, Timeout: timeout, OverQuota: !r.conforming, SlowAfter: slowAfter})
}

// attemptTimeout returns the timeout of the next attempt of a request; 0 means that only the client's
// deadline limits it. A timeout is set only if the request is idempotent, a late answer earns nothing, and
// the latency target is still ahead and at least a tick before the deadline.
func (g *Gateway) attemptTimeout(r *request) Seconds {
	rest := r.targetAt - g.now
	if r.class.Effect != Idempotent || r.class.LateValue != 0 {
		return 0
	}
	if rest <= 0 || rest+tickInterval > r.deadline-g.now {
		return 0
	}
	// An answer that has not come long after the typical latency is no longer expected, because the
	// connection is probably dead. An early timeout leaves time for a second attempt.
	early := max(lostAttemptFraction*r.class.LatencyTarget, lostAttemptLatencies*r.pool.latency)
	if len(r.attempts) == 0 && 2*early < rest {
		return early
	}
	return rest + tickInterval // an answer after the target earns nothing, so the backend is freed
}

// retryOrFail retries a request whose attempt was not served, or answers it. A request that may have been
// executed is sent again only if it is idempotent.
func (g *Gateway) retryOrFail(r *request, provenNotExecuted, bodyConsumed bool) {
	// The answer of another attempt would earn nothing, or could come too late for the client.
	late := g.now > r.targetAt && r.class.LateValue == 0 || r.deadline-g.now <= 2*g.settings.AnswerSlack
	maxAttempts := cmp.Or(r.class.MaxAttempts, g.settings.MaxAttempts)
	safe := r.class.Effect == Idempotent || !r.mayHaveExecuted()
	if safe && !late && !bodyConsumed && len(r.attempts) < maxAttempts {
		b := g.selectBackend(r)
		if b != nil && r.pool.retryBudget.Take(g.now, provenNotExecuted, len(g.queue) > 0) {
			g.startAttempt(r, b)
			return
		}
	}
	g.failRequest(r)
}

func (r *request) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted })
}

// failRequest sends the final answer of a request that was not served. The answer is a rejection only if the
// client can safely retry.
func (g *Gateway) failRequest(r *request) {
	deduplicated := r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll
	if !r.mayHaveExecuted() || r.class.Effect == Idempotent || deduplicated {
		g.reject(r)
		return
	}
	g.emit(Fail{ID: r.ID})
	g.finish(r)
}

func (g *Gateway) cancelAttempts(r *request) {
	if !g.settings.MayCancel {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended {
			g.emit(Cancel{ID: r.ID, Attempt: i})
		}
	}
}

// handleDisconnect finishes a request whose client has disconnected.
func (g *Gateway) handleDisconnect(e ClientDisconnected) {
	r := g.requests[e.ID]
	if r == nil || r.answered {
		return
	}
	g.finish(r)
	g.cancelAttempts(r)
}

// handleAttemptEnded updates the state of the backend from the outcome of an attempt, and answers the request
// or retries it.
func (g *Gateway) handleAttemptEnded(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	proven := e.Outcome.ProvesNotExecuted()
	a.ended = true
	a.mayHaveExecuted = !proven
	r.inFlight--
	r.customer.inFlight--
	g.countEnded(a.backend, e.Outcome)
	g.observeOutcome(a.backend, r, a, e)
	if e.Outcome != Cancelled && e.Outcome != NotSent { // these two show nothing about the backends
		r.pool.retryBudget.ObserveOutcome(g.now, e.Outcome == Succeeded)
	}
	g.settleUnits(r, e)
	switch {
	case r.answered:
	case e.Answered || e.Outcome == Succeeded:
		g.finish(r)
		g.cancelAttempts(r)
	default:
		g.retryOrFail(r, proven, e.BodyConsumed)
	}
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
	g.dispatchQueued()
}

// settleUnits corrects the bucket by the difference between the actual units of a served request and the
// estimate.
func (g *Gateway) settleUnits(r *request, e AttemptEnded) {
	if e.Outcome != Succeeded || e.Units <= 0 || r.answered {
		return
	}
	if r.conforming && r.customer.plan.Rate > 0 {
		r.customer.bucket.tokens -= e.Units - r.Units
	}
}

// observeOverdueAttempts counts attempts as slow and as late while they are in flight, so that a backend that
// does not answer is detected before its attempts end.
func (g *Gateway) observeOverdueAttempts() {
	g.unanswered = slices.DeleteFunc(g.unanswered, func(r *request) bool {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.ended {
				continue
			}
			age := g.now - a.sentAt
			if !a.countedSlow && age > slowFraction*r.class.LatencyTarget {
				a.countedSlow = true
				g.adjustLimit(a.backend, true)
			}
			if !a.countedLate && age > r.class.LatencyTarget {
				a.countedLate = true
				g.recordFailure(a.backend, false)
			}
		}
		return r.answered
	})
}
