package clientconn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"mulleinrouter/internal/decision"
)

// State is where in its life a client's connection is.
type State uint8

// The states.
const (
	Idle        State = iota // between requests, or before the first one
	ReadingHead              // the head of a request comes in
	ReadingBody              // its body comes in, before it is decided on
	Deciding                 // the request is in the module's hands, or an attempt is out
	Uploading                // the body goes up to a quote server as it comes
	Answering                // an answer goes out
	Discarding               // the rest of a body that was answered before it was up is read off
	Lingering                // the last answer has gone out; it is to be read before the connection ends
)

var stateNames = [...]string{"idle", "head", "body", "deciding", "uploading", "answering", "skipping", "lingering"}

func (s State) String() string { return stateNames[s] }

// ErrStep tells of a step that a connection's life does not have: the host's mistake.
var ErrStep = errors.New("not a step from there")

// steps are those of a life: from a state, to which. Every state may go to Lingering.
var transitions = map[State][]State{
	Idle:        {ReadingHead},
	ReadingHead: {ReadingBody, Deciding, Answering},
	// A body that fits leads to a decision; one that does not is decided on by its head.
	ReadingBody: {Deciding, Answering},
	Deciding:    {Uploading, Answering},
	// An attempt may end before it is up, and the request come to its answer from the module's hands.
	Uploading:  {Deciding, Answering},
	Answering:  {Answering, Discarding, Idle},
	Discarding: {Idle},
}

const (
	maxIdle        = 2.0  // s between requests: clients may count on no more; many ask once and keep the connection
	maxSilence     = 2.0  // s for the first byte of a client
	maxAnswerStall = 10.0 // s for a piece of an answer: who takes longer holds the connection for nothing
	promptRequest  = 0.1  // s: a client that means it sends a request whole at once
)

// Times are for how long a client's connection may do nothing, in seconds.
type Timeouts struct {
	FirstByte, Idle float64 // until its first byte; between requests
	Head            float64 // for the head of a request

	// Hears: a connection whose client was not told that it ends is not ended over a request that has begun to come.
	ServePending bool
}

// usual are those of a deployment that states none.
var defaultTimeouts = Timeouts{FirstByte: maxSilence, Idle: maxIdle, Head: maxHeadTime}

// Codes of the log's lines, where a connection is ended from here.
const (
	CodeEvicted     = "client-room"
	CodeDrain       = "client-drain"
	CodeIdle        = "client-idle"
	CodeSilent      = "client-silent"
	CodeSlowRequest = "client-slow-request"
	CodeSlowReader  = "client-slow-reader"

	codeIllegalStep = "client-illegal"
)

// Conn is the machine of one client's connection. Its zero value is one that has just been accepted at time 0; Accepted
// gives one of another time. It is not safe for use by several goroutines at once.
type Machine struct {
	state          State
	since          decision.Seconds // in that state; until a first request is whole, since the beginning
	unused         bool             // no request has come in whole
	requestPending bool             // idle, but bytes of a request are here
	closeCode      string           // why it is being ended from here; "": it is not
	closeAnnounced bool             // that the last answer is the last
	progress       BodyProgress
	timeouts       *Timeouts // nil: the usual ones
}

// Keep sets the times that it goes by.
func (m *Machine) SetTimeouts(t *Timeouts) { m.timeouts = t }

// Accepted returns the machine of a connection that has just been accepted.
func Accepted(now decision.Seconds) Machine { return Machine{since: now, unused: true} }

// State tells where it is.
func (m *Machine) State() State { return m.state }

// Code tells why it is being ended from here; "": it is not.
func (m *Machine) CloseCode() string { return m.closeCode }

// Cut is what is to be cut short on a connection, so that whoever waits on it hears.
type Interrupt struct{ Reads, Writes bool }

