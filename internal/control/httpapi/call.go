package httpapi

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/control/connlimit"
	"mulleinrouter/internal/mutants"
)

const (
	// StartupGrace is the time after the start of the process in which a call waits for the first contact with a
	// majority. Later calls without contact fail at once.
	StartupGrace = 2 * time.Second
	// StartupWait is how long one call waits for that first contact.
	StartupWait = 500 * time.Millisecond
	// HeartbeatBodyTimeout limits reading the body of a call of a server or an application, because a server does not
	// wait longer for its answer.
	HeartbeatBodyTimeout = time.Second
	// PromptBodyTimeout replaces HeartbeatBodyTimeout while few slots for connections are free, so that a slow body
	// does not occupy one of them.
	PromptBodyTimeout = 50 * time.Millisecond

	// bodyTimeout limits how long the http.Server reads a call. The response must be written within twice that time.
	// Without these limits, a client that stalls would occupy its slot forever.
	bodyTimeout       = 10 * time.Second
	largeBodyBytes    = 1 << 20                // size above which at most maxLargeBodies bodies are read at once
	slowCallThreshold = 250 * time.Millisecond // duration from which on an operator's call is logged
)

// call is a call in flight.
type call struct {
	*Server
	endpoint   endpoint
	response   http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
}

// serveCall admits a call, reads its body, calls the handler and returns the answer.
func (s *Server) serveCall(e endpoint, w http.ResponseWriter, r *http.Request) reply {
	c := &call{Server: s, endpoint: e, response: w, request: r, controller: http.NewResponseController(w)}
	readTimeout, err := c.admit()
	if err != nil {
		return c.reject(err)
	}
	release, err := c.acquireLargeBody()
	if err != nil {
		return c.reject(err)
	}
	defer release()
	body, err := c.readBody(readTimeout)
	if err != nil {
		return c.reject(err)
	}
	return c.handle(body)
}

// reject answers a call whose body is not read to its end. It does not wait for the rest of the body, but closes the
// connection, so that its slot is free for others at once.
func (c *call) reject(err error) reply {
	c.response.Header().Set("Connection", "close")
	_ = c.controller.SetReadDeadline(time.Now())
	c.options.Connections.FinishCall(c.request)
	return errorReply(err)
}

// admit admits or rejects a call by its header. It returns the time limit for reading the body, which does not
// apply to the calls of operators.
func (c *call) admit() (readTimeout time.Duration, err error) {
	if c.request.ContentLength > c.endpoint.maxBody {
		return 0, ErrBodyTooLong
	}
	switch c.options.Connections.BeginCall(c.request, c.endpoint.caller == byOperator) {
	case connlimit.Evicted:
		panic(http.ErrAbortHandler)
	case connlimit.Rejected:
		return 0, ErrTooManyCalls
	case connlimit.AdmittedIfPrompt:
		return PromptBodyTimeout, nil
	case connlimit.Admitted:
	}
	return HeartbeatBodyTimeout, nil
}

// acquireLargeBody waits until a large body may be read, for changeTimeout at most. The caller must call release when
// the call has been handled.
func (c *call) acquireLargeBody() (release func(), err error) {
	maybeLarge := c.request.ContentLength > largeBodyBytes || c.request.ContentLength < 0
	if c.endpoint.maxBody <= largeBodyBytes || !maybeLarge {
		return func() {}, nil
	}
	select {
	case c.largeBodies <- struct{}{}:
		return func() { <-c.largeBodies }, nil
	case <-time.After(changeTimeout):
		return nil, ErrTooManyLargeBodies
	}
}

// readBody reads the body. For an operator's call the deadline of the http.Server applies; the timeout applies to all
// other calls.
func (c *call) readBody(timeout time.Duration) ([]byte, error) {
	if c.endpoint.caller != byOperator {
		_ = c.controller.SetReadDeadline(time.Now().Add(timeout)) // if this fails, the http.Server's deadline applies
	}
	body, err := readAll(http.MaxBytesReader(c.response, c.request.Body, c.endpoint.maxBody), c.request.ContentLength)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, ErrBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrBodyTimeout
	case err != nil:
		return nil, ErrBodyIncomplete
	}
	if c.endpoint.caller != byOperator {
		_ = c.controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // the deadline above must not end the call
	}
	return body, nil
}

// readAll reads a body. Memory for a large one is allocated as it arrives, because the length in the header may be
// wrong.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > largeBodyBytes {
		return io.ReadAll(body)
	}
	text := make([]byte, length)
	_, err := io.ReadFull(body, text)
	return text, err
}

// handle calls the endpoint's handler. If the endpoint needs contact with a majority, the lease must be held before and
// after that.
func (c *call) handle(body []byte) reply {
	if c.endpoint.needsContact && !c.awaitContact(c.request.Context()) {
		return errorReply(ErrNoContact)
	}
	if c.endpoint.prompt {
		// The limit begins before the check, so that it has expired after a suspension that the check did not see.
		ctx, cancel := context.WithTimeout(c.request.Context(), promptCallTimeout)
		defer cancel()
		if !c.isPrompt(c.request) {
			return errorReply(ErrNoContact)
		}
		c.request = c.request.WithContext(ctx)
	}
	began := time.Now()
	answer, err := c.endpoint.handle(c.Server, c.request, body)
	if err != nil {
		answer = errorReply(err)
	}
	if took := time.Since(began); c.endpoint.caller == byOperator && took >= slowCallThreshold {
		level.Warn(c.log).Log("msg", "slow operator call", "call", c.endpoint.pattern, "ms", took.Milliseconds(),
			"status", answer.status)
	}
	if c.endpoint.needsContact && !c.options.Lease.Held() && !mutants.On("httpapi/acknowledges-alone") {
		return errorReply(ErrNoContact) // the process may have been suspended in the meantime
	}
	return answer
}

// awaitContact reports whether this node is in contact with a majority. Within StartupGrace it waits up to StartupWait
// for the first contact, because all nodes may have started at the same time.
func (s *Server) awaitContact(ctx context.Context) bool {
	lease := s.options.Lease
	if lease.Held() || mutants.On("httpapi/acknowledges-alone") {
		return true
	}
	left := min(StartupWait, StartupGrace-time.Since(s.options.Started))
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-lease.FirstHeld():
	case <-timer.C:
	case <-ctx.Done():
	}
	return lease.Held()
}
