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
	ReadingBody              // the body of a request that is not submitted yet is being read
	Deciding                 // the request is submitted and waits for a decision, or an attempt is in flight
	Uploading                // the body is forwarded to a backend as it arrives
	Answering                // an answer is being written
	Discarding               // the request has been answered; the rest of its body is read and discarded
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
	// A request with a buffered body is submitted once its body is complete; one with a streamed body, after its head.
	ReadingBody: {Deciding, Answering},
	Deciding:    {Uploading, Answering},
	// An attempt may end before the upload is complete. The next decision may then be to answer the request.
	Uploading:  {Deciding, Answering},
	Answering:  {Answering, Discarding, Idle},
	Discarding: {Idle},
}

// Log codes of connections that this side closes.
const (
	CodeEvicted     = "client-room"         // the server needs room for other connections
	CodeDrain       = "client-drain"        // the server does not keep connections open
	CodeIdle        = "client-idle"         // no further request in time
	CodeSilent      = "client-silent"       // no first byte in time
	CodeSlowRequest = "client-slow-request" // the head or the body of a request arrives too slowly
	CodeSlowReader  = "client-slow-reader"  // the client reads an answer too slowly

	codeIllegalTransition = "client-illegal" // a bug: see ErrIllegalTransition
)

// Machine is the state machine of a client's connection. The zero value represents a connection that was accepted at
// time 0 and has already been used; Accepted returns the machine of a new connection.
type Machine struct {
	state          State
	since          decision.Seconds // start of the state; while unused is set, start of the connection
	unused         bool             // no complete request has arrived, and none was answered as malformed
	requestPending bool             // idle, but bytes of a request have arrived
	closeCode      string           // log code of the close by this side; "": the connection is not being closed
	closeAnnounced bool             // the last answer announced that it was the last (Connection: close)
	progress       BodyProgress
	timeouts       *Timeouts // nil: defaultTimeouts
}

// Accepted returns the machine of a connection that has just been accepted.
func Accepted(now decision.Seconds) Machine { return Machine{since: now, unused: true} }

// SetTimeouts sets the timeouts. With nil, the default timeouts apply.
func (m *Machine) SetTimeouts(t *Timeouts) { m.timeouts = t }

// State returns the state.
func (m *Machine) State() State { return m.state }

// CloseCode returns the log code with which this side is closing the connection; "": it is not being closed.
func (m *Machine) CloseCode() string { return m.closeCode }

// Enter moves the connection to a state. keepOpen says whether connections are kept open between requests.
//
// open reports whether the connection stays open. If it does not, the host closes it now. An idle connection for which
// ServesPending is true is closed later, once it is known that no bytes of a request have arrived.
//
// resumeReads reports that a request had begun to arrive when the connection was closed. The host then undoes the
// interrupt of the reads, and the request is served as the last one.
//
// The error wraps ErrIllegalTransition. The connection is then being closed: at once if it becomes idle. Any other
// state is entered nevertheless, and the connection is closed after the answer to its request.
func (m *Machine) Enter(to State, now decision.Seconds, keepOpen bool) (open, resumeReads bool, err error) {
	if to != Lingering && !slices.Contains(transitions[m.state], to) {
		err = fmt.Errorf("%v while %v: %w", to, m.state, ErrIllegalTransition)
		m.closeCode = cmp.Or(m.closeCode, codeIllegalTransition)
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

// SetRequestPending records that bytes of a request have arrived on the idle connection and have not been read yet.
// Under load it may take long until they are read.
func (m *Machine) SetRequestPending() { m.requestPending = true }

// RequestPending reports whether bytes of a request are known to have arrived on the idle connection.
func (m *Machine) RequestPending() bool { return m.requestPending }

// Interrupt names the operations on a connection that the host must interrupt, so that the goroutines blocked in them
// return.
type Interrupt struct{ Reads, Writes bool }

// Close begins to close the connection from this side. The operations to interrupt depend on the state, because a
// submitted request is still answered.
func (m *Machine) Close(code string) Interrupt {
	m.closeCode = code
	return Interrupt{Reads: true, Writes: m.state == Answering}
}

// AwaitBody records that the server waits for the next chunk of a body from now on.
func (m *Machine) AwaitBody(now decision.Seconds) { m.progress.Await(now) }

// BodyReceived records the arrival of a chunk of n bytes of a body.
func (m *Machine) BodyReceived(now decision.Seconds, n int) { m.progress.Received(now, n) }

// TimeoutCode returns the log code of the timeout that the connection has exceeded; "": none.
func (m *Machine) TimeoutCode(now decision.Seconds) string {
	age, timeouts := now-m.since, cmp.Or(m.timeouts, &defaultTimeouts)
	switch m.state {
	case ReadingHead: // also if the connection was closed as unused when the first byte arrived
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

// ClosesOnDrain reports whether a drain closes the connection at once, because it is idle and is not being closed yet.
func (m *Machine) ClosesOnDrain() bool { return m.state == Idle && m.closeCode == "" }

// CloseAfterAnswer reports whether the next answer is the last on the connection. It is if the connection is being
// closed, if connections are not kept open, or if the server is crowded. In the last case, the answer announces the
// close and the client connects elsewhere. Closing the connection while it is idle would be less safe, because the
// client might just be sending its next request.
func (m *Machine) CloseAfterAnswer(crowded, keepOpen bool) bool {
	if m.closeCode == "" && crowded {
		m.closeCode = CodeEvicted
	}
	m.closeAnnounced = m.closeCode != "" && !mutants.On("clientconn/last-kept") || !keepOpen
	return m.closeAnnounced
}
