package upstream

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// minIdleTime is the time since a connection's last answer, in seconds, above which the connection counts as idle,
// because the server may have dropped it (see Dialect.MinHoldIdle).
const minIdleTime decision.Seconds = 0.05

// requestBuffers holds buffers in which requests are assembled.
var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// write sends a request. If holdsLastByte returns true, it sends a part separately, after a pause: the last byte, or
// what begins with the last byte of the head if servers may execute a request from its head. A server that has dropped
// an idle connection resets it at the first byte of a request. While the part is held back, this proves that the
// request was not executed. So do bytes that arrive meanwhile, unless they are an answer to the request (see
// Pool.earlyAnswer).
func (p *Pool) write(ctx context.Context, c *conn, request []byte, atMostOnce bool) (complete bool, err error) {
	if !p.holdsLastByte(c, atMostOnce) {
		n, err := c.Write(request)
		return n == len(request), err
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	defer stop()
	split := len(request) - 1
	if p.Dialect.ExecutesFromHead {
		split = c.headLeft - 1
	}
	if _, err = c.Write(request[:split]); err != nil {
		return false, err
	}
	p.hold(c, atMostOnce)
	if err := p.mayRelease(ctx, c); err != nil {
		return false, err
	}
	n, err := c.Write(request[split:])
	return n == len(request)-split, err
}

// holdsLastByte reports whether the last byte of a request or of its head is to be held back. That delays the request,
// so it is done only if a lost connection is likely or the request must run at most once.
func (p *Pool) holdsLastByte(c *conn, atMostOnce bool) bool {
	now := p.now()
	conditions := upstreamconn.WriteConditions{New: c.Uses() == 1, IdleFor: now - c.lastAnswer, AtMostOnce: atMostOnce}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losses.HoldLastByte(c.backend, now, conditions)
}

// hold waits, while a part of a request is held back, until a reset by a server that has dropped the connection should
// have arrived. The time is only an estimate: the connect time, on which it is based, depends on the kernels alone, but
// the reset depends on a server that may be busy.
func (p *Pool) hold(c *conn, atMostOnce bool) {
	c.holdTime = c.resetWait
	if atMostOnce && c.Uses() > 1 && p.now()-c.lastAnswer > minIdleTime {
		c.holdTime = max(c.holdTime, p.Dialect.MinHoldIdle)
	}
	p.awaitReset(c)
}

// mayRelease returns why the part of a request that was held back must not be written; nil if it may be written.
func (p *Pool) mayRelease(ctx context.Context, c *conn) error {
	switch code := c.stale(c.addr); {
	case code == codeUnexpectedBytes && ctx.Err() == nil && p.Dialect.IDField != "":
		return errEarlyAnswer // the ID in the answer identifies the request that it answers
	case code != "" || ctx.Err() != nil:
		return fmt.Errorf("%w: %s", errConnectionEnded, code)
	}
	if _, serving := p.lookup(c.backend); !upstreamconn.MayRelease(serving, ctx.Err() != nil) {
		return errDraining
	}
	return nil
}

// appendRequest appends a request with its body, so that a single write sends it. A streamed body is not included.
func (p *Pool) appendRequest(b []byte, m *Message, backend string, left time.Duration) []byte {
	if appendHead := p.Dialect.AppendHead; appendHead != nil {
		b = appendHead(b, m, backend, left)
	} else {
		b = http1.AppendRequestLine(b, m.Method, m.Target, "app.svc")
		b = http1.AppendField(b, "X-Request-ID", m.ID)
		b = http1.AppendSeconds(b, "X-Timeout", left.Seconds())
	}
	b = append(b, m.Fields...)
	switch {
	case m.Upload != nil:
		return append(http1.AppendFraming(b, m.Upload.Length()), "\r\n"...)
	case len(m.Trailer) > 0:
		return appendChunked(b, m)
	case len(m.Body) > 0 || !m.hasSafeMethod():
		b = http1.AppendLength(b, len(m.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// appendChunked ends a request's head and appends its body as one chunk, with its trailer.
func appendChunked(b []byte, m *Message) []byte {
	b = append(http1.AppendFraming(b, -1), "\r\n"...)
	if len(m.Body) > 0 {
		b = strconv.AppendInt(b, int64(len(m.Body)), 16)
		b = append(b, "\r\n"...)
		b = append(b, m.Body...)
		b = append(b, "\r\n"...)
	}
	return http1.AppendLastChunk(b, m.Trailer, nil)
}
