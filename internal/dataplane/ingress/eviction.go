package ingress

import (
	"net"
	"syscall"
	"time"

	"mulleinrouter/internal/dataplane/clientconn"
)

// add makes room first: the connection that holds its place for the least goes. Where each has a request
// in hand, it waits until one is idle or ends.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	again := false
	for asked := false; len(s.conns) >= s.maxConns; s.changed.Wait() {
		if asked {
			continue // one connection goes for each that comes, not one more whenever another ends
		}
		if other := s.evictionCandidate(time.Now()); other != nil {
			other.close(clientconn.CodeEvicted)
			asked = true
		} else if !again {
			again = true
			time.AfterFunc(evictionRetry, s.changed.Broadcast) // one that is new now is slow by then
		}
	}
	s.waiting--
	s.conns[c] = struct{}{}
	if !s.lifecycle.Accepts() {
		c.close(clientconn.CodeDrain) // accepted as the hand-over ended: the client asks elsewhere
	}
}

// spare is the connection to close for want of room, nil where there is none: client.Conn says which goes first.
func (s *Server) evictionCandidate(at time.Time) (spare *conn) {
	now := s.seconds(at)
	for {
		spare = nil
		for c := range s.conns {
			if c.machine.Evictable(now) && (spare == nil || c.machine.EvictBefore(&spare.machine, now)) {
				spare = c
			}
		}
		if spare == nil || spare.machine.State() != clientconn.Idle || !spare.requestPending() {
			return spare
		}
		spare.machine.MarkRequestPending() // in a rush its request may be here for long before it is read
	}
}

// begun tells whether bytes have come that nobody has read yet.
func (c *conn) requestPending() (is bool) {
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
		is = n > 0
	})
	return is
}

// sweep ends connections that hold their place for nothing.
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

func (s *Server) sweepAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.seconds(at)
	for c := range s.conns {
		if code := c.machine.TimeoutCode(now); code != "" && !(c.machine.State() == clientconn.Idle && c.machine.ServesPending() && c.requestPending()) {
			c.close(code)
		}
	}
	if s.waiting > 0 {
		s.changed.Broadcast() // one that was new a moment ago may be slow by now
	}
}
