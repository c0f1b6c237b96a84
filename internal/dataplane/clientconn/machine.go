package clientconn

import (
	"cmp"
	"fmt"
	"slices"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/mutants"
)

// State is a state of a client's connection.
type State uint8

// The states.
const (
	Idle        State = iota // between requests, or before the first one
	ReadingHead              // the head of a request is being read
	ReadingBody              // its body is being read, before it is submitted
	Deciding                 // the request is submitted, or an attempt is in flight
	Uploading                // the body is forwarded to a backend as it arrives
	Answering                // an answer is being written
	Discarding               // the rest of a body that was answered before its end is read and discarded
	Lingering                // the last answer has been written; the client may read it before the connection is closed
)

var stateNames = [...]string{
	"idle", "head", "body", "deciding", "uploading", "answering", "discarding", "lingering",
}

func (s State) String() string { return stateNames[s] }

// transitions lists the states that may follow each state. Lingering may follow any.
var transitions = map[State][]State{
	Idle:        {ReadingHead},
	ReadingHead: {ReadingBody, Deciding, Answering},
	// A body that is buffered leads to a decision; one that is streamed is decided on by its head.
	ReadingBody: {Deciding, Answering},
	Deciding:    {Uploading, Answering},
	// An attempt may end before the upload does, and the request be answered by a decision.
	Uploading:  {Deciding, Answering},
	Answering:  {Answering, Discarding, Idle},
	Discarding: {Idle},
}

// Log codes of connections that are closed from this side.
const (
	CodeEvicted     = "client-room"
	CodeDrain       = "client-drain"
	CodeIdle        = "client-idle"
	CodeSilent      = "client-silent"
	CodeSlowRequest = "client-slow-request"
	CodeSlowReader  = "client-slow-reader"

	codeIllegalStep = "client-illegal"
)

// Machine is the state machine of one client's connection. Its zero value is a connection that was accepted at time 0
// and has been used; Accepted returns a new one.
type Machine struct {
	state          State
	since          decision.Seconds // in that state; until a first request is complete, since it was accepted
	unused         bool             // no complete request has arrived
	requestPending bool             // idle, but bytes of a request have arrived
	closeCode      string           // why it is being closed from this side; "": it is not
	closeAnnounced bool             // the last answer said that it was the last (Connection: close)
	progress       BodyProgress
	timeouts       *Timeouts // nil: defaultTimeouts
}

// Accepted returns the machine of a connection that has just been accepted.
func Accepted(now decision.Seconds) Machine { return Machine{since: now, unused: true} }

// SetTimeouts sets the timeouts.
func (m *Machine) SetTimeouts(t *Timeouts) { m.timeouts = t }

// State returns the state.
func (m *Machine) State() State { return m.state }

// CloseCode returns the log code for which the connection is being closed from this side; "": it is not.
func (m *Machine) CloseCode() string { return m.closeCode }

// Enter moves the connection to a state.
//
// Open reports whether the connection stays open. Where not, it is to be closed now; if it ServesPending and is idle,
// once it is known that no bytes of a request have arrived. ResumeReads: a request had begun to arrive as the
// connection was closed, the interrupt of its reads is to be undone, and the request is served as the last. The error
// wraps ErrStep: the state is entered all the same, and the connection is closed after the answer to its request.
func (m *Machine) Enter(to State, now decision.Seconds, keepOpen bool) (open, resumeReads bool, err error) {
	if to != Lingering && !slices.Contains(transitions[m.state], to) {
		err = fmt.Errorf("%v while %v: %w", to, m.state, ErrStep)
		m.closeCode = cmp.Or(m.closeCode, codeIllegalStep)
	}
	if to == Idle && !keepOpen && m.closeCode == "" && !mutants.On("clientconn/drained-stays") {
		m.closeCode = CodeDrain
	}
	if to == Idle && m.closeCode != "" && !m.ServesPending() {
		return false, false, err
	}
	resumeReads = m.closeCode != "" && readsRequest(to) && !mutants.On("clientconn/taken-is-cut")
	m.unused = m.unused && (to == Idle || to == ReadingHead || to == ReadingBody)
	if !m.unused {
		m.since = now
	}
	if to == ReadingBody || to == Uploading || to == Discarding {
		m.progress = BodyProgress{Streamed: to != ReadingBody}
	}
	m.state, m.requestPending = to, false
	return to != Idle || m.closeCode == "", resumeReads, err
}

// readsRequest reports whether a connection in this state reads a request, or watches for the client's disconnection.
func readsRequest(s State) bool {
	return s == ReadingHead || s == ReadingBody || s == Deciding || s == Uploading || s == Discarding
}

// ServesPending reports whether a request that has begun to arrive on the idle connection is served before the
// connection is closed.
func (m *Machine) ServesPending() bool {
	return m.timeouts != nil && m.timeouts.ServePending && !m.closeAnnounced && !mutants.On("clientconn/asked-dropped")
}

// SetRequestPending records that bytes of a request have arrived on the idle connection that nobody has read yet:
// under load that may take long.
func (m *Machine) SetRequestPending() { m.requestPending = true }

// RequestPending reports whether bytes of a request are known to have arrived on the idle connection.
func (m *Machine) RequestPending() bool { return m.requestPending }

// Interrupt is which operations on a connection are to be interrupted, so that the goroutines blocked in them return.
type Interrupt struct{ Reads, Writes bool }

// Close closes the connection from this side. What is interrupted depends on the state: a submitted request is still
// answered.
func (m *Machine) Close(code string) Interrupt {
	m.closeCode = code
	return Interrupt{Reads: true, Writes: m.state == Answering}
}

// AwaitBody records that the next piece of a body is awaited from now on.
func (m *Machine) AwaitBody(now decision.Seconds) { m.progress.Await(now) }

// BodyReceived records the arrival of a piece of a body of n bytes.
func (m *Machine) BodyReceived(now decision.Seconds, n int) { m.progress.Received(now, n) }

// TimeoutCode returns the log code of the timeout that the connection has exceeded; "": none.
func (m *Machine) TimeoutCode(now decision.Seconds) string {
	age, timeouts := now-m.since, cmp.Or(m.timeouts, &defaultTimeouts)
	switch m.state {
	case ReadingHead: // even if it was closed as unused when the first byte arrived
		if age > timeouts.Head && !mutants.On("clientconn/head-for-ever") {
			return CodeSlowRequest
		}
	case ReadingBody, Uploading, Discarding:
		if m.progress.Late(now) {
			return CodeSlowRequest
		}
	case Answering:
		if age > maxAnswerStall {
			return CodeSlowReader
		}
	case Idle:
		switch {
		case m.closeCode != "":
		case m.unused && age > timeouts.FirstByte:
			return CodeSilent
		case !m.unused && age > timeouts.Idle:
			return CodeIdle
		}
	}
	return ""
}

// ClosesOnDrain reports whether a drain closes the connection at once: it is idle, and is not being closed.
func (m *Machine) ClosesOnDrain() bool { return m.state == Idle && m.closeCode == "" }

// CloseAfterAnswer reports whether the next answer is the last on the connection. It is when the server is crowded: the
// answer says so and the client connects elsewhere, while a connection closed when idle might cross its next request.
func (m *Machine) CloseAfterAnswer(crowded, keepOpen bool) bool {
	if m.closeCode == "" && crowded {
		m.closeCode = CodeEvicted
	}
	m.closeAnnounced = m.closeCode != "" && !mutants.On("clientconn/last-kept") || !keepOpen
	return m.closeAnnounced
}
