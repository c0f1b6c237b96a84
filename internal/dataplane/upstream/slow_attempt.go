package upstream

import (
	"sync"
	"time"
)

// SlowAttempt is how long a server may be silent to a request that was written whole before somebody is asked whether to wait on.
type SlowAttempt struct {
	After         time.Duration // 0: nobody is asked
	ShouldAbandon func() bool   // whether to give the attempt up now; asked again each askEvery
}

const slowAttemptInterval = 50 * time.Millisecond

// lapse is the patience with one attempt.
type slowAttemptTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// with begins it: once it is out, what is read from the connection comes too late.
func (s *SlowAttempt) start(c *conn) *slowAttemptTimer {
	if s.After <= 0 {
		return nil
	}
	l := &slowAttemptTimer{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(s.After, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case l.stopped:
		case s.ShouldAbandon():
			c.SetDeadline(expired)
		default:
			l.timer.Reset(slowAttemptInterval)
		}
	})
	return l
}

// stop ends it: from now on it leaves the connection alone.
func (t *slowAttemptTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
