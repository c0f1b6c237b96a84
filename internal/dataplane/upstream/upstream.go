// Package upstream sends attempts to quote servers and tells how each ended. It keeps their
// connections, and never sends anything a second time on its own.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

const (
	idleShare     = 0.6 // of the servers' keep-alive: a request written to a connection they close is lost
	sweepInterval = time.Second

	resetRoundTrips, minResetWait, maxResetWait = 2, time.Millisecond, 10 * time.Millisecond // of the time to connect
)

const minRest = decision.Seconds(0.05) // since its last answer: a server may have forgotten a connection by then

// Lookup gives a backend's address, and whether it may be sent anything new.
type Lookup func(id string) (addr string, serving bool)

// Limits bound the pool.
type Limits struct {
	Connections    int // open at once, to all backends
	ConnectTimeout time.Duration
	Keepalive      time.Duration // the servers close connections idle for this long
}

// Dialect is what servers are spoken to in. That of the deployments in service is its zero value.
type Dialect struct {
	// Begin appends a request's line and the fields that concern the attempt. Nil: as in service.
	AppendHead func(b []byte, m *Message, backend string, left time.Duration) []byte
	// Meaning is what an answer means to the request it came behind. Nil: as in service.
	Meaning func(m *Message, a *http1.Response) AnswerMeaning
	// ID is the field in which an answer carries back the id of its request, in textproto's form; "": none does, as in service.
	IDField string
	// MinHoldIdle is for how long the last byte of what must not run twice is held at least on a connection that has rested; 0: as on any.
	MinHoldIdle time.Duration
}

// AnswerMeaning is what an answer means.
type AnswerMeaning uint8

// The meanings.
const (
	Served      AnswerMeaning = iota // it is the request's answer, whatever it says
	NotExecuted                      // it says that the request has not run
	Failed                           // the server failed, and the request may have run
	Foreign                          // it answers another request: what is behind it may be this one's
	Broken                           // it is no answer in the protocol
)

// Pool keeps the connections to all backends.
type Pool struct {
	// Dialect is set before the first attempt.
	Dialect Dialect
	// Traffic counts what goes over the connections; nil: nothing is counted. It is set before the first attempt.
	Traffic *traffic.Counter

	lookup     Lookup
	limits     Limits
	log        *logrus.Logger
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	awaitReset func(*conn) // waits until a reset by the server would be here
	base       time.Time   // the shelf's times are seconds since then

	mu     sync.Mutex
	idle   *upstreamconn.IdlePool[*conn]
	losses upstreamconn.LossHistory
	dials  atomic.Int64
}

// New returns an empty pool.
func New(lookup Lookup, limits Limits, log *logrus.Logger) *Pool {
	dialer := net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1}
	return &Pool{lookup: lookup, limits: limits, log: log, dial: dialer.DialContext, base: time.Now(),
		idle: upstreamconn.NewIdlePool[*conn](limits.Connections), awaitReset: func(c *conn) { time.Sleep(c.hold) }}
}

func (p *Pool) now() decision.Seconds { return time.Since(p.base).Seconds() }

// Message is a request as it goes to a backend.
type Message struct {
	Method, Target, ID string
	Fields             []byte // further fields of its head, as they are written
	Body               []byte
	Host, Tenant       string               // in a dialect that knows them
	AtMostOnce         bool                 // it must not run twice, whatever its method
	Trailer            textproto.MIMEHeader // behind Body, which then goes out in one chunk; nil: none
	Upload             Upload               // a body that is too long to be held; Body is then nil
	SlowAttempt        SlowAttempt          // with the attempt that it is handed over for

	writtenTo []string // servers to which it was written whole
}

// safe tells whether its method is one that may be repeated, and has no body as a rule.
func (m *Message) safe() bool { return m.Method == "GET" || m.Method == "HEAD" }

// Result is how an attempt ended, with the body if it was Done.
type Result struct {
	Outcome  decision.Outcome
	Answered bool            // a whole answer came after the request had been written whole: it had arrived
	Writes   int             // times the request was written whole, to one connection after another
	Head     *http1.Response // of the answer; nil: none came
	// Stream is the body of a served answer that is too long to be read whole (Body is then nil): it is to be read as
	// it comes and closed. Nil: Body is the whole of it.
	Stream *Stream
	Body   []byte
}

var expired = time.Unix(1, 0)

