package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// event is one thing that may happen in a state.
type event struct {
	name string
	do   func(w *World)
}

// alphabet is every kind of event, for the share of pairs that a run has covered. The names of events begin with these.
var alphabet = []string{
	"up",
	"server-breaks-upload",
	"leaves-upload",
	"early-200",
	"early-500",
	"early-503-not-processed",
	"200",
	"200-and-close",
	"200-and-more",
	"500",
	"503-not-processed",
	"504-not-processed",
	"503",
	"interim",
	"spoilt",
	"breaks",
	"breaks-early",
	"speaks-early",
	"last-byte",
	"time-out",
	"cancel-lands",
	"leaves",
	"retries",
	"connects",
	"refuses-late",
	"drains",
	"gone",
	"address-taken",
	"refuses",
	"forgets",
	"list-again",
	"timer",
	"time",
	"impatient",
	"other-answer",
	"503-unnamed",
	"200-long",
	"stream-whole",
	"stream-more",
	"stream-cut",
	"stream-left",
	"goes-out",
	"breaks-in-send",
	"counted",
	"count-busy",
	"count-late",
	"count-no-number",
	"plan",
	"sigterm",
	"patience",
}

// Events are those that may happen now, in a fixed order.
func (w *World) Events() (all []event) {
	add := func(name string, do func(w *World)) { all = append(all, event{name, do}) }
	for i, c := range w.clients {
		id := fmt.Sprintf(" %s", c.name)
		if t := c.try; t != nil && t.conn != nil {
			w.attemptEvents(id, i, t, add)
		}
		if c.stream != nil {
			for _, e := range []struct {
				name           string
				complete, more bool
			}{{"stream-whole", true, false}, {"stream-more", true, true}, {"stream-cut", false, false},
				{"stream-left", false, false}} {
				add(e.name+id, func(w *World) { w.streamed(w.clients[i], e.complete, e.more) })
			}
		}
		if !c.disconnected && !c.finished {
			add("leaves"+id, func(w *World) {
				c := w.clients[i]
				c.disconnected = true
				w.do(w.dispatcher.ClientDisconnected(w.now, c.request))
			})
		}
		if c.finished && !c.retried && (c.status == "refused" || c.disconnected) && !w.draining && len(w.clients) < 3 {
			add("retries"+id, func(w *World) {
				c := w.clients[i]
				c.retried = true
				w.ask(c.send, true)
			})
		}
	}
	for i, s := range w.servers {
		if !s.listed {
			continue
		}
		id := " " + s.id
		if s.serving {
			add("drains"+id, func(w *World) {
				s := w.servers[i]
				s.serving, s.drainingSince = false, w.now
				w.list()
			})
		}
		add("gone"+id, func(w *World) {
			s := w.servers[i]
			s.listed, s.serving, s.drainingSince = false, false, w.now
			w.list()
		})
		if len(w.servers) < 4 {
			add("address-taken"+id, func(w *World) { // a new server stands where this one did, and this one elsewhere
				s := w.servers[i]
				other := &server{id: fmt.Sprint("n", len(w.servers)), addr: s.addr, listed: true, serving: true}
				s.addr += "'"
				w.servers = append(w.servers, other)
				w.list()
			})
		}
		if !s.down {
			add("refuses"+id, func(w *World) { w.servers[i].down = true })
		}
		if k, ok := w.idlePool.Peek(s.id); ok && !k.spoilt {
			add("forgets"+id, func(w *World) {
				if k, ok := w.idlePool.Peek(w.servers[i].id); ok {
					k.spoilt = true
				}
			})
		}
	}
	add("list-again", func(w *World) { w.list() }) // SIGHUP: discovery told whole once more
	add("timer", func(w *World) { w.pass() })
	add("time", func(w *World) {
		for end := w.now + 0.3; w.now < end && len(w.Violations) == 0; {
			w.pass()
		}
	})
	if len(w.counts) > 0 {
		for _, a := range []struct {
			name    string
			outcome decision.Outcome
			total   float64
		}{{"counted", decision.Succeeded, 3}, {"count-busy", decision.Rejected, 0}, {"count-late", decision.TimedOut, 0},
			{"count-no-number", decision.Failed, 0}} {
			add(a.name, func(w *World) {
				name := w.counts[0]
				w.counts = w.counts[1:]
				w.sum += a.total
				w.do(w.dispatcher.Handle(w.now, decision.CounterReply{Name: name, Outcome: a.outcome, Total: w.sum}))
			})
		}
	}
	add("plan", func(w *World) {
		w.plan = 1 - w.plan
		p := planTable[w.plan]
		w.do(w.dispatcher.Handle(w.now, decision.Terms{Customer: "m", Plan: p, Tag: p.Tag()}))
	})
	if !w.draining {
		add("sigterm", func(w *World) {
			w.draining = true
			w.dispatcher.ExpectDisruption(math.Inf(1))
		})
	} else if !w.halted {
		add("patience", func(w *World) { // every attempt that is out, or will be, is given up
			w.halted = true
			for _, c := range w.clients {
				if c.try != nil {
					c.try.cancelled = true
				}
			}
		})
	}
	return all
}

