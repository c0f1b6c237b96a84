package invariants

import (
	"math"

	"mulleinrouter/internal/cluster/settings"
)

// Seconds is a time since the run began, or a duration.
type Seconds = float64

// Never is the time of an event that did not happen.
var Never = math.Inf(1)

// Log is everything that was observed in a run. The order within a list does not matter.
type Log struct {
	Bounds         settings.Bounds
	Edges          []string // edge machines: those that accept clients
	Attempts       []Attempt
	Arrivals       []Arrival
	Versions       []Version
	Departures     []Departure
	Faults         []Fault
	ProcessStarts  []ProcessStart
	Terminations   []Termination
	ConfigReads    []ConfigRead
	Closing        Seconds // start of the fault that ends the run; Never if there was none
	Exits          []Exit  // processes that ended by themselves
	Partitions     []Partition
	ControlAnswers []ControlAnswer
}

// Ending is how an attempt ended for its client.
type Ending uint8

// The endings.
const (
	Answered     Ending = iota
	Truncated           // the connection ended without a complete answer
	TimedOut            // the client stopped waiting
	NotConnected        // no connection was established, or it was found closed before the request was sent
	Malformed           // the received bytes are not an HTTP response
)

func (e Ending) String() string {
	return [...]string{"answered", "truncated", "timed out", "not connected", "malformed"}[e]
}

// Attempt is one request as its client saw it.
type Attempt struct {
	ID, Class, Edge string // Edge: the machine that it was sent to
	AtMostOnce      bool   // it must not run twice, because its route is mutating
	Probe           bool   // it requests something that may not exist, so it has no value and DENIED ignores it
	Method, Host    string
	Target          string
	Key             string  // empty if none was sent
	ClaimedTenant   string  // the X-Tenant that the client sent, if any
	Body            uint64  // checksum of its body
	Sent, Done      Seconds // when its last byte was sent, and when it ended
	TimeLeft        Seconds // time from Sent that the client announced it would wait
	FirstSent       Seconds // when the first attempt of the request was sent
	LatencyTarget   Seconds // time from FirstSent within which an answer has its full value
	Last            bool    // the client did not retry after this attempt

	End      Ending
	Status   int
	AnswerID string // X-Attempt-Id of the answer, if any
	Seal     string // mark that a server puts on its answer; empty if the system itself answered
	Sum      uint64 // checksum of the answer's body
	Surplus  bool   // bytes followed the answer although no request was waiting
}

// Arrival is a request that reached a server. Health checks are not among them.
type Arrival struct {
	ID, Instance, Service string
	At                    Seconds // when it was read
	Started               Seconds // when work on it began; Never if it did not run
	End                   Seconds // when the server had finished it
	Method, Host, Target  string
	Body                  uint64 // checksum of its body
	Tenant, Expected      string // X-Tenant, X-Target-Instance
	Status                int    // status that the server answered, or would have answered
	Seal                  string // mark that the server puts on its answer
	Sum                   uint64 // checksum of the complete body of the answer
	Aborted               bool   // the server itself aborted the answer, or sent bytes that are no HTTP response
}

// Version is a version of a configuration item as one operator sent it. Concurrent calls may share a number.
type Version struct {
	Item    string // section/name
	Number  uint64
	Dropped bool    // the version removes the item
	Valid   bool    // the call that sent it was valid as a whole
	Sent    Seconds // when it was sent first
	Acked   Seconds // when the 200 was received; Never if none was
	Refused bool    // a definite 4xx was received, and no 200
	Route   *Route
	Tenant  *Tenant
	Body    any // as encoding/json decodes it
}

// Route is the part of a route's version that decides which requests it serves.
type Route struct {
	Host, Prefix string
	Public       bool
	Services     []string
}

// Tenant is the part of a tenant's version that decides about its keys and its quota.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64 // in requests per second, and in requests; Rate 0 means no quota
}

// Departure is an acknowledgement that a server is draining or gone.
type Departure struct {
	Instance string
	At       Seconds
	By       string // the control node that acknowledged it
}

// Fault is an event that keeps a machine out of contact. While a control node has one, the control nodes are unstable,
// and a change may take longer by Bounds.MaxStretch until it is in force.
type Fault struct {
	Machine  string
	Core     bool // the fault is of one or more control nodes
	Majority bool // more than half of the control nodes failed; otherwise the others continued
	Planned  bool // a SIGTERM and the start after it, or the first start
	From, To Seconds
}

// Partition is a period in which a control node could not reach a majority of the control nodes.
type Partition struct {
	Machine  string
	From, To Seconds
}

// ControlAnswer is the answer of a control node to a call that needs contact with a majority. Status 0 means no answer.
type ControlAnswer struct {
	Machine, Call string
	Began, Done   Seconds
	Status        int
}

// ProcessStart is the start of a process on an edge machine.
type ProcessStart struct {
	Machine string
	At      Seconds
}

// Termination is a SIGTERM to the process of an edge machine.
type Termination struct {
	Machine string
	At      Seconds
}

// ConfigRead is what GET /config returned at the end of the run, as bodies by item, in the form that encoding/json
// decodes them to.
type ConfigRead struct {
	Machine string
	At      Seconds
	Items   map[string]any
}

// Exit is a process that ended by itself.
type Exit struct {
	Process string
	At      Seconds
	Text    string
}

// Violation is an invariant that did not hold.
type Violation struct {
	Rule string // its name in RULES.md, or CONTACT or FAULT
	At   Seconds
	Text string
}
