package ingress

import (
	"errors"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/decision"
)

// errAnswerCut: a backend's streamed answer broke off after its head was forwarded. The client can tell by the end of
// the connection.
var errAnswerCut = errors.New("answer of the backend broke off")

// RequestError is why a request is answered without being submitted: it is not well-formed, names something unknown, or
// the ingress does not know enough yet to decide on it.
type RequestError struct {
	Status     int              // of the answer
	Code       string           // of the answer and of the log line
	Text       string           // of the answer
	Allow      string           // the method that is allowed, for status 405
	RetryAfter decision.Seconds // 0: no advice
}

// Error returns the code and the text, as they stand in the answer's body.
func (re *RequestError) Error() string { return re.Code + ": " + re.Text }

// errIDInUse: quote servers would take two requests of one ID for one. A retry has an ID of its own.
var errIDInUse = &RequestError{
	Status: 409,
	Code:   "request-id-in-use",
	Text:   "X-Request-ID is that of a request in hand",
}

// errSlowRequest: the client did not send its request in time.
var errSlowRequest = &RequestError{
	Status: 408,
	Code:   clientconn.CodeSlowRequest,
	Text:   "the request did not come to its end",
}

// messageErrors are the answers to what is no request, by the error of reading it.
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

// messageError returns the answer to what is no request; nil: the connection itself failed.
func messageError(err error) *RequestError {
	for i := range messageErrors {
		if errors.Is(err, messageErrors[i].cause) {
			return &messageErrors[i].answer
		}
	}
	return nil
}