// Do makes one attempt. It ends by itself at until, and early when the context ends.
func (p *Pool) Do(ctx context.Context, backend string, m *Message, until time.Time) Result {
	if _, serving := p.lookup(backend); !serving || ctx.Err() != nil {
		return Result{Outcome: decision.NotSent}
	}
	writes, fit := 0, upstreamconn.Reuse{AtMostOnce: m.AtMostOnce}
	if p.Dialect.IDField != "" {
		fit.Resent = slices.Contains(m.writtenTo, backend)
	}
	for {
		c, err := p.get(ctx, backend, until, fit)
		if errors.Is(err, errNotNeeded) || errors.Is(err, errPoolExhausted) {
			return Result{Outcome: decision.NotSent, Writes: writes} // nothing was sent whole, and the server is not to blame
		} else if err != nil {
			return Result{Outcome: decision.ConnectionRefused, Writes: writes}
		}
		v, head, body, err := p.attempt(ctx, c, m, until, &writes)
		err = cmp.Or(err, v.Err)
		if p.streams(m, head) {
			s := &Stream{pool: p, conn: c, body: c.reader.Stream(head)}
			s.Length = s.body.Length
			return Result{Outcome: v.Outcome, Answered: v.Answered, Writes: writes, Head: head, Stream: s}
		}
		if v.Reusable {
			p.put(c)
		} else {
			p.close(c, v.Code, err)
		}
		if !v.TryNextConnection || m.Upload != nil && m.Upload.Consumed() {
			return Result{Outcome: v.Outcome, Answered: v.Answered, Head: head, Body: body, Writes: writes}
		}
	}
}

// attempt is the life of a request on a connection: written, answered. What each end of it proves, and whether the
// connection may be used again, is the link's to say.
func (p *Pool) attempt(ctx context.Context, c *conn, m *Message, until time.Time, writes *int) (v upstreamconn.Verdict, head *http1.Response, body []byte, err error) {
	if err := c.Begin(); err != nil {
		return c.FailedWriting(upstreamconn.ConnectionLost), nil, nil, err
	}
	// A dial takes a while: the list may have changed, the client gone, the time run out.
	addr, serving := p.lookup(c.backend)
	left := time.Until(until)
	if !upstreamconn.MayBegin(serving, addr == c.addr, ctx.Err() != nil, left.Seconds()) {
		return c.NotBegun(), nil, nil, nil
	}
	c.SetDeadline(until)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	*buf = p.appendRequest((*buf)[:0], m, c.backend, left)
	if m.Upload != nil {
		answered, err := p.upload(ctx, c, m, *buf, until)
		if err != nil && answered {
			a, head, body, err := p.read(c, m)
			if err == nil {
				return c.AnsweredEarly(a), head, body, nil
			}
		}
		if err != nil {
			how := failureUploading(ctx, err)
			if how == upstreamconn.ConnectionLost {
				p.recordLoss(c)
			}
			return c.FailedWriting(how), nil, nil, err
		}
	} else if whole, err := p.write(ctx, c, *buf, m.AtMostOnce || !m.safe()); !whole {
		if ctx.Err() != nil || errors.Is(err, errDraining) {
			return c.FailedWriting(upstreamconn.Cancelled), nil, nil, err // nothing ran, and the server is not to blame
		}
		p.recordLoss(c)
		return c.FailedWriting(upstreamconn.ConnectionLost), nil, nil, err
	}
	c.Written()
	if *writes++; p.Dialect.IDField != "" {
		m.writtenTo = append(m.writtenTo, c.backend)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(expired) })
	lapse := m.SlowAttempt.start(c)
	a, head, body, err := p.read(c, m)
	lapse.stop()
	cancelled := !stop() // then the deadline may be changed at any time from now on
	if err != nil {
		how := failureAwaiting(ctx, err)
		if how == upstreamconn.ConnectionLost {
			p.recordLoss(c)
		}
		return c.FailedAwaiting(how), nil, nil, err
	}
	c.lastAnswer = p.now()
	c.sawUnidentified = c.sawUnidentified || p.Dialect.IDField != "" && head.Header.Get(p.Dialect.IDField) == ""
	if p.streams(m, head) {
		return c.BeginStreaming(a, cancelled), head, nil, nil
	}
	return c.Answered(a, cancelled), head, body, nil
}

var (
	errConnectionEnded = errors.New("ended before the request was whole")
	errDraining        = errors.New("the server is to get nothing new")
)

// lost remembers that a server's connection ended unawares.
func (p *Pool) recordLoss(c *conn) {
	p.mu.Lock()
	p.losses.Record(c.backend, p.now())
	p.mu.Unlock()
}

