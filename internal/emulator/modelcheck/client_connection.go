package modelcheck

import (
	"fmt"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/decision"
)

// The names of the properties of clients' connections.
const (
	// propertyRequestKept: once a request has begun to arrive, its connection is closed only if it arrives too slowly.
	propertyRequestKept = "taken-is-taken"
	// propertyRequestAnswered: once a request has arrived, its connection is not closed before it is answered.
	propertyRequestAnswered = "taken-is-answered"
	// propertyPendingServed: a request that has begun to arrive while the previous one was answered is served, if that
	// answer did not announce that it was the last.
	propertyPendingServed = "read-is-taken"
	// propertyCloseAnnounced: the answer on a connection that is being closed announces that it is the last.
	propertyCloseAnnounced = "last-is-told"
	// propertyCloseFollows: a connection closes after an answer that announces that it is the last.
	propertyCloseFollows = "last-is-last"
	// propertyDrainCloses: a connection that is idle during a drain is being closed.
	propertyDrainCloses = "drained-ends"
	// propertyIdleCloses: a connection that is idle for too long is closed.
	propertyIdleCloses = "silent-ends"
	// propertySlowHeadCloses: a connection on which a request head takes too long is closed.
	propertySlowHeadCloses = "slow-ends"
	// propertyStallCloses: a connection on which nothing more arrives of a buffered body is closed.
	propertyStallCloses = "stall-ends"
	// propertySlowBodyCloses: a connection on which a body arrives at too low a rate is closed.
	propertySlowBodyCloses = "trickle-ends"
	// propertyStuckAnswerCloses: a connection whose client does not read its answer is closed.
	propertyStuckAnswerCloses = "stuck-ends"
)

// Bounds of the properties on slow clients. The times exceed the timeouts of clientconn by more than sweepInterval, so
// that a timeout is noticed before the property counts as violated. The rate is that of clientconn.
const (
	// maxWait is the longest time that a connection may be idle, a head may take, or a body may stall, in seconds.
	maxWait = 3
	// bodyGracePeriod is the time that a body may take whatever its rate, in seconds.
	bodyGracePeriod = 2.5
	// minBodyRate is the lowest rate of a body beyond bodyGracePeriod, in bytes a second.
	minBodyRate = 32 << 10
)

// sweepInterval is the interval between two checks of the timeouts, in seconds.
const sweepInterval = 0.25

// clientConnection is the connection of one client: its state machine, and the few steps that the ingress takes between
// two transitions. It contains no pointer to mutable state that copies would share, so that copies are independent.
type clientConnection struct {
	machine          clientconn.Machine
	now              decision.Seconds
	keepOpen         bool // false during a drain
	mustServePending bool // whether propertyPendingServed applies
	crowded          bool // the process is short of connections
	requests         int  // number of requests that have begun to arrive
	nextReceived     bool // the first bytes of the next request have arrived while one is pending
	readsInterrupted bool // its reads were interrupted, and the reader has not noticed yet
	bodyUnread       bool // a part of a streamed body has not been read
	lastAnswer       bool // the answer announces that it is the last
	closed           bool
	interruptedIn    clientconn.State // state in which closeFor closed it
	waitingSince     decision.Seconds // start of the wait for the current read, or for the next chunk of a body
	bodyWait         decision.Seconds // total wait for the chunks of the body that have arrived
	bodyBytes        int              // bytes of the body that have arrived
	violation        *Violation       // the first violation
}

func (cc *clientConnection) violate(property, format string, args ...any) {
	if cc.violation == nil {
		cc.violation = &Violation{property, fmt.Sprintf(format, args...)}
	}
}

// enter moves the machine to a state, and reports whether the connection stays open.
func (cc *clientConnection) enter(to clientconn.State) (open bool) {
	open, resumeReads, err := cc.machine.Enter(to, cc.now, cc.keepOpen)
	if err != nil {
		cc.violate(propertyLegal, "%v", err)
	}
	if resumeReads {
		cc.readsInterrupted = false
	}
	reads := to == clientconn.ReadingHead || to == clientconn.ReadingBody || to == clientconn.Uploading
	if reads && cc.readsInterrupted {
		cc.violate(propertyRequestKept, "a request has begun to arrive, but its reads are interrupted")
	}
	return open
}

// beginRequest reads the first byte of a request. The time for the head of the first request begins when the connection
// is accepted.
func (cc *clientConnection) beginRequest() {
	if cc.requests++; cc.requests > 1 {
		cc.waitingSince = cc.now
	}
	cc.enter(clientconn.ReadingHead)
}

// beginBody begins or resumes reading a body.
func (cc *clientConnection) beginBody(state clientconn.State) {
	cc.enter(state)
	cc.bodyWait, cc.bodyBytes = 0, 0
	cc.awaitBody()
}

func (cc *clientConnection) awaitBody() {
	cc.machine.AwaitBody(cc.now)
	cc.waitingSince = cc.now
}

func (cc *clientConnection) receiveBody(bytes int) {
	cc.bodyWait += cc.now - cc.waitingSince
	cc.bodyBytes += bytes
	cc.machine.BodyReceived(cc.now, bytes)
}

// receiveLastByte reads the end of a body.
func (cc *clientConnection) receiveLastByte() {
	cc.receiveBody(1)
	cc.bodyUnread = false
}

