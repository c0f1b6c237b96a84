package decision

// Seconds is a time on the host's clock, or a duration. The clock may start at any value.
type Seconds = float64

// Settings configure a gateway at its start. A zero field means that the feature is not available, or that
// there is no limit, except that Gateways, MaxAttempts and MaxUnits count as 1 if they are smaller. Gateway
// itself does not read DrainGrace, OverloadFactor, OverloadFor, FinishNonIdempotent, ConnectTimeout,
// Keepalive, CounterCallCost and SettledLater.
type Settings struct {
	Gateways int // number of all gateways
	Index    int // number of this gateway, which determines its order of use of the backends
	Zone     string
	Classes  []Class
	Plans    []Plan

	DrainGrace     Seconds // time after which a draining backend may get no new work
	AnswerSlack    Seconds // time by which an answer may miss the client's deadline
	SlowStartShare float64 // share of its capacity that a backend has at least when it starts
	SlowStartTime  Seconds // time after its start at which a backend has its full capacity
	OverloadFactor float64 // multiple of its present capacity at which a backend in slow start fails
	OverloadFor    Seconds // time for which a backend withstands that load

	MaxAttempts int  // attempts for one request
	MayCancel   bool // the host can cancel attempts
	// FinishNonIdempotent lets attempts that must not run twice run to completion after the client has
	// disconnected. A server that already works on one must not be interrupted, and the gateway cannot know
	// whether it does.
	FinishNonIdempotent bool
	MayRetryAfter       bool    // rejections may advise when to retry
	MaxRetryAfter       Seconds // longest delay in that advice

	ConnectTimeout Seconds // for the host: a connection not established within it counts as refused
	Keepalive      Seconds // for the host: idle time after which a backend closes a connection

	HasCounter      bool    // there is a counter service
	CounterCallCost float64 // share of the total value that one counter call per request would cost
	CounterTimeout  Seconds // timeout of a counter call
	SettledLater    bool    // units are estimates, corrected by the first successful answer
	MaxUnits        float64 // largest number of units of a request; Gateway assumes at least 1

	CapacityInSlots bool // the size of a backend is the number of requests that it handles concurrently
	// RemoteZoneCost is the cost of a backend in another zone relative to one in this zone; 0: zones do not
	// affect the cost.
	RemoteZoneCost float64
	// PairCounters means that the system's own nodes keep the counters, and that a counter returns a sum
	// and the number of gateways that reported it.
	PairCounters bool
	CounterCycle Seconds // length of a cycle of pair counters
	// QuotaTolerance is the excess over a quota that all gateways together may admit; zero: none.
	QuotaTolerance QuotaTolerance

	// RetryShare and RetrySlack bound the retries to one group of backends, over all gateways: RetryShare
	// is a share of the first attempts, RetrySlack a number of retries beyond it. RetryShare 0: each
	// gateway has an independent budget (package retry).
	RetryShare, RetrySlack float64

	// OtherShare and Secondary apply while two processes act as one gateway during an upgrade. SetShare sets
	// them.
	OtherShare float64 // share of the gateway that belongs to the other process; 0: this is the only one
	Secondary  bool    // the other process reports this gateway to the counter
}

// QuotaTolerance bounds the excess over a customer's quota that all gateways together may admit in any
// window: a share of the units that the quota admits in it, and a number of units (RULES, QUOTA).
type QuotaTolerance struct {
	Window Seconds
	Excess float64 // share of the units that the quota and its burst admit in a window
	Slack  float64 // units
}

// units returns the tolerance for one plan, in units.
func (qt QuotaTolerance) units(p *Plan) float64 {
	return qt.Excess*(p.Rate*qt.Window+p.Burst) + qt.Slack
}

// Effect states whether a class of requests may be executed twice.
type Effect int

// The effects.
const (
	NonIdempotent   Effect = iota // must never be executed twice
	IdempotentByKey               // may be sent again to a backend that drops duplicates (Scope)
	Idempotent                    // may be executed twice
)

// Scope is the set of backends that detect the duplicates of a keyed request.
type Scope int

// The scopes.
const (
	ScopeBackend Scope = iota // the backend itself
	ScopeCell                 // all backends of its cell
	ScopeZone                 // all backends of its zone
	ScopeAll                  // all backends
)

// Class is a class of requests.
type Class struct {
	Name          string
	LatencyTarget Seconds // an answer within this time earns the full value
	Deadline      Seconds // time after which the client times out
	Value         float64 // value that a request earns, before the plan's ValueWeight
	LateValue     float64 // share of the value that an answer after the latency target earns
	MaxAttempts   int     // attempts for one request; 0: Settings.MaxAttempts
	// SlowAttemptFactor is the number of typical latencies after which the first attempt of an idempotent
	// request may be abandoned as slow; 0: it never is.
	SlowAttemptFactor float64
	MaxQueueTime      Seconds // longest wait for a backend; 0: queueTimeFraction of the latency target
	Effect            Effect
	Scope             Scope // for IdempotentByKey only
}

// Plan is the service level that a customer has bought. Its quotas apply to all gateways together.
//
// It is stored as JSON, and Tag hashes its fields in their order, so neither the JSON tags nor the order of
// the fields may change.
type Plan struct {
	Name        string  `json:"Name"`
	Rate        float64 `json:"Rate"`         // quota, in units per second; 0: none
	Burst       float64 `json:"Burst"`        // units that may be used at once
	MaxInFlight int     `json:"Open"`         // quota on attempts in flight; 0: none
	ValueWeight float64 `json:"Price"`        // factor on the value of requests
	ExcessValue float64 `json:"ExcessWorth"`  // share of its value that a request forwarded over quota earns
	ExcessCost  float64 `json:"BeyondCosts"`  // share of its value that such a request costs
	LimitRate   float64 `json:"CeilingRate"`  // hard rate limit, in units per second; 0: none
	LimitBurst  float64 `json:"CeilingDepth"` // burst of the rate limit, in units
	LimitSlack  float64 `json:"CeilingSlack"` // units by which the limit may be exceeded
}

// Terms are the plan of a customer that is in force now. As an event, Terms change the plan of a customer
// that the gateway knows. A customer that it does not know brings its terms with its first request.
type Terms struct {
	Customer string `json:"Customer"`
	Plan     Plan   `json:"Plan"`
	// Tag identifies the plan's numbers at all gateways. It separates the totals of different quotas.
	Tag string `json:"Tag"`
}