// write sends a request, where it can prove something in two parts, the last byte by itself. A server that has
// forgotten a kept connection resets it at the first byte of a request, and what comes before the request is whole is
// no answer to it: with the last byte still here, either proves that nothing ran.
func (p *Pool) write(ctx context.Context, c *conn, b []byte, once bool) (whole bool, err error) {
	now := p.now()
	p.mu.Lock()
	hold := p.losses.HoldLastByte(c.backend, now, upstreamconn.Evidence{New: c.Uses() == 1, IdleFor: now - c.lastAnswer, AtMostOnce: once})
	p.mu.Unlock()
	if !hold {
		n, err := c.Write(b)
		return n == len(b), err
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(expired) })
	defer stop()
	last := len(b) - 1
	if _, err = c.Write(b[:last]); err != nil {
		return false, err
	}
	p.hold(c, once)
	if code := c.stale(c.addr); code != "" || ctx.Err() != nil {
		return false, fmt.Errorf("%w: %s", errConnectionEnded, code)
	}
	if _, serving := p.lookup(c.backend); !upstreamconn.MayRelease(serving, ctx.Err() != nil) {
		return false, errDraining // between the two parts the news came that it drains
	}
	n, err := c.Write(b[last:])
	return n == 1, err
}

// held waits, with something of a request held back, until a reset by a server that has forgotten the connection would be here. How long one
// takes is not known: the time to connect is that of the kernels, the reset that of a busy server.
func (p *Pool) hold(c *conn, once bool) {
	if c.hold = c.resetWait; once && c.Uses() > 1 && p.now()-c.lastAnswer > minRest {
		c.hold = max(c.hold, p.Dialect.MinHoldIdle)
	}
	p.awaitReset(c)
}

// trouble tells apart how a connection failed on which a request had been written whole.
func failureAwaiting(ctx context.Context, err error) upstreamconn.Failure {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return upstreamconn.Cancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		return upstreamconn.TimedOut
	case errors.Is(err, errMalformedAnswer), errors.Is(err, http1.ErrStartLine), errors.Is(err, http1.ErrHeader), errors.Is(err, http1.ErrFraming),
		errors.Is(err, http1.ErrHeadTooLarge), errors.Is(err, http1.ErrBodyTooLarge):
		return upstreamconn.Malformed
	}
	return upstreamconn.ConnectionLost
}

// means is what an answer means.
func (p *Pool) meaning(m *Message, head *http1.Response) AnswerMeaning {
	if p.Dialect.Meaning != nil {
		return p.Dialect.Meaning(m, head)
	}
	switch {
	case head.Status == 200:
		return Served
	case (head.Status == 503 || head.Status == 504) && head.Header.Get("X-Not-Processed") == "1":
		return NotExecuted
	}
	return Failed
}

// streams tells whether an answer's body is passed on as it comes, by whoever answers the client.
func (p *Pool) streams(m *Message, head *http1.Response) bool {
	return head != nil && head.Large() && p.meaning(m, head) == Served
}

var errMalformedAnswer = errors.New("no answer in the protocol")

// read takes the answer, and its body if it is the client's and is not streamed. Without an error there is a head.
func (p *Pool) read(c *conn, m *Message) (a upstreamconn.Answer, head *http1.Response, body []byte, err error) {
	for r := c.reader; ; {
		if head, err = r.Response(m.Method == "HEAD"); err != nil {
			return a, nil, nil, err
		}
		meaning := p.meaning(m, head)
		a = upstreamconn.Answer{Status: head.Status, NotProcessed: meaning == NotExecuted, Close: head.Close}
		switch meaning {
		case Served:
			a.Status = 200
		case NotExecuted:
			a.Status = 503
		}
		if meaning == Served && head.Large() { // what follows its body is looked at once that has been read
			return a, head, nil, nil
		}
		if body, err = r.Body(head); err != nil {
			return a, nil, nil, err
		}
		if meaning == Foreign && c.ForeignAnswer() {
			continue
		}
		if meaning == Foreign || meaning == Broken {
			return a, nil, nil, errMalformedAnswer
		}
		a.TrailingBytes = r.Buffered() > 0
		return a, head, body, nil
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// appendRequest writes a request so that one write sends it whole.
func (p *Pool) appendRequest(b []byte, m *Message, backend string, left time.Duration) []byte {
	if begin := p.Dialect.AppendHead; begin != nil {
		b = begin(b, m, backend, left)
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
		b = append(http1.AppendFraming(b, -1), "\r\n"...)
		if len(m.Body) > 0 {
			b = append(strconv.AppendInt(b, int64(len(m.Body)), 16), "\r\n"...)
			b = append(append(b, m.Body...), "\r\n"...)
		}
		return http1.AppendLastChunk(b, m.Trailer, nil)
	case len(m.Body) > 0 || !m.safe():
		b = http1.AppendLength(b, len(m.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}
