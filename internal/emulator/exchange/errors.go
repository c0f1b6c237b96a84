package exchange

import "errors"

// Reasons why a step fails. Play prints them after the step.
var (
	// errUnknownHook means that the test has no hook of this name.
	errUnknownHook = errors.New("unknown hook")
	// errUnknownVerb means that the verb of a step is not one of those in the package comment.
	errUnknownVerb = errors.New("unknown verb")
	// errUnexpectedBytes means that a body is incomplete, or differs from the body that Body generates.
	errUnexpectedBytes = errors.New("the body is not the expected one")
	// errNotEnded means that the peer sent more data, or did not close the connection in time.
	errNotEnded = errors.New("the connection was not closed")
)
