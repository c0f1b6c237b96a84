package attempt

import "errors"

// Errors of transitions that a request's machine does not have. Each is a mistake of the decision module or of the
// host: the Dispatcher reports it as an IllegalStep and takes a safe step in its place.
var (
	// ErrPhase is a transition that the request's phase does not have.
	ErrPhase = errors.New("not in this phase")
	// ErrTooManyAttempts is an attempt beyond Machine.MaxAttempts.
	ErrTooManyAttempts = errors.New("attempt limit reached")
	// ErrMayHaveExecuted is a retry of a request that may have run and must run at most once.
	ErrMayHaveExecuted = errors.New("may have run and must run at most once")
	// ErrBodyConsumed is a retry of a request whose body cannot be read again.
	ErrBodyConsumed = errors.New("body already consumed")
	// ErrUnsafeReject is a rejection, which invites the client to retry, of a request that may have run and must run at
	// most once.
	ErrUnsafeReject = errors.New("rejected, but may have run and must run at most once")
)