// Enter moves it to a state. On tells whether it goes on: where not, it is to be ended now, or, idle and one that Hears, once it is known that
// no request has begun to come. Freed: the cut of its reads is
// to be undone, for a request had begun to come in as it was ended as unused: taken is taken, and it is the last. An error
// is ErrStep: the state is entered all the same, and the connection ends with the answer that is under way.
func (m *Machine) Enter(to State, now decision.Seconds, keepOpen bool) (on, freed bool, err error) {
	if to != Lingering && !slices.Contains(transitions[m.state], to) {
		err = fmt.Errorf("%v while %v: %w", to, m.state, ErrStep)
		m.closeCode = cmp.Or(m.closeCode, codeIllegalStep)
	}
	if to == Idle && !keepOpen && m.closeCode == "" && !mutated("drained-stays") {
		m.closeCode = CodeDrain
	}
	if to == Idle && m.closeCode != "" && !m.ServesPending() {
		return false, false, err
	}
	freed = m.closeCode != "" && (to == ReadingHead || to == ReadingBody || to == Deciding || to == Uploading || to == Discarding) && !mutated("taken-is-cut")
	if m.unused = m.unused && (to == Idle || to == ReadingHead || to == ReadingBody); !m.unused {
		m.since = now
	}
	if to == ReadingBody || to == Uploading || to == Discarding {
		m.progress = BodyProgress{Streamed: to != ReadingBody}
	}
	m.state, m.requestPending = to, false
	return to != Idle || m.closeCode == "", freed, err
}

// Hears tells whether a request that has begun to come on it while it is idle is heard, whatever would end it.
func (m *Machine) ServesPending() bool {
	return m.timeouts != nil && m.timeouts.ServePending && !m.closeAnnounced && !mutated("asked-dropped")
}

// End ends it from here. What is cut short depends on where it is: a request in hand keeps its answer.
func (m *Machine) Close(code string) Interrupt {
	m.closeCode = code
	return Interrupt{Reads: true, Writes: m.state == Answering}
}

// Wait and Got tell when a piece of a body is waited for, and that it has come.
func (m *Machine) AwaitBody(now decision.Seconds)           { m.progress.Await(now) }
func (m *Machine) BodyReceived(now decision.Seconds, n int) { m.progress.Received(now, n) }

// Due tells what it is to be ended for at this time; "": nothing.
func (m *Machine) TimeoutCode(now decision.Seconds) (code string) {
	age, times := now-m.since, cmp.Or(m.timeouts, &defaultTimeouts)
	switch m.state {
	case ReadingHead: // also one that was ended as unused when its first byte came
		if age > times.Head && !mutated("head-for-ever") {
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
		case m.unused && age > times.FirstByte:
			return CodeSilent
		case !m.unused && age > times.Idle:
			return CodeIdle
		}
	}
	return ""
}

// Drains tells whether a drain ends it now: it is idle, and nothing has ended it yet.
func (m *Machine) ClosesOnDrain() bool { return m.state == Idle && m.closeCode == "" }

// Last tells whether it ends with the next answer. In a crowd it does: told so, the client asks elsewhere; closed while
// idle, its next request might cross.
func (m *Machine) CloseAfterAnswer(crowded, keepOpen bool) bool {
	if m.closeCode == "" && crowded {
		m.closeCode = CodeEvicted
	}
	m.closeAnnounced = m.closeCode != "" && !mutated("last-kept") || !keepOpen
	return m.closeAnnounced
}

// Began tells that bytes of a request are here that nobody has read yet: in a rush they may be for long.
func (m *Machine) MarkRequestPending() { m.requestPending = true }

// Begun tells whether bytes of a request are known to be here.
func (m *Machine) RequestPending() bool { return m.requestPending }

// useless tells whether it holds its place for nothing: it has not asked anything yet, or asks slowly, or is refused.
func (m *Machine) unproductive(now decision.Seconds) bool {
	switch m.state {
	case Lingering:
		return true
	case Idle:
		return m.unused && !m.requestPending
	case ReadingHead, ReadingBody:
		return m.unused && now-m.since > promptRequest
	}
	return false
}

// Spare tells whether it may be ended for want of room, and Before whether it goes before another that may: those that
// are useless go before the idle ones of clients that are served, and of these the longest idle. A flood of silent
// connections crowds out itself.
func (m *Machine) Evictable(now decision.Seconds) bool {
	if m.closeCode != "" {
		return false // it goes anyway
	}
	return m.unproductive(now) || m.state == Idle && !m.unused && !m.requestPending || m.state == Deciding && mutated("busy-spared")
}

// Before tells whether it makes room before another that may, too.
func (m *Machine) EvictBefore(other *Machine, now decision.Seconds) bool {
	if a, b := m.unproductive(now), other.unproductive(now); a != b {
		return a
	}
	return m.since < other.since
}
