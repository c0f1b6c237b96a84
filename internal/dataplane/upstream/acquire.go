package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// The time in which a server's reset arrives is estimated by the time to connect, within bounds.
const (
	resetRoundTrips = 2 // times the time to connect
	minResetWait    = time.Millisecond
	maxResetWait    = 10 * time.Millisecond
)

// acquire takes the idle connection to a backend that was used last, or opens one.
func (p *Pool) acquire(
	ctx context.Context, backend string, deadline time.Time, reuse upstreamconn.ReuseConditions,
) (*conn, error) {
	addr, _ := p.lookup(backend)
	for {
		c, evicted, err := p.takeOrReserve(backend)
		if err != nil {
			return nil, err
		}
		if c == nil {
			if evicted != nil {
				p.close(evicted, "upstream-room", nil)
			}
			return p.open(ctx, backend, addr, deadline)
		}
		if p.usable(c, addr, reuse) {
			return c, nil
		}
	}
}

// takeOrReserve takes an idle connection. Where there is none (nil), it reserves a new one, for which evicted is to be
// closed, if it is not nil.
func (p *Pool) takeOrReserve(backend string) (c, evicted *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle, ok := p.idle.Take(backend); ok {
		return idle.Conn, nil, nil
	}
	evicted, _, ok := p.idle.Reserve()
	if !ok {
		return nil, nil, errPoolExhausted
	}
	return nil, evicted, nil
}

// usable reports whether a request may be written to a connection that was idle. It closes one that is not.
func (p *Pool) usable(c *conn, addr string, reuse upstreamconn.ReuseConditions) bool {
	if code := c.stale(addr); code != "" {
		if code != "upstream-moved" {
			p.recordLoss(c)
		}
		p.close(c, code, nil)
		return false
	}
	reuse.SawUnidentified = c.sawUnidentified
	if !upstreamconn.MayReuse(reuse) {
		p.close(c, "upstream-not-needed", nil)
		return false
	}
	return true
}

// open opens a connection that was reserved.
func (p *Pool) open(ctx context.Context, backend, addr string, deadline time.Time) (*conn, error) {
	begun := time.Now()
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	p.dials.Add(1)
	nc, err := p.dial(dialCtx, "tcp", addr)
	cancel()
	if err != nil {
		p.forget()
		code := "upstream-connect-failed"
		if ctx.Err() != nil || time.Until(deadline) <= 0 {
			// Reported as a refused connection, it would count against a server that is healthy.
			code, err = "upstream-not-needed", fmt.Errorf("%w: %w", errNotNeeded, err)
		}
		level.Info(p.log).Log("msg", "upstream connection ended", "code", code, "backend", backend, "error", err)
		return nil, err
	}
	c := &conn{
		Conn:      nc,
		backend:   backend,
		addr:      addr,
		traffic:   p.Traffic,
		resetWait: min(max(resetRoundTrips*time.Since(begun), minResetWait), maxResetWait),
	}
	c.reader = http1.NewReader(c)
	p.Traffic.Connected()
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		p.close(c, "upstream-connect-failed", err)
		return nil, fmt.Errorf("connection to %s: %w", addr, err)
	}
	return c, nil
}

// acquireOutcome returns the outcome of an attempt for which no connection could be acquired.
func acquireOutcome(err error) decision.Outcome {
	if errors.Is(err, errNotNeeded) || errors.Is(err, errPoolExhausted) {
		return decision.NotSent
	}
	return decision.ConnectionRefused
}
