package decision

import "cmp"

// minSlowAttemptTargets is the shortest time after which an attempt counts as slow, in latency targets. With
// less than one, attempts would be abandoned that can still be answered within the target.
const minSlowAttemptTargets = 1.0

// slowAttemptTimeout returns the time after which a first attempt may be abandoned so that another server
// can still answer; 0: never. A server that has lost its network sends no error, so an attempt at it would
// use up most of the time that the client waits. A request that must not be executed twice is never
// abandoned, because it cannot be sent to another server.
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
// should be abandoned now. That is so if the request arrived after the last planned disruption, another
// backend has capacity for it, the retry budget allows another attempt, and there is time for an answer.
// Otherwise the slow server may still answer, and to abandon the attempt would only fail the request.
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

// ExpectDisruption announces a planned disruption: this process shuts down, its settings were reloaded, or
// a new configuration has just been applied. Requests that arrived before the given time are not abandoned
// as slow.
func (g *Gateway) ExpectDisruption(until Seconds) {
	g.disruptionUntil = max(g.disruptionUntil, until)
}
