package decision

// Action is something that the host is to do: Send, Cancel, Reject, Fail, SetTimer or CounterCall.
type Action interface{ action() }

// Send starts an attempt of a request.
type Send struct {
	ID        uint64
	Backend   string
	Timeout   Seconds // of the attempt; 0: until the client gives up
	OverQuota bool    // the request does not conform to its quota
	// SlowAfter is how long after the request was written, without an answer, the host asks
	// Gateway.ShouldAbandon whether to give the attempt up, and again from time to time; 0: never.
	SlowAfter Seconds
}

// Cancel cancels an attempt: nobody waits for its answer.
type Cancel struct {
	ID      uint64
	Attempt int // number of the attempt of its request, from 0
}

// Reject answers a request: it was not served, and a retry does no harm.
type Reject struct {
	ID         uint64
	RetryAfter Seconds // advice to the client; 0: none
	OverQuota  bool    // the request does not conform to its quota
}

// Fail answers a request: it was not served, and it may have been executed.
type Fail struct{ ID uint64 }

// SetTimer asks for a Timer event at a time of the host's clock.
type SetTimer struct {
	At    Seconds
	Token string
}

// CounterCall adds to a named number that all gateways share, and asks for its total in a CounterReply.
type CounterCall struct {
	Name      string
	Add       float64
	Retention Seconds // after which a new name may be forgotten

	// Where counters are pairs:
	Customer   string // whose counter it is
	Cycle      int64  // of the counter
	PerRequest bool   // every call adds anew; else a gateway's call takes the place of its last one
}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (CounterCall) action() {}
