package decision

import "math"

const (
	latencyWeight = 0.1 // of one answer in a backend's typical latency
	errorWeight   = 0.1 // of one answer in a backend's error rate

	ejectAfterFailures = 3   // in a row
	minEjection        = 1.0 // s, doubled with every further failure
	maxEjection        = 4.0 // s
	maxEjectionSteps   = 2   // failures beyond the first ejection that are counted
	// Seconds for which a backend that rejected work is left alone, doubled with every rejection.
	overloadPause = 0.1
	maxRejections = 4 // that double the pause

	// Concurrency limits: the attempts that a backend may hold from this gateway, learned from its answers.
	initialLimit     = 12.0 // attempts over all gateways, one of each at least
	maxLimit         = 64.0 // attempts
	minLimit         = 0.1  // below 1 it is a pace
	slowFraction     = 0.35 // of the latency target: a slower answer says that work waits too long
	limitUtilization = 0.7  // of the limit in use: only then do good answers say that more is possible
	limitIncrease    = 0.1  // for as many good answers as the limit
	limitDecrease    = 0.7  // factor on a slow one
)

// observeOutcome learns a backend's latency, health and limit from the outcome of an attempt.
func (g *Gateway) observeOutcome(b *backend, r *request, a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Succeeded:
		g.observeSuccess(b, r, a, e.Duration)
	case Rejected:
		b.failures = 0
		b.healthy = false
		b.rejections = min(b.rejections+1, maxRejections)
		b.overloadedUntil = g.now + overloadPause*math.Exp2(float64(b.rejections))
		g.adjustLimit(b, true)
	case ConnectionRefused, ConnectionReset, TimedOut, Failed:
		g.observeError(b, a, e)
	}
}

func (g *Gateway) observeSuccess(b *backend, r *request, a *attempt, duration Seconds) {
	p := b.pool
	if !a.countedLate {
		p.trialTokens = min(minSubset, p.trialTokens+trialsPerAnswer)
		if !b.healthy {
			// One more, or all gateways would stay with the few backends that they know.
			p.trialTokens = min(minSubset, p.trialTokens+1)
		}
		b.failures = 0
		b.rejections = 0
		b.healthy = true
	}
	b.recentAnswers++
	b.errorRate *= 1 - errorWeight
	b.latency += latencyWeight * (duration - b.latency)
	*b.kindLatency += latencyWeight / 2 * (duration - *b.kindLatency)
	p.latency += latencyWeight / 4 * (duration - p.latency)
	if !a.countedSlow {
		g.adjustLimit(b, duration > slowFraction*r.class.LatencyTarget)
	}
}

func (g *Gateway) observeError(b *backend, a *attempt, e AttemptEnded) {
	b.errorRate += errorWeight * (1 - b.errorRate)
	if e.Outcome == TimedOut {
		if !a.countedSlow {
			g.adjustLimit(b, true)
		}
		b.latency = max(b.latency, b.latency+latencyWeight*(e.Duration-b.latency))
	}
	if a.countedLate {
		return
	}
	// A healthy backend fails one request in a thousand: one error is enough, where others are in reserve.
	reserve := b.pool.subsetSize < b.pool.serving
	g.recordFailure(b, e.Outcome == ConnectionRefused || e.Outcome == Failed && reserve)
}

// recordFailure counts a failure of a backend, and ejects it after several in a row, or at once where it is
// certain.
func (g *Gateway) recordFailure(b *backend, certain bool) {
	b.healthy = b.healthy && b.failures == 0 && !certain // one answer may be lost
	b.failures++
	if b.failures < ejectAfterFailures && !certain {
		return
	}
	doublings := float64(max(0, b.failures-ejectAfterFailures))
	b.ejectedUntil = g.now + min(maxEjection, minEjection*math.Exp2(doublings))
	b.failures = min(b.failures, ejectAfterFailures+maxEjectionSteps)
	b.limit = 1
	b.latency = *b.kindLatency
}

// adjustLimit moves a backend's concurrency limit by additive increase and multiplicative decrease: up by
// limitIncrease for as many good answers as the limit, down on a slow one, once in a typical latency.
func (g *Gateway) adjustLimit(b *backend, slow bool) {
	switch {
	case g.settings.CapacityInSlots:
		b.limit = b.slotLimit() // known, not learned
	case !slow:
		if float64(b.inFlight+1) >= b.limit*limitUtilization {
			b.limit = min(maxLimit, b.limit+limitIncrease/max(1, b.limit))
		}
	case g.now > b.limitCutAt+b.pool.latency:
		b.limit = max(minLimit/b.pool.gatewaysPerBackend, b.limit*limitDecrease)
		b.limitCutAt = g.now
	}
}
