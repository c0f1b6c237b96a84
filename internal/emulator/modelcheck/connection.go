package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// maxIdleTaken is the number of idle connections that may be taken for one attempt. It exceeds maxConnections, because
// a pool that returns more connections than may be open has returned one of them twice.
const maxIdleTaken = 9

// connection is a connection to a server.
type connection struct {
	upstreamconn.Machine
	server  *server
	address string
	current *pendingAttempt // attempt that is using it; nil if there is none
	// unusable is set as soon as the connection must not be reused, because the server closed it or sent trailing
	// bytes, or because a cancellation may still change its deadline. This side may not know of the cause yet.
	unusable       bool
	closed         bool             // whether this side has closed it
	answeredAt     decision.Seconds // time of the last answer
	lastClient     *client          // client of the last request written on it
	previousClient *client          // client of the request before that
	unidentified   bool             // whether an answer on it did not name its request
	notProcessed   bool             // whether the last answer says that its request was not run
}

// takeConnection takes a connection as the pool does: the idle connection that was used last, if it may be reused, and
// otherwise a new one. If there is none, it returns nil and the outcome of the attempt.
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
	w.violate(propertyExclusive, "a connection that was taken from the idle pool is still in it")
	return nil, decision.ConnectionRefused
}

// mayReuse reports whether an attempt may use an idle connection. It records the loss of a connection that the server
// has closed.
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

// dial opens a connection within the limit of the pool. If it cannot, it returns nil and the outcome of the attempt.
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

// dialFailed ends an attempt whose dial gave no connection, because the server refused it or it is no longer needed.
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
		w.violate(propertyUnusable, "a connection is closed twice")
	}
	conn.Drop()
	conn.closed, conn.unusable = true, true
	w.idlePool.Closed()
}

// applyVerdict does what the pool does when a connection is finished with an attempt. The connection is put into the
// idle pool, closed, or continues to stream the answer; the attempt continues on another connection, or ends.
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
		w.violate(propertyUnusable, "an unusable connection is kept for reuse")
	}
	if _, serving := w.lookup(conn.server.id); !serving {
		w.closeConnection(conn)
		return
	}
	conn.answeredAt = w.now
	w.idlePool.Put(conn.server.id, conn, w.now)
}

// streamEnded handles the end of a streamed answer body.
func (w *world) streamEnded(c *client, complete, trailingBytes bool) {
	conn := c.stream
	c.stream = nil
	conn.unusable = conn.unusable || !complete || trailingBytes
	w.releaseConnection(conn, conn.StreamEnded(complete, trailingBytes))
	w.checkInvariants()
}
