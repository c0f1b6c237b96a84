package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// maxForeignAnswers is how many answers to other requests a connection may skip before it is closed.
const maxForeignAnswers = 8

// answerEvent is an answer that a server may give.
type answerEvent struct {
	kind   string
	answer upstreamconn.Answer
}

// answerEvents are the answers to a request that was sent completely.
var answerEvents = []answerEvent{
	{eventOK, upstreamconn.Answer{Status: 200}},
	{eventOKClose, upstreamconn.Answer{Status: 200, Close: true}},
	{eventOKTrailingBytes, upstreamconn.Answer{Status: 200, TrailingBytes: true}},
	{eventError, upstreamconn.Answer{Status: 500}},
	{eventNotProcessed, upstreamconn.Answer{Status: 503, NotProcessed: true}},
	{eventTimeoutNotProcessed, upstreamconn.Answer{Status: 504, NotProcessed: true}},
	{eventUnavailable, upstreamconn.Answer{Status: 503}},
}

// earlyAnswerEvents are the answers while the body is still going up.
var earlyAnswerEvents = []answerEvent{
	{eventEarlyOK, upstreamconn.Answer{Status: 200}},
	{eventEarlyError, upstreamconn.Answer{Status: 500}},
	{eventEarlyNotProcessed, upstreamconn.Answer{Status: 503, NotProcessed: true}},
}

// attemptEvents returns what may become of an attempt that has a connection.
func (w *world) attemptEvents(pending *pendingAttempt) []event {
	var events []event
	switch pending.stage {
	case stageDialing:
		return w.dialingEvents(pending)
	case stageHolding:
		events = w.holdingEvents(pending)
	case stageUploading:
		events = w.uploadingEvents(pending)
	case stageWriting:
		events = w.writingEvents(pending)
	case stageAwaiting:
		events = w.awaitingEvents(pending)
	}
	if !pending.cancelled {
		return events
	}
	cancelLands := eventAbout(pending.client.name, eventCancelLands, func() { w.expireAttempt(pending) })
	return append([]event{cancelLands}, events...)
}

func (w *world) dialingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	events := []event{
		eventAbout(name, eventConnects, func() { w.beginAttempt(pending, pending.conn) }),
		eventAbout(name, eventDialFails, func() { w.dialFailed(pending) }),
	}
	if pending.cancelled {
		events = append(events, eventAbout(name, eventCancelLands, func() { w.dialFailed(pending) }))
	}
	return events
}

func (w *world) holdingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		eventAbout(name, eventLastByte, func() { w.releaseLastByte(pending) }),
		eventAbout(name, eventBreaksHolding, func() { w.failWriting(pending) }),
		eventAbout(name, eventSpeaksHolding, func() { w.failWriting(pending) }),
	}
}

// releaseLastByte sends the delayed part of a request, if the server is still listed and the attempt not cancelled.
func (w *world) releaseLastByte(pending *pendingAttempt) {
	conn := pending.conn
	if _, serving := w.lookup(pending.backend); !upstreamconn.MayRelease(serving, pending.cancelled) {
		conn.unusable = true // half a request is on it
		w.applyVerdict(pending, conn, conn.FailedWriting(upstreamconn.Cancelled))
		return
	}
	w.checkDrainedServer(pending)
	if pending.client.streamed {
		pending.stage = stageUploading
		w.dispatcher.ConsumeBody(pending.client.request)
		return
	}
	w.requestWritten(pending)
}

// failWriting closes a connection on which a request is not completely written.
func (w *world) failWriting(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable = true
	w.lossHistory.Record(pending.backend, w.now)
	w.applyVerdict(pending, conn, conn.FailedWriting(pending.failure(upstreamconn.ConnectionLost)))
}

// writingEvents returns the ends of a single write: it went out completely, or broke before its last byte.
func (w *world) writingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		eventAbout(name, eventWritten, func() { w.requestWritten(pending) }),
		eventAbout(name, eventBreaksWriting, func() { w.failWriting(pending) }),
	}
}

func (w *world) uploadingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	events := []event{
		eventAbout(name, eventUploaded, func() { w.requestWritten(pending) }),
		eventAbout(name, eventUploadBreaks, func() { w.failWriting(pending) }),
		eventAbout(name, eventUploadAbandoned, func() { w.abandonUpload(pending) }),
	}
	for _, e := range earlyAnswerEvents {
		events = append(events, eventAbout(name, e.kind, func() { w.answeredEarly(pending, e.answer) }))
	}
	return events
}

// abandonUpload disconnects a client whose body is going up: nobody waits for the answer.
func (w *world) abandonUpload(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable, pending.cancelled = true, true
	w.disconnect(pending.client)
	w.applyVerdict(pending, conn, conn.FailedWriting(upstreamconn.Cancelled))
}