// answer does what the ingress does once the answer to a request is known.
func (cc *clientConnection) answer() {
	cc.lastAnswer = cc.machine.CloseAfterAnswer(cc.crowded, cc.keepOpen)
	if code := cc.machine.CloseCode(); code != "" && !cc.lastAnswer {
		cc.violate(propertyCloseAnnounced, "the connection is closing (%s), but its answer does not say so", code)
	}
	cc.enter(clientconn.Answering)
}

// answered does what the ingress does once the answer is written completely.
func (cc *clientConnection) answered() {
	switch {
	case cc.lastAnswer:
		cc.enter(clientconn.Lingering)
		cc.closed = true
	case cc.bodyUnread:
		cc.beginBody(clientconn.Discarding)
	default:
		cc.becomeIdle()
	}
}

// becomeIdle waits for the next request, or reads it if it has begun to arrive.
func (cc *clientConnection) becomeIdle() {
	cc.waitingSince = cc.now
	open := cc.enter(clientconn.Idle)
	switch {
	case open && cc.lastAnswer:
		cc.violate(propertyCloseFollows, "the connection stays open after its last answer")
	case cc.nextReceived && (open || cc.machine.ServesPending()):
		cc.nextReceived = false
		cc.readsInterrupted = cc.readsInterrupted || !open
		cc.beginRequest()
	case !open:
		if cc.nextReceived && !cc.lastAnswer && cc.mustServePending {
			cc.violate(
				propertyPendingServed,
				"a request has begun to arrive and no close was announced to its client, but it is dropped",
			)
		}
		cc.closed = true
	}
}

// rejectRequest answers a request that is malformed or too slow, and closes the connection.
func (cc *clientConnection) rejectRequest() {
	cc.enter(clientconn.Answering)
	cc.enter(clientconn.Lingering)
	cc.closed = true
}

// noticeInterrupt does what the reader does when its read was interrupted.
func (cc *clientConnection) noticeInterrupt() {
	code, state := cc.machine.CloseCode(), cc.machine.State()
	switch {
	case state == clientconn.Idle:
		cc.closed = true
	case code == clientconn.CodeEvicted && cc.interruptedIn == state:
		cc.closed = true // evicted for its slowness, before its request was accepted
	case code != clientconn.CodeSlowRequest:
		cc.violate(propertyRequestKept, "a request that was arriving was closed as %s", code)
	case state == clientconn.Discarding:
		cc.closed = true
	default:
		cc.rejectRequest()
	}
}

// closeFor closes the connection from outside, for the reason that a log code names.
func (cc *clientConnection) closeFor(code string) {
	state := cc.machine.State()
	if state == clientconn.Deciding {
		cc.violate(propertyRequestAnswered, "closed as %s in the state %v", code, state)
	}
	cc.interruptedIn = state
	interrupt := cc.machine.Close(code)
	cc.readsInterrupted = cc.readsInterrupted || interrupt.Reads
	if cc.machine.State() == clientconn.Answering {
		if !interrupt.Writes {
			cc.violate(propertyStuckAnswerCloses, "the write of an answer that nobody reads is not interrupted")
		}
		cc.closed = true
	}
}

// evict closes the connection to make room for another one, if it may be evicted.
func (cc *clientConnection) evict() {
	if cc.machine.Evictable(cc.now) {
		cc.closeFor(clientconn.CodeEvicted)
	}
}

// drain does what the process does with the connection at the start of a drain.
func (cc *clientConnection) drain() {
	cc.keepOpen = false
	if cc.machine.ClosesOnDrain() {
		cc.closeFor(clientconn.CodeDrain)
	}
}

// passTime advances the clock, and checks the timeouts at each sweep.
func (cc *clientConnection) passTime(seconds decision.Seconds) {
	for end := cc.now + seconds; cc.now < end && !cc.closed; {
		if cc.readsInterrupted { // an interrupted read returns at once
			cc.noticeInterrupt()
			return
		}
		cc.now += sweepInterval
		if code := cc.machine.TimeoutCode(cc.now); code != "" {
			cc.closeFor(code)
		}
	}
	if cc.readsInterrupted && !cc.closed {
		cc.noticeInterrupt()
	}
	if !cc.closed {
		cc.checkWait()
	}
}

// checkWait checks that the connection is not kept open for a client that is too slow.
func (cc *clientConnection) checkWait() {
	wait := cc.now - cc.waitingSince
	switch state := cc.machine.State(); state {
	case clientconn.Idle:
		if wait > maxWait {
			cc.violate(propertyIdleCloses, "idle for %.1f s", wait)
		}
	case clientconn.ReadingHead:
		if wait > maxWait {
			cc.violate(propertySlowHeadCloses, "a head has been arriving for %.1f s", wait)
		}
	case clientconn.ReadingBody, clientconn.Uploading, clientconn.Discarding:
		if wait > maxWait && state == clientconn.ReadingBody {
			cc.violate(propertyStallCloses, "no byte of a body has arrived for %.1f s", wait)
		}
		if cc.bodyWait+wait > bodyGracePeriod+float64(cc.bodyBytes)/minBodyRate {
			cc.violate(propertySlowBodyCloses, "%d bytes in %.1f s", cc.bodyBytes, cc.bodyWait+wait)
		}
	}
}

// checkDrain checks that an idle connection does not survive a drain.
func (cc *clientConnection) checkDrain() {
	open := !cc.closed && cc.machine.CloseCode() == ""
	if open && !cc.keepOpen && cc.machine.State() == clientconn.Idle {
		cc.violate(propertyDrainCloses, "idle during a drain, but not being closed")
	}
}
