package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/control/electorate"
)

// Error is an error that carries the HTTP status of its answer.
type Error struct {
	Status  int    // HTTP status
	Message string // text for the caller, one short line
}

func (e *Error) Error() string { return e.Message }

var (
	// ErrNotFound means that no endpoint serves the call.
	ErrNotFound = &Error{http.StatusNotFound, "no such call"}

	// ErrNoContact means that this node has no majority lease, so that its state may be outdated and its changes may
	// be lost.
	ErrNoContact = &Error{http.StatusServiceUnavailable, "no contact with a majority of the control nodes"}

	// ErrTooManyCalls means that too many calls are in flight.
	ErrTooManyCalls = &Error{http.StatusServiceUnavailable, "too many calls are in hand"}

	// ErrTooManyLargeBodies means that the body was not read because maxLargeBodies others are being read or
	// handled.
	ErrTooManyLargeBodies = &Error{http.StatusServiceUnavailable, "other large calls are being read"}

	// ErrBodyTooLong means that the body is longer than the call allows.
	ErrBodyTooLong = &Error{http.StatusRequestEntityTooLarge, "the body is too long"}

	// ErrBodyTimeout means that the body did not arrive in time. The call may be retried, because the error says
	// nothing about the contents of the body.
	ErrBodyTimeout = &Error{http.StatusRequestTimeout, "the body did not come in time"}

	// ErrBodyIncomplete means that the connection ended before the body did.
	ErrBodyIncomplete = &Error{http.StatusBadRequest, "the body did not come"}

	// ErrNotPersisted means that the departure of a server is not on enough disks yet.
	ErrNotPersisted = &Error{http.StatusServiceUnavailable, "not on enough disks yet"}
)

// badRequest returns the error of a call that is invalid whatever the state of the node.
func badRequest(message string) error { return &Error{http.StatusBadRequest, message} }

// statusOf is the status that an error is answered with. An error of unknown type gets 503, which means that it is
// uncertain whether the call took effect and that it may be retried, also on another node.
func statusOf(err error) int {
	var own *Error
	var rejection *configuration.RejectionError
	var change *electorate.ChangeError
	switch {
	case errors.As(err, &own):
		return own.Status
	case errors.As(err, &rejection):
		return rejection.Status
	case errors.As(err, &change):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// messageOf is the text for the caller of an error.
func messageOf(err error) string {
	var rejection *configuration.RejectionError
	if errors.As(err, &rejection) {
		return rejection.Text
	}
	return err.Error()
}

// errorBody is the body of an answer whose status is not 200.
type errorBody struct {
	Message string `json:"message"`
}

// reply is the answer to a call. The body is JSON.
type reply struct {
	status   int
	body     []byte
	location string // URL to which the caller is redirected; empty without a redirect
}

var okReply = reply{status: http.StatusOK, body: []byte("{}")}

// errorReply is the answer to a call that failed.
func errorReply(err error) reply {
	body, encodingErr := json.Marshal(errorBody{Message: messageOf(err)})
	if encodingErr != nil {
		panic(encodingErr) // a string can always be encoded
	}
	return reply{status: statusOf(err), body: body}
}

// jsonReply is an answer with status 200 and an indented body.
func jsonReply(body any) (reply, error) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return reply{}, &Error{http.StatusInternalServerError, err.Error()}
	}
	return reply{status: http.StatusOK, body: text}, nil
}
