package decision

import "math"

const (
	// With larger weights, the typical values would follow single answers. In the latency of its kind of
	// backend, an answer has half of latencyWeight, and in that of the group a quarter.
	latencyWeight = 0.1 // weight of an answer in a backend's typical latency
	errorWeight   = 0.1 // weight of an answer in a backend's error rate

	ejectAfterFailures = 3   // consecutive failures
	minEjection        = 1.0 // s, doubled with each further failure
	maxEjection        = 4.0 // s; bounds how long a backend that has recovered stays unused
	maxEjectionSteps   = 2   // further failures that are counted, which bounds the doubling
	// overloadPause is the base, in seconds, of the time for which a backend that rejected work gets no
	// attempts. Each consecutive rejection, including the first one, doubles it. Without the pause, most
	// attempts at a full backend are rejected.
	overloadPause     = 0.1
	maxPauseDoublings = 4 // consecutive rejections that double the pause, which is 1.6 s at most

	// Concurrency limits: the attempts in flight that a backend may have from this gateway. They are
	// learned from its answers.
	initialLimit = 12.0 // attempts over all gateways; at least one per gateway
	maxLimit     = 64.0 // attempts; bounds how many requests one gateway may lose with a backend
	// minLimit is the lowest limit, in attempts, before the division by gatewaysPerBackend. A limit below 1
	// limits the rate of attempts (hasCapacity).
	minLimit         = 0.1
	slowFraction     = 0.35 // share of the latency target; a slower answer shows that requests queue too long
	limitUtilization = 0.7  // share of the limit in use from which fast answers raise it
	limitIncrease    = 0.1  // attempts; increase per number of fast answers that equals the limit
	limitDecrease    = 0.7  // factor applied after a slow answer
)

// observeOutcome updates a backend's latency, health and limit from the outcome of an attempt. Cancelled and
// NotSent show nothing about the backend.
func (g *Gateway) observeOutcome(b *backend, r *request, a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Succeeded:
		g.observeSuccess(b, r, a, e.Duration)
	case Rejected:
		b.failures = 0
		b.healthy = false
		b.rejections = min(b.rejections+1, maxPauseDoublings)
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
			// An extra token for a newly found healthy backend: without it, all gateways would keep using
			// only the few backends that they know.
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
	// A healthy backend fails one request in a thousand, so one error is enough to eject a backend if others
	// outside the subset can replace it.
	reserve := b.pool.subsetSize < b.pool.serving
	g.recordFailure(b, e.Outcome == ConnectionRefused || e.Outcome == Failed && reserve)
}

// recordFailure counts a failure of a backend, and ejects it after ejectAfterFailures consecutive failures,
// or at once if the failure is certain.
func (g *Gateway) recordFailure(b *backend, certain bool) {
	// One uncertain failure does not make a backend unhealthy, because an answer may be lost on its way.
	b.healthy = b.healthy && b.failures == 0 && !certain
	b.failures++
	if b.failures < ejectAfterFailures && !certain {
		return
	}
	doublings := float64(max(0, b.failures-ejectAfterFailures))
	b.ejectedUntil = g.now + min(maxEjection, minEjection*math.Exp2(doublings))
	b.failures = min(b.failures, ejectAfterFailures+maxEjectionSteps)
	// After its ejection, the backend gets one attempt at a time until fast answers raise its limit.
	b.limit = 1
	b.latency = *b.kindLatency
}

// adjustLimit changes a backend's concurrency limit by additive increase and multiplicative decrease. It
// rises by limitIncrease per number of fast answers that equals the limit. It falls if an attempt is slow,
// even before it ends, is rejected or times out, but at most once per typical latency of the group.
func (g *Gateway) adjustLimit(b *backend, slow bool) {
	switch {
	case g.settings.CapacityInSlots:
		b.limit = b.slotLimit() // the limit is known and need not be learned
	case !slow:
		if float64(b.inFlight+1) >= b.limit*limitUtilization {
			b.limit = min(maxLimit, b.limit+limitIncrease/max(1, b.limit))
		}
	case g.now > b.limitCutAt+b.pool.latency:
		b.limit = max(minLimit/b.pool.gatewaysPerBackend, b.limit*limitDecrease)
		b.limitCutAt = g.now
	}
}
