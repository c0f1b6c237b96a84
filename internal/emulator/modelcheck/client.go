package modelcheck

import (
	"fmt"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/decision"
)

// The status of a finished request, as its client sees it.
const (
	statusServed       = "served"
	statusRejected     = "refused"
	statusFailed       = "failed"
	statusDisconnected = "gone"
)

// client is a client with exactly one request. A request that is sent again belongs to another client.
type client struct {
	name         string
	request      *attempt.Request[*client]
	atMostOnce   bool // whether the request is non-idempotent
	streamed     bool // whether its body is uploaded while the client sends it
	submittedAt  decision.Seconds
	attempt      *pendingAttempt // nil if none is in flight
	attempts     int             // number of attempts started
	writtenTo    map[string]bool // servers to which the request was written completely
	stream       *connection     // connection that streams the body of the answer; nil if there is none
	disconnected bool
	retried      bool // whether the request was sent again

	finished       bool
	status         string
	answers        int // number of answers that the client has received
	finalDecisions int // number of decisions that end the request; a served answer counts as one

	possibleExecutions int // number of attempts that a server may have run
}

// clientRequest describes a request.
type clientRequest struct {
	atMostOnce bool
	streamed   bool
	retry      bool // whether the client repeats a request
}

// submitRequest adds a client that sends a request.
func (w *world) submitRequest(r clientRequest) {
	c := &client{
		name:        fmt.Sprint("c", len(w.clients)+1),
		atMostOnce:  r.atMostOnce,
		streamed:    r.streamed,
		submittedAt: w.now,
		writtenTo:   map[string]bool{},
	}
	w.clients = append(w.clients, c)
	gateways := 1
	if w.config.Sparse {
		gateways = 5 // with the burst of the small plan, so many gateways make the customer sparse
	}
	var effects []attempt.Effect
	c.request, effects = w.dispatcher.Submit(w.now, decision.Request{
		Class:       className(r.atMostOnce),
		Plan:        plans[w.planIndex].Name,
		Customer:    customer,
		TimeLeft:    requestDeadline,
		Units:       1,
		Gateways:    gateways,
		ClientRetry: r.retry,
		Streamed:    r.streamed,
	}, c)
	w.applyEffects(effects)
}

// applyEffects carries out effects as the engine, the ingress and the pool do together. Effects that result from
// carrying one out are queued behind the others, because the engine delivers all decisions on an event under its mutex.
func (w *world) applyEffects(effects []attempt.Effect) {
	w.effects = append(w.effects, effects...)
	if w.applying {
		return
	}
	w.applying = true
	defer func() { w.applying = false }()
	for len(w.effects) > 0 {
		effect := w.effects[0]
		w.effects = w.effects[1:]
		switch effect := effect.(type) {
		case attempt.Notify[*client]:
			w.deliver(effect.Request.Host, effect.Decision)
		case attempt.CancelAttempt[*client]:
			if c := effect.Request.Host; c.attempt != nil && c.attempts == effect.Attempt+1 {
				c.attempt.cancelled = true
			}
		case attempt.Timer:
			w.timers = append(w.timers, effect.SetTimer)
		case attempt.CounterCall:
			w.counterCalls = append(w.counterCalls, effect.Name)
		case attempt.IllegalTransition[*client]:
			w.checkLegal(effect.Err)
		}
	}
}

// deliver passes a decision to a client's connection.
func (w *world) deliver(c *client, d attempt.Decision) {
	if d.Kind == attempt.Send {
		w.deliverSend(c, d)
		return
	}
	c.finalDecisions++
	if c.finalDecisions > 1 {
		w.violate(propertyOneAnswer, "%s has %d final decisions", c.name, c.finalDecisions)
	}
	if c.attempt != nil {
		w.violate(propertyOneAttempt, "%s gets the decision %v while an attempt is in flight", c.name, d.Kind)
	}
	switch d.Kind {
	case attempt.Reject:
		if c.atMostOnce && c.possibleExecutions > 0 {
			w.violate(
				propertyHarmlessRejection,
				"%s must not run twice and may have run, but was rejected",
				c.name,
			)
		}
		w.answerClient(c, statusRejected)
	case attempt.Fail:
		w.answerClient(c, statusFailed)
	case attempt.NoAnswer:
		if !c.disconnected && !w.attemptsAborted {
			w.violate(propertyOneAnswer, "%s is still connected, but gets no answer", c.name)
		}
		c.status, c.finished = statusDisconnected, true
	}
}

// deliverSend starts an attempt.
func (w *world) deliverSend(c *client, d attempt.Decision) {
	if c.attempt != nil {
		w.violate(propertyOneAttempt, "%s has two attempts in flight", c.name)
	}
	if c.finalDecisions > 0 {
		w.violate(propertyOneAnswer, "%s is sent to a server after its final decision", c.name)
	}
	if c.attempts++; c.attempts > maxAttempts {
		w.violate(propertyMaxAttempts, "%s has %d attempts", c.name, c.attempts)
	}
	if d.Deadline > c.submittedAt+requestDeadline+tolerance {
		w.violate(
			propertyInTime,
			"%s may be in flight until %.2f s after it was submitted",
			c.name,
			d.Deadline-c.submittedAt,
		)
	}
	w.startAttempt(&pendingAttempt{client: c, backend: d.Backend, deadline: d.Deadline, slowAfter: d.SlowAfter})
}

// answerClient answers a request, unless its client has disconnected.
func (w *world) answerClient(c *client, status string) {
	c.finished = true
	if c.disconnected {
		return
	}
	c.status = status
	if c.answers++; c.answers > 1 {
		w.violate(propertyOneAnswer, "%s got %d answers", c.name, c.answers)
	}
	if late := w.now - c.submittedAt - requestDeadline; late > answerSlack+tolerance {
		w.violate(propertyInTime, "%s is answered %.2f s after its deadline", c.name, late)
	}
}
