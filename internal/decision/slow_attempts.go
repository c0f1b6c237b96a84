package decision

import "cmp"

const minSlowAttemptTargets = 1.0 // of the aim

// patienceWith is after what time a first attempt may be given up so that another server can still answer; 0: never. A server that has gone
// dark says nothing, and most of what a client waits would be spent on it. What must not run twice is never given up: it could only be lost.
func (g *Gateway) slowAttemptTimeout(r *request) Seconds {
	if r.class.SlowAttemptFactor == 0 || r.class.Effect != Idempotent || len(r.attempts) > 0 || cmp.Or(r.class.MaxAttempts, g.settings.MaxAttempts) < 2 {
		return 0
	}
	early := max(minSlowAttemptTargets*r.class.LatencyTarget, r.class.SlowAttemptFactor*r.pool.latency)
	if early+2*r.pool.latency > r.deadline-g.now {
		return 0
	}
	return early
}

// ShouldAbandon tells whether the attempt that is out for a request, with which the patience has run out, is to be given up now: nothing that was
// planned is under way, another backend has room for the request, the budget has a further attempt for it, and there is time for an answer.
// Else the silent one may still answer, where giving it up would only end the request.
func (g *Gateway) ShouldAbandon(now Seconds, id uint64) bool {
	r := g.requests[id]
	if r == nil || r.answered || r.inFlight != 1 || len(r.attempts) != 1 || r.class.Effect != Idempotent || r.arrivedAt < g.disruptionUntil {
		return false
	}
	if g.now = max(g.now, now); r.deadline-g.now <= 2*max(g.settings.AnswerSlack, r.pool.latency) {
		return false
	}
	b := g.selectBackend(r)
	return b != nil && b != r.attempts[0].backend && r.pool.retryBudget.Allows(g.now, false, len(g.queue) > 0)
}

// ExpectDisruption tells that something planned is under way: this process leaves, its settings were read anew, or a configuration has just come into
// force. No patience ends what comes until then, and what is here already.
func (g *Gateway) ExpectDisruption(till Seconds) { g.disruptionUntil = max(g.disruptionUntil, till) }
