// Package invariants judges a play of the system by what its clients, servers and operator saw on their sockets, as
// RULES.md says, by a slow and plain reading of it. It does no I/O, reads no clock, and shares no code with what it
// judges but the names of the rules' figures.
package invariants

import (
	"math"

	"mulleinrouter/internal/cluster/settings"
)

// Seconds is a time since the play began, or a span.
type Seconds = float64

// Never is the time of what has not come to be.
var Never = math.Inf(1)

// Log is all that was seen. The order within a list does not matter.
type Log struct {
	Bounds         settings.Bounds
	Edges          []string // machines that take clients
	Attempts       []Attempt
	Arrivals       []Arrival
	Versions       []Version
	Departures     []Departure
	Faults         []Fault
	ProcessStarts  []ProcessStart
	Terminations   []Termination
	ConfigReads    []ConfigRead
	Closing        Seconds // when the closing fault began; Never: there was none
	Exits          []Exit  // processes that ended by themselves
	Partitions     []Partition
	ControlAnswers []ControlAnswer
}

// Ending is how a try ended for its client.
type Ending uint8

// The endings.
const (
	Answered     Ending = iota
	Truncated           // the connection ended without a whole answer
	TimedOut            // the client did
	NotConnected        // no connection came up, or it was found closed before the request went out
	Malformed           // what came was no answer in the protocol
)

func (e Ending) String() string {
	return [...]string{"answered", "cut off", "given up", "not connected", "garbled"}[e]
}

// Attempt is one request as its client saw it.
type Attempt struct {
	ID, Class, Edge string // Edge: the machine that it was sent to
	AtMostOnce      bool   // its route is mutating
	Probe           bool   // it asks for what may not exist: no worth, and no part in DENIED
	Method, Host    string
	Target          string
	Key             string  // empty: none was sent
	ClaimedTenant   string  // the X-Tenant that the client put in, if any
	Body            uint64  // sum of its body
	Sent, Done      Seconds // its last byte was sent; it ended
	TimeLeft        Seconds // that the client said it would wait, from Sent
	FirstSent       Seconds // the first try of it was sent
	LatencyTarget   Seconds // that an answer earns its full worth in, from Began
	Last            bool    // no further try followed

	End      Ending
	Status   int
	AnswerID string // the X-Attempt-Id that the answer has, if any
	Seal     string
	Sum      uint64 // of the answer's body
	Surplus  bool   // bytes came behind the answer, with no request waiting
}

// Arrival is a request that reached a server. Health probes are none.
type Arrival struct {
	ID, Instance, Service string
	At                    Seconds // it was read
	Started               Seconds // work on it began; Never: it did not run
	End                   Seconds // the server was through with it
	Method, Host, Target  string
	Body                  uint64
	Tenant, Expected      string // X-Tenant, X-Target-Instance
	Status                int    // that the server answered, or would have
	Seal                  string
	Sum                   uint64 // of the whole body of the answer
	Aborted               bool   // the server itself broke the answer off, or sent bytes that are none
}

// Version is an item of the configuration as one operator sent it. Two that raced may have one number.
type Version struct {
	Item    string // section/name
	Number  uint64
	Dropped bool
	Valid   bool    // the call was, as a whole
	Sent    Seconds // first
	Acked   Seconds // Never: no 200 came
	Refused bool    // a clear 4xx came, and no 200
	Route   *Route
	Tenant  *Tenant
	Body    any // as encoding/json reads it
}

// Route is what a version says of a route.
type Route struct {
	Host, Prefix string
	Public       bool
	Services     []string
}

// Tenant is what a version says of a tenant.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// Departure is an acknowledgement that a server is draining or gone.
type Departure struct {
	Instance string
	At       Seconds
	By       string // the core machine
}

// Fault is what keeps a machine from being in touch. For a machine of the core it unsettles the core.
type Fault struct {
	Machine  string
	Core     bool
	Majority bool // more than half of the core was away; else the others went on
	Planned  bool // SIGTERM, and the start after it
	From, To Seconds
}

// Partition is a time in which a core machine reached no majority of the core.
type Partition struct {
	Machine  string
	From, To Seconds
}

// ControlAnswer is what a core machine answered to a call that needs contact with a majority. Status 0: nothing.
type ControlAnswer struct {
	Machine, Call string
	Began, Done   Seconds
	Status        int
}

// ProcessStart is the start of a process on a machine that takes clients.
type ProcessStart struct {
	Machine string
	At      Seconds
}

// Termination is a SIGTERM to a machine that takes clients.
type Termination struct {
	Machine string
	At      Seconds
}

// ConfigRead is what GET /config returned at the end: the bodies by item, as encoding/json reads them.
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

// Violation is a rule that was broken.
type Violation struct {
	Rule string // as RULES.md names it
	At   Seconds
	Text string
}
