package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// dialFailed is a dial that came to nothing: refused, or not needed any more.
func (w *world) dialFailed(pending *pendingAttempt) {
	w.idlePool.Closed()
	pending.conn.closed = true
	if pending.cancelled || w.now >= pending.deadline-1e-9 {
		w.attemptEnded(pending, decision.NotSent)
		return
	}
	w.attemptEnded(pending, decision.ConnectionRefused)
}

// takeConnection is Pool.takeConnection: the connection used last, unless it is seen to have ended, or a new one.
func (w *world) takeConnection(pending *pendingAttempt, fit upstreamconn.Reuse) (conn *connection, outcome decision.Outcome, ok bool) {
	addr, _ := w.lookup(pending.backend)
	for n := 0; ; n++ {
		if n > 8 {
			w.violate("one-request-on-a-connection", "what was taken from the shelf is still on it")
			return nil, decision.ConnectionRefused, false
		}
		kept, found := w.idlePool.Take(pending.backend)
		if !found {
			break
		}
		if k := kept.Conn; k.address != addr || k.unusable && !k.closed {
			if k.address == addr {
				w.lossHistory.Record(pending.backend, w.now)
			}
			w.closeConnection(k)
			continue
		}
		if fit.SawUnidentified = kept.Conn.unidentified; !upstreamconn.MayReuse(fit) {
			w.closeConnection(kept.Conn)
			continue
		}
		return kept.Conn, 0, true
	}
	spare, end, capacity := w.idlePool.Reserve()
	if !capacity {
		return nil, decision.NotSent, false
	}
	if end {
		w.closeConnection(spare)
	}
	s := w.server(pending.backend)
	if s.down {
		w.idlePool.Closed()
		return nil, decision.ConnectionRefused, false
	}
	return &connection{server: s, address: addr}, 0, true
}

func (w *world) closeConnection(conn *connection) {
	if conn.closed {
		w.violate("spoilt-is-spoilt", "a connection ends twice")
	}
	conn.Drop()
	conn.closed, conn.unusable = true, true
	w.idlePool.Closed()
}

// checkDrainedServer is what was held back of a request going out: its last byte, or the first of a long body. Nothing has run
// before it, so it is what counts as new to the server; what follows the first byte of a long body is not (PROTOCOL,
// "Figures").
func (w *world) checkDrainedServer(pending *pendingAttempt) {
	if s := w.server(pending.backend); s != nil && (!s.listed || !s.serving) && w.now > s.drainingSince+drainGrace+1e-9 {
		w.violate("drained", "%s goes out to %s %.2f s after that was told to be drained", pending.client.name, s.id,
			w.now-s.drainingSince)
	}
}

// requestWritten is the last byte of a request going out: from now on it may run.
func (w *world) requestWritten(pending *pendingAttempt) {
	c, k := pending.client, pending.conn
	if err := k.Written(); err != nil {
		w.violate("legal", "%v", err)
	}
	pending.stage, pending.writtenAt = awaiting, w.now
	c.writtenTo[pending.backend] = true
	k.previousClient, k.lastClient = k.lastClient, c
	if c.streamed {
		w.dispatcher.BodyUploaded(w.now, c.request)
	}
	if c.possibleExecutions++; c.atMostOnce && c.possibleExecutions > 1 {
		w.violate("never-twice", "%s must not run twice, and may have", c.name)
	}
}

// applyVerdict takes a verdict, as Pool.Do does, and tells the desk.
func (w *world) applyVerdict(pending *pendingAttempt, conn *connection, v upstreamconn.Verdict) {
	if v.Err != nil {
		w.violate("legal", "%v", v.Err)
	}
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

// releaseConnection puts a connection back, or ends it, by a verdict.
func (w *world) releaseConnection(conn *connection, v upstreamconn.Verdict) {
	if v.Reusable {
		if conn.unusable {
			w.violate("spoilt-is-spoilt", "a connection is kept that is spoilt")
		}
		if _, serving := w.lookup(conn.server.id); serving {
			conn.answeredAt = w.now
			w.idlePool.Put(conn.server.id, conn, w.now)
		} else {
			w.closeConnection(conn)
		}
	} else {
		w.closeConnection(conn)
	}
}

// streamEnded is the end of a body that came as it was read: see link.Streamed.
func (w *world) streamEnded(c *client, complete, more bool) {
	conn := c.stream
	c.stream, conn.unusable = nil, conn.unusable || !complete || more
	w.releaseConnection(conn, conn.StreamEnded(complete, more))
	w.checkInvariants()
}
