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
	do   func(w *world)
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

// events are those that may happen now, in a fixed order.
func (w *world) events() (all []event) {
	add := func(name string, do func(w *world)) { all = append(all, event{name, do}) }
	for i, c := range w.clients {
		id := fmt.Sprintf(" %s", c.name)
		if t := c.attempt; t != nil && t.conn != nil {
			w.attemptEvents(id, i, t, add)
		}
		if c.stream != nil {
			for _, e := range []struct {
				name           string
				complete, more bool
			}{{"stream-whole", true, false}, {"stream-more", true, true}, {"stream-cut", false, false},
				{"stream-left", false, false}} {
				add(e.name+id, func(w *world) { w.streamEnded(w.clients[i], e.complete, e.more) })
			}
		}
		if !c.disconnected && !c.finished {
			add("leaves"+id, func(w *world) {
				c := w.clients[i]
				c.disconnected = true
				w.apply(w.dispatcher.ClientDisconnected(w.now, c.request))
			})
		}
		if c.finished && !c.retried && (c.status == "refused" || c.disconnected) && !w.draining && len(w.clients) < 3 {
			add("retries"+id, func(w *world) {
				c := w.clients[i]
				c.retried = true
				w.submit(c.atMostOnce, true)
			})
		}
	}
	for i, s := range w.servers {
		if !s.listed {
			continue
		}
		id := " " + s.id
		if s.serving {
			add("drains"+id, func(w *world) {
				s := w.servers[i]
				s.serving, s.drainingSince = false, w.now
				w.updateBackends()
			})
		}
		add("gone"+id, func(w *world) {
			s := w.servers[i]
			s.listed, s.serving, s.drainingSince = false, false, w.now
			w.updateBackends()
		})
		if len(w.servers) < 4 {
			add("address-taken"+id, func(w *world) { // a new server stands where this one did, and this one elsewhere
				s := w.servers[i]
				other := &server{id: fmt.Sprint("n", len(w.servers)), address: s.address, listed: true, serving: true}
				s.address += "'"
				w.servers = append(w.servers, other)
				w.updateBackends()
			})
		}
		if !s.down {
			add("refuses"+id, func(w *world) { w.servers[i].down = true })
		}
		if k, ok := w.idlePool.Peek(s.id); ok && !k.unusable {
			add("forgets"+id, func(w *world) {
				if k, ok := w.idlePool.Peek(w.servers[i].id); ok {
					k.unusable = true
				}
			})
		}
	}
	add("list-again", func(w *world) { w.updateBackends() }) // SIGHUP: discovery told whole once more
	add("timer", func(w *world) { w.advance() })
	add("time", func(w *world) {
		for end := w.now + 0.3; w.now < end && len(w.violations) == 0; {
			w.advance()
		}
	})
	if len(w.counterCalls) > 0 {
		for _, a := range []struct {
			name    string
			outcome decision.Outcome
			total   float64
		}{{"counted", decision.Succeeded, 3}, {"count-busy", decision.Rejected, 0}, {"count-late", decision.TimedOut, 0},
			{"count-no-number", decision.Failed, 0}} {
			add(a.name, func(w *world) {
				name := w.counterCalls[0]
				w.counterCalls = w.counterCalls[1:]
				w.counterTotal += a.total
				w.apply(w.dispatcher.Handle(w.now, decision.CounterReply{Name: name, Outcome: a.outcome, Total: w.counterTotal}))
			})
		}
	}
	add("plan", func(w *world) {
		w.planIndex = 1 - w.planIndex
		p := plans[w.planIndex]
		w.apply(w.dispatcher.Handle(w.now, decision.Terms{Customer: "m", Plan: p, Tag: p.Tag()}))
	})
	if !w.draining {
		add("sigterm", func(w *world) {
			w.draining = true
			w.dispatcher.ExpectDisruption(math.Inf(1))
		})
	} else if !w.attemptsAborted {
		add("patience", func(w *world) { // every attempt that is out, or will be, is given up
			w.attemptsAborted = true
			for _, c := range w.clients {
				if c.attempt != nil {
					c.attempt.cancelled = true
				}
			}
		})
	}
	return all
}

