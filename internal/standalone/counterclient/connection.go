package counterclient

import (
	"cmp"
	"net"
	"time"
)

var longAgo = time.Unix(1, 0) // a deadline that ends a read at once

// call waits for its reply. It keeps its place among the calls of its connection after it has been given up: its
// reply may still come, and must not be taken for the next one's.
type call struct {
	name   string // empty: a ping
	done   bool   // its outcome has been reported, or it is a ping
	sentAt time.Time
	timer  *time.Timer // nil: a ping
}

// finish marks a call as done; false: it was already.
func (c *call) finish() bool {
	first := !c.done
	c.done = true
	return first
}

// connection is one connection and the calls on it, in order. The mutex of its pipeline guards it.
type connection struct {
	conn       net.Conn
	broken     bool // of no more use: a write ended within a call, or a reply cannot be read
	calls      []*call
	lastReply  time.Time // or when it was opened
	replied    bool      // a reply came on it
	retiredAt  time.Time // since when calls go elsewhere; zero: they come here
	closeCause string    // log code of why this side ended it; empty: it did not
}

// usable returns whether the connection takes new calls.
func (c *connection) usable() bool { return !c.broken && c.retiredAt.IsZero() }

// end ends the connection: its reader notices, and reports the calls on it.
func (c *connection) end(cause string) {
	c.closeCause = cmp.Or(c.closeCause, cause)
	c.conn.SetReadDeadline(longAgo)
}

// write sends the bytes of a call. After an error the connection is of no more use.
func (c *connection) write(request []byte, sent *call, timeout time.Duration) error {
	c.calls = append(c.calls, sent)
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	_, err := c.conn.Write(request)
	c.broken = err != nil
	return err
}

// next removes the oldest call, whose reply has come.
func (c *connection) next(now time.Time) *call {
	oldest := c.calls[0]
	c.calls[0] = nil
	c.calls = c.calls[1:]
	c.lastReply, c.replied = now, true
	return oldest
}
