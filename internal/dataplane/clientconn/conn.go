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
	Idle      State = iota // between requests, or before the first one
	Head                   // the head of a request comes in
	Body                   // its body comes in, before it is decided on
	Deciding               // the request is in the module's hands, or an attempt is out
	Uploading              // the body goes up to a quote server as it comes
	Answering              // an answer goes out
	Skipping               // the rest of a body that was answered before it was up is read off
	Lingering              // the last answer has gone out; it is to be read before the connection ends
)

var states = [...]string{"idle", "head", "body", "deciding", "uploading", "answering", "skipping", "lingering"}

func (s State) String() string { return states[s] }

// ErrStep tells of a step that a connection's life does not have: the host's mistake.
var ErrStep = errors.New("not a step from there")

// steps are those of a life: from a state, to which. Every state may go to Lingering.
var steps = map[State][]State{
	Idle: {Head},
	Head: {Body, Deciding, Answering},
	// A body that fits leads to a decision; one that does not is decided on by its head.
	Body:     {Deciding, Answering},
	Deciding: {Uploading, Answering},
	// An attempt may end before it is up, and the request come to its answer from the module's hands.
	Uploading: {Deciding, Answering},
	Answering: {Answering, Skipping, Idle},
	Skipping:  {Idle},
}

const (
	idleMost   = 2.0  // s between requests: clients may count on no more; many ask once and keep the connection
	silentMost = 2.0  // s for the first byte of a client
	stuckMost  = 10.0 // s for a piece of an answer: who takes longer holds the connection for nothing
	wholeSoon  = 0.1  // s: a client that means it sends a request whole at once
)

// Times are for how long a client's connection may do nothing, in seconds.
type Times struct {
	Silent, Idle float64 // until its first byte; between requests
	Head         float64 // for the head of a request

	// Hears: a connection whose client was not told that it ends is not ended over a request that has begun to come.
	Hears bool
}

// usual are those of a deployment that states none.
var usual = Times{Silent: silentMost, Idle: idleMost, Head: headMost}

// Codes of the log's lines, where a connection is ended from here.
const (
	CodeRoom   = "client-room"
	CodeDrain  = "client-drain"
	CodeIdle   = "client-idle"
	CodeSilent = "client-silent"
	CodeSlow   = "client-slow-request"
	CodeStuck  = "client-slow-reader"

	codeIllegal = "client-illegal"
)

// Conn is the machine of one client's connection. Its zero value is one that has just been accepted at time 0; Accepted
// gives one of another time. It is not safe for use by several goroutines at once.
type Conn struct {
	state State
	since decision.Seconds // in that state; until a first request is whole, since the beginning
	fresh bool             // no request has come in whole
	asks  bool             // idle, but bytes of a request are here
	code  string           // why it is being ended from here; "": it is not
	told  bool             // that the last answer is the last
	pace  Pace
	times *Times // nil: the usual ones
}

// Keep sets the times that it goes by.
func (c *Conn) Keep(t *Times) { c.times = t }

// Accepted returns the machine of a connection that has just been accepted.
func Accepted(now decision.Seconds) Conn { return Conn{since: now, fresh: true} }

// State tells where it is.
func (c *Conn) State() State { return c.state }

// Code tells why it is being ended from here; "": it is not.
func (c *Conn) Code() string { return c.code }

// Cut is what is to be cut short on a connection, so that whoever waits on it hears.
type Cut struct{ Reads, Writes bool }

