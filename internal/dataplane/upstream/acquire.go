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

// The time within which a server's reset arrives is estimated as resetRoundTrips times the time to connect. The
// estimate is at least minResetWait, because a busy server reacts later than its kernel accepts a connection. It is at
// most maxResetWait, because it delays the request.
const (
	resetRoundTrips = 2 // multiple of the time to connect
	minResetWait    = time.Millisecond
	maxResetWait    = 10 * time.Millisecond
)

// acquire returns the most recently used idle connection to a backend, or opens a new one if no idle one is usable.
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

// takeOrReserve takes an idle connection from the pool. If there is none, c is nil and a new connection is reserved,
// which the caller must open. If evicted is not nil, the caller must close it to stay within the limit of connections.
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

// usable reports whether a request may be written to a connection that was idle. If not, it closes the connection.
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

// open opens a connection that takeOrReserve reserved.
func (p *Pool) open(ctx context.Context, backend, addr string, deadline time.Time) (*conn, error) {
	begun := time.Now()
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	p.dials.Add(1)
	nc, err := p.dial(dialCtx, "tcp", addr)
	cancel()
	if err != nil {
		p.countClosed()
		code := "upstream-connect-failed"
		if ctx.Err() != nil || time.Until(deadline) <= 0 {
			// The attempt was cancelled or its deadline passed. Reporting a refused connection would count against a
			// healthy server.
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

// acquireOutcome returns the outcome of an attempt for which no connection could be acquired because of err.
func acquireOutcome(err error) decision.Outcome {
	if errors.Is(err, errNotNeeded) || errors.Is(err, errPoolExhausted) {
		return decision.NotSent
	}
	return decision.ConnectionRefused
}
