package decision

// Action is an instruction to the host: Send, Cancel, Reject, Fail, SetTimer or CounterCall.
type Action interface{ action() }

// Send starts an attempt of a request.
type Send struct {
	ID        uint64
	Backend   string
	Timeout   Seconds // timeout of the attempt; 0: only the client's deadline limits it
	OverQuota bool    // the request does not conform to its quota
	// SlowAfter is the time without an answer, since the request was written, after which the host asks
	// Gateway.ShouldAbandon whether to abandon the attempt, and repeats the question from time to time. 0:
	// the attempt is never abandoned as slow.
	SlowAfter Seconds
}

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct {
	ID      uint64
	Attempt int // number of the attempt of its request, from 0
}

// Reject answers a request that was not served and that the client may safely retry.
type Reject struct {
	ID         uint64
	RetryAfter Seconds // advised delay before a retry; 0: no advice
	OverQuota  bool    // the request does not conform to its quota
}

// Fail answers a request that was not served but may have been executed, so a retry is not safe.
type Fail struct{ ID uint64 }

// SetTimer asks for a Timer event at a time of the host's clock.
type SetTimer struct {
	At    Seconds
	Token string
}

// CounterCall adds an amount to a named counter that all gateways share, and requests its total, which
// comes in a CounterReply.
type CounterCall struct {
	Name      string
	Add       float64
	Retention Seconds // time for which the counter service keeps a new name

	// Used by pair counters only:
	Customer   string // customer that the counter belongs to
	Cycle      int64  // number of the counter cycle
	PerRequest bool   // true: each call adds; false: a gateway's call replaces its previous one
}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (CounterCall) action() {}
