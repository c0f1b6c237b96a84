package ingress

import (
	"errors"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// errAnswerCut is returned when a backend's streamed answer ended early, after its head had been forwarded. The
// connection to the client is then closed, by which the client recognises the truncated answer.
var errAnswerCut = errors.New("answer of the backend broke off")

// RequestError says why a request is answered without being submitted: it is not well-formed, it names something
// unknown, or the ingress does not have the data yet that it needs to decide on it.
type RequestError struct {
	Status     int              // HTTP status of the answer
	Code       string           // error code in the answer, and log code
	Text       string           // explanation in the answer
	Allow      string           // allowed method, for status 405; "": none is stated
	RetryAfter decision.Seconds // value of Retry-After; 0: none is stated
}

// Error returns the code and the text in the form that the body of the answer has.
func (re *RequestError) Error() string { return re.Code + ": " + re.Text }

// errIDInUse rejects a request whose ID is that of a pending request. Quote servers would treat two requests with the
// same ID as one request. A retry must have a new ID.
var errIDInUse = &RequestError{
	Status: 409,
	Code:   "request-id-in-use",
	Text:   "X-Request-ID is that of a request in hand",
}

// errSlowRequest rejects a request that the client did not send completely in time.
var errSlowRequest = &RequestError{
	Status: 408,
	Code:   clientconn.CodeSlowRequest,
	Text:   "the request did not come to its end",
}

// errSlowExecuted replaces errSlowRequest if a server may have begun to execute the request.
var errSlowExecuted = &RequestError{
	Status: 502,
	Code:   clientconn.CodeSlowRequest,
	Text:   "the request did not come to its end",
}

// messageErrors are the answers to messages that could not be read as a request, by the error of reading them.
var messageErrors = []struct {
	cause  error
	answer RequestError
}{
	{http1.ErrStartLine, RequestError{
		Status: 400, Code: "client-bad-request-line", Text: "broken request line",
	}},
	{http1.ErrHeader, RequestError{
		Status: 400, Code: "client-bad-header", Text: "broken header",
	}},
	{http1.ErrFraming, RequestError{
		Status: 400, Code: "client-bad-length", Text: "broken length or transfer coding",
	}},
	{http1.ErrHeadTooLarge, RequestError{
		Status: 431, Code: "client-head-too-large", Text: "request line and headers too large",
	}},
	{http1.ErrBodyTooLarge, RequestError{
		Status: 413, Code: "client-body-too-large", Text: "body too large",
	}},
	{http1.ErrExpect, RequestError{
		Status: 417, Code: "client-bad-expectation", Text: "an expectation that cannot be met",
	}},
}

// messageError returns the answer to a message that could not be read because of err; nil if the connection itself
// failed.
func messageError(err error) *RequestError {
	for i := range messageErrors {
		if errors.Is(err, messageErrors[i].cause) {
			return &messageErrors[i].answer
		}
	}
	return nil
}
