package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
)

// maxForeignAnswers is the number of answers to other requests that one attempt may skip before propertyBounded counts
// as violated. It is above the limit of upstreamconn.Machine, which closes the connection earlier.
const maxForeignAnswers = 8

// answerEvent is a kind of event, and the answer of the server in it.
type answerEvent struct {
	kind   string
	answer upstreamconn.Answer
}

// answerEvents lists the answers to a request that was sent completely.
var answerEvents = []answerEvent{
	{eventOK, upstreamconn.Answer{Status: 200}},
	{eventOKClose, upstreamconn.Answer{Status: 200, Close: true}},
	{eventOKTrailingBytes, upstreamconn.Answer{Status: 200, TrailingBytes: true}},
	{eventError, upstreamconn.Answer{Status: 500}},
	{eventNotProcessed, upstreamconn.Answer{Status: 503, NotProcessed: true}},
	{eventTimeoutNotProcessed, upstreamconn.Answer{Status: 504, NotProcessed: true}},
	{eventUnavailable, upstreamconn.Answer{Status: 503}},
}

// earlyAnswerEvents lists the answers that arrive while the body is still being uploaded.
var earlyAnswerEvents = []answerEvent{
	{eventEarlyOK, upstreamconn.Answer{Status: 200}},
	{eventEarlyError, upstreamconn.Answer{Status: 500}},
	{eventEarlyNotProcessed, upstreamconn.Answer{Status: 503, NotProcessed: true}},
}

// attemptEvents returns the events that may happen to an attempt that has a connection.
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
	cancelLands := subjectEvent(pending.client.name, eventCancelLands, func() { w.expireAttempt(pending) })
	return append([]event{cancelLands}, events...)
}

func (w *world) dialingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	events := []event{
		subjectEvent(name, eventConnects, func() { w.beginAttempt(pending, pending.conn) }),
		subjectEvent(name, eventDialFails, func() { w.dialFailed(pending) }),
	}
	if pending.cancelled {
		events = append(events, subjectEvent(name, eventCancelLands, func() { w.dialFailed(pending) }))
	}
	return events
}

func (w *world) holdingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		subjectEvent(name, eventLastByte, func() { w.releaseLastByte(pending) }),
		subjectEvent(name, eventBreaksHolding, func() { w.failWriting(pending) }),
		subjectEvent(name, eventSpeaksHolding, func() { w.failWriting(pending) }),
	}
}

// releaseLastByte sends the delayed part of a request, if the server is still listed as serving and the attempt is not
// cancelled.
func (w *world) releaseLastByte(pending *pendingAttempt) {
	conn := pending.conn
	if _, serving := w.lookup(pending.backend); !upstreamconn.MayRelease(serving, pending.cancelled) {
		conn.unusable = true // a part of a request was written on it
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

// failWriting ends an attempt whose connection was lost before the request was completely written, or on which the
// server sent something by then.
func (w *world) failWriting(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable = true
	w.lossHistory.Record(pending.backend, w.now)
	w.applyVerdict(pending, conn, conn.FailedWriting(pending.failure(upstreamconn.ConnectionLost)))
}

// writingEvents returns the possible ends of a single write: it completes, or the connection breaks before its last
// byte.
func (w *world) writingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		subjectEvent(name, eventWritten, func() { w.requestWritten(pending) }),
		subjectEvent(name, eventBreaksWriting, func() { w.failWriting(pending) }),
	}
}

func (w *world) uploadingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	events := []event{
		subjectEvent(name, eventUploaded, func() { w.requestWritten(pending) }),
		subjectEvent(name, eventUploadBreaks, func() { w.failWriting(pending) }),
		subjectEvent(name, eventUploadAbandoned, func() { w.abandonUpload(pending) }),
	}
	for _, e := range earlyAnswerEvents {
		events = append(events, subjectEvent(name, e.kind, func() { w.answeredEarly(pending, e.answer) }))
	}
	return events
}

// abandonUpload disconnects a client whose body is being uploaded, so that nobody waits for the answer.
func (w *world) abandonUpload(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable, pending.cancelled = true, true
	w.disconnect(pending.client)
	w.applyVerdict(pending, conn, conn.FailedWriting(upstreamconn.Cancelled))
}

func (w *world) answeredEarly(pending *pendingAttempt, answer upstreamconn.Answer) {
	conn := pending.conn
	conn.unusable = true // a part of a request was written on it
	if !answer.NotProcessed {
		pending.client.possibleExecutions++ // the server may have received enough of the request to run it
	}
	w.applyVerdict(pending, conn, conn.AnsweredEarly(answer))
}