// attemptEvents are what may become of an attempt that is out.
func (w *World) attemptEvents(id string, i int, t *try, add func(string, func(*World))) {
	on := func(name string, do func(w *World, t *try, k *conn)) {
		add(name+id, func(w *World) {
			t := w.clients[i].try
			do(w, t, t.conn)
		})
	}
	if t.stage == dialing {
		on("connects", func(w *World, t *try, k *conn) { w.begin(t, k) })
		on("refuses-late", func(w *World, t *try, k *conn) { w.noConnection(t) })
		if t.cancelled {
			on("cancel-lands", func(w *World, t *try, k *conn) { w.noConnection(t) })
		}
		return
	}
	if t.cancelled {
		on("cancel-lands", func(w *World, t *try, k *conn) { w.runOut(t) })
	}
	if t.stage == holding {
		on("last-byte", func(w *World, t *try, k *conn) {
			if _, serving := w.lookup(t.backend); !upstreamconn.MayRelease(serving, t.cancelled) {
				k.spoilt = true // half a request is on it
				w.finish(t, k, k.FailedWriting(upstreamconn.Cancelled))
				return
			}
			w.goesOut(t)
			if t.client.long {
				t.stage = uploading
				w.dispatcher.ConsumeBody(t.client.request)
				return
			}
			w.written(t)
		})
		for _, name := range []string{"breaks-early", "speaks-early"} {
			on(name, func(w *World, t *try, k *conn) {
				k.spoilt = true
				how := upstreamconn.ConnectionLost
				if t.cancelled {
					how = upstreamconn.Cancelled
				}
				w.memory.Record(t.backend, w.now)
				w.finish(t, k, k.FailedWriting(how))
			})
		}
		return
	}
	if t.stage == sending { // one write: it has gone out whole, or broke before its last byte
		on("goes-out", func(w *World, t *try, k *conn) { w.written(t) })
		on("breaks-in-send", func(w *World, t *try, k *conn) {
			k.spoilt = true
			w.memory.Record(t.backend, w.now)
			w.finish(
				t,
				k,
				k.FailedWriting(
					map[bool]upstreamconn.Failure{false: upstreamconn.ConnectionLost, true: upstreamconn.Cancelled}[t.cancelled],
				),
			)
		})
		return
	}
	if t.stage == uploading {
		w.uploadEvents(on)
		return
	}
	if t.slowAfter > 0 {
		on("impatient", func(w *World, t *try, k *conn) { w.checkSlow(t, k) })
	}
	if w.config.Odd {
		w.oddEvents(on)
	}
	for _, a := range []struct {
		name   string
		answer upstreamconn.Answer
	}{
		{"200", upstreamconn.Answer{Status: 200}}, {"200-and-close", upstreamconn.Answer{Status: 200, Close: true}},
		{"200-and-more", upstreamconn.Answer{Status: 200, TrailingBytes: true}},
		{"500", upstreamconn.Answer{Status: 500}},
		{"503-not-processed", upstreamconn.Answer{Status: 503, NotProcessed: true}},
		{"504-not-processed", upstreamconn.Answer{Status: 504, NotProcessed: true}},
		{"503", upstreamconn.Answer{Status: 503}},
	} {
		on(a.name, func(w *World, t *try, k *conn) {
			// a deadline that may be changed at any time
			k.spoilt = k.spoilt || a.answer.Close || a.answer.TrailingBytes || t.cancelled
			k.refused = a.answer.NotProcessed
			if a.answer.NotProcessed {
				t.client.mayRun-- // it never ran
			}
			w.finish(t, k, k.Answered(a.answer, t.cancelled))
		})
	}
	on("interim", func(w *World, t *try, k *conn) {}) // passed over by the reader
	for _, a := range []struct {
		name        string
		failureKind upstreamconn.Failure
	}{{"spoilt", upstreamconn.Malformed}, {"breaks", upstreamconn.ConnectionLost}, {"time-out", upstreamconn.TimedOut}} {
		on(a.name, func(w *World, t *try, k *conn) {
			how := a.failureKind
			if t.cancelled {
				how = upstreamconn.Cancelled
			}
			if how == upstreamconn.TimedOut { // until then timers run, and others' time runs out
				for t.client.try == t && w.now < t.until-1e-9 && len(w.Violations) == 0 {
					w.pass()
				}
				if t.client.try != t {
					return
				}
			}
			if how == upstreamconn.ConnectionLost {
				w.memory.Record(t.backend, w.now)
			}
			k.spoilt = true
			w.finish(t, k, k.FailedAwaiting(how))
		})
	}
}

