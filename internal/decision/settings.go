package decision

// Seconds is a time on the host's clock, or a span of it. The clock may begin anywhere.
type Seconds = float64

// Settings configure a gateway at its start. A zero value means: not available, or no limit.
type Settings struct {
	Gateways int // gateways in all
	Index    int // number of this one, from 0
	Zone     string
	Classes  []Class
	Plans    []Plan

	DrainGrace     Seconds // a draining backend may get no new work later than this
	AnswerSlack    Seconds // an answer may come this long after the client's deadline
	SlowStartShare float64 // share of its capacity at which a backend starts at least
	SlowStartTime  Seconds // after which a backend is warm
	OverloadFactor float64 // multiple of its present capacity above which a backend that warms up fails
	OverloadFor    Seconds // for which it takes that

	MaxAttempts int  // for one request
	MayCancel   bool // the host can cancel attempts
	// FinishNonIdempotent lets attempts that must not run twice go on to their end where the client has
	// disconnected: it is in doubt whether they run, and a server that works on one is not to be interrupted.
	FinishNonIdempotent bool
	MayRetryAfter       bool    // rejections may carry advice on when to retry
	MaxRetryAfter       Seconds // in that advice

	ConnectTimeout Seconds // for the host: a connection not established by then counts as refused
	Keepalive      Seconds // for the host: a backend closes connections that are idle for this long

	HasCounter      bool    // there is a counter service
	CounterCallCost float64 // fraction of the total value that one call for each request costs
	CounterTimeout  Seconds // a call unanswered for this long has timed out
	SettledLater    bool    // units are guesses, settled by the first good answer
	MaxUnits        float64 // that one request counts

	CapacityInSlots bool // the size of a backend is the number of requests that it works on at a time
	// Cost of a backend in another zone relative to one in this zone; 0: they are alike.
	RemoteZoneCost float64
	// Counters tell a sum and the number of reporters, and are kept by the system's own nodes.
	PairCounters bool
	CounterCycle Seconds // of these counters
	// QuotaTolerance is what all gateways together may admit beyond a quota; zero: nothing.
	QuotaTolerance QuotaTolerance

	// RetryShare and RetrySlack bound the retries to one group of backends, over all gateways: this share of
	// the first attempts, and so many beyond it. RetryShare 0: each gateway has a budget of its own (package
	// retry).
	RetryShare, RetrySlack float64

	// OtherShare and Secondary are of a gateway that is two processes for a while. SetShare sets them.
	OtherShare float64 // how much of the gateway another process is; 0: this one is all of it
	Secondary  bool    // another process reports this gateway to the counter
}

// QuotaTolerance bounds what all gateways together may admit beyond a customer's quota in any window: a share
// of what the quota admits in it, and some units more (RULES, QUOTA).
type QuotaTolerance struct {
	Window Seconds
	Excess float64 // share of what the quota and its burst admit in a window
	Slack  float64 // units
}

// units is the tolerance for one plan, in units.
func (qt QuotaTolerance) units(p *Plan) float64 {
	return qt.Excess*(p.Rate*qt.Window+p.Burst) + qt.Slack
}

// Effect is whether a class of requests may be executed twice.
type Effect int

// The effects.
const (
	NonIdempotent   Effect = iota // must never be executed twice
	IdempotentByKey               // may be sent again where repeats are dropped
	Idempotent                    // may be executed twice
)

// Scope is which backends drop the repeats of a keyed request.
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
	LatencyTarget Seconds // an answer within this earns the full value
	Deadline      Seconds
	Value         float64
	LateValue     float64 // share of the value that an answer after the latency target earns
	MaxAttempts   int     // for one request of it; 0: as in the settings
	// SlowAttemptFactor is the number of typical latencies after which a first attempt that may be executed
	// twice may be given up; 0: it never is.
	SlowAttemptFactor float64
	MaxQueueTime      Seconds // for a backend; 0: a part of the latency target
	Effect            Effect
	Scope             Scope // of a keyed class
}

// Plan is what a customer has bought. Its quotas hold over all gateways together.
//
// It is stored as JSON, and Tag hashes its fields in their order: tags and order stay as they are.
type Plan struct {
	Name        string  `json:"Name"`
	Rate        float64 `json:"Rate"`         // quota, in units a second; 0: none
	Burst       float64 `json:"Burst"`        // units that may be used at once
	MaxInFlight int     `json:"Open"`         // quota on attempts in flight; 0: none
	ValueWeight float64 `json:"Price"`        // factor of the value
	ExcessValue float64 `json:"ExcessWorth"`  // share of its value that a request forwarded over quota earns
	ExcessCost  float64 `json:"BeyondCosts"`  // share of its value that such a request costs
	LimitRate   float64 `json:"CeilingRate"`  // hard rate limit, in units a second; 0: none
	LimitBurst  float64 `json:"CeilingDepth"` // units
	LimitSlack  float64 `json:"CeilingSlack"` // units by which the limit may be passed
}

// Terms are what a customer has bought, as they are in force now. As an event they change those of a customer
// that the gateway knows; others bring theirs with their requests.
type Terms struct {
	Customer string `json:"Customer"`
	Plan     Plan   `json:"Plan"`
	Tag      string `json:"Tag"` // one word for these numbers at all gateways: totals are kept apart by it
}
