package decision

// Event is something that happened at the host: Start, Backends, Request, Terms, ClientDisconnected, Timer,
// AttemptEnded or CounterReply.
type Event interface{ event() }

// Start is the first event of a gateway.
type Start struct{}

// Backends is an update of the endpoint list.
type Backends struct {
	Complete bool // backends that are not in List are removed
	List     []Backend
}

// Backend is one entry of the endpoint list.
type Backend struct {
	ID        string
	Group     string // requests go to backends of their own group
	Zone      string
	Kind      string  // of machine; those of a kind are alike
	Serving   bool    // false: it is draining or removed, and gets nothing new
	Size      float64 // relative; 0: not known
	StartedAt Seconds // when it last started; 0: long ago
}

// Request is a client's request. The gateway answers it exactly once: by Reject, by Fail, or by the answer of
// an attempt that it sent.
type Request struct {
	ID         uint64
	Class      string
	ClassTerms *Class // of the class, where the host has them; nil: those of the settings for Class
	Group      string // of the backends that it may go to
	Plan       string
	Customer   string
	TimeLeft   Seconds // until the client gives up
	Units      float64 // that it takes from the quota, perhaps a guess
	Gateways   int     // that this customer's requests may come through
	// OwnerContactAge is how long ago the host was last in contact with the owners of pair counters; 0: now.
	OwnerContactAge Seconds
	// Number of the first of these, for the host: they are consecutive, modulo the number of all.
	FirstGateway int
	ClientRetry  bool   // marked by the client as a retry
	Terms        *Terms // the customer's own; nil: those of Plan in the settings
	// Its body is forwarded as it arrives: once a byte of it was sent, it cannot be sent again.
	Streamed bool
}

// ClientDisconnected is sent when the client of a request no longer waits for an answer.
type ClientDisconnected struct{ ID uint64 }

// Timer is sent when a timer is due.
type Timer struct{ Token string }

// Outcome is how a counter call or an attempt ended.
type Outcome int

// The outcomes. Rejected, ConnectionRefused and NotSent prove that nothing was executed.
const (
	Failed            Outcome = iota // an error, or an outcome unknown to the host
	Succeeded                        // a good answer
	Rejected                         // the server rejected the work
	TimedOut                         // no answer in time
	ConnectionRefused                // no connection
	ConnectionReset                  // the connection was lost before an answer
	Cancelled                        // the host cancelled it
	NotSent                          // nothing of it was sent
)

// ProvesNotExecuted reports whether an outcome proves that nothing was executed and nothing will be
// (PROTOCOL, "Ingresses to quote servers"). A cancellation proves nothing by itself: one before the request
// was written in full is NotSent.
func (o Outcome) ProvesNotExecuted() bool {
	return o == Rejected || o == ConnectionRefused || o == NotSent
}

// AttemptEnded is the end of an attempt. Each Send is followed by exactly one.
type AttemptEnded struct {
	ID           uint64
	Attempt      int // number of the attempt of its request, from 0
	Backend      string
	Outcome      Outcome
	Duration     Seconds
	Answered     bool    // the request has its answer
	BodyConsumed bool    // the request cannot be sent again, as its body is no longer available
	Units        float64 // actual units, where they are settled later; else 0
}

// CounterReply is the end of a CounterCall. Failed with Reporters: the counter accepted the call, but returns
// no total yet.
type CounterReply struct {
	Name      string
	Outcome   Outcome
	Total     float64
	Reporters int // where counters are pairs: gateways that the total is from
}

func (Start) event()              {}
func (Backends) event()           {}
func (Request) event()            {}
func (Terms) event()              {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (AttemptEnded) event()       {}
func (CounterReply) event()       {}
