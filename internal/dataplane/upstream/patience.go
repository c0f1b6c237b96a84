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

const askEvery = 50 * time.Millisecond

// lapse is the patience with one attempt.
type lapse struct {
	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// with begins it: once it is out, what is read from the connection comes too late.
func (p *SlowAttempt) with(c *conn) *lapse {
	if p.After <= 0 {
		return nil
	}
	l := &lapse{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(p.After, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case l.over:
		case p.ShouldAbandon():
			c.SetDeadline(longAgo)
		default:
			l.timer.Reset(askEvery)
		}
	})
	return l
}

// stop ends it: from now on it leaves the connection alone.
func (l *lapse) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	l.timer.Stop()
}
