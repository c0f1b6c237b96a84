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
	// minOpenPeriod is the shortest time for which the address is open while the machine sheds load. It is much longer
	// than the time to establish a connection over a link without a queue, because clients whose connections are
	// pending when the address closes have sent their requests in vain.
	minOpenPeriod = 40 * time.Millisecond
	// shedCycle is the time in which the address is opened and closed once. The open period is the admitted share of
	// it, or minOpenPeriod if that is longer. With longer open periods fewer connections are pending when the address
	// closes, but with longer closed periods clients are refused for longer at a time.
	shedCycle = 400 * time.Millisecond
	// minPauseAfterNoConnection is the shortest time for which the address is closed after an open period in which no
	// connection was established. The queue at the link is then longer than an open period, so that all connections of
	// another one would be reset when the address closes.
	minPauseAfterNoConnection = 400 * time.Millisecond
	// maxDrainPause bounds the time for which the address is closed so that a standing queue at the link can drain.
	maxDrainPause = 5 * time.Second
	// reopenInterval is the time between two attempts to bind the address again.
	reopenInterval = 10 * time.Millisecond
)

// sheddingListener is a listener whose address is closed for part of the time while a machine sheds load. Clients then
// get a reset in answer to their first packet and connect to another ingress, and their requests do not use the link.
type sheddingListener struct {
	listen  func() (net.Listener, error)
	shedder *shedder
	log     log.Logger

	accepted atomic.Int64 // number of connections accepted since the start

	mu      sync.Mutex    // guards the fields below
	current net.Listener  // nil: the address is temporarily closed
	changed chan struct{} // closed when current changes
	closed  bool
}

// newSheddingListener binds the address at once. It sheds load only while Run runs.
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

// Accept waits for a connection, even while the address is temporarily closed.
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
			sl.closed = true // it was not closed by suspend
		}
		sl.mu.Unlock()
	}
}

// Close closes the listener permanently.
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

// Addr returns the bound address, or an empty one while the address is closed.
func (sl *sheddingListener) Addr() net.Addr {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.current == nil {
		return &net.TCPAddr{}
	}
	return sl.current.Addr()
}

// replace replaces the current listener and returns the previous one. The caller must hold the mutex.
func (sl *sheddingListener) replace(next net.Listener) (previous net.Listener) {
	previous, sl.current = sl.current, next
	close(sl.changed)
	sl.changed = make(chan struct{})
	return previous
}

// Run opens and closes the address according to the admitted share until the context ends or the listener is closed.
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
			sl.shedder.observeNoConnection(now)
		}
		closed := closedPeriod(share, open, established, sl.shedder.standingDelay(now))
		if !sl.suspend() || !retry.Sleep(ctx, closed) || !sl.resume(ctx) {
			return
		}
	}
}

// openPeriod returns the length of an open period in which share of the new connections is to be admitted.
func openPeriod(share float64) time.Duration {
	return max(minOpenPeriod, time.Duration(share*float64(shedCycle)))
}

// closedPeriod returns the time for which the address is closed after an open period. established reports whether any
// connection was established in that period; delay is that of the standing queue at the link, or 0 if there is none.
func closedPeriod(share float64, open time.Duration, established bool, delay time.Duration) time.Duration {
	closed := time.Duration(float64(open) * (1/share - 1))
	if !established {
		closed = max(closed, minPauseAfterNoConnection)
	}
	return max(closed, min(delay, maxDrainPause))
}

// suspend closes the address temporarily. It returns false if the listener is closed.
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

// resume opens the address again. It returns false if the listener is closed or the context has ended.
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

// setCurrent makes Accept use the listener next. If sl is closed, it closes next and returns false.
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
