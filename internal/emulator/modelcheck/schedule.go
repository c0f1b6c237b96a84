package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// checkInvariants looks at what must hold between events.
func (w *world) checkInvariants() {
	if w.applying {
		return
	}
	for _, c := range w.clients {
		machine := c.request.Machine()
		if c.disconnected && c.attempt != nil && !c.attempt.cancelled {
			w.violate("left-is-cancelled", "%s has left, and its attempt goes on", c.name)
		}
		if machine.Phase() == attempt.Finished && c.finalDecisions == 0 {
			w.violate("given-up-is-answered", "%s is over, and nobody was told", c.name)
		}
		if machine.Phase() == attempt.Waiting && c.attempt != nil ||
			(machine.Phase() == attempt.InFlight || machine.Phase() == attempt.Abandoned) && c.attempt == nil {
			w.violate("legal", "%s is %v, attempt out: %v", c.name, machine.Phase(), c.attempt != nil)
		}
	}
	if n := w.idlePool.Open(); n > w.idlePool.Max {
		w.violate("bounded", "%d connections are up", n)
	}
}

// stateKey is the state in a word, as far as the properties depend on it: for counting states.
func (w *world) stateKey() string {
	var b strings.Builder
	for _, c := range w.clients {
		machine := c.request.Machine()
		fmt.Fprintf(&b, "%v%d%v%v%d", machine.Phase(), machine.Attempts(), c.disconnected, c.status, c.possibleExecutions)
		if c.attempt != nil {
			fmt.Fprintf(&b, "/%s%d%v", c.attempt.backend, c.attempt.stage, c.attempt.cancelled)
		}
		if c.stream != nil {
			b.WriteByte('~')
		}
		b.WriteByte(' ')
	}
	for _, s := range w.servers {
		fmt.Fprintf(&b, "%s%v%v%v%d ", s.address, s.listed, s.serving, s.down, w.idlePool.Idle(s.id))
	}
	fmt.Fprintf(&b, "%d%v%v%d", len(w.counterCalls), w.draining, w.attemptsAborted, w.planIndex)
	return b.String()
}

// settle lets the world come to its end without further events: timers and counters run, attempts that are out end
// when their time runs out or they were cancelled.
func (w *world) settle() {
	for end := w.now + requestDeadline + 1; w.now < end && len(w.violations) == 0; {
		for _, c := range w.clients {
			if t := c.attempt; t != nil && t.cancelled {
				w.expireAttempt(t)
			}
			if c.stream != nil {
				w.streamEnded(c, true, false)
			}
		}
		w.advance()
	}
	if len(w.violations) > 0 {
		return
	}
	for _, c := range w.clients {
		if !c.finished {
			w.violate("in-time", "%s has no answer long after its deadline", c.name)
		}
		if c.attempt != nil {
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

// advance lets time go on to whatever is due next.
func (w *world) advance() {
	for _, c := range w.clients {
		if t := c.attempt; t != nil && w.now >= t.deadline-1e-9 {
			w.expireAttempt(t)
		}
	}
	w.advanceToNextTimer()
}

// advanceToNextTimer goes to the advanceToNextTimer timer, or end of an attempt's time, whichever comes first.
func (w *world) advanceToNextTimer() {
	at := w.now + clockStep
	for _, s := range w.timers {
		at = min(at, max(w.now, s.At))
	}
	for _, c := range w.clients {
		if t := c.attempt; t != nil && t.deadline > w.now {
			at = min(at, t.deadline)
		}
	}
	w.now = at
	for _, name := range w.counterCalls {
		w.apply(w.dispatcher.Handle(w.now, decision.CounterReply{Name: name, Outcome: decision.TimedOut}))
	}
	w.counterCalls = nil
	due := w.timers[:0:0]
	w.timers = slices.DeleteFunc(w.timers, func(s decision.SetTimer) bool {
		if s.At <= w.now {
			due = append(due, s)
			return true
		}
		return false
	})
	for _, s := range due {
		w.apply(w.dispatcher.Handle(w.now, decision.Timer{Token: s.Token}))
	}
	w.checkInvariants()
}

// expireAttempt ends an attempt whose time has run out, or that was given up.
func (w *world) expireAttempt(pending *pendingAttempt) {
	failure := upstreamconn.TimedOut
	if pending.cancelled {
		failure = upstreamconn.Cancelled
	}
	if pending.stage == dialing {
		w.dialFailed(pending)
		return
	}
	conn := pending.conn
	conn.unusable = true
	if pending.stage == holding || pending.stage == uploading || pending.stage == sending {
		if failure == upstreamconn.TimedOut {
			failure = upstreamconn.ConnectionLost // the write's deadline
		}
		w.applyVerdict(pending, conn, conn.FailedWriting(failure))
		return
	}
	w.applyVerdict(pending, conn, conn.FailedAwaiting(failure))
}
