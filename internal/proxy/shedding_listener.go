package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/retry"
)

const (
	// minOpenPeriod is for how long the address is open at a time while the machine sheds load, at least: much longer
	// than a connection takes to be established where no queue stands at the link, because those that are pending as
	// the address closes have sent their request for nothing.
	minOpenPeriod = 40 * time.Millisecond
	// shedCycle is the time in which the address is opened and closed once: the admitted share of it is the open
	// period, unless that is shorter than minOpenPeriod. The longer the open period is, the fewer connections are
	// pending as it ends; the longer the closed period is, the longer clients meet no machine.
	shedCycle = 400 * time.Millisecond
	// fruitlessPause is for how long the address stays closed, at least, after an open period in which no connection
	// was established: a queue at the link is longer than the open period, and would have all be reset as the address
	// closes.
	fruitlessPause = 400 * time.Millisecond
	// maxDrainPause bounds for how long the address stays closed while a queue stands at the link: it drains meanwhile.
	maxDrainPause = 5 * time.Second
	// reopenInterval is the time between two attempts to bind the address again.
	reopenInterval = 10 * time.Millisecond
)

// sheddingListener is a listener whose address is closed for a part of the time while a machine sheds load: clients get
// a reset for their first packet and go elsewhere, and nothing of their request crosses the link.
type sheddingListener struct {
	listen  func() (net.Listener, error)
	shedder *shedder
	log     log.Logger

	accepted atomic.Int64 // connections, since the start

	mu      sync.Mutex    // guards the fields below
	current net.Listener  // nil: the address is closed for the moment
	changed chan struct{} // closed when current changes
	closed  bool
}

// newSheddingListener binds the address at once. Run must run for load to be shed.
func newSheddingListener(
	listen func() (net.Listener, error), s *shedder, logger log.Logger,
) (*sheddingListener, error) {
	first, err := listen()
	if err != nil {
		return nil, err
	}
	return &sheddingListener{
		listen:  listen,
		shedder: s,
		log:     logger,
		current: first,
		changed: make(chan struct{}),
	}, nil
}

// Accept waits for a connection, also while the address is closed for the moment.
func (sl *sheddingListener) Accept() (net.Conn, error) {
	for {
		sl.mu.Lock()
		current, changed, closed := sl.current, sl.changed, sl.closed
		sl.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case current == nil:
			<-changed
			continue
		}
		conn, err := current.Accept()
		if err == nil {
			sl.accepted.Add(1)
		}
		if err == nil || !errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		sl.mu.Lock()
		if sl.current == current && !sl.closed {
			sl.closed = true // it was not suspend that closed it
		}
		sl.mu.Unlock()
	}
}

// Close ends the listener for good.
func (sl *sheddingListener) Close() error {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return nil
	}
	sl.closed = true
	current := sl.replace(nil)
	if current == nil {
		return nil
	}
	return current.Close()
}

// Addr returns the address that is bound; an empty one while it is closed.
func (sl *sheddingListener) Addr() net.Addr {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.current == nil {
		return &net.TCPAddr{}
	}
	return sl.current.Addr()
}

// replace replaces the current listener and returns the one before. The mutex is held.
func (sl *sheddingListener) replace(next net.Listener) (previous net.Listener) {
	previous, sl.current = sl.current, next
	close(sl.changed)
	sl.changed = make(chan struct{})
	return previous
}

// Run opens and closes the address by the admitted share until the context ends or the listener is closed.
func (sl *sheddingListener) Run(ctx context.Context) {
	shedding := false
	for {
		share := sl.shedder.admitted(time.Now())
		if now := share < 1; now != shedding {
			shedding = now
			level.Info(sl.log).Log("msg", "shedding", "on", shedding)
		}
		if !shedding {
			if !retry.Sleep(ctx, shedInterval) {
				return
			}
			continue
		}
		before := sl.accepted.Load()
		open := openPeriod(share)
		if !retry.Sleep(ctx, open) {
			return
		}
		now := time.Now()
		established := sl.accepted.Load() > before
		if !established {
			sl.shedder.nothingEstablished(now)
		}
		closed := closedPeriod(share, open, established, sl.shedder.standingDelay(now))
		if !sl.suspend() || !retry.Sleep(ctx, closed) || !sl.resume(ctx) {
			return
		}
	}
}

// openPeriod returns for how long the address is open at a time for a share of new connections to be admitted.
func openPeriod(share float64) time.Duration {
	return max(minOpenPeriod, time.Duration(share*float64(shedCycle)))
}

// closedPeriod returns for how long the address is closed after an open period, in which connections were established
// or not, while a queue of some delay stands at the link (0: none).
func closedPeriod(share float64, open time.Duration, established bool, delay time.Duration) time.Duration {
	closed := time.Duration(float64(open) * (1/share - 1))
	if !established {
		closed = max(closed, fruitlessPause)
	}
	return max(closed, min(delay, maxDrainPause))
}

// suspend closes the address for a while; false: the listener is closed.
func (sl *sheddingListener) suspend() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		return false
	}
	if previous := sl.replace(nil); previous != nil {
		previous.Close()
	}
	return true
}

// resume opens the address again; false: the listener is closed, or the context has ended.
func (sl *sheddingListener) resume(ctx context.Context) bool {
	for {
		next, err := sl.listen()
		if err == nil {
			return sl.setCurrent(next)
		}
		level.Error(sl.log).Log("msg", "listener not reopened", "err", err)
		if !retry.Sleep(ctx, reopenInterval) {
			return false
		}
	}
}

// setCurrent has connections be accepted from a listener; false: this one is closed, and so the other is too.
func (sl *sheddingListener) setCurrent(next net.Listener) bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.closed {
		next.Close()
		return false
	}
	sl.replace(next)
	return true
}
