package attempt

import "mulleinrouter/internal/decision"

// Kind is what is to be done with a request.
type Kind int

// The kinds. Reject, Fail and NoAnswer are final.
const (
	Send     Kind = iota // start an attempt, and report its end to Dispatcher.AttemptEnded
	Reject               // answer that a retry does no harm
	Fail                 // answer that the request was not served and may have run
	NoAnswer             // answer nothing: the client has disconnected

	kindCount
)

var kindNames = [kindCount]string{"send", "reject", "fail", "no answer"}

func (k Kind) String() string { return kindNames[k] }

// Decision is a decision of the decision module on a request.
type Decision struct {
	Kind       Kind
	Backend    string           // of a Send
	Deadline   decision.Seconds // of a Send: when to give the attempt up, in the decision module's time
	RetryAfter decision.Seconds // of a Reject; 0: no advice
	OverQuota  bool             // of a Send or a Reject: the request exceeds its quota
	// SlowAfter is, of a Send, how long after the request was written Dispatcher.ShouldAbandon is first asked whether
	// to give the attempt up; 0: never.
	SlowAfter decision.Seconds
}

// Effect is something that the host is to do. Effects are carried out in order.
type Effect interface{ effect() }

// Notify delivers a decision to the request's host.
type Notify[H any] struct {
	Request  *Request[H]
	Decision Decision
}

// CancelAttempt cancels the attempt with this number (from 0), unless it has ended meanwhile.
type CancelAttempt[H any] struct {
	Request *Request[H]
	Attempt int
}

// Timer sets the decision module's timer.
type Timer struct{ decision.SetTimer }

// CounterCall calls the counter.
type CounterCall struct{ decision.CounterCall }

// IllegalStep reports a transition that a request's machine does not have. A safe one was taken in its place.
type IllegalStep[H any] struct {
	Request *Request[H]
	Err     error // wraps one of the errors of this package
}

func (Notify[H]) effect()        {}
func (CancelAttempt[H]) effect() {}
func (Timer) effect()            {}
func (CounterCall) effect()      {}
func (IllegalStep[H]) effect()   {}
