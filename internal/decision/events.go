package decision

// Event is an input from the host: Start, Backends, Request, Terms, ClientDisconnected, Timer, AttemptEnded
// or CounterReply.
type Event interface{ event() }

// Start is the first event of a gateway.
type Start struct{}

// Backends is an update of the endpoint list.
type Backends struct {
	Complete bool // true: backends that are not in List are removed
	List     []Backend
}

// Backend is one entry of the endpoint list.
type Backend struct {
	ID        string
	Group     string // requests go to backends of their own group
	Zone      string
	Kind      string  // machine type; backends of the same kind have similar latency
	Serving   bool    // false: it is draining or removed, and gets no new requests
	Size      float64 // relative capacity; 0: not known
	StartedAt Seconds // time of its last start; 0: long ago
}

// Request is a client's request. The gateway answers it exactly once: by Reject, by Fail, or by forwarding
// the answer of an attempt that it sent.
type Request struct {
	ID         uint64
	Class      string
	ClassTerms *Class // settings of the class, if the host supplies them; nil: Settings.Classes has them
	Group      string // group of the backends that may serve it
	Plan       string
	Customer   string
	TimeLeft   Seconds // time until the client's deadline
	Units      float64 // units that it takes from the quota; an estimate if Settings.SettledLater
	Gateways   int     // number of gateways that may receive requests of this customer
	// OwnerContactAge is the time since the host was last in contact with the owners of pair counters.
	OwnerContactAge Seconds
	// FirstGateway is the number of the first gateway that may receive requests of this customer. The numbers
	// of the others follow, modulo the number of all gateways. Only the host uses it.
	FirstGateway int
	ClientRetry  bool   // the client marked it as a retry
	Terms        *Terms // the customer's own terms; nil: Settings.Plans has those of Plan
	// Streamed means that the body is forwarded as it arrives, so once a byte of it was sent, the request
	// cannot be sent again. Only the host uses it.
	Streamed bool
}

// ClientDisconnected reports that the client of a request no longer waits for an answer.
type ClientDisconnected struct{ ID uint64 }

// Timer reports that the timer of a SetTimer action has expired.
type Timer struct{ Token string }

// Outcome is how a counter call or an attempt ended.
type Outcome int

// The outcomes. Rejected, ConnectionRefused and NotSent prove that the request was not executed.
const (
	Failed            Outcome = iota // an error, or an outcome unknown to the host
	Succeeded                        // a successful answer
	Rejected                         // the server rejected the work
	TimedOut                         // no answer before the timeout
	ConnectionRefused                // no connection was established, or the request was not written in full
	ConnectionReset                  // the connection was lost before an answer
	Cancelled                        // the host cancelled it
	NotSent                          // not sent, or cancelled before the request was written in full
)

// ProvesNotExecuted reports whether an outcome proves that the request was not executed and never will be
// (PROTOCOL, "Ingresses to quote servers"). Cancelled does not prove it, because the server may have begun to
// work. A cancellation before the request was written in full has the outcome NotSent.
func (o Outcome) ProvesNotExecuted() bool {
	return o == Rejected || o == ConnectionRefused || o == NotSent
}

// AttemptEnded reports the end of an attempt. Each Send is followed by exactly one.
type AttemptEnded struct {
	ID           uint64
	Attempt      int // number of the attempt of its request, from 0
	Backend      string
	Outcome      Outcome
	Duration     Seconds
	Answered     bool    // the client has received an answer
	BodyConsumed bool    // the body is no longer available, so the request cannot be sent again
	Units        float64 // actual units, if Settings.SettledLater; else 0
}

// CounterReply reports the end of a CounterCall. The outcome Failed with Reporters above 0 means that the
// counter accepted the call, but may not have the reports of all gateways yet: the total is partial, or 0.
type CounterReply struct {
	Name      string
	Outcome   Outcome
	Total     float64
	Reporters int // number of gateways that the total is from; pair counters only
}

func (Start) event()              {}
func (Backends) event()           {}
func (Request) event()            {}
func (Terms) event()              {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (AttemptEnded) event()       {}
func (CounterReply) event()       {}
