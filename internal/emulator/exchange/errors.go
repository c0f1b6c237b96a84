package exchange

import "errors"

// The reasons for which a step fails. Play prints them behind the step.
var (
	// errUnknownHook means that the test has no hook of this name.
	errUnknownHook = errors.New("no hook")
	// errUnknownVerb means that a step's verb is none of those in the package comment.
	errUnknownVerb = errors.New("no verb")
	// errUnexpectedBytes means that a body is incomplete or differs from that of Body.
	errUnexpectedBytes = errors.New("not these bytes")
	// errNotEnded means that the peer sent more, or kept the connection open.
	errNotEnded = errors.New("not ended")
)
