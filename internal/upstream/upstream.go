// Package upstream sends attempts to quote servers and tells how each ended. It keeps their
// connections, and never sends anything a second time on its own.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/http1"
	"mulleinrouter/passhub"
)

const (
	idleShare  = 0.6 // of the servers' keep-alive: a request written to a connection they close is lost
	sweepEvery = time.Second

	settleTrips, settleLeast, settleMost = 2, time.Millisecond, 10 * time.Millisecond // of the time to connect
)

// Lookup gives a backend's address, and whether it may be sent anything new.
type Lookup func(id string) (addr string, serving bool)

// Limits bound the pool.
type Limits struct {
	Connections    int // open at once, to all backends
	ConnectTimeout time.Duration
	Keepalive      time.Duration // the servers close connections idle for this long
}

// Pool keeps the connections to all backends.
type Pool struct {
	lookup Lookup
	limits Limits
	log    *logrus.Logger
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	settle func(*conn) // waits until a reset by the server would be here

	mu   sync.Mutex
	idle map[string][]*conn // by backend, the newest last
	open int
}

// conn is one connection to a backend.
type conn struct {
	net.Conn
	backend, addr string
	reader        *http1.Reader
	raw           syscall.RawConn
	settle        time.Duration // by which what it answers to a byte is here
	since         time.Time     // idle since then
	uses          int
}

// New returns an empty pool.
func New(lookup Lookup, limits Limits, log *logrus.Logger) *Pool {
	dialer := net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1}
	return &Pool{lookup: lookup, limits: limits, log: log, dial: dialer.DialContext, idle: map[string][]*conn{},
		settle: func(c *conn) { time.Sleep(c.settle) }}
}

// Message is a request as it goes to a backend.
type Message struct {
	Method, Target, ID string
	Body               []byte
}

// Result is how an attempt ended, with the body if it was Done.
type Result struct {
	Outcome  passhub.Outcome
	Answered bool // a whole answer came after the request had been written whole: it had arrived
	Body     []byte
}

var longAgo = time.Unix(1, 0)

// Do makes one attempt. It ends by itself at until, and early when the context ends.
func (p *Pool) Do(ctx context.Context, backend string, m *Message, until time.Time) Result {
	if _, serving := p.lookup(backend); !serving || ctx.Err() != nil {
		return Result{Outcome: passhub.Skipped}
	}
	c, err := p.send(ctx, backend, m, until)
	switch {
	case errors.Is(err, errUnneeded), errors.Is(err, errFull):
		return Result{Outcome: passhub.Skipped} // nothing was sent whole, and the server is not to blame
	case err != nil:
		return Result{Outcome: passhub.Refused}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	r, code, err := read(c.reader)
	reusable := stop() // else the deadline may be changed at any time from now on
	switch {
	case err == nil && code == "":
		p.put(c, reusable)
	case err == nil:
		p.close(c, code, nil)
	default:
		r.Outcome, code = broken(ctx, err)
		p.close(c, code, err)
	}
	return r
}

// send writes a request on a connection. A kept one may turn out to be forgotten by the server, which says
// nothing of the server: then the next one takes its place, and no part of the request has run. A new one is the
// last to be tried.
func (p *Pool) send(ctx context.Context, backend string, m *Message, until time.Time) (*conn, error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		c, err := p.get(ctx, backend, until)
		if err != nil {
			return nil, err
		}
		// A dial takes a while: the list may have changed, the client gone, the time run out.
		addr, serving := p.lookup(backend)
		left := time.Until(until)
		if !serving || addr != c.addr || ctx.Err() != nil || left <= 0 {
			p.put(c, true)
			return nil, errUnneeded
		}
		c.uses++
		c.SetDeadline(until)
		*buf = appendRequest((*buf)[:0], m, left)
		whole, err := p.write(ctx, c, *buf)
		switch {
		case whole:
			return c, nil
		case ctx.Err() != nil: // the client left: nothing ran, and the server is not to blame
			p.close(c, "upstream-not-needed", err)
			return nil, errUnneeded
		}
		p.close(c, "upstream-write-failed", err)
		if c.uses == 1 {
			return nil, err
		}
	}
}

var errEnded = errors.New("ended before the request was whole")

// write sends a request in two parts, the last byte by itself. A server that has forgotten a kept connection
// resets it at the first byte of a request, and what comes before the request is whole is no answer to it: with
// the last byte still here, either proves that nothing ran.
func (p *Pool) write(ctx context.Context, c *conn, b []byte) (whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	defer stop()
	last := len(b) - 1
	if _, err = c.Write(b[:last]); err != nil {
		return false, err
	}
	p.settle(c)
	if code := c.stale(c.addr); code != "" || ctx.Err() != nil {
		return false, fmt.Errorf("%w: %s", errEnded, code)
	}
	n, err := c.Write(b[last:])
	return n == 1, err
}

// broken tells apart how an attempt that was written whole ended without an answer.
func broken(ctx context.Context, err error) (passhub.Outcome, string) {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return passhub.Cancelled, "upstream-cancelled"
	case errors.As(err, &timeout) && timeout.Timeout():
		return passhub.TimedOut, "upstream-timeout"
	case errors.Is(err, http1.ErrStartLine), errors.Is(err, http1.ErrHeader), errors.Is(err, http1.ErrFraming),
		errors.Is(err, http1.ErrHeadTooLarge), errors.Is(err, http1.ErrBodyTooLarge):
		return passhub.Failed, "upstream-bad-answer"
	}
	return passhub.Reset, "upstream-reset"
}

