package singleton

// Seconds are seconds of a process's own monotonic clock.
type Seconds = float64

// Lease timing, in Seconds. The constants are untyped so that expireAfter is computed exactly and rounded only once.
const (
	// LeaseDuration is how long a holder may act, counted from when it sent the request that confirmed its lease.
	// Counting from the sending, not from the response, ends the lease before the leader expires it.
	LeaseDuration = 3.0
	// MaxClockDrift bounds how much faster or slower than real time a clock runs, as a fraction.
	MaxClockDrift = 0.05
	// SafetyMargin is how long before the end of its lease a holder stops acting, and how much longer the leader waits
	// after the end than MaxClockDrift requires. It keeps a former holder and the next one from acting at the same
	// time.
	SafetyMargin = 0.05

	// expireAfter is how long the leader waits after a grant or renewal before it expires the lease. It is longer than
	// LeaseDuration, because the holder's clock may be slow, and the leader's fast, by MaxClockDrift.
	expireAfter = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + SafetyMargin

	// renewInterval is the time between an ingress's requests, by which holders renew leases and candidates stay in the
	// queue. It is a fraction of LeaseDuration, so that a lease outlasts several lost requests.
	renewInterval = LeaseDuration / 6
	// grantDelay is how long a new leader collects candidates before it grants a role. It is longer than renewInterval,
	// so that each candidate has sent a request.
	grantDelay = 0.6
	// grantRetryInterval is the time after which a proposed grant that was not applied is proposed again.
	grantRetryInterval = 1.0
	// candidateTimeout is the time without a request after which a candidate is removed from the queue. It is longer
	// than three renewIntervals, so that two lost requests do not remove a candidate.
	candidateTimeout = 1.6
)

// Limits that bound the memory and the size of snapshots.
const (
	// MaxRoles is the maximum number of roles of a LeaseTable; commands that would add more are rejected.
	MaxRoles      = 256
	maxHistory    = 128  // tenures in the history of a LeaseTable
	maxCandidates = 1024 // candidates in the queue of one role
	maxNameLength = 64   // bytes of a role's or a member's name
)
