package engine

import (
	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// maxUndelivered is the greatest number of decisions that a ticket holds: a Send that the host has not read yet, and
// the NoAnswer that follows it.
const maxUndelivered = 2

// Ticket is the host's handle of a submitted request. The host reads decisions from it and reports events to it.
type Ticket struct {
	Plan     string // the customer's plan in the catalogue, or else the plan that the client named
	Revision uint64 // revision of the catalogue; 0: none

	engine    *Engine
	request   *attempt.Request[*Ticket]
	cancel    func() // cancels the attempt in flight
	decisions chan Decision
}

// Submit submits a request. It is decided by the terms of the catalogue, if there is one. cancel is called, possibly by
// another goroutine, when the attempt in flight is to be cancelled.
func (e *Engine) Submit(r decision.Request, cancel func()) *Ticket {
	t := &Ticket{
		Plan:      r.Plan,
		engine:    e,
		cancel:    cancel,
		decisions: make(chan Decision, maxUndelivered),
	}
	e.mu.Lock()
	now := e.now()
	if e.catalogue != nil {
		r.Terms = e.catalogue.Terms(r.Customer, r.Plan, now)
		if r.Terms != nil {
			t.Plan, t.Revision = r.Terms.Plan.Name, e.catalogue.InForce(now)
		}
	}
	e.observeRequest(&r)
	var effects []attempt.Effect
	t.request, effects = e.dispatcher.Submit(now, r, t)
	external := e.deliver(effects)
	e.mu.Unlock()
	e.carryOut(external)
	return t
}

// observeRequest passes a request to the quota sharer, if there is one. The caller holds the mutex.
func (e *Engine) observeRequest(r *decision.Request) {
	s := e.sharer.Load()
	if s == nil {
		return
	}
	quota := e.planRates[r.Plan]
	if r.Terms != nil {
		quota = r.Terms.Plan.Rate
	}
	(*s).ObserveRequest(r.Customer, r.FirstGateway, r.Gateways, quota, r.Units)
}

// Next waits for the next decision.
func (t *Ticket) Next() Decision { return <-t.decisions }

// AttemptEnded reports the outcome of the attempt that the last decision asked for. If the client has disconnected, the
// decision NoAnswer follows. Otherwise no decision follows decision.Succeeded, because the host forwards the answer to
// the client.
func (t *Ticket) AttemptEnded(outcome decision.Outcome) {
	t.engine.dispatch(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.AttemptEnded(now, t.request, outcome)
	})
}

// ConsumeBody records that part of the request's body has been read and cannot be read again, so that the attempt in
// flight is the last one.
func (t *Ticket) ConsumeBody() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.dispatcher.ConsumeBody(t.request)
}

// ShouldAbandon reports whether the host should cancel the attempt in flight because it is slow, so that another
// attempt can be made.
func (t *Ticket) ShouldAbandon() bool {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	return t.engine.dispatcher.ShouldAbandon(t.engine.now(), t.request)
}

// RetryIsSafe reports whether the client may be told that the request was not executed, or that a retry does no harm.
func (t *Ticket) RetryIsSafe() bool {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	machine := t.request.Machine()
	return machine.RetryIsSafe()
}

// BodyUploaded reports that the streamed body of the request has been written completely.
func (t *Ticket) BodyUploaded() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.dispatcher.BodyUploaded(t.engine.clock.Now(), t.request)
}

// ClientDisconnected reports that the client no longer waits for an answer. The host must still report the end of an
// attempt in flight.
func (t *Ticket) ClientDisconnected() {
	t.engine.dispatch(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.ClientDisconnected(now, t.request)
	})
}