// read takes the answer. A code says why the connection is not to be used again.
func read(r *http1.Reader) (result Result, code string, err error) {
	a, err := r.Response()
	if err != nil {
		return result, "", err
	}
	body, err := r.Body(a)
	if err != nil {
		return result, "", err
	}
	result.Answered = true
	switch {
	case a.Status == 200:
		result.Outcome, result.Body = passhub.Done, body
	case (a.Status == 503 || a.Status == 504) && a.Header.Get("X-Not-Processed") == "1":
		result.Outcome = passhub.Busy
	default:
		result.Outcome = passhub.Failed
	}
	switch {
	case a.Close:
		code = "upstream-close"
	case r.Buffered() > 0:
		code = "upstream-bad-answer"
	}
	return result, code, nil
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// appendRequest writes a request so that one write sends it whole.
func appendRequest(b []byte, m *Message, left time.Duration) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: app.svc\r\n"...)
	b = http1.AppendField(b, "X-Request-ID", m.ID)
	b = http1.AppendSeconds(b, "X-Timeout", left.Seconds())
	if len(m.Body) > 0 || m.Method != "GET" {
		b = http1.AppendLength(b, len(m.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

var (
	errFull     = errors.New("all connections are in use")
	errUnneeded = errors.New("given up before the connection was up")
)

// get takes the connection used last, or opens one.
func (p *Pool) get(ctx context.Context, backend string, until time.Time) (*conn, error) {
	addr, _ := p.lookup(backend)
	for {
		p.mu.Lock()
		list := p.idle[backend]
		if len(list) == 0 {
			break // with the mutex held
		}
		c := list[len(list)-1]
		p.idle[backend] = list[:len(list)-1]
		p.mu.Unlock()
		if code := c.stale(addr); code != "" {
			p.close(c, code, nil)
			continue
		}
		return c, nil
	}
	var spare *conn
	if p.open >= p.limits.Connections {
		if spare = p.oldest(); spare == nil {
			p.mu.Unlock()
			return nil, errFull
		}
	}
	p.open++
	p.mu.Unlock()
	if spare != nil {
		p.close(spare, "upstream-room", nil)
	}
	begun := time.Now()
	within, done := context.WithDeadline(ctx, until)
	nc, err := p.dial(within, "tcp", addr)
	done()
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		code := "upstream-connect-failed"
		if ctx.Err() != nil || time.Until(until) <= 0 {
			// Taken for a refusal, it would have the module leave a server alone that is well.
			code, err = "upstream-not-needed", fmt.Errorf("%w: %w", errUnneeded, err)
		}
		p.log.WithFields(logrus.Fields{"code": code, "backend": backend}).WithError(err).Info("upstream connection ended")
		return nil, err
	}
	c := &conn{Conn: nc, backend: backend, addr: addr, reader: http1.NewReader(nc),
		settle: min(max(settleTrips*time.Since(begun), settleLeast), settleMost)}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		p.close(c, "upstream-connect-failed", err)
		return nil, err
	}
	return c, nil
}

// stale tells why an idle connection cannot be used, if it cannot. A server that went down meanwhile
// has closed it: a request written to it would be lost without having run, with no proof of that.
func (c *conn) stale(addr string) (code string) {
	if c.addr != addr {
		return "upstream-moved"
	}
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		switch {
		case n == 0 && err == nil:
			code = "upstream-ended"
		case n > 0:
			code = "upstream-bad-answer"
		case err != syscall.EAGAIN && err != syscall.EINTR:
			code = "upstream-reset-idle"
		}
		return true
	})
	if err != nil && code == "" {
		code = "upstream-reset-idle"
	}
	return code
}

// put gives a connection back.
func (p *Pool) put(c *conn, reusable bool) {
	if _, serving := p.lookup(c.backend); !serving || !reusable {
		p.close(c, "upstream-not-needed", nil)
		return
	}
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	c.since = time.Now()
	p.idle[c.backend] = append(p.idle[c.backend], c)
	p.mu.Unlock()
}

// oldest takes out the connection that has been idle for the longest.
func (p *Pool) oldest() *conn {
	var from string
	for backend, list := range p.idle {
		if len(list) > 0 && (from == "" || list[0].since.Before(p.idle[from][0].since)) {
			from = backend
		}
	}
	if from == "" {
		return nil
	}
	c := p.idle[from][0]
	p.idle[from] = p.idle[from][1:]
	return c
}

func (p *Pool) close(c *conn, code string, err error) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	entry := p.log.WithFields(logrus.Fields{"code": code, "backend": c.backend, "uses": c.uses})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("upstream connection ended")
}

// Run closes idle connections before the servers do, and those to servers that are to get nothing
// new, until the context ends; then all that are idle.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Now().Add(time.Hour))
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	most := time.Duration(idleShare * float64(p.limits.Keepalive))
	var old []*conn
	p.mu.Lock()
	for backend, list := range p.idle {
		n := 0
		if _, serving := p.lookup(backend); !serving {
			n = len(list)
		}
		for n < len(list) && now.Sub(list[n].since) > most {
			n++
		}
		old = append(old, list[:n]...)
		if p.idle[backend] = list[n:]; n == len(list) {
			delete(p.idle, backend)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c, "upstream-idle", nil)
	}
}
