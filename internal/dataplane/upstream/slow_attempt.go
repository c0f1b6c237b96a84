package upstream

import (
	"sync"
	"time"
)

// slowAttemptInterval is the time between two calls of SlowAttempt.ShouldAbandon.
const slowAttemptInterval = 50 * time.Millisecond

// SlowAttempt defines when an attempt counts as slow, and whether a slow attempt is abandoned.
type SlowAttempt struct {
	After         time.Duration // time since the request was written completely; 0: the attempt is never slow
	ShouldAbandon func() bool   // called after that time, and each slowAttemptInterval until it returns true
}

// slowAttemptTimer calls ShouldAbandon for one attempt.
type slowAttemptTimer struct {
	mu      sync.Mutex // guards the fields below; held during ShouldAbandon, so that stop waits for the call
	timer   *time.Timer
	stopped bool
}

// start starts the timer for an attempt on a connection. If the attempt is to be abandoned, the timer sets a deadline
// in the past, which interrupts the connection's reads. The result is nil if the attempt is never slow.
func (s *SlowAttempt) start(c *conn) *slowAttemptTimer {
	if s.After <= 0 {
		return nil
	}
	t := &slowAttemptTimer{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(s.After, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch {
		case t.stopped:
		case s.ShouldAbandon():
			c.SetDeadline(pastDeadline)
		default:
			t.timer.Reset(slowAttemptInterval)
		}
	})
	return t
}

// stop stops the timer. After it has returned, the timer does not change the connection's deadline.
func (st *slowAttemptTimer) stop() {
	if st == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stopped = true
	st.timer.Stop()
}
