package modelcheck

import (
	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// attemptStage is where an attempt is, between the steps of the pool.
type attemptStage int

const (
	stageDialing   attemptStage = iota // its connection is being opened
	stageHolding                       // all but the last byte is written; of a streamed request, the head alone
	stageUploading                     // its body is being uploaded
	stageWriting                       // a single write of it is not complete
	stageAwaiting                      // it is written completely
)

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	client         *client
	backend        string
	deadline       decision.Seconds
	conn           *connection // nil until one is reserved or being opened
	stage          attemptStage
	cancelled      bool
	slowAfter      decision.Seconds // after writtenAt, when the pool asks whether to abandon it; 0: never
	writtenAt      decision.Seconds
	foreignAnswers int // answers to other requests that were passed over
}

// failure returns how an attempt perceives a failure: a cancellation hides any other cause.
func (pa *pendingAttempt) failure(f upstreamconn.Failure) upstreamconn.Failure {
	if pa.cancelled {
		return upstreamconn.Cancelled
	}
	return f
}

// startAttempt is what the pool does first: it takes a connection or opens one, and writes the request.
func (w *world) startAttempt(pending *pendingAttempt) {
	c := pending.client
	c.attempt = pending
	if _, serving := w.lookup(pending.backend); !serving || pending.cancelled {
		w.attemptEnded(pending, decision.NotSent)
		return
	}
	conn, outcome := w.takeConnection(pending)
	switch {
	case conn == nil:
		w.attemptEnded(pending, outcome)
	case w.config.SlowDials && conn.Uses() == 0:
		pending.conn, pending.stage = conn, stageDialing
	default:
		w.beginAttempt(pending, conn)
	}
}

// beginAttempt is what the pool does with a connection that is open.
func (w *world) beginAttempt(pending *pendingAttempt, conn *connection) {
	c := pending.client
	if conn.current != nil {
		other := conn.current.client.name
		w.violate(propertyExclusive, "%s begins on a connection that %s is on", c.name, other)
	}
	if conn.closed {
		w.violate(propertyUnusable, "%s begins on a connection that has ended", c.name)
	}
	if err := conn.Begin(); err != nil {
		w.checkLegal(err)
		w.attemptEnded(pending, decision.ConnectionReset)
		return
	}
	address, serving := w.lookup(pending.backend)
	if !upstreamconn.MayBegin(serving, address == conn.address, pending.cancelled, pending.deadline-w.now) {
		w.applyVerdict(pending, conn, conn.NotBegun())
		return
	}
	pending.conn, conn.current = conn, pending
	w.checkBegun(pending)
	conditions := upstreamconn.WriteConditions{
		New:        conn.Uses() == 1,
		IdleFor:    w.now - conn.answeredAt,
		AtMostOnce: c.atMostOnce,
	}
	switch {
	case c.streamed || w.lossHistory.HoldLastByte(pending.backend, w.now, conditions):
		pending.stage = stageHolding
	case w.config.OddServers:
		pending.stage = stageWriting
	default:
		w.requestWritten(pending)
	}
}

// checkBegun checks that a request may be written to the server that its connection leads to.
func (w *world) checkBegun(pending *pendingAttempt) {
	c := pending.client
	s := w.server(pending.backend)
	switch {
	case s == nil || !s.listed:
		w.violate(propertyRemoved, "%s begins at %s, which is gone", c.name, pending.backend)
	case !s.serving:
		w.violate(propertyDraining, "%s begins at %s, which is known to drain", c.name, s.id)
	case s.address != pending.conn.address:
		w.violate(propertyRemoved, "%s begins at an address that is another server's", c.name)
	}
	if machine := c.request.Machine(); machine.BodyConsumed() {
		w.violate(propertyBodyOnce, "%s begins again, and its body has gone", c.name)
	}
}

// checkDrainedServer checks that a request whose last byte, or first byte of a streamed body, is released is not new to
// a server that drains or was removed. Nothing of the request has run before that byte. What follows the first byte of
// a streamed body is not new to the server (PROTOCOL, "Figures").
func (w *world) checkDrainedServer(pending *pendingAttempt) {
	s := w.server(pending.backend)
	if s == nil || s.listed && s.serving {
		return
	}
	if w.now > s.drainingSince+drainGrace+tolerance {
		w.violate(
			propertyDraining,
			"%s goes out to %s %.2f s after that was told to be drained",
			pending.client.name,
			s.id,
			w.now-s.drainingSince,
		)
	}
}

// requestWritten records that the last byte of a request was sent: from now on the server may run it.
func (w *world) requestWritten(pending *pendingAttempt) {
	c, conn := pending.client, pending.conn
	w.checkLegal(conn.Written())
	pending.stage, pending.writtenAt = stageAwaiting, w.now
	c.writtenTo[pending.backend] = true
	conn.previousClient, conn.lastClient = conn.lastClient, c
	if c.streamed {
		w.dispatcher.BodyUploaded(w.now, c.request)
	}
	if c.possibleExecutions++; c.atMostOnce && c.possibleExecutions > 1 {
		w.violate(propertyAtMostOnce, "%s must not run twice, and may have", c.name)
	}
}

// checkSlow is the pool asking the dispatcher whether to abandon an attempt that has become slow.
func (w *world) checkSlow(pending *pendingAttempt) {
	c, conn := pending.client, pending.conn
	stillPending := w.advanceDuring(pending, pending.writtenAt+pending.slowAfter)
	if !stillPending || pending.cancelled || !w.dispatcher.ShouldAbandon(w.now, c.request) {
		return
	}
	switch {
	case w.draining:
		w.violate(
			propertyAbandonedOnPurpose,
			"%s is given up by patience, and this process leaves",
			c.name,
		)
	case c.atMostOnce:
		w.violate(
			propertyAbandonedOnPurpose,
			"%s is given up by patience, and must not run twice",
			c.name,
		)
	}
	before := c.attempts
	conn.unusable = true
	w.applyVerdict(pending, conn, conn.FailedAwaiting(upstreamconn.TimedOut))
	if c.attempts == before && !c.disconnected { // the other server may turn out to be down: that counts as an attempt
		w.violate(
			propertyAbandonedResumes,
			"%s is given up by patience, and goes to no other server",
			c.name,
		)
	}
}

// expireAttempt ends an attempt whose deadline has passed, or that was cancelled.
func (w *world) expireAttempt(pending *pendingAttempt) {
	if pending.stage == stageDialing {
		w.dialFailed(pending)
		return
	}
	conn := pending.conn
	conn.unusable = true
	if pending.stage == stageAwaiting {
		w.applyVerdict(pending, conn, conn.FailedAwaiting(pending.failure(upstreamconn.TimedOut)))
		return
	}
	// a write that passes its deadline looks like a lost connection
	w.applyVerdict(pending, conn, conn.FailedWriting(pending.failure(upstreamconn.ConnectionLost)))
}

// attemptEnded reports the end of an attempt to the dispatcher, and answers the client if it was served, as ingress
// does.
func (w *world) attemptEnded(pending *pendingAttempt, outcome decision.Outcome) {
	c := pending.client
	c.attempt = nil
	if outcome == decision.Succeeded {
		w.answerClient(c, statusServed)
		c.finalDecisions++
		if c.finalDecisions > 1 {
			w.violate(propertyOneAnswer, "%s is served after its last word", c.name)
		}
		if machine := c.request.Machine(); machine.Phase() == attempt.Abandoned {
			c.finalDecisions-- // NoAnswer follows: the answer went to nobody
		}
	}
	w.applyEffects(w.dispatcher.AttemptEnded(w.now, c.request, outcome))
	w.checkInvariants()
}
