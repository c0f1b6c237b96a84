package engine

import (
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// handle passes an event to the decision module.
func (e *Engine) handle(event decision.Event) {
	e.dispatch(func(now decision.Seconds) []attempt.Effect { return e.dispatcher.Handle(now, event) })
}

// dispatch calls a function of the dispatcher under the mutex, and carries out the effects that it returns.
func (e *Engine) dispatch(call func(now decision.Seconds) []attempt.Effect) {
	e.mu.Lock()
	now := e.now() // read under the mutex, so that the decision module's time never goes backwards
	external := e.deliver(call(now))
	due, counted := e.counts.rotate(now)
	e.mu.Unlock()
	e.carryOut(external)
	if due && e.Log != nil {
		counted.log(e.Log)
	}
}

// deliver passes decisions to their tickets. The caller holds the mutex, because decisions must arrive in the order in
// which they were made. deliver returns the effects that act outside the engine; the caller carries them out after
// releasing the mutex.
func (e *Engine) deliver(effects []attempt.Effect) (external []attempt.Effect) {
	for _, effect := range effects {
		notify, ok := effect.(attempt.Notify[*Ticket])
		if !ok {
			external = append(external, effect)
			continue
		}
		e.counts.decided[notify.Decision.Kind]++
		notify.Request.Host.decisions <- newDecision(notify.Decision, e.clock)
	}
	return external
}

// carryOut carries out the effects that act outside the engine, in order. The caller must not hold the mutex.
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
		case attempt.IllegalTransition[*Ticket]:
			if e.Log != nil {
				level.Error(e.Log).Log("msg", "illegal transition of a request, a safe one taken",
					"code", "attempt-illegal", "error", a.Err,
				)
			}
		}
	}
}

// cancel cancels an attempt, unless it has already ended.
func (e *Engine) cancel(a attempt.CancelAttempt[*Ticket]) {
	e.mu.Lock()
	machine := a.Request.Machine()
	e.mu.Unlock()
	inFlight := machine.Phase() == attempt.InFlight || machine.Phase() == attempt.Abandoned
	if inFlight && machine.Attempts() == a.Attempt+1 {
		a.Request.Host.cancel()
	}
}