func (w *world) awaitingEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	var events []event
	if pending.slowAfter > 0 {
		events = append(events, subjectEvent(name, eventSlowAttempt, func() { w.checkSlow(pending) }))
	}
	if w.config.OddServers {
		events = append(events, w.oddAnswerEvents(pending)...)
	}
	for _, e := range answerEvents {
		events = append(events, subjectEvent(name, e.kind, func() { w.answered(pending, e.answer) }))
	}
	return append(
		events,
		subjectEvent(name, eventInterim, func() {}), // the reader skips it
		subjectEvent(name, eventMalformed, func() {
			w.failAwaiting(pending, pending.failure(upstreamconn.Malformed))
		}),
		subjectEvent(name, eventBreaksAwaiting, func() { w.loseAwaiting(pending) }),
		subjectEvent(name, eventTimesOut, func() { w.timeOut(pending) }),
	)
}

func (w *world) answered(pending *pendingAttempt, answer upstreamconn.Answer) {
	conn := pending.conn
	// A cancellation may change the connection's deadline at any time.
	conn.unusable = conn.unusable || answer.Close || answer.TrailingBytes || pending.cancelled
	conn.notProcessed = answer.NotProcessed
	if answer.NotProcessed {
		pending.client.possibleExecutions--
	}
	w.applyVerdict(pending, conn, conn.Answered(answer, pending.cancelled))
}

// failAwaiting ends an attempt that will not receive an answer.
func (w *world) failAwaiting(pending *pendingAttempt, failure upstreamconn.Failure) {
	conn := pending.conn
	conn.unusable = true
	w.applyVerdict(pending, conn, conn.FailedAwaiting(failure))
}

// loseAwaiting ends an attempt whose server closed the connection instead of answering.
func (w *world) loseAwaiting(pending *pendingAttempt) {
	failure := pending.failure(upstreamconn.ConnectionLost)
	if failure == upstreamconn.ConnectionLost {
		w.lossHistory.Record(pending.backend, w.now)
	}
	w.failAwaiting(pending, failure)
}

// timeOut advances the clock to the attempt's deadline, while timers fire and other attempts time out, and then fails
// the attempt, unless it has ended meanwhile. A cancelled attempt fails at once.
func (w *world) timeOut(pending *pendingAttempt) {
	failure := pending.failure(upstreamconn.TimedOut)
	if failure == upstreamconn.TimedOut && !w.advanceDuring(pending, pending.deadline) {
		return
	}
	w.failAwaiting(pending, failure)
}

// oddAnswerEvents returns the events of Config.OddServers: answers that name no request, answers to other requests,
// and streamed answers.
func (w *world) oddAnswerEvents(pending *pendingAttempt) []event {
	name := pending.client.name
	return []event{
		subjectEvent(name, eventUnidentified, func() { w.answeredUnidentified(pending) }),
		subjectEvent(name, eventOKStreamed, func() { w.beginStreamedAnswer(pending) }),
		subjectEvent(name, eventForeignAnswer, func() { w.foreignAnswer(pending) }),
	}
}

// answeredUnidentified handles an answer that does not identify its request, and says that it was not processed.
func (w *world) answeredUnidentified(pending *pendingAttempt) {
	conn := pending.conn
	conn.unidentified, conn.notProcessed = true, true
	conn.unusable = conn.unusable || pending.cancelled
	pending.client.possibleExecutions--
	w.applyVerdict(pending, conn, conn.Answered(notProcessedAnswer, pending.cancelled))
}

// beginStreamedAnswer handles the head of an answer whose body is streamed.
func (w *world) beginStreamedAnswer(pending *pendingAttempt) {
	conn := pending.conn
	conn.notProcessed = false
	conn.unusable = conn.unusable || pending.cancelled
	w.applyVerdict(pending, conn, conn.BeginStreaming(upstreamconn.Answer{Status: 200}, pending.cancelled))
}

// foreignAnswer handles a copy of the previous answer that arrives instead of the expected one.
func (w *world) foreignAnswer(pending *pendingAttempt) {
	conn := pending.conn
	conn.unusable = true
	// The copy looks like this request's answer if it names no request, or one of the same client.
	indistinguishable := conn.unidentified || conn.previousClient == pending.client
	if conn.notProcessed && indistinguishable {
		w.applyVerdict(pending, conn, conn.Answered(notProcessedAnswer, pending.cancelled))
		return
	}
	if pending.foreignAnswers++; pending.foreignAnswers > maxForeignAnswers {
		w.violate(
			propertyBounded,
			"%s has skipped %d answers to other requests",
			pending.client.name,
			pending.foreignAnswers,
		)
	}
	if !conn.ForeignAnswer() {
		w.applyVerdict(pending, conn, conn.FailedAwaiting(upstreamconn.Malformed))
	}
}

var notProcessedAnswer = upstreamconn.Answer{Status: 503, NotProcessed: true}