func (w *world) answeredEarly(pending *pendingAttempt, answer upstreamconn.Answer) {
	conn := pending.conn
	conn.unusable = true // half a request is on it
	if !answer.NotProcessed {
		pending.client.possibleExecutions++ // the server may have read enough to run it
	}
	w.applyVerdict(pending, conn, conn.AnsweredEarly(answer))
}

func (w *world) awaitingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	var events []event
	if pending.slowAfter > 0 {
		events = append(events, eventAbout(name, eventSlowAttempt, func() { w.checkSlow(pending) }))
	}
	if w.config.OddServers {
		events = append(events, w.oddAnswerEvents(pending)...)
	}
	for _, e := range answerEvents {
		events = append(events, eventAbout(name, e.kind, func() { w.answered(pending, e.answer) }))
	}
	return append(
		events,
		eventAbout(name, eventInterim, func() {}), // the reader passes over it
		eventAbout(name, eventMalformed, func() {
			w.failAwaiting(pending, pending.failure(upstreamconn.Malformed))
		}),
		eventAbout(name, eventBreaksAwaiting, func() { w.loseAwaiting(pending) }),
		eventAbout(name, eventTimesOut, func() { w.timeOut(pending) }),
	)
}

func (w *world) answered(pending *pendingAttempt, answer upstreamconn.Answer) {
	conn := pending.conn
	// a cancellation may change the connection's deadline at any time
	conn.unusable = conn.unusable || answer.Close || answer.TrailingBytes || pending.cancelled
	conn.notProcessed = answer.NotProcessed
	if answer.NotProcessed {
		pending.client.possibleExecutions--
	}
	w.applyVerdict(pending, conn, conn.Answered(answer, pending.cancelled))
}

// failAwaiting ends an attempt for which no answer will come.
func (w *world) failAwaiting(pending *pendingAttempt, failure upstreamconn.Failure) {
	conn := pending.conn
	conn.unusable = true
	w.applyVerdict(pending, conn, conn.FailedAwaiting(failure))
}

// loseAwaiting is the server closing the connection in place of an answer.
func (w *world) loseAwaiting(pending *pendingAttempt) {
	failure := pending.failure(upstreamconn.ConnectionLost)
	if failure == upstreamconn.ConnectionLost {
		w.lossHistory.Record(pending.backend, w.now)
	}
	w.failAwaiting(pending, failure)
}

// timeOut lets time pass until the attempt's deadline: timers run, and other attempts time out. It does nothing more
// if the attempt ends meanwhile. One that is cancelled does not wait.
func (w *world) timeOut(pending *pendingAttempt) {
	failure := pending.failure(upstreamconn.TimedOut)
	if failure == upstreamconn.TimedOut && !w.advanceDuring(pending, pending.deadline) {
		return
	}
	w.failAwaiting(pending, failure)
}

// oddAnswerEvents returns what servers send beside the answer that is awaited, and answers that are streamed.
func (w *world) oddAnswerEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		eventAbout(name, eventUnidentified, func() { w.answeredUnidentified(pending) }),
		eventAbout(name, eventOKStreamed, func() { w.answerBegins(pending) }),
		eventAbout(name, eventForeignAnswer, func() { w.foreignAnswer(pending) }),
	}
}

// answeredUnidentified is an answer that does not say which request it belongs to.
func (w *world) answeredUnidentified(pending *pendingAttempt) {
	conn := pending.conn
	conn.unidentified, conn.notProcessed = true, true
	conn.unusable = conn.unusable || pending.cancelled
	pending.client.possibleExecutions--
	w.applyVerdict(pending, conn, conn.Answered(notProcessedAnswer, pending.cancelled))
}

// answerBegins is the head of an answer whose body is streamed.
func (w *world) answerBegins(pending *pendingAttempt) {
	conn := pending.conn
	conn.notProcessed = false
	conn.unusable = conn.unusable || pending.cancelled
	w.applyVerdict(pending, conn, conn.BeginStreaming(upstreamconn.Answer{Status: 200}, pending.cancelled))
}

// foreignAnswer is a copy of the answer before in place of the one awaited.
func (w *world) foreignAnswer(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable = true
	// it looks like this request's answer if it names no request, or one of the same client
	indistinguishable := conn.unidentified || conn.previousClient == pending.client
	if conn.notProcessed && indistinguishable {
		w.applyVerdict(pending, conn, conn.Answered(notProcessedAnswer, pending.cancelled))
		return
	}
	if pending.foreignAnswers++; pending.foreignAnswers > maxForeignAnswers {
		w.violate(
			propertyBounded,
			"%s has passed over %d answers to others",
			pending.client.name,
			pending.foreignAnswers,
		)
	}
	if !conn.ForeignAnswer() {
		w.applyVerdict(pending, conn, conn.FailedAwaiting(upstreamconn.Malformed))
	}
}

var notProcessedAnswer = upstreamconn.Answer{Status: 503, NotProcessed: true}
