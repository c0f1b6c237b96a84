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
	// maxIdleShare is the fraction of the servers' keep-alive time for which an idle connection is kept. A request that
	// is written to a connection while the server closes it is lost, so the pool closes the connection well before.
	maxIdleShare  = 0.6
	sweepInterval = time.Second // time between two searches for expired idle connections
)

// Lookup returns a backend's address, and whether new requests may be sent to the backend.
type Lookup func(id string) (addr string, serving bool)

// Limits are the limits of a pool.
type Limits struct {
	Connections    int           // limit of open connections to all backends together
	ConnectTimeout time.Duration // limit of the time to open a connection
	Keepalive      time.Duration // time after which the servers close idle connections
}

// Pool keeps the connections to all backends. Its methods are safe for concurrent use.
type Pool struct {
	// Dialect must be set before the first attempt.
	Dialect Dialect
	// Traffic counts the bytes on the connections; nil: nothing is counted. It must be set before the first attempt.
	Traffic *traffic.Counter

	lookup     Lookup
	limits     Limits
	log        log.Logger
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	awaitReset func(*conn)  // waits for conn.holdTime, within which a reset by the server should arrive
	base       time.Time    // time 0 of the state machines, whose times are in seconds
	dials      atomic.Int64 // dials since the process started

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

// Dials returns how many dials were started since the process started, including those that failed.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// put returns a connection to the pool, or closes it if its backend is no longer serving.
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

// countClosed counts an open or reserved connection as closed, which frees its place in the limit.
func (p *Pool) countClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle.Closed()
}

// close closes a connection that is not in the idle pool, and logs why.
func (p *Pool) close(c *conn, code string, err error) {
	c.Drop()
	c.Close()
	p.countClosed()
	level.Info(p.log).Log("msg", "upstream connection ended",
		"code", code, "backend", c.backend, "uses", c.Uses(), "error", err,
	)
}

// recordLoss records the loss of a connection (see upstreamconn.LossHistory.Record). For a while, the last byte of each
// request to that backend is then held back.
func (p *Pool) recordLoss(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses.Record(c.backend, p.now())
}

// Run closes idle connections before the servers close them, and idle connections to backends that are not serving.
// When the context ends, it closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Now().Add(time.Hour)) // by then, all connections that are idle now have expired
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// sweep closes the idle connections that have expired at the given time, and drops old entries of the loss history.
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
