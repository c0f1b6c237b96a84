package upstream

import "errors"

// Errors of acquiring a connection. For both, nothing of the request was sent and the server is not to blame.
var (
	// errPoolExhausted: all connections that the limit allows are in use.
	errPoolExhausted = errors.New("all connections are in use")
	// errNotNeeded: the attempt was cancelled, or its deadline passed, before the connection was open.
	errNotNeeded = errors.New("attempt over before the connection was open")
)

// Errors of writing a request.
var (
	// errConnectionEnded: the server reset or closed the connection, or sent something, before the request was
	// complete.
	errConnectionEnded = errors.New("connection ended before the request was complete")
	// errEarlyAnswer: the server sent something while a part of the request was held back. It may be the answer.
	errEarlyAnswer = errors.New("answer before the request was complete")
	// errDraining: the server was found to be draining while a part of the request was held back.
	errDraining = errors.New("server draining")
	// errClientUpload: the client did not send the body to its end.
	errClientUpload = errors.New("incomplete body from the client")
	// errServerUpload: the server did not take the body to its end.
	errServerUpload = errors.New("body not taken by the server")
)

// errMalformedAnswer: what the server sent is no answer in the protocol. Errors of http1 say so, too.
var errMalformedAnswer = errors.New("malformed answer")
