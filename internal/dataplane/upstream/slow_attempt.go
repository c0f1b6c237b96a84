package upstream

import (
	"sync"
	"time"
)

// slowAttemptInterval is how often SlowAttempt.ShouldAbandon is asked again.
const slowAttemptInterval = 50 * time.Millisecond

// SlowAttempt is when an attempt counts as slow, and who decides whether to give it up then.
type SlowAttempt struct {
	After         time.Duration // since the request was written completely; 0: never
	ShouldAbandon func() bool   // asked then, and again each slowAttemptInterval until it is true
}

// slowAttemptTimer watches one attempt.
type slowAttemptTimer struct {
	mu      sync.Mutex // guards what follows; held while ShouldAbandon is asked, so that stop waits for it
	timer   *time.Timer
	stopped bool
}

// start begins to watch a connection: once the attempt is to be given up, its deadline has passed. Nil: nothing is
// watched.
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

// stop ends the watch: from now on it leaves the connection alone.
func (st *slowAttemptTimer) stop() {
	if st == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stopped = true
	st.timer.Stop()
}