// Enter moves it to a state. On tells whether it goes on: where not, it is to be ended now, or, idle and one that Hears, once it is known that
// no request has begun to come. Freed: the cut of its reads is
// to be undone, for a request had begun to come in as it was ended as unused: taken is taken, and it is the last. An error
// is ErrStep: the state is entered all the same, and the connection ends with the answer that is under way.
func (c *Conn) Enter(to State, now decision.Seconds, keepOpen bool) (on, freed bool, err error) {
	if to != Lingering && !slices.Contains(steps[c.state], to) {
		err = fmt.Errorf("%v while %v: %w", to, c.state, ErrStep)
		c.code = cmp.Or(c.code, codeIllegal)
	}
	if to == Idle && !keepOpen && c.code == "" && !mutated("drained-stays") {
		c.code = CodeDrain
	}
	if to == Idle && c.code != "" && !c.Hears() {
		return false, false, err
	}
	freed = c.code != "" && (to == Head || to == Body || to == Deciding || to == Uploading || to == Skipping) && !mutated("taken-is-cut")
	if c.fresh = c.fresh && (to == Idle || to == Head || to == Body); !c.fresh {
		c.since = now
	}
	if to == Body || to == Uploading || to == Skipping {
		c.pace = Pace{Long: to != Body}
	}
	c.state, c.asks = to, false
	return to != Idle || c.code == "", freed, err
}

// Hears tells whether a request that has begun to come on it while it is idle is heard, whatever would end it.
func (c *Conn) Hears() bool {
	return c.times != nil && c.times.Hears && !c.told && !mutated("asked-dropped")
}

// End ends it from here. What is cut short depends on where it is: a request in hand keeps its answer.
func (c *Conn) End(code string) Cut {
	c.code = code
	return Cut{Reads: true, Writes: c.state == Answering}
}

// Wait and Got tell when a piece of a body is waited for, and that it has come.
func (c *Conn) Wait(now decision.Seconds)       { c.pace.Wait(now) }
func (c *Conn) Got(now decision.Seconds, n int) { c.pace.Got(now, n) }

// Due tells what it is to be ended for at this time; "": nothing.
func (c *Conn) Due(now decision.Seconds) (code string) {
	age, times := now-c.since, cmp.Or(c.times, &usual)
	switch c.state {
	case Head: // also one that was ended as unused when its first byte came
		if age > times.Head && !mutated("head-for-ever") {
			return CodeSlow
		}
	case Body, Uploading, Skipping:
		if c.pace.Late(now) {
			return CodeSlow
		}
	case Answering:
		if age > stuckMost {
			return CodeStuck
		}
	case Idle:
		switch {
		case c.code != "":
		case c.fresh && age > times.Silent:
			return CodeSilent
		case !c.fresh && age > times.Idle:
			return CodeIdle
		}
	}
	return ""
}

// Drains tells whether a drain ends it now: it is idle, and nothing has ended it yet.
func (c *Conn) Drains() bool { return c.state == Idle && c.code == "" }

// Last tells whether it ends with the next answer. In a crowd it does: told so, the client asks elsewhere; closed while
// idle, its next request might cross.
func (c *Conn) Last(crowded, keepOpen bool) bool {
	if c.code == "" && crowded {
		c.code = CodeRoom
	}
	c.told = c.code != "" && !mutated("last-kept") || !keepOpen
	return c.told
}

// Began tells that bytes of a request are here that nobody has read yet: in a rush they may be for long.
func (c *Conn) Began() { c.asks = true }

// Begun tells whether bytes of a request are known to be here.
func (c *Conn) Begun() bool { return c.asks }

// useless tells whether it holds its place for nothing: it has not asked anything yet, or asks slowly, or is refused.
func (c *Conn) useless(now decision.Seconds) bool {
	switch c.state {
	case Lingering:
		return true
	case Idle:
		return c.fresh && !c.asks
	case Head, Body:
		return c.fresh && now-c.since > wholeSoon
	}
	return false
}

// Spare tells whether it may be ended for want of room, and Before whether it goes before another that may: those that
// are useless go before the idle ones of clients that are served, and of these the longest idle. A flood of silent
// connections crowds out itself.
func (c *Conn) Spare(now decision.Seconds) bool {
	if c.code != "" {
		return false // it goes anyway
	}
	return c.useless(now) || c.state == Idle && !c.fresh && !c.asks || c.state == Deciding && mutated("busy-spared")
}

// Before tells whether it makes room before another that may, too.
func (c *Conn) Before(other *Conn, now decision.Seconds) bool {
	if a, b := c.useless(now), other.useless(now); a != b {
		return a
	}
	return c.since < other.since
}
