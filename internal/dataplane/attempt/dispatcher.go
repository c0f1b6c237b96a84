package attempt

import (
	"cmp"
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// Dispatcher owns the decision module's gateway and the pending requests. H is the type of the value that the host
// attaches to each request. Dispatcher is not safe for concurrent use.
type Dispatcher[H any] struct {
	gateway             *decision.Gateway
	maxAttempts         int
	finishNonIdempotent bool                   // at-most-once attempts are not cancelled when their client disconnects
	atMostOnce          map[string]bool        // by class name: a request must be executed at most once
	noClientRetry       map[string]bool        // by class name: a client's retry may be executed as well
	pending             map[uint64]*Request[H] // by ID
	lastID              uint64
	effects             []Effect // effects of the event being handled
}

// NewDispatcher returns a dispatcher that owns the gateway; no other code may use the gateway. The settings are those
// that the gateway was created with.
func NewDispatcher[H any](gateway *decision.Gateway, settings *decision.Settings) *Dispatcher[H] {
	d := &Dispatcher[H]{
		gateway:             gateway,
		finishNonIdempotent: settings.FinishNonIdempotent,
		pending:             map[uint64]*Request[H]{},
	}
	d.setClasses(settings.Classes, settings.MaxAttempts)
	return d
}

// setClasses records which classes may be executed more than once, and the maximum number of attempts.
func (d *Dispatcher[H]) setClasses(classes []decision.Class, maxAttempts int) {
	d.maxAttempts = max(1, maxAttempts)
	d.atMostOnce = map[string]bool{}
	d.noClientRetry = map[string]bool{}
	for _, c := range classes {
		d.atMostOnce[c.Name] = c.Effect != decision.Idempotent
		d.noClientRetry[c.Name] = clientRetryMayRunAgain(&c)
	}
}

// clientRetryMayRunAgain reports whether a client's retry of a request of this class may be executed in addition to the
// original. A key prevents this only if all backends recognize the repeats of a request (decision.ScopeAll).
func clientRetryMayRunAgain(c *decision.Class) bool {
	switch c.Effect {
	case decision.NonIdempotent:
		return true
	case decision.IdempotentByKey:
		return c.Scope != decision.ScopeAll
	}
	return false
}

// Reconfigure sets the classes and the maximum number of attempts, here and in the gateway, for requests that are
// submitted from now on. Pending requests keep the values that they were submitted with.
func (d *Dispatcher[H]) Reconfigure(classes []decision.Class, maxAttempts int) {
	d.setClasses(classes, maxAttempts)
	d.gateway.Reconfigure(classes, maxAttempts)
}

// Pending returns the number of pending requests.
func (d *Dispatcher[H]) Pending() int { return len(d.pending) }

// Submit assigns an ID to a request, adds it to the pending requests and passes it to the decision module.
func (d *Dispatcher[H]) Submit(now decision.Seconds, r decision.Request, host H) (*Request[H], []Effect) {
	d.lastID++
	r.ID = d.lastID
	q := &Request[H]{
		Host:     host,
		id:       r.ID,
		deadline: now + r.TimeLeft,
		streamed: r.Streamed,
		machine:  d.machineOf(&r),
	}
	d.pending[q.id] = q
	return q, d.Handle(now, r)
}

// machineOf returns the initial state machine of a request. Its rules are those of the class terms that the request
// carries, or else of the configured class with that name.
func (d *Dispatcher[H]) machineOf(r *decision.Request) Machine {
	if c := r.ClassTerms; c != nil {
		return Machine{
			AtMostOnce:    c.Effect != decision.Idempotent,
			NoClientRetry: clientRetryMayRunAgain(c),
			MaxAttempts:   cmp.Or(c.MaxAttempts, d.maxAttempts),
		}
	}
	return Machine{
		AtMostOnce:    d.atMostOnce[r.Class],
		NoClientRetry: d.noClientRetry[r.Class],
		MaxAttempts:   d.maxAttempts,
	}
}

// AttemptEnded reports the outcome of the attempt in flight. If the client has disconnected, the decision NoAnswer
// follows. Otherwise no decision follows decision.Succeeded, because the host forwards the answer to the client.
func (d *Dispatcher[H]) AttemptEnded(now decision.Seconds, q *Request[H], outcome decision.Outcome) []Effect {
	d.effects = nil
	abandoned := q.phase() == Abandoned
	finished, err := q.machine.AttemptEnded(outcome)
	if err != nil {
		d.effects = append(d.effects, IllegalTransition[H]{q, err})
		return d.effects
	}
	if finished && !mutants.On("attempt/ended-stays") {
		delete(d.pending, q.id)
	}
	d.handle(now, decision.AttemptEnded{
		ID:           q.id,
		Attempt:      q.lastAttempt(),
		Backend:      q.backend,
		Outcome:      outcome,
		Duration:     now - q.sentAt,
		Answered:     finished,
		BodyConsumed: q.machine.bodyConsumed && !mutants.On("attempt/spent-untold"),
	})
	if abandoned && !mutants.On("attempt/gone-untold") {
		d.effects = append(d.effects, Notify[H]{q, Decision{Kind: NoAnswer}})
	}
	return d.effects
}

// ConsumeBody records that part of a request's body has been read and cannot be read again.
func (d *Dispatcher[H]) ConsumeBody(q *Request[H]) { q.machine.ConsumeBody() }

// ShouldAbandon reports whether the host should cancel the attempt in flight because it is slow, so that another
// attempt can be made. An attempt that could not be repeated is never cancelled for this reason. This is unrelated to
// the phase Abandoned, in which the client has disconnected.
func (d *Dispatcher[H]) ShouldAbandon(now decision.Seconds, q *Request[H]) bool {
	if q.phase() != InFlight || q.machine.AtMostOnce || q.machine.bodyConsumed {
		return false
	}
	return d.gateway.ShouldAbandon(now, q.id) || mutants.On("attempt/impatient-always")
}

// BodyUploaded reports that a request's streamed body has been written completely. The duration of the attempt is
// measured from now on, because the upload depends on the client and not on the server.
func (d *Dispatcher[H]) BodyUploaded(now decision.Seconds, q *Request[H]) {
	q.sentAt = now
	d.gateway.BodyUploaded(now, q.id)
}

// ClientDisconnected reports that the client no longer waits for an answer. The host must still report the end of an
// attempt in flight.
func (d *Dispatcher[H]) ClientDisconnected(now decision.Seconds, q *Request[H]) []Effect {
	d.effects = nil
	if q.phase() != Waiting && q.phase() != InFlight {
		return nil
	}
	finished := q.machine.ClientDisconnected()
	if finished {
		delete(d.pending, q.id)
	}
	if !mutants.On("attempt/leaving-untold") {
		d.handle(now, decision.ClientDisconnected{ID: q.id})
	}
	if finished {
		d.effects = append(d.effects, Notify[H]{q, Decision{Kind: NoAnswer}})
	}
	return d.effects
}

// Handle passes an event to the decision module.
func (d *Dispatcher[H]) Handle(now decision.Seconds, event decision.Event) []Effect {
	d.effects = nil
	d.handle(now, event)
	return d.effects
}

func (d *Dispatcher[H]) handle(now decision.Seconds, event decision.Event) {
	actions := d.gateway.Handle(now, event)
	switch event.(type) {
	case decision.Timer, decision.CounterReply:
		d.gateway.ReapplyGrants(now) // the event may have begun a counter cycle, which replaces the grants
	}
	for _, action := range actions {
		switch a := action.(type) {
		case decision.Send:
			d.send(now, a)
		case decision.Reject:
			d.reject(a)
		case decision.Fail:
			d.fail(a)
		case decision.Cancel:
			d.cancel(a)
		case decision.SetTimer:
			d.effects = append(d.effects, Timer{a})
		case decision.CounterCall:
			d.effects = append(d.effects, CounterCall{a})
		}
	}
}

// send carries out the decision to start an attempt. If the state machine forbids the attempt while the request waits
// for a decision, the request fails instead.
func (d *Dispatcher[H]) send(now decision.Seconds, a decision.Send) {
	q := d.pending[a.ID]
	if q == nil {
		return
	}
	if err := q.machine.Send(); err != nil {
		d.effects = append(d.effects, IllegalTransition[H]{q, err})
		if q.phase() == Waiting {
			d.finish(q, q.machine.Fail(), Decision{Kind: Fail})
		}
		return
	}
	q.backend, q.sentAt = a.Backend, now
	if q.streamed {
		d.gateway.BodyUploading(q.id)
	}
	deadline := q.deadline
	if mutants.On("attempt/no-time-out") {
		deadline += 60
	}
	if a.Timeout > 0 {
		deadline = min(deadline, now+a.Timeout)
	}
	d.effects = append(d.effects, Notify[H]{q, Decision{
		Kind:      Send,
		Backend:   a.Backend,
		Deadline:  deadline,
		OverQuota: a.OverQuota,
		SlowAfter: a.SlowAfter,
	}})
}

// reject carries out the decision to reject a request.
func (d *Dispatcher[H]) reject(a decision.Reject) {
	q := d.pending[a.ID]
	if q == nil || q.phase() == Abandoned {
		return
	}
	d.finish(q, q.machine.Reject(), Decision{Kind: Reject, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
}

// fail carries out the decision that a request has failed.
func (d *Dispatcher[H]) fail(a decision.Fail) {
	q := d.pending[a.ID]
	if q == nil || q.phase() == Abandoned {
		return
	}
	final := Decision{Kind: Fail}
	if mutants.On("attempt/fail-refuses") {
		final.Kind = Reject
	}
	d.finish(q, q.machine.Fail(), final)
}

// cancel carries out the decision to cancel an attempt, if it is the last one and may have been executed. The host
// ignores the cancellation if the attempt has already ended. With finishNonIdempotent, an attempt that must be executed
// at most once is not cancelled when its client disconnects.
func (d *Dispatcher[H]) cancel(a decision.Cancel) {
	q := d.pending[a.ID]
	if q == nil || !q.machine.MayHaveExecuted() || a.Attempt != q.lastAttempt() {
		return
	}
	if d.finishNonIdempotent && q.machine.AtMostOnce && q.phase() == Abandoned {
		return
	}
	if !mutants.On("attempt/cancel-lost") {
		d.effects = append(d.effects, CancelAttempt[H]{q, a.Attempt})
	}
}

// finish delivers the final decision on a request. err is the result of the state machine's transition. If err is not
// nil, for example because a rejection is unsafe, a request that waits for a decision fails instead.
func (d *Dispatcher[H]) finish(q *Request[H], err error, final Decision) {
	if err != nil {
		d.effects = append(d.effects, IllegalTransition[H]{q, fmt.Errorf("%v: %w", final.Kind, err)})
		if q.phase() != Waiting {
			return
		}
		_ = q.machine.Fail() // cannot fail while waiting
		final = Decision{Kind: Fail}
	}
	delete(d.pending, q.id)
	d.effects = append(d.effects, Notify[H]{q, final})
}
