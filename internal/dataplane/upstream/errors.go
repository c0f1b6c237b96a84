package upstream

import "errors"

// Errors of acquiring a connection. Both mean that nothing of the request was sent and that the server did not fail.
var (
	// errPoolExhausted is returned when all connections that the limit allows are in use.
	errPoolExhausted = errors.New("all connections are in use")
	// errNotNeeded is returned when the attempt was cancelled or its deadline passed before the connection was open.
	errNotNeeded = errors.New("attempt over before the connection was open")
)

// Errors of writing a request.
var (
	// errConnectionEnded is returned when the server reset or closed the connection, or sent something, before the
	// request was written completely, and when the attempt was cancelled while a part of the request was held back.
	errConnectionEnded = errors.New("connection ended before the request was complete")
	// errEarlyAnswer is returned when the server sent something while a part of the request was held back. What it sent
	// may be the answer to the request.
	errEarlyAnswer = errors.New("answer before the request was complete")
	// errDraining is returned when the server began to drain while a part of the request was held back.
	errDraining = errors.New("server draining")
	// errClientUpload is returned when the client did not send the complete body.
	errClientUpload = errors.New("incomplete body from the client")
	// errServerUpload is returned, together with the cause, when the server did not accept the complete request.
	errServerUpload = errors.New("server did not accept the complete request")
)

// errMalformedAnswer is returned when the server sent something that is not a valid answer. Errors of http1 can mean
// the same; see isMalformed.
var errMalformedAnswer = errors.New("malformed answer")
