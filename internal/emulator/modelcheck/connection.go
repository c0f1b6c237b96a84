package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// maxIdleTaken is how many idle connections may be taken for one attempt. More than a pool can contain means that it
// does not remove what it returns.
const maxIdleTaken = 9

// connection is a connection to a server.
type connection struct {
	upstreamconn.Machine
	server  *server
	address string
	current *pendingAttempt // that is using it
	// unusable says what is true, whether or not it is known here: the server closed it or sent trailing bytes, or a
	// cancellation may still change its deadline.
	unusable       bool
	closed         bool // by this side
	answeredAt     decision.Seconds
	lastClient     *client // whose request was written on it last
	previousClient *client // whose request was written before that
	unidentified   bool    // whether an answer came on it that does not name its request
	notProcessed   bool    // whether the last answer says that its request was not run
}

// takeConnection does as the pool does: it takes the idle connection that was used last, unless that may not be reused,
// or opens a new one. Without a connection it returns how the attempt ends.
func (w *world) takeConnection(pending *pendingAttempt) (*connection, decision.Outcome) {
	for range maxIdleTaken {
		idle, found := w.idlePool.Take(pending.backend)
		if !found {
			return w.dial(pending)
		}
		if w.mayReuse(pending, idle.Conn) {
			return idle.Conn, 0
		}
		w.closeConnection(idle.Conn)
	}
	w.violate(propertyExclusive, "what was taken from the shelf is still on it")
	return nil, decision.ConnectionRefused
}

// mayReuse reports whether an idle connection may carry an attempt. It records a connection that the server has closed.
func (w *world) mayReuse(pending *pendingAttempt, conn *connection) bool {
	if address, _ := w.lookup(pending.backend); conn.address != address {
		return false
	}
	if conn.unusable && !conn.closed {
		w.lossHistory.Record(pending.backend, w.now)
		return false
	}
	return upstreamconn.MayReuse(upstreamconn.ReuseConditions{
		Resent:          pending.client.writtenTo[pending.backend],
		AtMostOnce:      pending.client.atMostOnce,
		SawUnidentified: conn.unidentified,
	})
}

// dial opens a connection, within the limit of the pool. Without one it returns how the attempt ends.
func (w *world) dial(pending *pendingAttempt) (*connection, decision.Outcome) {
	evicted, evict, ok := w.idlePool.Reserve()
	if !ok {
		return nil, decision.NotSent
	}
	if evict {
		w.closeConnection(evicted)
	}
	s := w.server(pending.backend)
	if s.down {
		w.idlePool.Closed()
		return nil, decision.ConnectionRefused
	}
	return &connection{server: s, address: s.address}, 0
}

// dialFailed is a dial that leads to no connection: the server refused it, or it is not needed any more.
func (w *world) dialFailed(pending *pendingAttempt) {
	w.idlePool.Closed()
	pending.conn.closed = true
	if pending.cancelled || w.now >= pending.deadline-tolerance {
		w.attemptEnded(pending, decision.NotSent)
		return
	}
	w.attemptEnded(pending, decision.ConnectionRefused)
}

func (w *world) closeConnection(conn *connection) {
	if conn.closed {
		w.violate(propertyUnusable, "a connection ends twice")
	}
	conn.Drop()
	conn.closed, conn.unusable = true, true
	w.idlePool.Closed()
}

// applyVerdict does what the pool does at the end of an attempt on a connection: the connection is reused, closed or
// continues to stream the answer; the attempt continues over another connection, or ends.
func (w *world) applyVerdict(pending *pendingAttempt, conn *connection, v upstreamconn.Verdict) {
	w.checkLegal(v.Err)
	conn.current = nil
	if conn.State() == upstreamconn.Streaming {
		pending.client.stream = conn
	} else {
		w.releaseConnection(conn, v)
	}
	if machine := pending.client.request.Machine(); v.TryNextConnection && !machine.BodyConsumed() {
		pending.conn = nil
		w.startAttempt(pending)
		return
	}
	w.attemptEnded(pending, v.Outcome)
}

// releaseConnection puts a connection into the idle pool, or closes it.
func (w *world) releaseConnection(conn *connection, v upstreamconn.Verdict) {
	if !v.Reusable {
		w.closeConnection(conn)
		return
	}
	if conn.unusable {
		w.violate(propertyUnusable, "a connection is kept that is spoilt")
	}
	if _, serving := w.lookup(conn.server.id); !serving {
		w.closeConnection(conn)
		return
	}
	conn.answeredAt = w.now
	w.idlePool.Put(conn.server.id, conn, w.now)
}

// streamEnded is the end of an answer's body that was streamed.
func (w *world) streamEnded(c *client, complete, trailingBytes bool) {
	conn := c.stream
	c.stream = nil
	conn.unusable = conn.unusable || !complete || trailingBytes
	w.releaseConnection(conn, conn.StreamEnded(complete, trailingBytes))
	w.checkInvariants()
}
