package decision

const (
	pauseAfterFailures = 4   // calls rejected or without a reply, in succession, after which calls pause
	pauseDuration      = 1.0 // s without calls before the counter is tried again
	counterLostAfter   = 2.5 // s without a reply; then the counter was lost and not overloaded

	callProbabilityIncrease = 0.005 // added after a successful reply
	callProbabilityDecrease = 0.75  // factor applied after a rejection or a timeout
	// callProbabilityCutInterval is the shortest time between two decreases, in seconds, because a stall
	// leaves many calls unanswered at once.
	callProbabilityCutInterval = 0.1
	minCallProbability         = 0.02 // below it there would be too few replies to raise it again
)

// counterHealth tracks the replies of the shared counter to this gateway. The call probability adapts to the
// counter's capacity by additive increase and multiplicative decrease.
type counterHealth struct {
	failures           int     // calls that were rejected or got no reply, since the last successful reply
	pausedUntil        Seconds // end of the pause between calls
	callProbability    float64 // probability of a call for a request of a sparse customer
	probabilityAtReply float64 // callProbability at the last reply, including rejections
	repliedAt          Seconds // time of the last reply
	reducedAt          Seconds // time of the last decrease of callProbability
	unanswered         int     // consecutive calls since the last reply
}

// observe records the outcome of a call.
func (ch *counterHealth) observe(now Seconds, outcome Outcome) {
	replied := outcome == Succeeded || outcome == Rejected || outcome == Failed
	if replied {
		if ch.unanswered >= pauseAfterFailures && now-ch.repliedAt > counterLostAfter {
			// Timeouts during the loss have cut the call probability to its minimum. At that level calls
			// are so rare that it would take minutes to rise again, and quotas would not be enforced
			// meanwhile.
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
	case Failed: // a reply without a total does not show that the counter is overloaded
	default:
		ch.observeFailure(now, outcome)
	}
	if replied {
		ch.probabilityAtReply = ch.callProbability
	}
}

func (ch *counterHealth) observeFailure(now Seconds, outcome Outcome) {
	// A broken connection does not show that the counter is overloaded.
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
