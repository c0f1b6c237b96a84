package engine

import (
	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// maxUndelivered is how many decisions a ticket may hold: a Send that has not been taken up, and the NoAnswer behind
// it.
const maxUndelivered = 2

// Ticket follows a request that was submitted to the engine.
type Ticket struct {
	Plan     string // that the request is decided by: the customer's in the catalogue, else the one the client named
	Revision uint64 // of the catalogue; 0: none

	engine    *Engine
	request   *attempt.Request[*Ticket]
	cancel    func() // cancels the attempt in flight
	decisions chan Decision
}

// Submit submits a request. Cancel is called, possibly by another goroutine, when the attempt in flight is to be
// cancelled.
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

// observeRequest passes a request on to the sharer of quotas, if there is one. The mutex is held.
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

// AttemptEnded reports how the attempt that the last decision asked for has ended. After decision.Succeeded no decision
// follows: the answer is the client's.
func (t *Ticket) AttemptEnded(outcome decision.Outcome) {
	t.engine.do(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.AttemptEnded(now, t.request, outcome)
	})
}

// ConsumeBody records that a part of the request's body has been read that cannot be read again: the attempt in
// flight is the last.
func (t *Ticket) ConsumeBody() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.dispatcher.ConsumeBody(t.request)
}

// ShouldAbandon reports whether the attempt in flight, which is slow, is to be given up.
func (t *Ticket) ShouldAbandon() bool {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	return t.engine.dispatcher.ShouldAbandon(t.engine.now(), t.request)
}

// BodyUploaded reports that the streamed body of the request has been written completely.
func (t *Ticket) BodyUploaded() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.dispatcher.BodyUploaded(t.engine.clock.Now(), t.request)
}

// ClientDisconnected reports that the client no longer waits for an answer. The end of an attempt in flight is still to
// be reported.
func (t *Ticket) ClientDisconnected() {
	t.engine.do(func(now decision.Seconds) []attempt.Effect {
		return t.engine.dispatcher.ClientDisconnected(now, t.request)
	})
}
