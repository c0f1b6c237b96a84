package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// conn is one connection to a backend.
type conn struct {
	net.Conn
	upstreamconn.Machine
	backend, addr   string
	reader          *http1.Reader
	raw             syscall.RawConn
	resetWait       time.Duration    // by which what it answers to a byte is here, as a rule
	hold            time.Duration    // the same, for the request that is going out
	lastAnswer      decision.Seconds // when it last did
	sawUnidentified bool             // an answer without an id has come on it
	traffic         *traffic.Counter
}

var (
	errPoolExhausted = errors.New("all connections are in use")
	errNotNeeded     = errors.New("given up before the connection was up")
)

// get takes the connection used last, or opens one.
func (p *Pool) get(ctx context.Context, backend string, until time.Time, fit upstreamconn.Reuse) (*conn, error) {
	addr, _ := p.lookup(backend)
	for {
		p.mu.Lock()
		kept, ok := p.idle.Take(backend)
		if !ok {
			break // with the mutex held
		}
		p.mu.Unlock()
		if code := kept.Conn.stale(addr); code != "" {
			if code != "upstream-moved" {
				p.recordLoss(kept.Conn)
			}
			p.close(kept.Conn, code, nil)
			continue
		}
		if fit.SawUnidentified = kept.Conn.sawUnidentified; !upstreamconn.MayReuse(fit) {
			p.close(kept.Conn, "upstream-not-needed", nil)
			continue
		}
		return kept.Conn, nil
	}
	spare, end, ok := p.idle.Reserve()
	p.mu.Unlock()
	if !ok {
		return nil, errPoolExhausted
	}
	if end {
		p.close(spare, "upstream-room", nil)
	}
	begun := time.Now()
	within, done := context.WithDeadline(ctx, until)
	p.dials.Add(1)
	nc, err := p.dial(within, "tcp", addr)
	done()
	if err != nil {
		p.forget()
		code := "upstream-connect-failed"
		if ctx.Err() != nil || time.Until(until) <= 0 {
			// Taken for a refusal, it would have the module leave a server alone that is well.
			code, err = "upstream-not-needed", fmt.Errorf("%w: %w", errNotNeeded, err)
		}
		p.log.WithFields(logrus.Fields{"code": code, "backend": backend}).WithError(err).Info("upstream connection ended")
		return nil, err
	}
	c := &conn{Conn: nc, backend: backend, addr: addr, traffic: p.Traffic,
		resetWait: min(max(resetRoundTrips*time.Since(begun), minResetWait), maxResetWait)}
	c.reader = http1.NewReader(c)
	p.Traffic.Connected()
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		p.close(c, "upstream-connect-failed", err)
		return nil, err
	}
	return c, nil
}

// Read reads from the server, and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Read(n)
	return n, err
}

// Write writes to the server, and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Wrote(n)
	return n, err
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
func (p *Pool) put(c *conn) {
	if _, serving := p.lookup(c.backend); !serving {
		p.close(c, "upstream-not-needed", nil)
		return
	}
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	p.idle.Put(c.backend, c, p.now())
	p.mu.Unlock()
}

func (p *Pool) forget() {
	p.mu.Lock()
	p.idle.Closed()
	p.mu.Unlock()
}

func (p *Pool) close(c *conn, code string, err error) {
	c.Drop()
	c.Close()
	p.forget()
	entry := p.log.WithFields(logrus.Fields{"code": code, "backend": c.backend, "uses": c.Uses()})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("upstream connection ended")
}

// Run closes idle connections before the servers do, and those to servers that are to get nothing
// new, until the context ends; then all that are idle.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
	p.mu.Lock()
	old := p.idle.TakeExpired(now.Sub(p.base).Seconds()-idleShare*p.limits.Keepalive.Seconds(), func(backend string) bool {
		_, serving := p.lookup(backend)
		return serving
	})
	p.losses.Expire(p.now())
	p.mu.Unlock()
	for _, c := range old {
		p.close(c, "upstream-idle", nil)
	}
}

// Connections is how many connections to servers are up, idle or not.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.Open()
}

// Dials is how many connections were begun since the process started.
func (p *Pool) Dials() int64 { return p.dials.Load() }
