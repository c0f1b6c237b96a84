package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	maxServerQueue    = 6                     // number of requests that may wait for a slot
	serverIdleTimeout = 8 * time.Second       // time after which a server closes an idle connection
	maxRepeatDelay    = 60 * time.Millisecond // upper limit of the delay before a response is repeated
	defaultTimeLeftMs = 1000                  // time left of a request without a valid X-Time-Left-Ms, ms

	notExecutedField = "X-Not-Executed: 1\r\n"
)

// serverRequest is a request whose body has been read.
type serverRequest struct {
	*http.Request
	body []byte
}

// exchange is one request on a connection, with its record.
type exchange struct {
	conn         net.Conn
	request      serverRequest
	arrival      *invariants.Arrival
	disconnected <-chan struct{} // closed when no further request can be read, mostly because the peer has disconnected
}

// serveConn answers the requests of one connection sequentially. Another goroutine reads them, so that the end of the
// connection is noticed while a request is executed.
func (s *server) serveConn(conn net.Conn) {
	requests := make(chan serverRequest)
	disconnected := make(chan struct{})
	handlerDone := make(chan struct{})
	defer close(handlerDone)
	s.cluster.background.Go(func() {
		defer close(disconnected)
		readRequests(conn, requests, handlerDone)
	})
	conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	for {
		select {
		case r := <-requests:
			conn.SetReadDeadline(time.Time{})
			if !s.handle(conn, r, disconnected) {
				return
			}
			conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		case <-disconnected:
			return
		}
	}
}

// readRequests reads requests until the connection ends, a request is malformed or handlerDone is closed.
func readRequests(conn net.Conn, requests chan<- serverRequest, handlerDone <-chan struct{}) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case requests <- serverRequest{r, body}:
		case <-handlerDone:
			return
		}
	}
}

// handle answers one request; more reports whether the connection can be used for another request.
func (s *server) handle(conn net.Conn, r serverRequest, disconnected <-chan struct{}) (more bool) {
	s.awaitResponsive()
	e := &exchange{conn: conn, request: r, arrival: s.newArrival(r), disconnected: disconnected}
	if e.arrival.ID == "" && r.Method == http.MethodGet && r.URL.Path == healthPath {
		return s.answerHealthCheck(e)
	}
	s.cluster.recorder.arrival(e.arrival)
	if e.arrival.Expected != "" && e.arrival.Expected != s.id {
		return s.reject(e, http.StatusMisdirectedRequest, s.idField())
	}
	if r.Header.Get("Authorization") != "" {
		s.cluster.recorder.notef("a server received an Authorization header in attempt %s", e.arrival.ID)
	}
	if e.arrival.ID == "" {
		return s.reject(e, http.StatusBadRequest, notExecutedField)
	}
	deadline := time.NewTimer(s.timeLeft(r, e.arrival.ID))
	defer deadline.Stop()
	if s.queued.Add(1) > maxServerQueue+int32(s.slots) {
		s.queued.Add(-1)
		return s.reject(e, http.StatusServiceUnavailable, notExecutedField)
	}
	defer s.queued.Add(-1)
	select {
	case s.workSlots <- struct{}{}:
		defer func() { <-s.workSlots }()
	case <-deadline.C:
		return s.reject(e, http.StatusServiceUnavailable, notExecutedField)
	case <-disconnected:
		return false
	case <-s.ctx.Done():
		s.cluster.recorder.update(func() { e.arrival.Aborted = true })
		return false
	}
	return s.execute(e, deadline)
}

func (s *server) newArrival(r serverRequest) *invariants.Arrival {
	now := s.cluster.now()
	return &invariants.Arrival{
		ID:       r.Header.Get("X-Attempt-Id"),
		Instance: s.id,
		Service:  s.service,
		At:       now,
		Started:  invariants.Never,
		End:      now,
		Method:   r.Method,
		Host:     r.Host,
		Target:   r.RequestURI,
		Body:     checksum(r.body),
		Tenant:   r.Header.Get("X-Tenant"),
		Expected: r.Header.Get("X-Target-Instance"),
	}
}

func (s *server) idField() string { return "X-Instance-Id: " + s.id + "\r\n" }

