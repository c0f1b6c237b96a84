package decision

import "cmp"

// minSlowAttemptTargets is how many latency targets an attempt takes at least before it is slow.
const minSlowAttemptTargets = 1.0

// slowAttemptTimeout is after what time a first attempt may be given up so that another server can still
// answer; 0: never. A server that has lost its network says nothing, and most of what a client waits would be
// spent on it. What must not be executed twice is never given up: it could only be lost.
func (g *Gateway) slowAttemptTimeout(r *request) Seconds {
	maxAttempts := cmp.Or(r.class.MaxAttempts, g.settings.MaxAttempts)
	if r.class.SlowAttemptFactor == 0 || r.class.Effect != Idempotent {
		return 0
	}
	if len(r.attempts) > 0 || maxAttempts < 2 {
		return 0
	}
	timeout := max(minSlowAttemptTargets*r.class.LatencyTarget, r.class.SlowAttemptFactor*r.pool.latency)
	if timeout+2*r.pool.latency > r.deadline-g.now {
		return 0
	}
	return timeout
}

// ShouldAbandon reports whether the attempt in flight of a request, which has become slow (Send.SlowAfter),
// is to be given up now. It is, if no planned disruption is under way, another backend has capacity for the
// request, the retry budget allows a further attempt, and there is time for an answer. Otherwise the slow
// server may still answer, and giving the attempt up would only end the request.
func (g *Gateway) ShouldAbandon(now Seconds, id uint64) bool {
	r := g.requests[id]
	if r == nil || r.answered || r.inFlight != 1 || len(r.attempts) != 1 {
		return false
	}
	if r.class.Effect != Idempotent || r.arrivedAt < g.disruptionUntil {
		return false
	}
	g.now = max(g.now, now)
	if r.deadline-g.now <= 2*max(g.settings.AnswerSlack, r.pool.latency) {
		return false
	}
	b := g.selectBackend(r)
	if b == nil || b == r.attempts[0].backend {
		return false
	}
	return r.pool.retryBudget.Allows(g.now, false, len(g.queue) > 0)
}

// ExpectDisruption announces that something planned is under way: this process leaves, its settings were read
// anew, or a configuration has just come into force. Requests that arrived before the given time are not
// abandoned as slow.
func (g *Gateway) ExpectDisruption(until Seconds) {
	g.disruptionUntil = max(g.disruptionUntil, until)
}
