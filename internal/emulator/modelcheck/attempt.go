package modelcheck

import (
	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// attemptStage is the stage that an attempt has reached between the steps of the connection pool.
type attemptStage int

const (
	stageDialing   attemptStage = iota // the connection is being opened
	stageHolding                       // everything but the last byte is written; for a streamed request only the head
	stageUploading                     // the body is being uploaded
	stageWriting                       // the single write of the request is not complete
	stageAwaiting                      // the request is written completely
)

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	client    *client
	backend   string
	deadline  decision.Seconds
	conn      *connection // nil until one has been taken from the pool or is being opened
	stage     attemptStage
	cancelled bool
	// slowAfter is the time after writtenAt at which the pool asks whether to abandon the attempt. 0 means that it
	// never asks.
	slowAfter      decision.Seconds
	writtenAt      decision.Seconds
	foreignAnswers int // answers to other requests that were skipped
}

// failure returns the failure that an attempt reports: a cancellation hides any other cause.
func (pa *pendingAttempt) failure(f upstreamconn.Failure) upstreamconn.Failure {
	if pa.cancelled {
		return upstreamconn.Cancelled
	}
	return f
}

// startAttempt does the first step of the pool: it takes or opens a connection, and writes the request.
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

// beginAttempt does what the pool does once the connection is open.
func (w *world) beginAttempt(pending *pendingAttempt, conn *connection) {
	c := pending.client
	if conn.current != nil {
		other := conn.current.client.name
		w.violate(propertyExclusive, "%s begins on a connection that %s is using", c.name, other)
	}
	if conn.closed {
		w.violate(propertyUnusable, "%s begins on a connection that is closed", c.name)
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
		w.violate(propertyRemoved, "%s begins at %s, which was removed", c.name, pending.backend)
	case !s.serving:
		w.violate(propertyDraining, "%s begins at %s, which is known to drain", c.name, s.id)
	case s.address != pending.conn.address:
		w.violate(propertyRemoved, "%s begins at an address that now belongs to another server", c.name)
	}
	if machine := c.request.Machine(); machine.BodyConsumed() {
		w.violate(propertyBodyOnce, "%s begins again, but its body has been consumed", c.name)
	}
}

// checkDrainedServer is called when the delayed last byte of a request, or the first byte of a streamed body, is about
// to be sent. It checks that the server has not been listed as draining, or removed, for longer than drainGrace. Before
// that byte no part of the request can have run, so that it can still be sent to another server. Bytes after the first
// one of a streamed body may go to a draining server (PROTOCOL, "Figures").
func (w *world) checkDrainedServer(pending *pendingAttempt) {
	s := w.server(pending.backend)
	if s == nil || s.listed && s.serving {
		return
	}
	if w.now > s.drainingSince+drainGrace+tolerance {
		w.violate(
			propertyDraining,
			"%s is sent to %s %.2f s after that server was listed as draining",
			pending.client.name,
			s.id,
			w.now-s.drainingSince,
		)
	}
}

// requestWritten records that the last byte of a request was sent. From then on the server may run the request.
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
		w.violate(propertyAtMostOnce, "%s must not run twice, but may have done so", c.name)
	}
}

// checkSlow advances the clock until an attempt counts as slow, and does what the pool does then: it asks the
// dispatcher whether to abandon the attempt.
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
			"%s is abandoned as slow while this process shuts down",
			c.name,
		)
	case c.atMostOnce:
		w.violate(
			propertyAbandonedOnPurpose,
			"%s is abandoned as slow, but must not run twice",
			c.name,
		)
	}
	before := c.attempts
	conn.unusable = true
	w.applyVerdict(pending, conn, conn.FailedAwaiting(upstreamconn.TimedOut))
	// An attempt at another server that refuses connections counts as well.
	if c.attempts == before && !c.disconnected {
		w.violate(
			propertyAbandonedResumes,
			"%s is abandoned as slow, but is sent to no other server",
			c.name,
		)
	}
}

// expireAttempt ends an attempt whose deadline has passed or that was cancelled.
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
	// A write that passes its deadline looks like a lost connection.
	w.applyVerdict(pending, conn, conn.FailedWriting(pending.failure(upstreamconn.ConnectionLost)))
}

// attemptEnded reports the end of an attempt to the dispatcher. Like the ingress, it first answers the client if the
// attempt succeeded.
func (w *world) attemptEnded(pending *pendingAttempt, outcome decision.Outcome) {
	c := pending.client
	c.attempt = nil
	if outcome == decision.Succeeded {
		w.answerClient(c, statusServed)
		c.finalDecisions++
		if c.finalDecisions > 1 {
			w.violate(propertyOneAnswer, "%s is served after its final decision", c.name)
		}
		if machine := c.request.Machine(); machine.Phase() == attempt.Abandoned {
			c.finalDecisions-- // NoAnswer follows, because the client has disconnected
		}
	}
	w.applyEffects(w.dispatcher.AttemptEnded(w.now, c.request, outcome))
	w.checkInvariants()
}
