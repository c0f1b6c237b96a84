package upstream

import (
	"net"
	"syscall"
	"time"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// pastDeadline is a deadline in the past. Setting it on a connection interrupts blocked reads or writes.
var pastDeadline = time.Unix(1, 0)

// codeUnexpectedBytes is the log code for a connection on which the server sent bytes while no answer was awaited.
const codeUnexpectedBytes = "upstream-bad-answer"

// conn is one connection to a backend.
type conn struct {
	net.Conn
	upstreamconn.Machine
	backend         string
	addr            string // address of the backend when the connection was opened
	reader          *http1.Reader
	raw             syscall.RawConn
	resetWait       time.Duration    // estimate of the time within which a reset by the server arrives
	holdTime        time.Duration    // time for which a part of the current request is held back
	lastAnswer      decision.Seconds // time of the last answer, in seconds since Pool.base
	sawUnidentified bool             // whether an answer without an ID has arrived
	headLeft        int              // bytes of the current request's head that have not been written
	unread          []byte           // bytes that stale read from the connection; Read returns them first
	traffic         *traffic.Counter
}

// Read reads from the server and counts the bytes.
func (c *conn) Read(b []byte) (n int, err error) {
	if len(c.unread) > 0 {
		n = copy(b, c.unread)
		c.unread = c.unread[n:]
	} else {
		n, err = c.Conn.Read(b)
	}
	c.traffic.Read(n)
	return n, err
}

// Write writes to the server and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Wrote(n)
	c.headLeft = max(0, c.headLeft-n)
	return n, err
}

// stale returns the log code for which an idle connection cannot be used; "" if it can be used. A server that went down
// in the meantime has closed the connection. A request written to such a connection would be lost without being
// executed, and without proof that it was not.
func (c *conn) stale(addr string) (code string) {
	if c.addr != addr {
		return "upstream-moved"
	}
	if len(c.unread) > 0 {
		return codeUnexpectedBytes
	}
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		switch {
		case n == 0 && err == nil:
			code = "upstream-ended"
		case n > 0:
			code = codeUnexpectedBytes
			c.unread = append(c.unread, b[0])
		case err != syscall.EAGAIN && err != syscall.EINTR:
			code = "upstream-reset-idle"
		}
		return true
	})
	if err != nil && code == "" {
		code = "upstream-reset-idle"
	}
	return code
}
