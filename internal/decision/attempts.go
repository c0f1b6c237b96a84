package decision

import (
	"cmp"
	"slices"
)

type request struct {
	Request
	class            *Class
	pool             *pool // of the backends that it may go to
	c                *customer
	arrived, dueAt   Seconds
	common           Seconds // the common part of the ceiling lets it through until then; 0: it does not
	value            float64
	attempts         []attempt
	out              int // attempts
	inside, answered bool
	spare            bool    // beyond the quota, or too late to earn its worth: waits for nothing
	aimAt            Seconds // an answer by then earns the whole worth
}

type attempt struct {
	b             *backend
	sent          Seconds
	ended, mayRun bool // mayRun: it may have run, or may yet
	slow, late    bool // it has been counted as slow, or as failed, for the aim has passed
}

// send starts the first attempt, or holds the request until a backend can take it.
func (g *Gateway) send(r *request) {
	switch b := g.pick(r); {
	case b != nil:
		g.start(r, b)
	case g.now >= r.holdUntil():
		// No later look would come in time (h440035: a client's last try with 40 ms left was lost).
		g.refuse(r)
	default:
		g.held = append(g.held, r)
	}
}

// holdUntil is when a request that finds no backend is to be refused.
func (r *request) holdUntil() Seconds {
	wait := cmp.Or(r.class.MaxQueueTime, holdShare*r.class.LatencyTarget)
	return min(r.arrived+wait, r.aimAt, r.dueAt-2*tickEvery)
}

func (g *Gateway) start(r *request, b *backend) {
	if c := r.c; len(r.attempts) == 0 && g.now > r.common {
		if g.topUp(c); c.plan.LimitRate > 0 && c.ceiling < r.Units {
			g.refuse(r)
			return
		}
		c.ceiling = max(0, c.ceiling-r.Units)
	}
	timeout, rest, patience := 0.0, r.aimAt-g.now, g.patienceWith(r)
	if r.class.Effect == Idempotent && r.class.LateValue == 0 && rest > 0 && rest+tickEvery <= r.dueAt-g.now {
		timeout = rest + tickEvery // nothing is earned after the aim: free the backend
		// Far beyond the usual time none will come (the connection fell silent): another can be in time.
		early := max(silentShare*r.class.LatencyTarget, silentTimes*r.pool.lat)
		if len(r.attempts) == 0 && 2*early < rest {
			timeout = early
		}
	}
	if timeout > 0 {
		patience = 0
	}
	r.attempts = append(r.attempts, attempt{b: b, sent: g.now, mayRun: true})
	r.out++
	r.c.open++
	b.out++
	b.usedAt = g.now
	if b.waiting == 0 {
		b.waiting = g.now
	}
	if g.cold(b) < 1 {
		b.tokens--
	}
	r.pool.sentRate += 1 / sentSpan
	if !b.good {
		r.pool.trials--
	}
	if len(r.attempts) == 1 {
		r.pool.retries.First()
	}
	g.do(Send{r.ID, b.ID, timeout, !r.inside, patience})
}

// again decides what follows an attempt that was not served. What may have run is sent again if harmless.
func (g *Gateway) again(r *request, proven, spent bool) {
	late := g.now > r.aimAt && r.class.LateValue == 0 || r.dueAt-g.now <= 2*g.s.AnswerSlack
	most := cmp.Or(r.class.MaxAttempts, g.s.MaxAttempts)
	if (r.class.Effect == Idempotent || !r.mayHaveRun()) && !late && !spent && len(r.attempts) < most {
		if b := g.pick(r); b != nil && r.pool.retries.Again(g.now, proven, len(g.held) > 0) {
			g.start(r, b)
			return
		}
	}
	g.giveUp(r)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
}

// giveUp gives the final answer: a refusal only where a new try surely does no harm.
func (g *Gateway) giveUp(r *request) {
	if !r.mayHaveRun() || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.Scope == ScopeAll {
		g.refuse(r)
		return
	}
	g.do(Fail{r.ID})
	g.end(r)
}

func (g *Gateway) cancel(r *request) {
	for i := range r.attempts {
		if !r.attempts[i].ended && g.s.MayCancel {
			g.do(Cancel{r.ID, i})
		}
	}
}

func (g *Gateway) ended(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	b, proven := a.b, e.Outcome.ProvesNotExecuted()
	a.ended, a.mayRun = true, !proven
	r.out--
	r.c.open--
	b.waiting = 0
	if b.out--; b.out > 0 {
		b.waiting = g.now
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		b.ghosts++ // whether work stops when nobody waits for it is not told
	}
	g.judge(b, r, a, e)
	if e.Outcome != Cancelled && e.Outcome != NotSent {
		r.pool.retries.Ended(g.now, e.Outcome == Succeeded)
	}
	if e.Outcome == Succeeded && e.Units > 0 && r.inside && r.c.plan.Rate > 0 && !r.answered {
		r.c.level -= e.Units - r.Units
	}
	switch {
	case r.answered:
	case e.Answered || e.Outcome == Succeeded:
		g.end(r)
		g.cancel(r)
	default:
		g.again(r, proven, e.BodyConsumed)
	}
	if r.answered && r.out == 0 {
		delete(g.requests, r.ID)
	}
	g.release()
}

// release sends held requests on, and refuses those that have waited too long.
func (g *Gateway) release() {
	if len(g.held) == 0 {
		return
	}
	held := g.held
	g.held = nil
	// The dearest first; among equals the newest: what has waited long would be late anyway.
	slices.SortStableFunc(held, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrived, a.arrived))
	})
	for i, r := range held {
		switch {
		case r.answered:
		case len(g.held) > 0 && g.now < r.holdUntil():
			g.held = append(g.held, held[i]) // no room for a dearer one: none for this
		default:
			g.send(r)
		}
	}
}

// overdue counts an attempt as slow while it is out (i891194: unsafe ones told so only after five seconds).
func (g *Gateway) overdue() {
	g.open = slices.DeleteFunc(g.open, func(r *request) bool {
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.ended && !a.slow && g.now-a.sent > slowAt*r.class.LatencyTarget {
				a.slow = true
				g.adapt(a.b, true)
			}
			if !a.ended && !a.late && g.now-a.sent > r.class.LatencyTarget {
				a.late = true
				g.failed(a.b, false)
			}
		}
		return r.answered
	})
}
