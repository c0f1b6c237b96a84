package upstream

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// attemptEnd is how a request ended on one connection.
type attemptEnd struct {
	verdict upstreamconn.Verdict
	written bool            // the request was written completely
	head    *http1.Response // of the answer; nil: there was none
	body    []byte          // of the answer; nil also where it is streamed
	err     error           // of the connection, for the log
}

// Do makes one attempt. It ends at its deadline, and early when the context does.
func (p *Pool) Do(ctx context.Context, backend string, m *Message, deadline time.Time) Result {
	if _, serving := p.lookup(backend); !serving || ctx.Err() != nil {
		return Result{Outcome: decision.NotSent}
	}
	reuse := upstreamconn.ReuseConditions{AtMostOnce: m.AtMostOnce}
	if p.Dialect.IDField != "" {
		reuse.Resent = slices.Contains(m.writtenTo, backend)
	}
	writes := 0
	for {
		c, err := p.acquire(ctx, backend, deadline, reuse)
		if err != nil {
			return Result{Outcome: acquireOutcome(err), Writes: writes}
		}
		end := p.attempt(ctx, c, m, deadline)
		if end.written {
			writes++
		}
		result := Result{
			Outcome:  end.verdict.Outcome,
			Answered: end.verdict.Answered,
			Writes:   writes,
			Head:     end.head,
		}
		if p.streams(m, end.head) {
			result.Stream = newStream(p, c, end.head)
			return result
		}
		if end.verdict.Reusable {
			p.put(c)
		} else {
			p.close(c, end.verdict.Code, cmp.Or(end.err, end.verdict.Err))
		}
		if !end.verdict.TryNextConnection || m.Upload != nil && m.Upload.Consumed() {
			result.Body = end.body
			return result
		}
	}
}

// attempt sends a request over a connection and reads the answer. What its end proves, and whether the connection may
// be used again, the connection's state machine says.
func (p *Pool) attempt(ctx context.Context, c *conn, m *Message, deadline time.Time) attemptEnd {
	if err := c.Begin(); err != nil {
		return attemptEnd{verdict: c.FailedWriting(upstreamconn.ConnectionLost), err: err}
	}
	// Opening a connection takes a while, in which the list of backends may have changed, the client have disconnected
	// or the deadline have passed.
	addr, serving := p.lookup(c.backend)
	left := time.Until(deadline)
	if !upstreamconn.MayBegin(serving, addr == c.addr, ctx.Err() != nil, left.Seconds()) {
		return attemptEnd{verdict: c.NotBegun()}
	}
	c.SetDeadline(deadline)
	buf := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)
	*buf = p.appendRequest((*buf)[:0], m, c.backend, left)
	var end attemptEnd
	var written bool
	if m.Upload != nil {
		end, written = p.sendUpload(ctx, c, m, *buf, deadline)
	} else {
		end, written = p.sendBuffered(ctx, c, m, *buf)
	}
	if !written {
		return end
	}
	c.Written()
	if p.Dialect.IDField != "" {
		m.writtenTo = append(m.writtenTo, c.backend)
	}
	end = p.awaitAnswer(ctx, c, m)
	end.written = true
	return end
}

// sendUpload sends a request with a streamed body. Not written: the attempt has ended as returned, perhaps with an
// early answer.
func (p *Pool) sendUpload(
	ctx context.Context, c *conn, m *Message, head []byte, deadline time.Time,
) (end attemptEnd, written bool) {
	answered, err := p.upload(ctx, c, m, head, deadline)
	if err == nil {
		return attemptEnd{}, true
	}
	if answered {
		if end, ok := p.earlyAnswer(c, m, err); ok {
			return end, false
		}
	}
	failure := failureUploading(ctx, err)
	if failure == upstreamconn.ConnectionLost {
		p.recordLoss(c)
	}
	return attemptEnd{verdict: c.FailedWriting(failure), err: err}, false
}

// sendBuffered sends a request that is complete in memory. Not written: the attempt has ended as returned.
func (p *Pool) sendBuffered(ctx context.Context, c *conn, m *Message, request []byte) (end attemptEnd, written bool) {
	complete, err := p.write(ctx, c, request, m.AtMostOnce || !m.safe())
	if complete {
		return attemptEnd{}, true
	}
	if errors.Is(err, errEarlyAnswer) {
		if end, ok := p.earlyAnswer(c, m, err); ok {
			return end, false
		}
	}
	failure := upstreamconn.ConnectionLost
	if ctx.Err() != nil || errors.Is(err, errDraining) {
		failure = upstreamconn.Cancelled // nothing has run, and the server is not to blame
	} else {
		p.recordLoss(c)
	}
	return attemptEnd{verdict: c.FailedWriting(failure), err: err}, false
}

// earlyAnswer reads an answer that began to arrive before the request was complete; cause is why the write ended. Not
// ok: it is none to this request. While a part of the request is held back, bytes of an earlier answer may still arrive
// on a connection that was used before: there only the request's ID tells that an answer is its own.
func (p *Pool) earlyAnswer(c *conn, m *Message, cause error) (end attemptEnd, ok bool) {
	beforeRelease := errors.Is(cause, errEarlyAnswer)
	if beforeRelease {
		c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	}
	a, err := p.read(c, m)
	if err != nil || beforeRelease && c.Uses() > 1 && a.head.Header.Get(p.Dialect.IDField) != m.ID {
		return attemptEnd{}, false
	}
	return attemptEnd{verdict: c.AnsweredEarly(a.Answer), head: a.head, body: a.body}, true
}

// awaitAnswer reads the answer to a request that was written completely.
func (p *Pool) awaitAnswer(ctx context.Context, c *conn, m *Message) attemptEnd {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	timer := m.SlowAttempt.start(c)
	a, err := p.read(c, m)
	timer.stop()
	cancelled := !stop() // then the deadline may be changed at any time from now on
	if err != nil {
		failure := failureAwaiting(ctx, err)
		if failure == upstreamconn.ConnectionLost {
			p.recordLoss(c)
		}
		return attemptEnd{verdict: c.FailedAwaiting(failure), err: err}
	}
	c.lastAnswer = p.now()
	if p.Dialect.IDField != "" && a.head.Header.Get(p.Dialect.IDField) == "" {
		c.sawUnidentified = true
	}
	if p.streams(m, a.head) {
		return attemptEnd{verdict: c.BeginStreaming(a.Answer, cancelled), head: a.head}
	}
	return attemptEnd{verdict: c.Answered(a.Answer, cancelled), head: a.head, body: a.body}
}

// failureAwaiting returns how a connection failed to which a request had been written completely.
func failureAwaiting(ctx context.Context, err error) upstreamconn.Failure {
	switch {
	case ctx.Err() != nil:
		return upstreamconn.Cancelled
	case isTimeout(err):
		return upstreamconn.TimedOut
	case isMalformed(err):
		return upstreamconn.Malformed
	}
	return upstreamconn.ConnectionLost
}

// isTimeout reports whether a deadline of the connection passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isMalformed reports whether what the server sent is no answer in the protocol.
func isMalformed(err error) bool {
	for _, malformed := range [...]error{
		errMalformedAnswer,
		http1.ErrStartLine,
		http1.ErrHeader,
		http1.ErrFraming,
		http1.ErrHeadTooLarge,
		http1.ErrBodyTooLarge,
	} {
		if errors.Is(err, malformed) {
			return true
		}
	}
	return false
}