// timeLeft returns the time that a request has left until its deadline, according to its X-Time-Left-Ms field.
func (s *server) timeLeft(r serverRequest, id string) time.Duration {
	stated := r.Header.Get("X-Time-Left-Ms")
	left, err := strconv.ParseFloat(stated, 64)
	if err != nil {
		s.cluster.recorder.notef("invalid X-Time-Left-Ms %q in attempt %s", stated, id)
		left = defaultTimeLeftMs
	}
	return time.Duration(left * float64(time.Millisecond))
}

func (s *server) answerHealthCheck(e *exchange) (more bool) {
	s.cluster.healthChecks.Add(1)
	status := http.StatusOK
	if s.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	return writeResponse(e.conn, response{status: status, fields: s.idField(), closing: e.request.Close})
}

// reject answers a request without executing it.
func (s *server) reject(e *exchange, status int, fields string) (more bool) {
	s.cluster.recorder.update(func() {
		e.arrival.Status = status
		e.arrival.End = s.cluster.now()
	})
	return writeResponse(e.conn, response{
		status:    status,
		attemptID: e.arrival.ID,
		fields:    fields,
		body:      []byte("not run\n"),
		closing:   e.request.Close,
	})
}

// execute executes a request that occupies a slot, and answers it.
func (s *server) execute(e *exchange, deadline *time.Timer) (more bool) {
	w := s.drawWork()
	fault := s.drawFault()
	if fault == resetConn {
		w.duration /= 2
	}
	status, done := s.perform(e, w, deadline)
	if !done {
		return false
	}
	s.awaitResponsive()
	if w.failing && !s.cluster.interactive {
		status = http.StatusInternalServerError
	}
	seal := fmt.Sprintf("%s.%x.%d", s.id, s.cluster.serial.Add(1), status)
	body := uniqueBody(seal, w.bodySize)
	if s.cluster.interactive {
		body = s.plainBody(e)
	}
	s.cluster.recorder.update(func() {
		a := e.arrival
		a.End = s.cluster.now()
		a.Status = status
		a.Seal = seal
		a.Sum = checksum(body)
		a.Aborted = fault != noFault && fault != repeatResponse
	})
	r := response{
		status:    status,
		attemptID: e.arrival.ID,
		fields:    "X-Server-Seal: " + seal + "\r\n",
		body:      body,
		chunked:   w.chunked,
	}
	if fault != noFault {
		return s.writeFaulty(e.conn, r, fault, seal)
	}
	r.closing = w.closeAfter || s.draining.Load() || e.request.Close
	return writeResponse(e.conn, r)
}

// perform simulates the execution of a request by waiting for its execution time, and returns the status of the answer.
// It returns done = false if the execution was aborted.
func (s *server) perform(e *exchange, w work, deadline *time.Timer) (status int, done bool) {
	recorder, now := &s.cluster.recorder, s.cluster.now
	timer := time.NewTimer(w.duration)
	defer timer.Stop()
	recorder.update(func() {
		e.arrival.Started = now()
		e.arrival.End = invariants.Never
	})
	select {
	case <-timer.C:
		return http.StatusOK, true
	case <-deadline.C:
		return http.StatusGatewayTimeout, true
	case <-e.disconnected:
		recorder.update(func() { e.arrival.End = now() })
	case <-s.ctx.Done():
		recorder.update(func() {
			e.arrival.End = now()
			e.arrival.Aborted = true
		})
	}
	return 0, false
}

// writeFaulty writes a response with a fault, or none if the fault is its loss or a reset of the connection; more
// reports whether the connection can be used again.
func (s *server) writeFaulty(conn net.Conn, r response, fault responseFault, seal string) (more bool) {
	switch fault {
	case resetConn:
		conn.(*net.TCPConn).SetLinger(0)
	case garbleResponse:
		conn.Write([]byte("\x00\x01 out of order \r\n\r\n" + seal))
	case truncateResponse:
		encoded := r.encode()
		conn.Write(encoded[:len(encoded)-len(r.body)/2-5])
	case repeatResponse:
		if writeResponse(conn, r) {
			s.cluster.sleep(s.drawDelay(maxRepeatDelay))
			return writeResponse(conn, r)
		}
	}
	return false
}
