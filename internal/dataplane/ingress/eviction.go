package ingress

import (
	"net"
	"syscall"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
)

const (
	sweepInterval = 250 * time.Millisecond
	// evictionRetry is when eviction is tried again: a new connection that has still sent nothing is evictable by then.
	evictionRetry = 100 * time.Millisecond
)

// admit adds a connection. At the limit it first evicts another; where each has a pending request, it waits until one
// is idle or ends.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	retried := false
	for evicted := false; len(s.conns) >= s.maxConns; s.changed.Wait() {
		if evicted {
			continue // one connection is evicted for each new one, not one more whenever another ends
		}
		if candidate := s.evictionCandidate(time.Now()); candidate != nil {
			candidate.close(clientconn.CodeEvicted)
			evicted = true
		} else if !retried {
			retried = true
			time.AfterFunc(evictionRetry, s.changed.Broadcast)
		}
	}
	s.waiting--
	s.conns[c] = struct{}{}
	if !s.lifecycle.Accepts() {
		c.close(clientconn.CodeDrain) // accepted as the handover ended: the client connects elsewhere
	}
}

// evictionCandidate returns the connection to close for want of room; nil: there is none. The mutex is held.
func (s *Server) evictionCandidate(at time.Time) *conn {
	now := s.seconds(at)
	for {
		var candidate *conn
		for c := range s.conns {
			if c.machine.Evictable(now) && (candidate == nil || c.machine.EvictBefore(&candidate.machine, now)) {
				candidate = c
			}
		}
		if candidate == nil || candidate.machine.State() != clientconn.Idle || !candidate.requestPending() {
			return candidate
		}
		candidate.machine.SetRequestPending() // under load it may take long until the request is read
	}
}

// requestPending reports whether bytes have arrived on the idle connection that nobody has read yet. The mutex is held.
func (c *conn) requestPending() (pending bool) {
	if c.machine.RequestPending() {
		return true
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0
	})
	return pending
}

// startSweep starts sweep. The mutex orders it before Drain waits, or after.
func (s *Server) startSweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeping.Go(s.sweep)
}

// sweep closes connections that exceed a timeout, until the server's context ends.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.sweepAt(now)
		}
	}
}

// sweepAt closes the connections that exceed a timeout at a time.
func (s *Server) sweepAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.seconds(at)
	for c := range s.conns {
		code := c.machine.TimeoutCode(now)
		if code != "" && !c.isServedBeforeClose() {
			c.close(code)
		}
	}
	if s.waiting > 0 {
		s.changed.Broadcast() // a connection that was new a moment ago may be evictable by now
	}
}

// isServedBeforeClose reports whether a request has begun to arrive on the idle connection that is served before the
// connection is closed. The mutex is held.
func (c *conn) isServedBeforeClose() bool {
	return c.machine.State() == clientconn.Idle && c.machine.ServesPending() && c.requestPending()
}
