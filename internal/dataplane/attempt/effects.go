package attempt

import "mulleinrouter/internal/decision"

// Kind is the kind of a decision: what the host does with the request.
type Kind int

// The kinds. Reject, Fail and NoAnswer are final.
const (
	Send     Kind = iota // start an attempt, and report its end to Dispatcher.AttemptEnded
	Reject               // answer that the request was not served and that a retry is safe
	Fail                 // answer that the request was not served and may have been executed
	NoAnswer             // send no answer, because the client has disconnected

	kindCount
)

var kindNames = [kindCount]string{"send", "reject", "fail", "no answer"}

func (k Kind) String() string { return kindNames[k] }

// Decision is what the decision module has decided to do with a request.
type Decision struct {
	Kind       Kind
	Backend    string           // for Send: the backend of the attempt
	Deadline   decision.Seconds // for Send: when to cancel the attempt, in the decision module's time
	RetryAfter decision.Seconds // for Reject: advice to the client, seconds; 0: none
	OverQuota  bool             // for Send and Reject: the request exceeds its quota
	// SlowAfter, for Send, is the time after the request was written, in seconds, at which the host first calls
	// Dispatcher.ShouldAbandon; 0: never.
	SlowAfter decision.Seconds
}

// Effect is an action that the host carries out. Effects are carried out in the order in which they are returned.
type Effect interface{ effect() }

// Notify delivers a decision to the request's host.
type Notify[H any] struct {
	Request  *Request[H]
	Decision Decision
}

// CancelAttempt cancels the attempt with this number (from 0), unless it has already ended.
type CancelAttempt[H any] struct {
	Request *Request[H]
	Attempt int
}

// Timer sets a timer for the decision module.
type Timer struct{ decision.SetTimer }

// CounterCall calls the counter service for the decision module.
type CounterCall struct{ decision.CounterCall }

// IllegalTransition reports a transition that the request's state machine does not allow. The dispatcher has made a
// safe transition instead.
type IllegalTransition[H any] struct {
	Request *Request[H]
	Err     error // wraps one of the errors of this package
}

func (Notify[H]) effect()            {}
func (CancelAttempt[H]) effect()     {}
func (Timer) effect()                {}
func (CounterCall) effect()          {}
func (IllegalTransition[H]) effect() {}
