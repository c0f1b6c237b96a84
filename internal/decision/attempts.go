package decision

import (
	"cmp"
	"slices"
)

type request struct {
	Request
	class                *Class
	pool                 *backendPool // of the backends that it may go to
	customer             *customer
	arrivedAt, deadline  Seconds
	sharedLimitUntil     Seconds // the common part of the ceiling lets it through until then; 0: it does not
	value                float64
	attempts             []attempt
	inFlight             int // attempts
	conforming, answered bool
	lowPriority          bool    // beyond the quota, or too late to earn its worth: waits for nothing
	targetAt             Seconds // an answer by then earns the whole worth
}

type attempt struct {
	backend                  *backend
	sentAt                   Seconds
	ended, mayHaveExecuted   bool // mayRun: it may have run, or may yet
	countedSlow, countedLate bool // it has been counted as slow, or as failed, for the aim has passed
}

// send starts the first attempt, or holds the request until a backend can take it.
func (g *Gateway) dispatch(r *request) {
	switch b := g.selectBackend(r); {
	case b != nil:
		g.startAttempt(r, b)
	case g.now >= r.queueDeadline():
		// No later look would come in time (h440035: a client's last try with 40 ms left was lost).
		g.reject(r)
	default:
		g.queue = append(g.queue, r)
	}
}

// holdUntil is when a request that finds no backend is to be refused.
func (r *request) queueDeadline() Seconds {
	wait := cmp.Or(r.class.MaxQueueTime, queueTimeFraction*r.class.LatencyTarget)
	return min(r.arrivedAt+wait, r.targetAt, r.deadline-2*tickInterval)
}

func (g *Gateway) startAttempt(r *request, b *backend) {
	if c := r.customer; len(r.attempts) == 0 && g.now > r.sharedLimitUntil {
		if g.refillLimit(c); c.plan.LimitRate > 0 && c.limit.tokens < r.Units {
			g.reject(r)
			return
		}
		c.limit.tokens = max(0, c.limit.tokens-r.Units)
	}
	timeout, rest, patience := 0.0, r.targetAt-g.now, g.slowAttemptTimeout(r)
	if r.class.Effect == Idempotent && r.class.LateValue == 0 && rest > 0 && rest+tickInterval <= r.deadline-g.now {
		timeout = rest + tickInterval // nothing is earned after the aim: free the backend
		// Far beyond the usual time none will come (the connection fell silent): another can be in time.
		early := max(lostAttemptFraction*r.class.LatencyTarget, lostAttemptLatencies*r.pool.latency)
		if len(r.attempts) == 0 && 2*early < rest {
			timeout = early
		}
	}
	if timeout > 0 {
		patience = 0
	}
	r.attempts = append(r.attempts, attempt{backend: b, sentAt: g.now, mayHaveExecuted: true})
	r.inFlight++
	r.customer.inFlight++
	b.inFlight++
	b.lastSentAt = g.now
	if b.unansweredSince == 0 {
		b.unansweredSince = g.now
	}
	if g.warmFraction(b) < 1 {
		b.warmUpTokens--
	}
	r.pool.sendRate += 1 / sendRateWindow
	if !b.healthy {
		r.pool.trialTokens--
	}
	if len(r.attempts) == 1 {
		r.pool.retryBudget.ObserveFirstAttempt()
	}
	g.emit(Send{r.ID, b.ID, timeout, !r.conforming, patience})
}

// again decides what follows an attempt that was not served. What may have run is sent again if harmless.
func (g *Gateway) retryOrFail(r *request, proven, spent bool) {
	late := g.now > r.targetAt && r.class.LateValue == 0 || r.deadline-g.now <= 2*g.settings.AnswerSlack
	most := cmp.Or(r.class.MaxAttempts, g.settings.MaxAttempts)
	if (r.class.Effect == Idempotent || !r.mayHaveExecuted()) && !late && !spent && len(r.attempts) < most {
		if b := g.selectBackend(r); b != nil && r.pool.retryBudget.Take(g.now, proven, len(g.queue) > 0) {
			g.startAttempt(r, b)
			return
		}
	}
	g.failRequest(r)
}

func (r *request) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted })
}

// giveUp gives the final answer: a refusal only where a new try surely does no harm.
func (g *Gateway) failRequest(r *request) {
	if !r.mayHaveExecuted() || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll {
		g.reject(r)
		return
	}
	g.emit(Fail{r.ID})
	g.finish(r)
}

func (g *Gateway) cancelAttempts(r *request) {
	for i := range r.attempts {
		if !r.attempts[i].ended && g.settings.MayCancel {
			g.emit(Cancel{r.ID, i})
		}
	}
}

func (g *Gateway) handleAttemptEnded(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	b, proven := a.backend, e.Outcome.ProvesNotExecuted()
	a.ended, a.mayHaveExecuted = true, !proven
	r.inFlight--
	r.customer.inFlight--
	b.unansweredSince = 0
	if b.inFlight--; b.inFlight > 0 {
		b.unansweredSince = g.now
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		b.abandoned++ // whether work stops when nobody waits for it is not told
	}
	g.observeOutcome(b, r, a, e)
	if e.Outcome != Cancelled && e.Outcome != NotSent {
		r.pool.retryBudget.ObserveOutcome(g.now, e.Outcome == Succeeded)
	}
	if e.Outcome == Succeeded && e.Units > 0 && r.conforming && r.customer.plan.Rate > 0 && !r.answered {
		r.customer.bucket.tokens -= e.Units - r.Units
	}
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

// release sends held requests on, and refuses those that have waited too long.
func (g *Gateway) dispatchQueued() {
	if len(g.queue) == 0 {
		return
	}
	held := g.queue
	g.queue = nil
	// The dearest first; among equals the newest: what has waited long would be late anyway.
	slices.SortStableFunc(held, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for i, r := range held {
		switch {
		case r.answered:
		case len(g.queue) > 0 && g.now < r.queueDeadline():
			g.queue = append(g.queue, held[i]) // no room for a dearer one: none for this
		default:
			g.dispatch(r)
		}
	}
}

// overdue counts an attempt as slow while it is out (i891194: unsafe ones told so only after five seconds).
func (g *Gateway) observeOverdueAttempts() {
	g.unanswered = slices.DeleteFunc(g.unanswered, func(r *request) bool {
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.ended && !a.countedSlow && g.now-a.sentAt > slowFraction*r.class.LatencyTarget {
				a.countedSlow = true
				g.adjustLimit(a.backend, true)
			}
			if !a.ended && !a.countedLate && g.now-a.sentAt > r.class.LatencyTarget {
				a.countedLate = true
				g.recordFailure(a.backend, false)
			}
		}
		return r.answered
	})
}
