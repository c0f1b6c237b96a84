package modelcheck

import (
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	// clockStep is by how much the clock advances at most, in seconds.
	clockStep = 0.05
	// settleTime is how long after their deadline requests have been answered, in seconds.
	settleTime = 1
)

// settle lets the world run to completion without further events: timers fire, calls to the counter time out, attempts
// end at their deadline or when they were cancelled.
func (w *world) settle() {
	for end := w.now + requestDeadline + settleTime; w.now < end && len(w.violations) == 0; {
		for _, c := range w.clients {
			if c.attempt != nil && c.attempt.cancelled {
				w.expireAttempt(c.attempt)
			}
			if c.stream != nil {
				w.streamEnded(c, true, false)
			}
		}
		w.advance()
	}
	if len(w.violations) == 0 {
		w.checkNothingLeft()
	}
}

// passTime lets a while pass.
func (w *world) passTime() {
	for end := w.now + passingTime; w.now < end && len(w.violations) == 0; {
		w.advance()
	}
}

// advanceDuring lets time pass until an end while an attempt is in flight. It reports whether the attempt still is.
func (w *world) advanceDuring(pending *pendingAttempt, end decision.Seconds) bool {
	inFlight := func() bool { return pending.client.attempt == pending }
	for inFlight() && w.now < end-tolerance && len(w.violations) == 0 {
		w.advance()
	}
	return inFlight()
}

// advance ends the attempts whose deadline has passed, and advances the clock to what is due next.
func (w *world) advance() {
	for _, c := range w.clients {
		if c.attempt != nil && w.now >= c.attempt.deadline-tolerance {
			w.expireAttempt(c.attempt)
		}
	}
	w.now = w.nextDue()
	for _, name := range w.counterCalls {
		reply := decision.CounterReply{Name: name, Outcome: decision.TimedOut}
		w.applyEffects(w.dispatcher.Handle(w.now, reply))
	}
	w.counterCalls = nil
	for _, timer := range w.takeDueTimers() {
		w.applyEffects(w.dispatcher.Handle(w.now, decision.Timer{Token: timer.Token}))
	}
	w.checkInvariants()
}

// nextDue returns when the next timer fires or the next attempt reaches its deadline, a step of the clock from now at
// the latest.
func (w *world) nextDue() decision.Seconds {
	due := w.now + clockStep
	for _, timer := range w.timers {
		due = min(due, max(w.now, timer.At))
	}
	for _, c := range w.clients {
		if c.attempt != nil && c.attempt.deadline > w.now {
			due = min(due, c.attempt.deadline)
		}
	}
	return due
}

// takeDueTimers takes the timers that are due from those that are set.
func (w *world) takeDueTimers() []decision.SetTimer {
	var due []decision.SetTimer
	w.timers = slices.DeleteFunc(w.timers, func(timer decision.SetTimer) bool {
		if timer.At <= w.now {
			due = append(due, timer)
			return true
		}
		return false
	})
	return due
}
