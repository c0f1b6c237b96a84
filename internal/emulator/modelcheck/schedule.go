package modelcheck

import (
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	// clockStep is the longest step of the clock, in seconds.
	clockStep = 0.05
	// completionTime is the time after their deadline within which all requests must have been answered, in seconds.
	completionTime = 1
)

// runToCompletion advances the world without further events until nothing can be pending: timers fire, calls to the
// counter time out, streamed answers end, and attempts end at their deadline or when they were cancelled.
func (w *world) runToCompletion() {
	for end := w.now + requestDeadline + completionTime; w.now < end && len(w.violations) == 0; {
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

// passTime advances the clock by passingTime.
func (w *world) passTime() {
	for end := w.now + passingTime; w.now < end && len(w.violations) == 0; {
		w.advance()
	}
}

// advanceDuring advances the clock up to a time, or until an attempt ends. It reports whether the attempt is still in
// flight.
func (w *world) advanceDuring(pending *pendingAttempt, end decision.Seconds) bool {
	inFlight := func() bool { return pending.client.attempt == pending }
	for inFlight() && w.now < end-tolerance && len(w.violations) == 0 {
		w.advance()
	}
	return inFlight()
}

// advance ends the attempts whose deadline has passed, and advances the clock to the next timer or deadline, by
// clockStep at most. Then it lets all pending calls to the counter time out, and fires the timers that are due.
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

// nextDue returns the time at which the next timer fires or the next attempt reaches its deadline, at most clockStep
// from now.
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

// takeDueTimers removes the timers that are due, and returns them.
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
