package decision

const (
	pauseAfterFailures = 4   // calls in a row without a good answer, after which calls pause
	pauseDuration      = 1.0 // s without calls, until one tries again
	counterLostAfter   = 2.5 // s without a reply: it is lost, which is no evidence of its capacity

	callProbabilityIncrease = 0.005 // added on a good answer
	callProbabilityDecrease = 0.75  // factor on none
	// Seconds between two decreases: a stall leaves many calls unanswered at once.
	callProbabilityCutInterval = 0.1
	minCallProbability         = 0.02 // below it no answer would ever raise it again
)

// counterHealth is how the shared counter answers this gateway. The call probability adapts to the counter's
// capacity by additive increase and multiplicative decrease.
type counterHealth struct {
	failures           int     // calls in a row without a good answer
	pausedUntil        Seconds // no calls until then
	callProbability    float64 // of a call for a request of a sparse customer
	probabilityAtReply float64 // callProbability at the last reply, also one that rejected the call
	repliedAt          Seconds
	reducedAt          Seconds // when callProbability was last reduced
	unanswered         int     // calls in a row since the last reply
}

// observe learns how a call ended.
func (ch *counterHealth) observe(now Seconds, outcome Outcome) {
	replied := outcome == Succeeded || outcome == Rejected || outcome == Failed
	if replied {
		if ch.unanswered >= pauseAfterFailures && now-ch.repliedAt > counterLostAfter {
			// Raised from the minimum by few calls, it would be minutes until quotas are watched again.
			ch.callProbability = ch.probabilityAtReply
		}
		ch.repliedAt = now
		ch.unanswered = 0
	} else {
		ch.unanswered++
	}
	switch outcome {
	case Succeeded:
		ch.failures = 0
		ch.pausedUntil = 0
		ch.callProbability = min(1, ch.callProbability+callProbabilityIncrease)
	case Failed: // a reply without a total: no sign that the counter is overloaded
	default:
		ch.observeFailure(now, outcome)
	}
	if replied {
		ch.probabilityAtReply = ch.callProbability
	}
}

func (ch *counterHealth) observeFailure(now Seconds, outcome Outcome) {
	// A broken connection is no evidence of the counter's capacity.
	overloaded := outcome == Rejected || outcome == TimedOut
	if overloaded && now >= ch.reducedAt+callProbabilityCutInterval {
		ch.reducedAt = now
		ch.callProbability = max(minCallProbability, ch.callProbability*callProbabilityDecrease)
	}
	ch.failures++
	if ch.failures >= pauseAfterFailures {
		ch.pausedUntil = now + pauseDuration
	}
}

// counterAvailable reports whether the counter may be called now.
func (g *Gateway) counterAvailable() bool {
	return g.settings.HasCounter && g.now >= g.counter.pausedUntil
}
