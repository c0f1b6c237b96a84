package upstreamconn

import (
	"fmt"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// State is a state of a connection.
type State uint8

// The states. On a connection that is Ended nothing more is written or read.
const (
	Idle      State = iota // open, without a request
	Writing                // a request is being written; its last byte has not been
	Awaiting               // a request has been written completely, its answer is awaited
	Streaming              // the answer is the client's; its body is read as it arrives
	Ended
)

var stateNames = [...]string{"idle", "writing", "awaiting", "streaming", "ended"}

func (s State) String() string { return stateNames[s] }

// maxForeignAnswers bounds the answers to other requests that are skipped before the awaited one: a server could send
// them without end.
const maxForeignAnswers = 4

// Machine is the state machine of one connection. Its zero value is a connection that has just been opened.
type Machine struct {
	state            State
	uses             int
	foreignAnswers   int  // answers to other requests that have arrived
	closeAfterStream bool // while streaming: the connection is not used again, however the body ends
}

// State returns the state.
func (m *Machine) State() State { return m.state }

// Uses returns how many requests have begun on the connection.
func (m *Machine) Uses() int { return m.uses }

// Begin takes the connection for a request.
func (m *Machine) Begin() error {
	if m.state != Idle {
		return fmt.Errorf("begin while %v: %w", m.state, ErrState)
	}
	m.state = Writing
	m.uses++
	return nil
}

// NotBegun returns the connection before a byte of the request was written: MayBegin forbade it.
func (m *Machine) NotBegun() Verdict {
	if m.state != Writing {
		return m.illegal("not begun")
	}
	m.state = Idle
	m.uses--
	return Verdict{Outcome: decision.NotSent, Reusable: true}
}

// FailedWriting is the end before the last byte of a request was written: the write failed, the server sent something
// or closed before, or the attempt was cancelled. Nothing has run. That a server has forgotten an idle connection
// says nothing of the server, so another connection may replace it; a new connection is the last to be tried.
func (m *Machine) FailedWriting(failure Failure) Verdict {
	if m.state != Writing {
		return m.illegal("failed writing")
	}
	m.state = Ended
	if mutants.On("upstreamconn/unwritten-kept") {
		m.state = Idle
		return Verdict{Outcome: decision.ConnectionRefused, Reusable: true}
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

// AnsweredEarly is the end by an answer that arrived before the last byte of a request was written. The connection is
// closed: half a request is on it. A server starts a request with its last byte, but one that answers with an error may
// have read enough to: only a rejection in the protocol's form proves that nothing has run.
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

// Written records that the last byte of the request has been written. From now on it may run.
func (m *Machine) Written() error {
	if m.state != Writing {
		return fmt.Errorf("written while %v: %w", m.state, ErrState)
	}
	m.state = Awaiting
	return nil
}

// ForeignAnswer records that an answer to another request arrived in place of the awaited one. Skip: it is skipped, for
// the awaited one may follow, and the connection is not used again. Otherwise there have been too many.
func (m *Machine) ForeignAnswer() (skip bool) {
	if m.state != Awaiting {
		return false
	}
	m.foreignAnswers++
	return m.foreignAnswers <= maxForeignAnswers || mutants.On("upstreamconn/others-endless")
}

// Answered is the end by an answer. With bytes behind it, it answers its request all the same, but the connection is
// closed; so it does if the attempt was cancelled at the same time.
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

// closeCode returns the log code for which the connection is closed after an answer; "": it is reusable.
func (m *Machine) closeCode(a Answer, cancelled bool) string {
	switch {
	case a.TrailingBytes && !mutants.On("upstreamconn/more-kept"):
		return "upstream-bad-answer"
	case m.foreignAnswers > 0 && !mutants.On("upstreamconn/other-kept"):
		return "upstream-bad-answer" // more of them may follow
	case a.Close && !mutants.On("upstreamconn/close-kept"):
		return "upstream-close"
	case cancelled && !mutants.On("upstreamconn/cancelled-kept"):
		return "upstream-not-needed" // the cancellation may change its deadline at any time from now on
	}
	return ""
}

// BeginStreaming is the end of an attempt by an answer whose body is read as it arrives. The connection stays in use
// until StreamEnded.
func (m *Machine) BeginStreaming(a Answer, cancelled bool) Verdict {
	v := m.Answered(a, cancelled)
	if v.Err == nil {
		m.state = Streaming
		m.closeAfterStream = !v.Reusable
		v.Reusable = false
	}
	return v
}

// StreamEnded is the end of such a body, complete or cut off by either side.
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

// FailedAwaiting is the end without an answer after the request was written completely. It may have run, or may yet.
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

// illegal is the safe result of a mistake of the host: the connection is closed, and what was on it may have run.
func (m *Machine) illegal(event string) Verdict {
	err := fmt.Errorf("%s while %v: %w", event, m.state, ErrState)
	m.state = Ended
	return Verdict{Outcome: decision.ConnectionReset, Code: "upstream-illegal", Err: err}
}
