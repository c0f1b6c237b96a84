package loopback

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"mulleinrouter/internal/emulator/invariants"
)

const maxConnectTime = time.Second // time limit for establishing a new connection

// clientConn is a connection of a client to an edge machine. It is used by one attempt at a time.
type clientConn struct {
	conn        *net.TCPConn
	reader      *bufio.Reader
	edge        *machine
	idleUntil   time.Time           // time until which the idle connection may be used; zero: it must not be kept
	lastAttempt *invariants.Attempt // last attempt that used the connection
}

// dialEdge opens a connection to the client port of an edge machine.
func dialEdge(edge *machine, timeout time.Duration) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", edge.address(edge.cluster.ports.front), timeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), edge: edge}, nil
}

// pendingInput reports whether bytes have arrived after the last answer, and whether the connection has been closed.
func (c *clientConn) pendingInput() (surplus, closed bool) {
	if c.reader.Buffered() > 0 {
		return true, false
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false, true
	}
	raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		surplus = n > 0
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
		return true
	})
	return surplus, closed
}

// closeConn closes a connection, and records whether bytes arrived after its last answer. A nil connection is ignored.
func (cl *cluster) closeConn(c *clientConn) {
	if c == nil {
		return
	}
	if surplus, _ := c.pendingInput(); surplus {
		cl.recorder.update(func() { c.lastAttempt.Surplus = true })
	}
	c.conn.Close()
}

// keepConn stores a connection as the idle connection of a user, and closes the connection that it replaces.
func (cl *cluster) keepConn(u *clientUser, c *clientConn) {
	u.mu.Lock()
	replaced := u.idle
	u.idle = c
	u.mu.Unlock()
	cl.closeConn(replaced)
}

// takeIdleConn removes and returns the idle connection of a user; nil: there is none that can still be used.
func (cl *cluster) takeIdleConn(u *clientUser) *clientConn {
	u.mu.Lock()
	c := u.idle
	u.idle = nil
	u.mu.Unlock()
	if c == nil {
		return nil
	}
	if surplus, closed := c.pendingInput(); surplus || closed || time.Now().After(c.idleUntil) {
		cl.closeConn(c)
		return nil
	}
	return c
}
