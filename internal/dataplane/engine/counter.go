package engine

import (
	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// Counter calls the shared counter service for the decision module. Add must not block. The result of each call is
// reported to Engine.CounterReplied exactly once.
type Counter interface {
	// Add adds an amount to the counter with this name. The counter is kept for the given time, in seconds.
	Add(name string, amount float64, keep decision.Seconds)
}

// PairCounter is a Counter of pairs (decision.Settings.PairCounters): its totals are a sum and a number of gateways.
// Call gets all fields of a call, and the result is reported to Engine.PairCounterReplied.
type PairCounter interface{ Call(decision.CounterCall) }

// QuotaSharer observes requests and calls of the counter, for ingresses that share quotas among themselves. Its methods
// must not block and must not call the engine.
type QuotaSharer interface {
	// ObserveRequest observes a request: its customer, the first of the customer's gateways and their number, its quota
	// in units per second and its size in units.
	ObserveRequest(customer string, first, gateways int, quota, units float64)
	// ObserveCounterCall observes a call of the counter before it is made.
	ObserveCounterCall(name string, amount float64, keep decision.Seconds)
	// ObserveCounterReply observes the result of a call, and returns the outcome that the decision module is given: an
	// impossible total is turned into a failure.
	ObserveCounterReply(name string, outcome decision.Outcome, total float64) decision.Outcome
}

// SetQuotaSharer sets the observer of requests and calls of the counter.
func (e *Engine) SetQuotaSharer(s QuotaSharer) { e.sharer.Store(&s) }

// CounterReplied reports the result of a call of the counter.
func (e *Engine) CounterReplied(name string, outcome decision.Outcome, total float64) {
	e.PairCounterReplied(name, outcome, total, 0)
}

// PairCounterReplied reports the result of a call of a counter of pairs: the sum, and the number of gateways that
// contributed to it.
func (e *Engine) PairCounterReplied(name string, outcome decision.Outcome, total float64, reporters int) {
	if s := e.sharer.Load(); s != nil {
		outcome = (*s).ObserveCounterReply(name, outcome, total)
	}
	e.dispatch(func(now decision.Seconds) []attempt.Effect {
		e.counts.counterCalls++
		if outcome != decision.Succeeded {
			e.counts.failedCounterCalls++
		}
		reply := decision.CounterReply{Name: name, Outcome: outcome, Total: total, Reporters: reporters}
		return e.dispatcher.Handle(now, reply)
	})
}

// callCounter calls the counter. Without a counter, the call fails at once.
func (e *Engine) callCounter(call decision.CounterCall) {
	if p, ok := e.counter.(PairCounter); ok {
		p.Call(call)
		return
	}
	if e.counter == nil {
		e.CounterReplied(call.Name, decision.ConnectionRefused, 0)
		return
	}
	if s := e.sharer.Load(); s != nil {
		(*s).ObserveCounterCall(call.Name, call.Add, call.Retention)
	}
	e.counter.Add(call.Name, call.Add, call.Retention)
}
