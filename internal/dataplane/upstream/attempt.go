package upstream

import (
	"bytes"
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

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// attemptEnd is how a request ended on one connection.
type attemptEnd struct {
	verdict upstreamconn.Verdict
	written bool            // whether the request was written completely
	head    *http1.Response // head of the answer; nil: there was no answer
	body    []byte          // body of the answer; nil if it is streamed or there was no answer
	err     error           // error of the connection, for the log
}

// Do makes one attempt to send a request to a backend. The attempt ends at the deadline at the latest, and early if the
// context ends.
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
			result.Stream = newStream(p, c, end.head, deadline)
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

// attempt sends a request over a connection and reads the answer. The connection's state machine determines what the
// end of the attempt proves, and whether the connection may be used again.
func (p *Pool) attempt(ctx context.Context, c *conn, m *Message, deadline time.Time) attemptEnd {
	if err := c.Begin(); err != nil {
		return attemptEnd{verdict: c.FailedWriting(upstreamconn.ConnectionLost), err: err}
	}
	// While the connection was being opened, the list of backends may have changed, the client may have disconnected,
	// or the deadline may have passed.
	addr, serving := p.lookup(c.backend)
	left := time.Until(deadline)
	if !upstreamconn.MayBegin(serving, addr == c.addr, ctx.Err() != nil, left.Seconds()) {
		return attemptEnd{verdict: c.NotBegun()}
	}
	c.SetDeadline(deadline)
	buf := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)
	*buf = p.appendRequest((*buf)[:0], m, c.backend, left)
	c.headLeft = bytes.Index(*buf, headEnd) + len(headEnd)
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

// sendUpload sends a request with a streamed body. If written is false, the attempt has ended with the returned end,
// which may be an early answer.
func (p *Pool) sendUpload(
	ctx context.Context, c *conn, m *Message, head []byte, deadline time.Time,
) (end attemptEnd, written bool) {
	answered, err := p.upload(ctx, c, m, head, deadline)
	if err == nil {
		return attemptEnd{}, true
	}
	if answered {
		if end, ok := p.earlyAnswer(ctx, c, m, err); ok {
			return end, false
		}
	}
	return p.failedWriting(c, failureUploading(ctx, err), err), false
}

// sendBuffered sends a request that is complete in memory. If written is false, the attempt has ended with the returned
// end.
func (p *Pool) sendBuffered(ctx context.Context, c *conn, m *Message, request []byte) (end attemptEnd, written bool) {
	complete, err := p.write(ctx, c, request, m.AtMostOnce || !m.hasSafeMethod())
	if complete {
		return attemptEnd{}, true
	}
	if errors.Is(err, errEarlyAnswer) || p.executesIncomplete(c) && ctx.Err() == nil {
		if end, ok := p.earlyAnswer(ctx, c, m, err); ok {
			return end, false
		}
	}
	failure := upstreamconn.ConnectionLost
	if ctx.Err() != nil || errors.Is(err, errDraining) {
		failure = upstreamconn.Cancelled // the server did not fail
	}
	return p.failedWriting(c, failure, err), false
}

// failedWriting ends an attempt whose request was not written completely.
func (p *Pool) failedWriting(c *conn, failure upstreamconn.Failure, err error) attemptEnd {
	if failure == upstreamconn.ConnectionLost {
		p.recordLoss(c)
	}
	if p.executesIncomplete(c) {
		c.MayExecute()
	}
	return attemptEnd{verdict: c.FailedWriting(failure), err: err}
}

// executesIncomplete reports whether the server may execute the current request although it has not been written
// completely.
func (p *Pool) executesIncomplete(c *conn) bool { return p.Dialect.ExecutesFromHead && c.headLeft == 0 }

// earlyAnswer reads an answer that began to arrive before the request was written completely. The argument cause is why
// the write ended. If ok is false, what arrived does not answer this request: on a connection that was used before,
// bytes of an earlier answer may arrive while a part of the request is held back. There, an answer is accepted only if
// it has the request's ID. An answer that breaks off or is malformed shows that the server has begun to execute the
// request.
func (p *Pool) earlyAnswer(ctx context.Context, c *conn, m *Message, cause error) (end attemptEnd, ok bool) {
	beforeRelease := errors.Is(cause, errEarlyAnswer)
	if beforeRelease || m.Upload == nil {
		c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	}
	a, err := p.read(c, m)
	if beforeRelease && c.Uses() > 1 && (a.head == nil || a.head.Header.Get(p.Dialect.IDField) != m.ID) {
		return attemptEnd{}, false
	}
	if err == nil {
		return attemptEnd{verdict: c.AnsweredEarly(a.Answer), head: a.head, body: a.body}, true
	}
	failure := failureAwaiting(ctx, err)
	if failure == upstreamconn.ConnectionLost {
		p.recordLoss(c)
	}
	c.MayExecute()
	return attemptEnd{verdict: c.FailedWriting(failure), err: err}, true
}

// awaitAnswer reads the answer to a request that was written completely.
func (p *Pool) awaitAnswer(ctx context.Context, c *conn, m *Message) attemptEnd {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	timer := m.SlowAttempt.start(c)
	a, err := p.read(c, m)
	timer.stop()
	cancelled := !stop() // if true, the cancellation may change the deadline at any time from now on
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

// failureAwaiting returns how a connection failed after a request had been written to it completely.
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

// isTimeout reports whether an error means that a deadline of the connection passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isMalformed reports whether an error means that the server sent something that is not a valid answer.
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
