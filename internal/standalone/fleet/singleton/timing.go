package singleton

// Seconds are seconds of a process's own monotonic clock.
type Seconds = float64

// Times of leases, in Seconds. They are untyped, so that expireAfter is computed exactly and rounded once.
const (
	// LeaseDuration is for how long a holder may act, counted from when it sent the request that confirmed its lease.
	LeaseDuration = 3.0
	// MaxClockDrift bounds how much faster or slower than real time a clock runs, as a fraction.
	MaxClockDrift = 0.05
	// SafetyMargin is how long the leader waits beyond a lease, and how long before its end a holder stops.
	SafetyMargin = 0.05

	// expireAfter is how long the leader waits after a renewal before it expires the lease: the holder's clock may be
	// slow, and the leader's fast, by MaxClockDrift.
	expireAfter = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + SafetyMargin

	// renewInterval is how often holders renew and candidates request.
	renewInterval = LeaseDuration / 6
	// grantDelay is how long a new leader collects candidates before it grants anything.
	grantDelay = 0.6
	// grantRetryInterval is after how long a grant that was not agreed on is proposed again.
	grantRetryInterval = 1.0
	// candidateTimeout is after how long without a request a candidate leaves the queue.
	candidateTimeout = 1.6
)

// Bounds of the state.
const (
	// MaxRoles bounds the roles of a LeaseTable; no command adds more.
	MaxRoles      = 256
	maxHistory    = 128  // tenures in the history of a LeaseTable
	maxCandidates = 1024 // of one role
	maxNameLength = 64   // bytes of a role's or a member's name
)
