package modelcheck

import (
	"fmt"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/decision"
)

// The properties of clients' connections.
const (
	// propertyRequestKept: once a request has begun to arrive, its connection is not closed, unless for its slowness.
	propertyRequestKept = "taken-is-taken"
	// propertyRequestAnswered: once a request has arrived, its connection is not closed before it is answered.
	propertyRequestAnswered = "taken-is-answered"
	// propertyPendingServed: a request that has begun to arrive while the one before was answered is served, if its
	// client was not notified that the answer was the last.
	propertyPendingServed = "read-is-taken"
	// propertyCloseAnnounced: the answer on a connection that is being closed says that it is the last.
	propertyCloseAnnounced = "last-is-told"
	// propertyCloseFollows: a connection closes after an answer that says that it is the last.
	propertyCloseFollows = "last-is-last"
	// propertyDrainCloses: a connection that is idle during a drain is being closed.
	propertyDrainCloses = "drained-ends"
	// propertyIdleCloses: a connection that is idle for too long is closed.
	propertyIdleCloses = "silent-ends"
	// propertySlowHeadCloses: so is one on which a head takes too long,
	propertySlowHeadCloses = "slow-ends"
	// propertyStallCloses: one on which nothing arrives of a body that is buffered,
	propertyStallCloses = "stall-ends"
	// propertySlowBodyCloses: one on which a body arrives at too low a rate,
	propertySlowBodyCloses = "trickle-ends"
	// propertyStuckAnswerCloses: and one whose client does not read its answer.
	propertyStuckAnswerCloses = "stuck-ends"
)

// Bounds of the properties on slow clients, which exceed the timeouts of clientconn by more than the interval of its
// sweep.
const (
	// maxWait is for how long a connection may be idle, a head take, or a body stall, in seconds.
	maxWait = 3
	// bodyGracePeriod is the time that a body may take in any case, in seconds.
	bodyGracePeriod = 2.5
	// minBodyRate is the rate at which it must arrive from then on, in bytes a second.
	minBodyRate = 32 << 10
)

// sweepInterval is how often timeouts are checked, in seconds.
const sweepInterval = 0.25

// clientConnection is one client's connection: its machine, and the few steps that the ingress takes in between. It
// holds no pointer to what changes, so that copies are independent.
type clientConnection struct {
	machine          clientconn.Machine
	now              decision.Seconds
	keepOpen         bool // false during a drain
	mustServePending bool // whether propertyPendingServed applies
	crowded          bool // connections are short
	requests         int
	nextReceived     bool // while a request is pending, the first bytes of the next one have arrived
	readsInterrupted bool // its reads were interrupted, and the reader has not noticed yet
	bodyUnread       bool // a part of a streamed body has not been read
	lastAnswer       bool // the answer says that it is the last
	closed           bool
	interruptedIn    clientconn.State // in which it was closed from outside
	waitingSince     decision.Seconds // for what is being read, or its next chunk
	bodyWait         decision.Seconds // total, for the chunks of the body that have arrived
	bodyBytes        int
	violation        *Violation // the first
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
		cc.violate(propertyRequestKept, "a request has begun, and its reads are cut")
	}
	return open
}

// beginRequest reads the first byte of a request.
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

// answer is what ingress does once the answer to a request is known.
func (cc *clientConnection) answer() {
	cc.lastAnswer = cc.machine.CloseAfterAnswer(cc.crowded, cc.keepOpen)
	if code := cc.machine.CloseCode(); code != "" && !cc.lastAnswer {
		cc.violate(propertyCloseAnnounced, "it is being ended (%s), and its answer does not say so", code)
	}
	cc.enter(clientconn.Answering)
}

// answered is the answer having been written completely.
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

// becomeIdle awaits the next request, or reads it if it has begun to arrive.
func (cc *clientConnection) becomeIdle() {
	cc.waitingSince = cc.now
	open := cc.enter(clientconn.Idle)
	switch {
	case open && cc.lastAnswer:
		cc.violate(propertyCloseFollows, "it goes on after its last answer")
	case cc.nextReceived && (open || cc.machine.ServesPending()):
		cc.nextReceived = false
		cc.readsInterrupted = cc.readsInterrupted || !open
		cc.beginRequest()
	case !open:
		if cc.nextReceived && !cc.lastAnswer && cc.mustServePending {
			cc.violate(
				propertyPendingServed,
				"a request has been read, its client was not told to go, and it is dropped",
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

// noticeInterrupt is what the reader does when its read was interrupted.
func (cc *clientConnection) noticeInterrupt() {
	code, state := cc.machine.CloseCode(), cc.machine.State()
	switch {
	case state == clientconn.Idle:
		cc.closed = true
	case code == clientconn.CodeEvicted && cc.interruptedIn == state:
		cc.closed = true // evicted for its slowness, before its request was accepted
	case code != clientconn.CodeSlowRequest:
		cc.violate(propertyRequestKept, "a request that was coming in was ended as %s", code)
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
		cc.violate(propertyRequestAnswered, "ended as %s while %v", code, state)
	}
	cc.interruptedIn = state
	interrupt := cc.machine.Close(code)
	cc.readsInterrupted = cc.readsInterrupted || interrupt.Reads
	if cc.machine.State() == clientconn.Answering {
		if !interrupt.Writes {
			cc.violate(propertyStuckAnswerCloses, "an answer that nobody reads is written for ever")
		}
		cc.closed = true
	}
}

// evict closes the connection in favour of another one, if it may be evicted.
func (cc *clientConnection) evict() {
	if cc.machine.Evictable(cc.now) {
		cc.closeFor(clientconn.CodeEvicted)
	}
}

// drain is the process beginning to drain.
func (cc *clientConnection) drain() {
	cc.keepOpen = false
	if cc.machine.ClosesOnDrain() {
		cc.closeFor(clientconn.CodeDrain)
	}
}

// passTime lets time pass, with the sweeps that check timeouts.
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
			cc.violate(propertySlowHeadCloses, "a head comes for %.1f s", wait)
		}
	case clientconn.ReadingBody, clientconn.Uploading, clientconn.Discarding:
		if wait > maxWait && state == clientconn.ReadingBody {
			cc.violate(propertyStallCloses, "nothing came of a body for %.1f s", wait)
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
		cc.violate(propertyDrainCloses, "idle in a drain, and nothing ends it")
	}
}
