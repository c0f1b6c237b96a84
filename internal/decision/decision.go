// Package decision decides, for one gateway among several, what to do with each request of a
// service sold by plan: send it to a backend, try it again, refuse it or fail it.
//
// It does no I/O and reads no clock. A host feeds it events and carries out the actions it returns:
//
//	g := decision.New(settings, seed)
//	for event := range events {
//		for _, action := range g.Handle(now, event) {
//			// carry out the action
//		}
//	}
//
// This file is the interface. The decisions are by concern: admission.go, whether a request is inside its
// quota and what becomes of one that is not; quotas.go, customers, their terms and slices, and the counter that
// gateways share; attempts.go, the first, the next and what came of each; servers.go, which are used and how
// much each may hold; gateway.go holds them together and has every constant.
package decision

// Seconds is a time on the host's clock, or a span of it. The clock may begin anywhere.
type Seconds = float64

// Settings is what a gateway is told at its start. Zero values mean: not there, or no limit.
type Settings struct {
	Gateways int // gateways in all
	Index    int // number of this one, from 0
	Zone     string
	Classes  []Class
	Plans    []Plan

	DrainGrace     Seconds // a drained backend may get no new work later than this
	AnswerSlack    Seconds // an answer may come this long after the client's deadline
	SlowStartShare float64 // a backend starts at this share of its capacity at least
	SlowStartTime  Seconds // and is warm after this
	OverloadFactor float64 // sent more than this multiple of its present capacity
	OverloadFor    Seconds // for this long, a cold backend falls over

	MaxAttempts int // for one request
	MayCancel   bool
	// FinishNonIdempotent has attempts that must not run twice go on to their end where the client has left: whether they run is in doubt, and a
	// server that is at work on one is not to be broken off.
	FinishNonIdempotent bool
	MayRetryAfter       bool
	MaxRetryAfter       Seconds

	ConnectTimeout Seconds // for the host: a connection not up by then counts as refused
	Keepalive      Seconds // for the host: a backend closes connections idle for this long

	HasCounter      bool    // there is a counter service
	CounterCallCost float64 // share of the whole result that one call for each request costs
	CounterTimeout  Seconds // a call unanswered for this long has timed out
	SettledLater    bool    // units are guesses, settled by the first good answer
	MaxUnits        float64 // the most units one request counts

	CapacityInSlots bool    // the size of a backend is the number of requests that it works on at a time
	RemoteZoneCost  float64 // cost of a backend in another zone beside one in this gateway's own; 0: they are alike
	PairCounters    bool    // counters tell a sum and how many gateways it is from (keeper.go), and are kept by the system's own nodes
	CounterCycle    Seconds // of these counters

	// Further attempts to one group of backends, over all gateways: this share of the first ones, and so many beyond it. 0: each gateway
	// goes by its own rule (internal/decision/retry).
	RetryShare, RetrySlack float64

	// Of a gateway that is two processes for a while; Part sets them.
	OtherShare float64 // how much of the gateway another process of it is; 0: this one is all of it
	Secondary  bool    // another process reports this gateway to the counter as one that asks
}

// Effect tells whether a class of requests may run twice.
type Effect int

// The effects: NonIdempotent must never run twice, IdempotentByKey only where repeats are dropped, Idempotent may.
const (
	NonIdempotent Effect = iota
	IdempotentByKey
	Idempotent
)

// Scope tells which backends drop the repeats of a keyed request.
type Scope int

// The scopes: only the backend itself, its cell, its zone, or all backends.
const (
	ScopeBackend Scope = iota
	ScopeCell
	ScopeZone
	ScopeAll
)

// Class is a class of requests.
type Class struct {
	Name              string
	LatencyTarget     Seconds // an answer within this earns the whole worth
	Deadline          Seconds
	Value             float64
	LateValue         float64 // share of the worth an answer after the aim earns
	MaxAttempts       int     // for one request of it; 0: as the settings say
	SlowAttemptFactor float64 // usual times of an answer after which a first attempt that may be repeated may be given up; 0: it is not
	MaxQueueTime      Seconds // it waits no longer for a backend; 0: a part of its aim
	Effect            Effect
	Scope             Scope // of a keyed class
}

// Plan is what a customer has bought. Its quotas hold over all gateways together.
type Plan struct {
	Name        string  `json:"Name"`
	Rate        float64 `json:"Rate"`        // quota, in units a second; 0: none
	Burst       float64 `json:"Burst"`       // units that may be used at once
	MaxInFlight int     `json:"Open"`        // quota on attempts out at once; 0: none
	ValueWeight float64 `json:"Price"`       // multiplies the worth
	ExcessValue float64 `json:"ExcessWorth"` // share of its worth that a request sent on beyond the quota earns
	ExcessCost  float64 `json:"BeyondCosts"` // share of its worth that such a request costs
	LimitRate   float64 `json:"CeilingRate"` // hard ceiling, in units a second; 0: none
	LimitBurst  float64 `json:"CeilingDepth"`
	LimitSlack  float64 `json:"CeilingSlack"`
}

