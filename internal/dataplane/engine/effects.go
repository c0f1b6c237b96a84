package engine

import (
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// handle has the decision module handle an event.
func (e *Engine) handle(event decision.Event) {
	e.do(func(now decision.Seconds) []attempt.Effect { return e.dispatcher.Handle(now, event) })
}

// do calls a function of the dispatcher under the mutex, and carries out its effects.
func (e *Engine) do(call func(now decision.Seconds) []attempt.Effect) {
	e.mu.Lock()
	now := e.now() // under the mutex: the decision module's time never goes back
	external := e.deliver(call(now))
	due, counted := e.counters.rotate(now)
	e.mu.Unlock()
	e.carryOut(external)
	if due && e.Log != nil {
		counted.log(e.Log)
	}
}

// deliver delivers decisions to their tickets, the mutex held: they must arrive in the order in which they were made.
// The effects that reach anything outside are returned, to be carried out without the mutex.
func (e *Engine) deliver(effects []attempt.Effect) (external []attempt.Effect) {
	for _, effect := range effects {
		notify, ok := effect.(attempt.Notify[*Ticket])
		if !ok {
			external = append(external, effect)
			continue
		}
		e.counters.decided[notify.Decision.Kind]++
		notify.Request.Host.decisions <- newDecision(notify.Decision, e.clock)
	}
	return external
}

// carryOut carries out effects that reach anything outside, in order. The mutex is free.
func (e *Engine) carryOut(effects []attempt.Effect) {
	for _, effect := range effects {
		switch a := effect.(type) {
		case attempt.CancelAttempt[*Ticket]:
			e.cancel(a)
		case attempt.Timer:
			wait := duration(a.At - e.clock.Now())
			time.AfterFunc(max(0, wait), func() { e.handle(decision.Timer{Token: a.Token}) })
		case attempt.CounterCall:
			e.callCounter(a.CounterCall)
		case attempt.IllegalStep[*Ticket]:
			if e.Log != nil {
				level.Error(e.Log).Log("msg", "illegal transition of a request, a safe one taken",
					"code", "attempt-illegal", "error", a.Err,
				)
			}
		}
	}
}

// cancel cancels an attempt, unless it has ended meanwhile.
func (e *Engine) cancel(a attempt.CancelAttempt[*Ticket]) {
	e.mu.Lock()
	machine := a.Request.Machine()
	e.mu.Unlock()
	inFlight := machine.Phase() == attempt.InFlight || machine.Phase() == attempt.Abandoned
	if inFlight && machine.Attempts() == a.Attempt+1 {
		a.Request.Host.cancel()
	}
}
