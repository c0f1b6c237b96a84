package counterclient

import (
	"cmp"
	"net"
	"time"
)

var longAgo = time.Unix(1, 0) // a read deadline in the past, which ends a pending read at once

// call is a call that waits for its reply. After a timeout it keeps its position among the calls of its connection,
// because its reply may still arrive, and must not be matched to the next call.
type call struct {
	name   string // empty for a ping
	done   bool   // its outcome has been reported, or it is a ping
	sentAt time.Time
	timer  *time.Timer // reports the timeout; nil for a ping
}

// finish marks a call as done. It returns false if it was done before.
func (c *call) finish() bool {
	first := !c.done
	c.done = true
	return first
}

// connection is one connection and the calls on it, in order. The mutex of its pipeline guards it.
type connection struct {
	conn       net.Conn
	broken     bool      // unusable, because a write failed or a reply was invalid
	calls      []*call   // waiting for a reply, oldest first
	lastReply  time.Time // when the last reply arrived; before the first one, when the connection was opened
	replied    bool      // at least one reply has arrived
	retiredAt  time.Time // when a newer connection replaced it; zero while it is in use
	closeCause string    // log code of the reason why this side ended it; empty if it did not
}

// usable returns whether new calls may be sent on the connection.
func (c *connection) usable() bool { return !c.broken && c.retiredAt.IsZero() }

// end ends the connection by ending its pending read. The reader then reports the calls on it.
func (c *connection) end(cause string) {
	c.closeCause = cmp.Or(c.closeCause, cause)
	c.conn.SetReadDeadline(longAgo)
}

// write sends the bytes of a call. After an error the connection is unusable.
func (c *connection) write(request []byte, sent *call, timeout time.Duration) error {
	c.calls = append(c.calls, sent)
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	_, err := c.conn.Write(request)
	c.broken = err != nil
	return err
}

// next removes and returns the oldest call, whose reply has arrived.
func (c *connection) next(now time.Time) *call {
	oldest := c.calls[0]
	c.calls[0] = nil
	c.calls = c.calls[1:]
	c.lastReply, c.replied = now, true
	return oldest
}