// Event is something the gateway learns.
type Event interface{ event() }

// Start is the first event of a gateway.
type Start struct{}

// Backends is news of the list of backends.
type Backends struct {
	Complete bool // backends that are not named are gone
	List     []Backend
}

// Backend is one line of the list.
type Backend struct {
	ID        string
	Group     string // requests go to backends of their own group
	Zone      string
	Kind      string  // of machine; those of a kind are alike
	Serving   bool    // false: draining or gone, send it nothing new
	Size      float64 // relative; 0: not told
	StartedAt Seconds // when it last started; 0: long ago
}

// Terms are what a customer has bought, as they hold now. As an event they change those of a customer that the
// gateway knows; others are told with their requests. What a change carries over is said at replan.
type Terms struct {
	Customer string `json:"Customer"`
	Plan     Plan   `json:"Plan"`
	Tag      string `json:"Tag"` // one word for these figures at all gateways: totals are kept apart by it
}

// Request is a client's request; the gateway owes it exactly one answer.
type Request struct {
	ID           uint64
	Class        string
	Kind         *Class // the class itself; nil: that of the settings with its name
	Group        string // of the backends that it may go to
	Plan         string
	Customer     string
	TimeLeft     Seconds // until the client gives up
	Units        float64 // it draws from the quota, perhaps a guess
	Gateways     int     // gateways this customer's requests may come through
	FirstGateway int     // number of the first of these, for the host: they are counted round
	ClientRetry  bool    // marked by the client as a repeat
	Terms        *Terms  // the customer's own; nil: those of Plan in the settings
	Streamed     bool    // its body is passed on as it comes: once a byte of it has gone out, it cannot be sent again
}

// ClientGone tells that a request has ended without an answer.
type ClientDisconnected struct{ ID uint64 }

// Timer tells that a timer is due.
type Timer struct{ Token string }

// Outcome tells how a call or an attempt ended.
type Outcome int

// The outcomes. Rejected, ConnectionRefused and NotSent prove that nothing ran.
const (
	Failed Outcome = iota // an error, or an outcome unknown to the host
	Succeeded
	Rejected
	TimedOut
	ConnectionRefused // no connection
	ConnectionReset
	Cancelled
	NotSent
)

// ProvesNotExecuted tells whether an outcome proves that nothing ran and nothing will (PROTOCOL, "Ingresses to quote servers"). A
// cancel proves nothing by itself: one that came before anything was written whole is told as Skipped.
func (o Outcome) ProvesNotExecuted() bool {
	return o == Rejected || o == ConnectionRefused || o == NotSent
}

// AttemptEnded tells how an attempt ended; each Send gets exactly one.
type AttemptEnded struct {
	ID           uint64
	Attempt      int
	Backend      string
	Outcome      Outcome
	Duration     Seconds
	Answered     bool    // the request has its answer
	BodyConsumed bool    // the request cannot be sent again: its body has gone
	Units        float64 // true units, where they are settled afterwards; else 0
}

// CounterReply is the answer to a Count. Failed: the counter answered, but no total can be told from it.
type CounterReply struct {
	Name    string
	Outcome Outcome
	Total   float64
	Holders int // gateways that it is from, where counters are pairs; of a Failed one: the keeper took the report, and tells no sum yet
}

func (Start) event()              {}
func (Backends) event()           {}
func (Request) event()            {}
func (Terms) event()              {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (AttemptEnded) event()       {}
func (CounterReply) event()       {}

// Action is something the host is to do.
type Action interface{ action() }

// Send starts an attempt of a request. Timeout 0: until the client gives up.
type Send struct {
	ID        uint64
	Backend   string
	Timeout   Seconds
	OverQuota bool // the request is beyond its quota
	// SlowAfter is after how long without an answer, from when the request was written, Gateway.Impatient is to be asked whether to give
	// the attempt up, and again now and then; 0: never.
	SlowAfter Seconds
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Reject answers a request: not served, and trying again does no harm.
type Reject struct {
	ID         uint64
	RetryAfter Seconds // 0: no advice
	OverQuota  bool    // it is beyond its quota
}

// Fail answers a request: not served, and it may have run.
type Fail struct{ ID uint64 }

// SetTimer asks for a Timer event at a clock time.
type SetTimer struct {
	At    Seconds
	Token string
}

// CounterCall adds to a named number that all gateways share and asks for the total.
type CounterCall struct {
	Name      string
	Add       float64
	Retention Seconds // a new name is forgotten after this

	// Where counters are pairs: whose it is, and of which cycle; Each: every call adds anew, else one takes the place of another.
	Customer   string
	Cycle      int64
	PerRequest bool
}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (CounterCall) action() {}
