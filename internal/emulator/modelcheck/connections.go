package modelcheck

import (
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// noConnection is a dial that came to nothing: refused, or not needed any more.
func (w *World) noConnection(t *try) {
	w.idlePool.Closed()
	t.conn.ended = true
	if t.cancelled || w.now >= t.until-1e-9 {
		w.ended(t, decision.NotSent)
		return
	}
	w.ended(t, decision.ConnectionRefused)
}

// get is Pool.get: the connection used last, unless it is seen to have ended, or a new one.
func (w *World) get(t *try, fit upstreamconn.Reuse) (k *conn, outcome decision.Outcome, ok bool) {
	addr, _ := w.lookup(t.backend)
	for n := 0; ; n++ {
		if n > 8 {
			w.violate("one-request-on-a-connection", "what was taken from the shelf is still on it")
			return nil, decision.ConnectionRefused, false
		}
		kept, found := w.idlePool.Take(t.backend)
		if !found {
			break
		}
		if k := kept.Conn; k.addr != addr || k.spoilt && !k.ended {
			if k.addr == addr {
				w.memory.Record(t.backend, w.now)
			}
			w.close(k)
			continue
		}
		if fit.SawUnidentified = kept.Conn.unnamed; !upstreamconn.MayReuse(fit) {
			w.close(kept.Conn)
			continue
		}
		return kept.Conn, 0, true
	}
	spare, end, capacity := w.idlePool.Reserve()
	if !capacity {
		return nil, decision.NotSent, false
	}
	if end {
		w.close(spare)
	}
	s := w.server(t.backend)
	if s.down {
		w.idlePool.Closed()
		return nil, decision.ConnectionRefused, false
	}
	return &conn{server: s, addr: addr}, 0, true
}

func (w *World) close(k *conn) {
	if k.ended {
		w.violate("spoilt-is-spoilt", "a connection ends twice")
	}
	k.Drop()
	k.ended, k.spoilt = true, true
	w.idlePool.Closed()
}

// goesOut is what was held back of a request going out: its last byte, or the first of a long body. Nothing has run
// before it, so it is what counts as new to the server; what follows the first byte of a long body is not (PROTOCOL,
// "Figures").
func (w *World) goesOut(t *try) {
	if s := w.server(t.backend); s != nil && (!s.listed || !s.serving) && w.now > s.drainingSince+grace+1e-9 {
		w.violate("drained", "%s goes out to %s %.2f s after that was told to be drained", t.client.name, s.id,
			w.now-s.drainingSince)
	}
}

// written is the last byte of a request going out: from now on it may run.
func (w *World) written(t *try) {
	c, k := t.client, t.conn
	if err := k.Written(); err != nil {
		w.violate("legal", "%v", err)
	}
	t.stage, t.writtenAt = awaiting, w.now
	c.tried[t.backend] = true
	k.before, k.by = k.by, c
	if c.long {
		w.dispatcher.BodyUploaded(w.now, c.request)
	}
	if c.mayRun++; c.send && c.mayRun > 1 {
		w.violate("never-twice", "%s must not run twice, and may have", c.name)
	}
}

// finish takes a verdict, as Pool.Do does, and tells the desk.
func (w *World) finish(t *try, k *conn, v upstreamconn.Verdict) {
	if v.Err != nil {
		w.violate("legal", "%v", v.Err)
	}
	k.used = nil
	if k.State() == upstreamconn.Streaming {
		t.client.stream = k
	} else {
		w.release(k, v)
	}
	if machine := t.client.request.Machine(); v.TryNextConnection && !machine.BodyConsumed() {
		t.conn = nil
		w.start(t)
		return
	}
	w.ended(t, v.Outcome)
}

// release puts a connection back, or ends it, by a verdict.
func (w *World) release(k *conn, v upstreamconn.Verdict) {
	if v.Reusable {
		if k.spoilt {
			w.violate("spoilt-is-spoilt", "a connection is kept that is spoilt")
		}
		if _, serving := w.lookup(k.server.id); serving {
			k.answered = w.now
			w.idlePool.Put(k.server.id, k, w.now)
		} else {
			w.close(k)
		}
	} else {
		w.close(k)
	}
}

// streamed is the end of a body that came as it was read: see link.Streamed.
func (w *World) streamed(c *client, complete, more bool) {
	k := c.stream
	c.stream, k.spoilt = nil, k.spoilt || !complete || more
	w.release(k, k.StreamEnded(complete, more))
	w.check()
}
