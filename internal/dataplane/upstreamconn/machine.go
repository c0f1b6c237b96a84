// Package upstreamconn is the life of a connection to a quote server, and the shelf on which idle ones are kept. It is written
// as a machine that serving code runs on and that an explorer drives through every order of events. It does no I/O,
// reads no clock and starts no goroutine.
package upstreamconn

import (
	"errors"
	"fmt"

	"mulleinrouter/internal/decision"
)

// State is where in its life a connection is.
type State uint8

// The states. On a connection that is Ended nothing more is written or read.
const (
	Idle      State = iota // up; no request is on it
	Writing                // a request goes out; its last byte has not
	Awaiting               // a request has been written whole, its answer is awaited
	Streaming              // it is served; the body of the answer is read as it comes
	Ended
)

var stateNames = [...]string{"idle", "writing", "awaiting", "streaming", "ended"}

func (s State) String() string { return stateNames[s] }

// ErrState tells of an event that a connection's state does not have: the host's mistake.
var ErrState = errors.New("not in this state")

// Failure is how a connection failed.
type Failure uint8

// The troubles.
const (
	ConnectionLost Failure = iota // it ended or was reset
	TimedOut                      // the time for the attempt ran out
	Cancelled                     // the attempt was given up from here
	Malformed                     // what came is no answer
)

// Answer is what a server's answer says.
type Answer struct {
	Status        int
	NotProcessed  bool // X-Not-Processed: 1
	Close         bool // the server ends the connection with it
	TrailingBytes bool // bytes came behind it: they answer nothing
}

// Verdict is how an attempt on a connection ended, and what becomes of the connection.
type Verdict struct {
	Outcome           decision.Outcome
	Answered          bool   // a whole answer came to a request that was written whole: it had arrived
	TryNextConnection bool   // the next connection may be tried for the same attempt: nothing of it has run
	Reusable          bool   // the connection goes back on the shelf
	Code              string // of the log line, where it does not
	Err               error  // a step that this life does not have: the host's mistake
}

// Machine is the machine of one connection. Its zero value is one that has just come up.
type Machine struct {
	state            State
	uses             int
	foreignAnswers   int  // answers to other requests that came on it
	closeAfterStream bool // streaming: it is not used again, however the body ends
}

// State tells where it is.
func (m *Machine) State() State { return m.state }

// Uses is how many requests have begun on it.
func (m *Machine) Uses() int { return m.uses }

// Begin takes it for a request.
func (m *Machine) Begin() error {
	if m.state != Idle {
		return fmt.Errorf("begin while %v: %w", m.state, ErrState)
	}
	m.state = Writing
	m.uses++
	return nil
}

// MayBegin tells whether a request may still go out on a connection that was taken or opened for it: the list may have
// changed meanwhile, the client gone, the time run out.
func MayBegin(serving, sameAddress, cancelled bool, left decision.Seconds) bool {
	return (serving || mutated("ready-draining")) && (sameAddress || mutated("ready-moved")) && !cancelled && left > 0
}

// MayRelease tells whether what was held back of a request, its last byte or the first of a long body, may still go out. Once a
// byte of a long body has gone, the rest follows it to its end: for drains a send counts from its first byte (PROTOCOL,
// "Figures").
func MayRelease(serving, cancelled bool) bool {
	return (serving || mutated("held-goes")) && !cancelled
}

// Reuse is what is known of a kept connection and the request that is to go out on it, where answers name the request that they are for.
type Reuse struct {
	Resent          bool // the same request, so one under the same name, has been written to this server before
	AtMostOnce      bool // the request must not run twice
	SawUnidentified bool // an answer without a name has come on the connection
}

// MayReuse tells whether a kept connection may be taken. A copy of an earlier answer may come on it in the place of the next: where the name does
// not tell the two apart, an old refusal would be taken for the word that the new request has not run.
func MayReuse(f Reuse) bool {
	return !f.Resent && !(f.AtMostOnce && f.SawUnidentified && !mutated("unnamed-kept"))
}

// ForeignAnswer tells that an answer to another request came in this one's place. On: it is passed over, for this one's may be behind it; the
// connection is not used again. Not on: there is no end of them.
func (m *Machine) ForeignAnswer() (on bool) {
	if m.state != Awaiting {
		return false
	}
	m.foreignAnswers++
	return m.foreignAnswers <= maxForeignAnswers || mutated("others-endless")
}

// mostOthers bounds the answers to other requests that are passed over before this one's: a server could send them without end.
const maxForeignAnswers = 4

// NotBegun gives it back before a byte was written: the server is to get nothing new, or nobody waits any more.
func (m *Machine) NotBegun() Verdict {
	if m.state != Writing {
		return m.illegal("not begun")
	}
	m.state = Idle
	m.uses--
	return Verdict{Outcome: decision.NotSent, Reusable: true}
}

// FailedWriting is the end before the last byte of a request was written: the write failed, the server spoke or ended it
// before, or the attempt was given up. Nothing ran. A kept connection may have been forgotten by the server, which says
// nothing of the server: the next one may take its place. A new one is the last to be tried.
func (m *Machine) FailedWriting(t Failure) Verdict {
	if m.state != Writing {
		return m.illegal("unwritten")
	}
	m.state = Ended
	if mutated("unwritten-kept") {
		m.state = Idle
		return Verdict{Outcome: decision.ConnectionRefused, Reusable: true}
	}
	if t == Cancelled {
		return Verdict{Outcome: decision.NotSent, Code: "upstream-not-needed"}
	}
	return Verdict{Outcome: decision.ConnectionRefused, TryNextConnection: m.uses > 1, Code: "upstream-write-failed"}
}