// oddEvents are what servers send beside what is asked for, and answers that are read as they come.
func (w *World) oddEvents(on func(string, func(w *World, t *try, k *conn))) {
	on("503-unnamed", func(w *World, t *try, k *conn) {
		k.unnamed, k.refused, k.spoilt = true, true, k.spoilt || t.cancelled
		t.client.mayRun--
		w.finish(t, k, k.Answered(upstreamconn.Answer{Status: 503, NotProcessed: true}, t.cancelled))
	})
	on("200-long", func(w *World, t *try, k *conn) {
		k.refused, k.spoilt = false, k.spoilt || t.cancelled
		w.finish(t, k, k.BeginStreaming(upstreamconn.Answer{Status: 200}, t.cancelled))
	})
	on("other-answer", func(w *World, t *try, k *conn) { // a copy of the answer before stands in this one's place
		// by its name, or for want of one, it cannot be told from this one's
		if k.refused && (k.unnamed || k.before == t.client) {
			k.spoilt = true
			w.finish(t, k, k.Answered(upstreamconn.Answer{Status: 503, NotProcessed: true}, t.cancelled))
			return
		}
		k.spoilt = true
		if t.others++; t.others > 8 {
			w.violate("bounded", "%s has passed over %d answers to others", t.client.name, t.others)
		}
		if !k.ForeignAnswer() {
			w.finish(t, k, k.FailedAwaiting(upstreamconn.Malformed))
		}
	})
}

// uploadEvents are what may become of a body that goes up.
func (w *World) uploadEvents(on func(string, func(w *World, t *try, k *conn))) {
	on("up", func(w *World, t *try, k *conn) { w.written(t) })
	on("server-breaks-upload", func(w *World, t *try, k *conn) {
		k.spoilt = true
		w.memory.Record(t.backend, w.now)
		w.finish(
			t,
			k,
			k.FailedWriting(
				map[bool]upstreamconn.Failure{false: upstreamconn.ConnectionLost, true: upstreamconn.Cancelled}[t.cancelled],
			),
		)
	})
	on("leaves-upload", func(w *World, t *try, k *conn) { // it stalls, or leaves: nobody waits for the answer
		c := t.client
		k.spoilt, c.disconnected, t.cancelled = true, true, true
		w.do(w.dispatcher.ClientDisconnected(w.now, c.request))
		w.finish(t, k, k.FailedWriting(upstreamconn.Cancelled))
	})
	for _, a := range []struct {
		name   string
		answer upstreamconn.Answer
	}{{"early-200", upstreamconn.Answer{Status: 200}}, {"early-500", upstreamconn.Answer{Status: 500}},
		{"early-503-not-processed", upstreamconn.Answer{Status: 503, NotProcessed: true}}} {
		on(a.name, func(w *World, t *try, k *conn) {
			k.spoilt = true // half a request is on it
			if !a.answer.NotProcessed {
				t.client.mayRun++ // who answers may have read enough to run it
			}
			w.finish(t, k, k.AnsweredEarly(a.answer))
		})
	}
}

// step lets one event happen. Attempts of a world that is halted are given up as they begin.
func (w *World) step(e event) {
	w.steps++
	e.do(w)
	if w.halted {
		for _, c := range w.clients {
			if c.try != nil {
				c.try.cancelled = true
			}
		}
	}
	w.check()
}

// find is the event of a name, if it may happen now.
func (w *World) find(name string) (event, bool) {
	all := w.Events()
	if i := slices.IndexFunc(all, func(e event) bool { return e.name == name }); i >= 0 {
		return all[i], true
	}
	return event{}, false
}
