package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// check looks at what must hold between events.
func (w *World) check() {
	if w.busy {
		return
	}
	for _, c := range w.clients {
		machine := c.request.Machine()
		if c.disconnected && c.try != nil && !c.try.cancelled {
			w.violate("left-is-cancelled", "%s has left, and its attempt goes on", c.name)
		}
		if machine.Phase() == attempt.Finished && c.finalAnswers == 0 {
			w.violate("given-up-is-answered", "%s is over, and nobody was told", c.name)
		}
		if machine.Phase() == attempt.Waiting && c.try != nil ||
			(machine.Phase() == attempt.InFlight || machine.Phase() == attempt.Abandoned) && c.try == nil {
			w.violate("legal", "%s is %v, attempt out: %v", c.name, machine.Phase(), c.try != nil)
		}
	}
	if n := w.idlePool.Open(); n > w.idlePool.Max {
		w.violate("bounded", "%d connections are up", n)
	}
}

// Key is the state in a word, as far as the properties depend on it: for counting states.
func (w *World) Key() string {
	var b strings.Builder
	for _, c := range w.clients {
		machine := c.request.Machine()
		fmt.Fprintf(&b, "%v%d%v%v%d", machine.Phase(), machine.Attempts(), c.disconnected, c.status, c.mayRun)
		if c.try != nil {
			fmt.Fprintf(&b, "/%s%d%v", c.try.backend, c.try.stage, c.try.cancelled)
		}
		if c.stream != nil {
			b.WriteByte('~')
		}
		b.WriteByte(' ')
	}
	for _, s := range w.servers {
		fmt.Fprintf(&b, "%s%v%v%v%d ", s.addr, s.listed, s.serving, s.down, w.idlePool.Idle(s.id))
	}
	fmt.Fprintf(&b, "%d%v%v%d", len(w.counts), w.draining, w.halted, w.plan)
	return b.String()
}

// settle lets the world come to its end without further events: timers and counters run, attempts that are out end
// when their time runs out or they were cancelled.
func (w *World) settle() {
	for end := w.now + deadline + 1; w.now < end && len(w.Violations) == 0; {
		for _, c := range w.clients {
			if t := c.try; t != nil && t.cancelled {
				w.runOut(t)
			}
			if c.stream != nil {
				w.streamed(c, true, false)
			}
		}
		w.pass()
	}
	if len(w.Violations) > 0 {
		return
	}
	for _, c := range w.clients {
		if !c.finished {
			w.violate("in-time", "%s has no answer long after its deadline", c.name)
		}
		if c.try != nil {
			w.violate("nothing-left", "%s still has an attempt out", c.name)
		}
	}
	if n := w.dispatcher.Pending(); n > 0 {
		w.violate("nothing-left", "%d requests are left at the desk", n)
	}
	idle := 0
	seen := map[string]bool{}
	for _, s := range w.servers {
		if !seen[s.id] {
			idle += w.idlePool.Idle(s.id)
		}
		seen[s.id] = true
	}
	if up := w.idlePool.Open(); up != idle {
		w.violate("nothing-left", "%d connections count as up, %d are idle", up, idle)
	}
	if len(w.timers) > 1 {
		w.violate("nothing-left", "%d timers are set", len(w.timers))
	}
}

// pass lets time go on to whatever is due next.
func (w *World) pass() {
	for _, c := range w.clients {
		if t := c.try; t != nil && w.now >= t.until-1e-9 {
			w.runOut(t)
		}
	}
	w.next()
}

// next goes to the next timer, or end of an attempt's time, whichever comes first.
func (w *World) next() {
	at := w.now + tick
	for _, s := range w.timers {
		at = min(at, max(w.now, s.At))
	}
	for _, c := range w.clients {
		if t := c.try; t != nil && t.until > w.now {
			at = min(at, t.until)
		}
	}
	w.now = at
	for _, name := range w.counts {
		w.do(w.dispatcher.Handle(w.now, decision.CounterReply{Name: name, Outcome: decision.TimedOut}))
	}
	w.counts = nil
	due := w.timers[:0:0]
	w.timers = slices.DeleteFunc(w.timers, func(s decision.SetTimer) bool {
		if s.At <= w.now {
			due = append(due, s)
			return true
		}
		return false
	})
	for _, s := range due {
		w.do(w.dispatcher.Handle(w.now, decision.Timer{Token: s.Token}))
	}
	w.check()
}

// runOut ends an attempt whose time has run out, or that was given up.
func (w *World) runOut(t *try) {
	failure := upstreamconn.TimedOut
	if t.cancelled {
		failure = upstreamconn.Cancelled
	}
	if t.stage == dialing {
		w.noConnection(t)
		return
	}
	k := t.conn
	k.spoilt = true
	if t.stage == holding || t.stage == uploading || t.stage == sending {
		if failure == upstreamconn.TimedOut {
			failure = upstreamconn.ConnectionLost // the write's deadline
		}
		w.finish(t, k, k.FailedWriting(failure))
		return
	}
	w.finish(t, k, k.FailedAwaiting(failure))
}
