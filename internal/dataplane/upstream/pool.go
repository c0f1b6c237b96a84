package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

const (
	// maxIdleShare is the part of the servers' keep-alive for which a connection is kept idle: a request that is
	// written to a connection as the server closes it is lost.
	maxIdleShare  = 0.6
	sweepInterval = time.Second
)

// Lookup returns a backend's address, and whether it may be sent new requests.
type Lookup func(id string) (addr string, serving bool)

// Limits bound the pool.
type Limits struct {
	Connections    int // open at once, to all backends
	ConnectTimeout time.Duration
	Keepalive      time.Duration // after which the servers close idle connections
}

// Pool keeps the connections to all backends. It is safe for concurrent use.
type Pool struct {
	// Dialect is set before the first attempt.
	Dialect Dialect
	// Traffic counts the bytes on the connections; nil: nothing is counted. It is set before the first attempt.
	Traffic *traffic.Counter

	lookup     Lookup
	limits     Limits
	log        log.Logger
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	awaitReset func(*conn) // waits for conn.holdTime, until a reset by the server would have arrived
	base       time.Time   // the times of the state machines are seconds since then
	dials      atomic.Int64

	mu     sync.Mutex // guards idle and losses
	idle   *upstreamconn.IdlePool[*conn]
	losses upstreamconn.LossHistory
}

// New returns an empty pool.
func New(lookup Lookup, limits Limits, logger log.Logger) *Pool {
	dialer := net.Dialer{Timeout: limits.ConnectTimeout, KeepAlive: -1}
	return &Pool{
		lookup:     lookup,
		limits:     limits,
		log:        logger,
		dial:       dialer.DialContext,
		awaitReset: func(c *conn) { time.Sleep(c.holdTime) },
		base:       time.Now(),
		idle:       upstreamconn.NewIdlePool[*conn](limits.Connections),
	}
}

func (p *Pool) now() decision.Seconds { return time.Since(p.base).Seconds() }

// Connections returns how many connections are open, idle or in use.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.Open()
}

// Dials returns how many connections were begun to be opened since the process started.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	if _, serving := p.lookup(c.backend); !serving {
		p.close(c, "upstream-not-needed", nil)
		return
	}
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle.Put(c.backend, c, p.now())
}

// forget counts a connection as closed.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle.Closed()
}

// close closes a connection that is not in the pool.
func (p *Pool) close(c *conn, code string, err error) {
	c.Drop()
	c.Close()
	p.forget()
	level.Info(p.log).Log("msg", "upstream connection ended",
		"code", code, "backend", c.backend, "uses", c.Uses(), "error", err,
	)
}

// recordLoss records that a connection ended while it was idle, or as a request was written to it.
func (p *Pool) recordLoss(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses.Record(c.backend, p.now())
}

// Run closes idle connections before the servers do, and those to servers that are not serving, until the context ends;
// then all idle ones.
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

// sweep closes the idle connections that have expired at a time.
func (p *Pool) sweep(now time.Time) {
	serving := func(backend string) bool {
		_, serving := p.lookup(backend)
		return serving
	}
	p.mu.Lock()
	idleSince := now.Sub(p.base).Seconds() - maxIdleShare*p.limits.Keepalive.Seconds()
	expired := p.idle.TakeExpired(idleSince, serving)
	p.losses.Expire(p.now())
	p.mu.Unlock()
	for _, c := range expired {
		p.close(c, "upstream-idle", nil)
	}
}
