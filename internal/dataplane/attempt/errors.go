package attempt

import "errors"

// Errors of illegal transitions of a request's state machine. Each one is a bug of the decision module or of the host.
// The Dispatcher reports it as an IllegalTransition and makes a safe transition instead.
var (
	// ErrPhase means that the transition is not allowed in the request's phase.
	ErrPhase = errors.New("not in this phase")
	// ErrTooManyAttempts means that an attempt would exceed Machine.MaxAttempts.
	ErrTooManyAttempts = errors.New("attempt limit reached")
	// ErrMayHaveExecuted means that a retry is unsafe: the request may have been executed, and must be executed at most
	// once.
	ErrMayHaveExecuted = errors.New("may have run and must run at most once")
	// ErrBodyConsumed means that a retry is impossible because the request's body cannot be read again.
	ErrBodyConsumed = errors.New("body already consumed")
	// ErrUnsafeReject means that a rejection, which invites the client to retry, is unsafe: the request may have been
	// executed, and must be executed at most once.
	ErrUnsafeReject = errors.New("rejected, but may have run and must run at most once")
)
