package ingress

import (
	"net"
	"syscall"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
)

const (
	// sweepInterval is the time between two searches for connections that exceed a timeout.
	sweepInterval = 250 * time.Millisecond
	// evictionRetry is the time after which a failed eviction is tried again. By then, a new connection on which only a
	// part of a request has arrived has become evictable.
	evictionRetry = 100 * time.Millisecond
)

// admit adds a connection. At the limit of connections it first evicts another one. If none is evictable, it waits
// until one is, or until one ends.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	retried := false
	for evicted := false; len(s.conns) >= s.maxConns; s.changed.Wait() {
		if evicted {
			continue // each new connection evicts one at most, even if the wait is woken more than once
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
		// The connection was accepted just as the process stopped accepting: the client connects to another ingress.
		c.close(clientconn.CodeDrain)
	}
}

// evictionCandidate returns the connection to close when the limit of connections is reached; nil if none may be
// closed. The mutex must be held.
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
		// Under load it may take long until the request is read. The mark excludes the connection until then.
		candidate.machine.SetRequestPending()
	}
}

// requestPending reports whether bytes have arrived on the idle connection that have not been read yet. The mutex must
// be held.
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

// startSweep starts sweep in a goroutine. It holds the mutex, so that the start does not race with the wait in Drain.
func (s *Server) startSweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeping.Go(s.sweep)
}

// sweep closes connections that exceed a timeout, each sweepInterval until the server's context ends.
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

// sweepAt closes the connections that exceed a timeout at the given time.
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
		s.changed.Broadcast() // a connection that was too new to be evicted may be evictable by now
	}
}

// isServedBeforeClose reports whether the connection is idle, but a request has begun to arrive on it that is to be
// served before the connection is closed. The mutex must be held.
func (c *conn) isServedBeforeClose() bool {
	return c.machine.State() == clientconn.Idle && c.machine.ServesPending() && c.requestPending()
}
