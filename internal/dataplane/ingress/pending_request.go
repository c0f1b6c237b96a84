package ingress

import (
	"context"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
)

// serve answers one request. It returns the log code for which the connection closes after it; "" if the connection
// stays open.
func (c *conn) serve(r *http1.Request) (code string, err error) {
	s := c.server
	if r.Target == s.dialect.ReadyPath {
		return c.answerReadiness(r)
	}
	s.stats.inFlight.Add(1)
	defer s.stats.inFlight.Add(-1)
	request, message, requestErr := s.dialect.Parse(r)
	if requestErr != nil {
		return c.rejectRequest(r, requestErr)
	}
	if !s.claimID(message.ID) {
		return c.rejectRequest(r, errIDInUse)
	}
	defer s.releaseID(message.ID)
	return c.handle(r, &request, message)
}

// rejectRequest answers, logs and counts a request that is not submitted.
func (c *conn) rejectRequest(r *http1.Request, e *RequestError) (code string, err error) {
	s := c.server
	level.Warn(s.log).Log("msg", "bad request", "code", e.Code, "status", e.Status)
	if class := r.Header.Get(keyClass); class != "" {
		s.stats.forClass(class).countAnswer(e.Status)
	}
	s.countOutcome(Invalid)
	c.skipWatch(r)
	return c.afterAnswer(r, c.rejectWith(e, closesConnection(r)))
}

// pendingRequest is a request that was submitted and has not been answered yet.
type pendingRequest struct {
	conn       *conn
	request    *http1.Request
	message    *upstream.Message
	ticket     *engine.Ticket
	upload     *upload      // streamed body; nil: the body is not streamed
	counts     *classCounts // counters of the class, looked up once to avoid locking the statistics for each event
	metered    meteredRequest
	lastResult upstream.Result // result of the last attempt, with the backend's own answer
}

// handle submits a request and makes the attempts that the engine decides on, until the request is answered.
func (c *conn) handle(r *http1.Request, request *decision.Request, message *upstream.Message) (code string, err error) {
	s := c.server
	p := pendingRequest{conn: c, request: r, message: message, counts: s.stats.forClass(request.Class)}
	c.enter(clientconn.Deciding)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	p.ticket = s.engine.Submit(*request, cancel)
	if r.Streamed == nil {
		c.startWatch(p.ticket)
	} else {
		p.upload = &upload{conn: c, ticket: p.ticket, body: r.Streamed, expect: r.Expect}
		message.Upload = p.upload
	}
	defer p.metered.recordEnded()
	for {
		d := p.ticket.Next()
		switch d.Kind {
		case engine.Send:
			if s.Meter != nil {
				p.metered.recordSent(s.Meter, request, p.ticket, d.OverQuota)
			}
			p.attempt(ctx, d)
			if p.lastResult.Outcome == decision.Succeeded {
				return p.forward()
			}
			p.attemptFailed()
		case engine.Reject:
			return p.reject(d)
		case engine.Fail:
			return p.fail()
		case engine.NoAnswer:
			return p.endDisconnected()
		}
	}
}

// attempt makes one attempt, and counts and meters it.
func (p *pendingRequest) attempt(ctx context.Context, d engine.Decision) {
	s := p.conn.server
	p.message.SlowAttempt = upstream.SlowAttempt{After: d.SlowAfter, ShouldAbandon: p.ticket.ShouldAbandon}
	p.lastResult = s.pool.Do(ctx, d.Backend, p.message, d.Deadline)
	p.counts.countAttempts(p.lastResult.Writes)
	s.totals.attempts.Add(int64(p.lastResult.Writes))
	p.metered.arrival = max(p.metered.arrival, usage.ArrivalOf(p.lastResult.Outcome, p.lastResult.Answered))
}

// forward forwards the answer of the last attempt, which succeeded.
func (p *pendingRequest) forward() (code string, err error) {
	r, result := p.request, &p.lastResult
	if result.Stream != nil {
		p.ticket.AttemptEnded(result.Outcome) // reported before the body is forwarded, which may take long
		p.conn.server.countOutcome(Answered)
		p.counts.countAnswer(result.Head.Status)
		r.Close = r.Close || r.HTTP10 && result.Stream.Length < 0
		return p.conn.afterAnswer(r, p.conn.relay(result.Head, result.Stream, closesConnection(r)))
	}
	p.conn.server.countOutcome(Answered)
	err = p.conn.forward(result.Head, result.Body, closesConnection(r))
	p.counts.countAnswer(result.Head.Status)
	p.ticket.AttemptEnded(result.Outcome)
	return p.conn.afterAnswer(r, err)
}

// attemptFailed reports to the engine that the last attempt ended without success.
func (p *pendingRequest) attemptFailed() {
	if p.uploadErr() != nil {
		p.ticket.ClientDisconnected() // a client that does not send its complete body is not waiting for an answer
	}
	p.ticket.AttemptEnded(p.lastResult.Outcome)
}

// uploadErr returns why the client did not send the complete streamed body; nil if it did, or may still do so.
func (p *pendingRequest) uploadErr() error {
	if p.upload == nil {
		return nil
	}
	return p.upload.err
}

// reject answers a request that the client may retry safely, because it was not executed or may be executed again.
func (p *pendingRequest) reject(d engine.Decision) (code string, err error) {
	s := p.conn.server
	status, outcome := 503, NoServer
	if d.OverQuota {
		outcome = OverQuota
		if s.dialect.OverQuotaStatus > 0 {
			status = s.dialect.OverQuotaStatus
		}
	}
	s.countOutcome(outcome)
	p.counts.countAnswer(status)
	last := closesConnection(p.request)
	return p.conn.afterAnswer(p.request, p.conn.answer(status, d.RetryAfter, nil, last))
}

// fail answers a request that failed and may have been executed. If the dialect has ForwardFailures and the backend
// sent an error answer, that is forwarded; otherwise the answer is 502.
func (p *pendingRequest) fail() (code string, err error) {
	s := p.conn.server
	last := closesConnection(p.request)
	if s.dialect.ForwardFailures && p.lastResult.Outcome == decision.Failed && p.lastResult.Head != nil {
		p.counts.countAnswer(p.lastResult.Head.Status)
		s.countOutcome(ServerFailed)
		return p.conn.afterAnswer(p.request, p.conn.forward(p.lastResult.Head, p.lastResult.Body, last))
	}
	p.counts.countAnswer(502)
	s.countOutcome(Failed)
	return p.conn.afterAnswer(p.request, p.conn.answer(502, 0, nil, last))
}

// endDisconnected ends a request whose client has disconnected or did not send the complete body.
func (p *pendingRequest) endDisconnected() (code string, err error) {
	p.conn.server.countOutcome(ClientDisconnected)
	if err := p.uploadErr(); err != nil {
		return p.conn.rejectIncomplete(err, p.ticket.RetryIsSafe()), err
	}
	return "client-gone", nil
}
