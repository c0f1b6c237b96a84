package modelcheck

import (
	"fmt"

	"mulleinrouter/internal/dataplane/attempt"
)

// Violation is a property that does not hold, and a description of how it was violated.
type Violation struct{ Property, Text string }

// The names of the properties of requests, attempts and connections to servers. Traces store them.
const (
	// propertyLegal: no state machine receives an event for which its state has no transition, and the phase of a
	// request says whether an attempt is in flight.
	propertyLegal = "legal"
	// propertyOneAnswer: a client gets one answer, and its request one final decision.
	propertyOneAnswer = "one-answer"
	// propertyInTime: a request is answered at most answerSlack after its deadline, and no attempt may take longer than
	// the deadline.
	propertyInTime = "in-time"
	// propertyAnsweredAtEnd: no request finishes without a final decision.
	propertyAnsweredAtEnd = "given-up-is-answered"
	// propertyOneAttempt: attempts of a request do not overlap.
	propertyOneAttempt = "one-attempt-at-a-time"
	// propertyMaxAttempts: no request has more attempts than the settings allow.
	propertyMaxAttempts = "four-attempts"
	// propertyAtMostOnce: a non-idempotent request runs once at most.
	propertyAtMostOnce = "never-twice"
	// propertyHarmlessRejection: a non-idempotent request that is rejected, so that its client may send it again, has
	// not run.
	propertyHarmlessRejection = "refusal-is-harmless"
	// propertyBodyOnce: a body that has been consumed is not sent again.
	propertyBodyOnce = "spent-is-spent"
	// propertyAbandonedOnPurpose: a slow attempt is not abandoned during a shutdown, nor if its request is
	// non-idempotent.
	propertyAbandonedOnPurpose = "planned-is-kept"
	// propertyAbandonedResumes: a request whose slow attempt was abandoned is sent to another server.
	propertyAbandonedResumes = "given-up-goes-on"
	// propertyDisconnectCancels: the attempt of a client that disconnected is cancelled.
	propertyDisconnectCancels = "left-is-cancelled"
	// propertyDraining: no attempt begins at a server that is known to drain. More than drainGrace after a server was
	// listed as draining or removed, no delayed last byte and no first byte of a streamed body is sent to it.
	propertyDraining = "drained"
	// propertyRemoved: no attempt begins at a server that was removed from the endpoint list, nor at an address that
	// its server no longer has.
	propertyRemoved = "nothing-new-to-the-gone"
	// propertyExclusive: a connection carries one request at a time.
	propertyExclusive = "one-request-on-a-connection"
	// propertyUnusable: a connection whose state is in doubt is not used again, and closes once.
	propertyUnusable = "spoilt-is-spoilt"
	// propertyBounded: connections and foreign answers stay within their limits.
	propertyBounded = "bounded"
	// propertyNothingLeft: nothing is pending once all requests have finished.
	propertyNothingLeft = "nothing-left"
)

// violate records the first violation of a property.
func (w *world) violate(property, format string, args ...any) {
	for _, v := range w.violations {
		if v.Property == property {
			return
		}
	}
	w.violations = append(w.violations, Violation{property, fmt.Sprintf(format, args...)})
}

// checkLegal records a transition that a state machine rejected.
func (w *world) checkLegal(err error) {
	if err != nil {
		w.violate(propertyLegal, "%v", err)
	}
}

// checkInvariants checks the properties that must hold between events.
func (w *world) checkInvariants() {
	if w.applying {
		return // the dispatcher is ahead of the effects that are still to be carried out
	}
	for _, c := range w.clients {
		w.checkClient(c)
	}
	if n := w.idlePool.Open(); n > w.idlePool.Max {
		w.violate(propertyBounded, "%d connections are open", n)
	}
}

func (w *world) checkClient(c *client) {
	machine := c.request.Machine()
	phase := machine.Phase()
	if c.disconnected && c.attempt != nil && !c.attempt.cancelled {
		w.violate(propertyDisconnectCancels, "%s has disconnected, but its attempt is not cancelled", c.name)
	}
	if phase == attempt.Finished && c.finalDecisions == 0 {
		w.violate(propertyAnsweredAtEnd, "%s is finished without a final decision", c.name)
	}
	inFlight := phase == attempt.InFlight || phase == attempt.Abandoned
	if phase == attempt.Waiting && c.attempt != nil || inFlight && c.attempt == nil {
		w.violate(propertyLegal, "%s is %v, attempt in flight: %v", c.name, phase, c.attempt != nil)
	}
}

// checkNothingLeft checks the properties that must hold long after the last event.
func (w *world) checkNothingLeft() {
	for _, c := range w.clients {
		if !c.finished {
			w.violate(propertyInTime, "%s has no answer long after its deadline", c.name)
		}
		if c.attempt != nil {
			w.violate(propertyNothingLeft, "%s still has an attempt in flight", c.name)
		}
	}
	if n := w.dispatcher.Pending(); n > 0 {
		w.violate(propertyNothingLeft, "%d requests are still pending in the dispatcher", n)
	}
	if open, idle := w.idlePool.Open(), w.idleConnections(); open != idle {
		w.violate(propertyNothingLeft, "%d connections count as open, %d are idle", open, idle)
	}
	if len(w.timers) > 1 { // the gateway always sets a timer for its next tick
		w.violate(propertyNothingLeft, "%d timers are set", len(w.timers))
	}
}

// idleConnections counts the idle connections to all servers.
func (w *world) idleConnections() (idle int) {
	counted := map[string]bool{}
	for _, s := range w.servers {
		if !counted[s.id] {
			idle += w.idlePool.Idle(s.id)
		}
		counted[s.id] = true
	}
	return idle
}