// AnsweredEarly is the end by an answer that came before the last byte of a request was written. The connection is ended: half a
// request is on it. A server begins on a request with its last byte, but one that answers with an error may have read
// enough to: only a refusal in the protocol's form proves that nothing ran.
func (m *Machine) AnsweredEarly(a Answer) Verdict {
	if m.state != Writing {
		return m.illegal("early")
	}
	m.state = Ended
	if mutated("early-kept") {
		m.state = Idle
		return Verdict{Outcome: OutcomeOf(a), Reusable: true}
	}
	return Verdict{Outcome: OutcomeOf(a), Code: "upstream-early-answer"}
}

// Written tells that the last byte has been written. From now on it may run.
func (m *Machine) Written() error {
	if m.state != Writing {
		return fmt.Errorf("written while %v: %w", m.state, ErrState)
	}
	m.state = Awaiting
	return nil
}

// Answered is the end by an answer. One with bytes behind it answers its request, and spoils the connection; given up
// at the same time, it still answers it.
func (m *Machine) Answered(a Answer, cancelled bool) Verdict {
	if m.state != Awaiting {
		return m.illegal("answered")
	}
	v := Verdict{Answered: true, Outcome: OutcomeOf(a)}
	switch {
	case a.TrailingBytes && !mutated("more-kept"):
		v.Code = "upstream-bad-answer"
	case m.foreignAnswers > 0 && !mutated("other-kept"):
		v.Code = "upstream-bad-answer" // nobody asked for it here, and more may come
	case a.Close && !mutated("close-kept"):
		v.Code = "upstream-close"
	case cancelled && !mutated("cancelled-kept"):
		v.Code = "upstream-not-needed" // its deadline may be changed at any time from now on
	default:
		v.Reusable = true
	}
	m.state = Ended
	if v.Reusable {
		m.state = Idle
	}
	return v
}

// BeginStreaming is the end of an attempt by an answer whose body is read as it comes: it is served. The connection stays in use until Streamed.
func (m *Machine) BeginStreaming(a Answer, cancelled bool) Verdict {
	v := m.Answered(a, cancelled)
	if v.Err == nil {
		m.state, m.closeAfterStream, v.Reusable = Streaming, !v.Reusable, false
	}
	return v
}

// StreamEnded is the end of such a body: whole, or cut from either side; more: bytes came behind it.
func (m *Machine) StreamEnded(whole, more bool) Verdict {
	kept := m.state == Streaming && !m.closeAfterStream
	m.state = Ended
	switch {
	case !whole && !mutated("cut-kept"):
		return Verdict{Code: "upstream-stream-cut"}
	case more && !mutated("stream-more-kept"), !kept:
		return Verdict{Code: "upstream-stream-ended"}
	}
	m.state = Idle
	return Verdict{Reusable: true}
}

// Outcome is what an answer means (PROTOCOL, "Ingresses to quote servers").
func OutcomeOf(a Answer) decision.Outcome {
	switch {
	case a.Status == 200:
		return decision.Succeeded
	case (a.Status == 503 || a.Status == 504) && (a.NotProcessed || mutated("busy-unproven")):
		return decision.Rejected
	}
	if mutated("error-proves") {
		return decision.Rejected
	}
	return decision.Failed
}

// FailedAwaiting is the end without an answer after the request was written whole. It may have run, or may yet.
func (m *Machine) FailedAwaiting(t Failure) Verdict {
	if m.state != Awaiting {
		return m.illegal("unanswered")
	}
	m.state = Ended
	switch {
	case mutated("reset-proves") && t == ConnectionLost:
		return Verdict{Outcome: decision.ConnectionRefused, Code: "upstream-reset"}
	case mutated("late-proves") && t == TimedOut:
		return Verdict{Outcome: decision.NotSent, Code: "upstream-timeout"}
	case mutated("cancel-proves") && t == Cancelled:
		return Verdict{Outcome: decision.NotSent, Code: "upstream-cancelled"}
	case mutated("spoilt-kept") && t == Malformed:
		m.state = Idle
		return Verdict{Outcome: decision.Failed, Reusable: true}
	}
	switch t {
	case Cancelled:
		return Verdict{Outcome: decision.Cancelled, Code: "upstream-cancelled"}
	case TimedOut:
		return Verdict{Outcome: decision.TimedOut, Code: "upstream-timeout"}
	case Malformed:
		return Verdict{Outcome: decision.Failed, Code: "upstream-bad-answer"}
	}
	return Verdict{Outcome: decision.ConnectionReset, Code: "upstream-reset"}
}

// Drop ends an idle connection.
func (m *Machine) Drop() { m.state = Ended }

// illegal is the safe way out of a mistake: the connection is ended, and what was on it may have run.
func (m *Machine) illegal(what string) Verdict {
	m.state = Ended
	return Verdict{Outcome: decision.ConnectionReset, Code: "upstream-illegal", Err: fmt.Errorf("%s: %w", what, ErrState)}
}