// attemptEvents are what may become of an attempt that is out.
func (w *world) attemptEvents(id string, i int, t *pendingAttempt, add func(string, func(*world))) {
	on := func(name string, do func(w *world, t *pendingAttempt, k *connection)) {
		add(name+id, func(w *world) {
			t := w.clients[i].attempt
			do(w, t, t.conn)
		})
	}
	if t.stage == dialing {
		on("connects", func(w *world, t *pendingAttempt, k *connection) { w.beginAttempt(t, k) })
		on("refuses-late", func(w *world, t *pendingAttempt, k *connection) { w.dialFailed(t) })
		if t.cancelled {
			on("cancel-lands", func(w *world, t *pendingAttempt, k *connection) { w.dialFailed(t) })
		}
		return
	}
	if t.cancelled {
		on("cancel-lands", func(w *world, t *pendingAttempt, k *connection) { w.expireAttempt(t) })
	}
	if t.stage == holding {
		on("last-byte", func(w *world, t *pendingAttempt, k *connection) {
			if _, serving := w.lookup(t.backend); !upstreamconn.MayRelease(serving, t.cancelled) {
				k.unusable = true // half a request is on it
				w.applyVerdict(t, k, k.FailedWriting(upstreamconn.Cancelled))
				return
			}
			w.checkDrainedServer(t)
			if t.client.streamed {
				t.stage = uploading
				w.dispatcher.ConsumeBody(t.client.request)
				return
			}
			w.requestWritten(t)
		})
		for _, name := range []string{"breaks-early", "speaks-early"} {
			on(name, func(w *world, t *pendingAttempt, k *connection) {
				k.unusable = true
				how := upstreamconn.ConnectionLost
				if t.cancelled {
					how = upstreamconn.Cancelled
				}
				w.lossHistory.Record(t.backend, w.now)
				w.applyVerdict(t, k, k.FailedWriting(how))
			})
		}
		return
	}
	if t.stage == sending { // one write: it has gone out whole, or broke before its last byte
		on("goes-out", func(w *world, t *pendingAttempt, k *connection) { w.requestWritten(t) })
		on("breaks-in-send", func(w *world, t *pendingAttempt, k *connection) {
			k.unusable = true
			w.lossHistory.Record(t.backend, w.now)
			w.applyVerdict(
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
		on("impatient", func(w *world, t *pendingAttempt, k *connection) { w.checkSlow(t, k) })
	}
	if w.config.OddServers {
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
		on(a.name, func(w *world, t *pendingAttempt, k *connection) {
			// a deadline that may be changed at any time
			k.unusable = k.unusable || a.answer.Close || a.answer.TrailingBytes || t.cancelled
			k.notProcessed = a.answer.NotProcessed
			if a.answer.NotProcessed {
				t.client.possibleExecutions-- // it never ran
			}
			w.applyVerdict(t, k, k.Answered(a.answer, t.cancelled))
		})
	}
	on("interim", func(w *world, t *pendingAttempt, k *connection) {}) // passed over by the reader
	for _, a := range []struct {
		name        string
		failureKind upstreamconn.Failure
	}{{"spoilt", upstreamconn.Malformed}, {"breaks", upstreamconn.ConnectionLost}, {"time-out", upstreamconn.TimedOut}} {
		on(a.name, func(w *world, t *pendingAttempt, k *connection) {
			how := a.failureKind
			if t.cancelled {
				how = upstreamconn.Cancelled
			}
			if how == upstreamconn.TimedOut { // until then timers run, and others' time runs out
				for t.client.attempt == t && w.now < t.deadline-1e-9 && len(w.violations) == 0 {
					w.advance()
				}
				if t.client.attempt != t {
					return
				}
			}
			if how == upstreamconn.ConnectionLost {
				w.lossHistory.Record(t.backend, w.now)
			}
			k.unusable = true
			w.applyVerdict(t, k, k.FailedAwaiting(how))
		})
	}
}

// oddEvents are what servers send beside what is asked for, and answers that are read as they come.
func (w *world) oddEvents(on func(string, func(w *world, t *pendingAttempt, k *connection))) {
	on("503-unnamed", func(w *world, t *pendingAttempt, k *connection) {
		k.unidentified, k.notProcessed, k.unusable = true, true, k.unusable || t.cancelled
		t.client.possibleExecutions--
		w.applyVerdict(t, k, k.Answered(upstreamconn.Answer{Status: 503, NotProcessed: true}, t.cancelled))
	})
	on("200-long", func(w *world, t *pendingAttempt, k *connection) {
		k.notProcessed, k.unusable = false, k.unusable || t.cancelled
		w.applyVerdict(t, k, k.BeginStreaming(upstreamconn.Answer{Status: 200}, t.cancelled))
	})
	on("other-answer", func(w *world, t *pendingAttempt, k *connection) { // a copy of the answer before stands in this one's place
		// by its name, or for want of one, it cannot be told from this one's
		if k.notProcessed && (k.unidentified || k.previousClient == t.client) {
			k.unusable = true
			w.applyVerdict(t, k, k.Answered(upstreamconn.Answer{Status: 503, NotProcessed: true}, t.cancelled))
			return
		}
		k.unusable = true
		if t.foreignAnswers++; t.foreignAnswers > 8 {
			w.violate("bounded", "%s has passed over %d answers to others", t.client.name, t.foreignAnswers)
		}
		if !k.ForeignAnswer() {
			w.applyVerdict(t, k, k.FailedAwaiting(upstreamconn.Malformed))
		}
	})
}

// uploadEvents are what may become of a body that goes up.
func (w *world) uploadEvents(on func(string, func(w *world, t *pendingAttempt, k *connection))) {
	on("up", func(w *world, t *pendingAttempt, k *connection) { w.requestWritten(t) })
	on("server-breaks-upload", func(w *world, t *pendingAttempt, k *connection) {
		k.unusable = true
		w.lossHistory.Record(t.backend, w.now)
		w.applyVerdict(
			t,
			k,
			k.FailedWriting(
				map[bool]upstreamconn.Failure{false: upstreamconn.ConnectionLost, true: upstreamconn.Cancelled}[t.cancelled],
			),
		)
	})
	on("leaves-upload", func(w *world, t *pendingAttempt, k *connection) { // it stalls, or leaves: nobody waits for the answer
		c := t.client
		k.unusable, c.disconnected, t.cancelled = true, true, true
		w.apply(w.dispatcher.ClientDisconnected(w.now, c.request))
		w.applyVerdict(t, k, k.FailedWriting(upstreamconn.Cancelled))
	})
	for _, a := range []struct {
		name   string
		answer upstreamconn.Answer
	}{{"early-200", upstreamconn.Answer{Status: 200}}, {"early-500", upstreamconn.Answer{Status: 500}},
		{"early-503-not-processed", upstreamconn.Answer{Status: 503, NotProcessed: true}}} {
		on(a.name, func(w *world, t *pendingAttempt, k *connection) {
			k.unusable = true // half a request is on it
			if !a.answer.NotProcessed {
				t.client.possibleExecutions++ // who answers may have read enough to run it
			}
			w.applyVerdict(t, k, k.AnsweredEarly(a.answer))
		})
	}
}

// step lets one event happen. Attempts of a world that is halted are given up as they begin.
func (w *world) step(e event) {
	w.steps++
	e.do(w)
	if w.attemptsAborted {
		for _, c := range w.clients {
			if c.attempt != nil {
				c.attempt.cancelled = true
			}
		}
	}
	w.checkInvariants()
}

// find is the event of a name, if it may happen now.
func (w *world) find(name string) (event, bool) {
	all := w.events()
	if i := slices.IndexFunc(all, func(e event) bool { return e.name == name }); i >= 0 {
		return all[i], true
	}
	return event{}, false
}
