package upstreamconn

import (
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// State is a state of a connection.
type State uint8

// The states. Nothing more is written to or read from a connection that is Ended.
const (
	Idle      State = iota // open, without a request
	Writing                // a request is being written, but not its last byte yet
	Awaiting               // a request has been written completely and its answer is awaited
	Streaming              // the answer has been accepted for the client; its body is read as it arrives
	Ended
)

var stateNames = [...]string{"idle", "writing", "awaiting", "streaming", "ended"}

func (s State) String() string { return stateNames[s] }

// maxForeignAnswers bounds the number of answers to other requests that are skipped before the awaited answer, because
// a server could send them endlessly.
const maxForeignAnswers = 4

// Machine is the state machine of a connection. The zero value represents a connection that has just been opened.
type Machine struct {
	state            State
	uses             int  // requests that have begun on the connection
	foreignAnswers   int  // answers to other requests that have arrived
	mayExecute       bool // the server may execute the request, although it has not been written completely
	closeAfterStream bool // while streaming: the connection is not reused, however the body ends
}

// State returns the state.
func (m *Machine) State() State { return m.state }

// Uses returns how many requests have begun on the connection.
func (m *Machine) Uses() int { return m.uses }

// Begin starts a request on the connection.
func (m *Machine) Begin() error {
	if m.state != Idle {
		return fmt.Errorf("begin while %v: %w", m.state, ErrState)
	}
	m.state = Writing
	m.mayExecute = false
	m.uses++
	return nil
}

// NotBegun ends an attempt before any byte was written, because MayBegin forbade it. The connection is still usable.
func (m *Machine) NotBegun() Verdict {
	if m.state != Writing {
		return m.illegal("not begun")
	}
	m.state = Idle
	m.uses--
	return Verdict{Outcome: decision.NotSent, Reusable: true}
}

// MayExecute records that the server may execute the request although it has not been written completely: in a dialect
// whose servers start as soon as the head has arrived, the head has been written, or the server has begun to answer.
func (m *Machine) MayExecute() error {
	if m.state != Writing {
		return fmt.Errorf("may execute while %v: %w", m.state, ErrState)
	}
	m.mayExecute = true
	return nil
}

// FailedWriting ends an attempt before the last byte of its request was written: the write failed, the server sent
// something or closed the connection, or the attempt was cancelled. The request was not executed, unless MayExecute was
// called before. If it was not executed and the connection was used before, the server may only have dropped an idle
// connection, which says nothing about the server's health, so another connection may be tried. If the connection was
// new, no other connection is tried.
func (m *Machine) FailedWriting(failure Failure) Verdict {
	if m.state != Writing {
		return m.illegal("failed writing")
	}
	m.state = Ended
	if mutants.On("upstreamconn/unwritten-kept") {
		m.state = Idle
		return Verdict{Outcome: decision.ConnectionRefused, Reusable: true}
	}
	if m.mayExecute {
		return unprovenVerdict(failure)
	}
	if failure == Cancelled {
		return Verdict{Outcome: decision.NotSent, Code: "upstream-not-needed"}
	}
	return Verdict{
		Outcome:           decision.ConnectionRefused,
		TryNextConnection: m.uses > 1,
		Code:              "upstream-write-failed",
	}
}

// AnsweredEarly ends an attempt by an answer that arrived before the last byte of its request was written. The
// connection is closed, because the request on it is incomplete. Only a rejection in the form of the protocol proves
// that the request was not executed.
func (m *Machine) AnsweredEarly(a Answer) Verdict {
	if m.state != Writing {
		return m.illegal("answered early")
	}
	m.state = Ended
	if mutants.On("upstreamconn/early-kept") {
		m.state = Idle
		return Verdict{Outcome: OutcomeOf(a), Reusable: true}
	}
	return Verdict{Outcome: OutcomeOf(a), Code: "upstream-early-answer"}
}

// Written records that the last byte of the request has been written. From now on, the server may execute the request.
func (m *Machine) Written() error {
	if m.state != Writing {
		return fmt.Errorf("written while %v: %w", m.state, ErrState)
	}
	m.state = Awaiting
	return nil
}

// ForeignAnswer records that an answer to another request arrived instead of the awaited one. skip means that the host
// skips it, because the awaited answer may follow; the connection is not reused afterwards. Otherwise there have been
// too many such answers.
func (m *Machine) ForeignAnswer() (skip bool) {
	if m.state != Awaiting {
		return false
	}
	m.foreignAnswers++
	return m.foreignAnswers <= maxForeignAnswers || mutants.On("upstreamconn/others-endless")
}

// Answered ends an attempt by its answer. The answer is valid even if bytes follow it or if the attempt is cancelled at
// the same time, but in these cases the connection is closed.
func (m *Machine) Answered(a Answer, cancelled bool) Verdict {
	if m.state != Awaiting {
		return m.illegal("answered")
	}
	code := m.closeCode(a, cancelled)
	m.state = Ended
	if code == "" {
		m.state = Idle
	}
	return Verdict{Outcome: OutcomeOf(a), Answered: true, Reusable: code == "", Code: code}
}

// closeCode returns the log code with which the connection is closed after an answer; "": it is reusable.
func (m *Machine) closeCode(a Answer, cancelled bool) string {
	switch {
	case a.TrailingBytes && !mutants.On("upstreamconn/more-kept"):
		return "upstream-bad-answer"
	case m.foreignAnswers > 0 && !mutants.On("upstreamconn/other-kept"):
		return "upstream-bad-answer" // more foreign answers may follow
	case a.Close && !mutants.On("upstreamconn/close-kept"):
		return "upstream-close"
	case cancelled && !mutants.On("upstreamconn/cancelled-kept"):
		return "upstream-not-needed" // the cancellation may still change the deadline of the connection at any time
	}
	return ""
}

// BeginStreaming ends an attempt by an answer whose body is read as it arrives. The connection stays in use until
// StreamEnded.
func (m *Machine) BeginStreaming(a Answer, cancelled bool) Verdict {
	v := m.Answered(a, cancelled)
	if v.Err == nil {
		m.state = Streaming
		m.closeAfterStream = !v.Reusable
		v.Reusable = false
	}
	return v
}

// StreamEnded records the end of a streamed body, which is complete or was cut off by either side.
func (m *Machine) StreamEnded(complete, trailingBytes bool) Verdict {
	reusable := m.state == Streaming && !m.closeAfterStream
	m.state = Ended
	switch {
	case !complete && !mutants.On("upstreamconn/cut-kept"):
		return Verdict{Code: "upstream-stream-cut"}
	case trailingBytes && !mutants.On("upstreamconn/stream-more-kept"), !reusable:
		return Verdict{Code: "upstream-stream-ended"}
	}
	m.state = Idle
	return Verdict{Reusable: true}
}

// FailedAwaiting ends an attempt without an answer after its request was written completely. The server may have
// executed the request, or may still execute it.
func (m *Machine) FailedAwaiting(failure Failure) Verdict {
	if m.state != Awaiting {
		return m.illegal("failed awaiting")
	}
	m.state = Ended
	switch {
	case mutants.On("upstreamconn/reset-proves") && failure == ConnectionLost:
		return Verdict{Outcome: decision.ConnectionRefused, Code: "upstream-reset"}
	case mutants.On("upstreamconn/late-proves") && failure == TimedOut:
		return Verdict{Outcome: decision.NotSent, Code: "upstream-timeout"}
	case mutants.On("upstreamconn/cancel-proves") && failure == Cancelled:
		return Verdict{Outcome: decision.NotSent, Code: "upstream-cancelled"}
	case mutants.On("upstreamconn/spoilt-kept") && failure == Malformed:
		m.state = Idle
		return Verdict{Outcome: decision.Failed, Reusable: true}
	}
	return unprovenVerdict(failure)
}

// unprovenVerdict is the verdict of a failed attempt whose request may have been executed, or may still be.
func unprovenVerdict(failure Failure) Verdict {
	switch failure {
	case Cancelled:
		return Verdict{Outcome: decision.Cancelled, Code: "upstream-cancelled"}
	case TimedOut:
		return Verdict{Outcome: decision.TimedOut, Code: "upstream-timeout"}
	case Malformed:
		return Verdict{Outcome: decision.Failed, Code: "upstream-bad-answer"}
	}
	return Verdict{Outcome: decision.ConnectionReset, Code: "upstream-reset"}
}

// Drop closes an idle connection.
func (m *Machine) Drop() { m.state = Ended }

// illegal returns the safe verdict for an event that the state does not allow, which is a bug of the host: the
// connection is closed, and the request on it may have been executed.
func (m *Machine) illegal(event string) Verdict {
	err := fmt.Errorf("%s while %v: %w", event, m.state, ErrState)
	m.state = Ended
	return Verdict{Outcome: decision.ConnectionReset, Code: "upstream-illegal", Err: err}
}
