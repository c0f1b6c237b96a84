package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	maxClients = 3 // with those that send a request again
	maxServers = 4 // with those that take another's address

	// passingTime is what the event "time" takes.
	passingTime decision.Seconds = 0.3
)

// event is one thing that may happen in the present state of a world. It is valid until the world changes.
type event struct {
	name  string
	apply func()
}

// eventAbout returns an event eventAbout one client or server.
func eventAbout(subject, kind string, apply func()) event { return event{kind + " " + subject, apply} }

// events returns those that may happen now, in a fixed order: an ordering is a sequence of choices among them.
func (w *world) events() []event {
	var events []event
	for _, c := range w.clients {
		events = append(events, w.clientEvents(c)...)
	}
	for _, s := range w.servers {
		if s.listed {
			events = append(events, w.serverEvents(s)...)
		}
	}
	events = append(events, event{eventListAgain, w.updateBackends})
	events = append(events, event{eventTimer, w.advance}, event{eventTime, w.passTime})
	if len(w.counterCalls) > 0 {
		events = append(events, w.counterEvents()...)
	}
	events = append(events, event{eventPlanChanges, w.changePlan})
	if !w.draining {
		events = append(events, event{eventShutdown, w.shutDown})
	} else if !w.attemptsAborted {
		events = append(events, event{eventDrainEnds, w.abortAttempts})
	}
	return events
}

// step lets one event happen. Attempts that begin after a drain has ended are cancelled at once.
func (w *world) step(e event) {
	w.steps++
	e.apply()
	if w.attemptsAborted {
		w.abortAttempts()
	}
	w.checkInvariants()
}

// findEvent returns the event of a name, if it may happen now.
func (w *world) findEvent(name string) (event, bool) {
	events := w.events()
	if i := slices.IndexFunc(events, func(e event) bool { return e.name == name }); i >= 0 {
		return events[i], true
	}
	return event{}, false
}

// clientEvents returns the events about a client, its attempt and its answer.
func (w *world) clientEvents(c *client) []event {
	var events []event
	if c.attempt != nil && c.attempt.conn != nil {
		events = append(events, w.attemptEvents(c.attempt)...)
	}
	if c.stream != nil {
		events = append(events, w.streamEvents(c)...)
	}
	if !c.disconnected && !c.finished {
		events = append(events, eventAbout(c.name, eventDisconnects, func() { w.disconnect(c) }))
	}
	if w.mayRetry(c) {
		events = append(events, eventAbout(c.name, eventRetries, func() {
			c.retried = true
			w.submitRequest(clientRequest{atMostOnce: c.atMostOnce, retry: true})
		}))
	}
	return events
}

// mayRetry reports whether a client may send its request again, as one that was rejected or has disconnected.
func (w *world) mayRetry(c *client) bool {
	return c.finished &&
		!c.retried &&
		(c.status == statusRejected || c.disconnected) &&
		!w.draining &&
		len(w.clients) < maxClients
}

func (w *world) disconnect(c *client) {
	c.disconnected = true
	w.applyEffects(w.dispatcher.ClientDisconnected(w.now, c.request))
}

// streamEvents returns the ends that a streamed answer may have.
func (w *world) streamEvents(c *client) []event {
	return []event{
		eventAbout(c.name, eventStreamComplete, func() { w.streamEnded(c, true, false) }),
		eventAbout(c.name, eventStreamTrailingBytes, func() { w.streamEnded(c, true, true) }),
		eventAbout(c.name, eventStreamCut, func() { w.streamEnded(c, false, false) }),
		eventAbout(c.name, eventStreamLeft, func() { w.streamEnded(c, false, false) }),
	}
}

// serverEvents returns the events about a server that is listed.
func (w *world) serverEvents(s *server) []event {
	var events []event
	if s.serving {
		events = append(events, eventAbout(s.id, eventDrains, func() {
			s.serving, s.drainingSince = false, w.now
			w.updateBackends()
		}))
	}
	events = append(events, eventAbout(s.id, eventRemoved, func() {
		s.listed, s.serving, s.drainingSince = false, false, w.now
		w.updateBackends()
	}))
	if len(w.servers) < maxServers {
		events = append(events, eventAbout(s.id, eventAddressTaken, func() { w.takeAddress(s) }))
	}
	if !s.down {
		events = append(events, eventAbout(s.id, eventRefuses, func() { s.down = true }))
	}
	if conn, ok := w.idlePool.Peek(s.id); ok && !conn.unusable {
		events = append(events, eventAbout(s.id, eventForgets, func() { conn.unusable = true }))
	}
	return events
}

// takeAddress lists a new server at a server's address, and that server at another.
func (w *world) takeAddress(s *server) {
	id := fmt.Sprint("n", len(w.servers))
	w.servers = append(w.servers, &server{id: id, address: s.address, listed: true, serving: true})
	s.address += "'"
	w.updateBackends()
}

// counterReplies are the answers that the quota counter may give.
var counterReplies = []struct {
	kind    string
	outcome decision.Outcome
	units   float64 // by which the total has grown meanwhile
}{
	{eventCounted, decision.Succeeded, 3},
	{eventCounterBusy, decision.Rejected, 0},
	{eventCounterLate, decision.TimedOut, 0},
	{eventCounterUnreadable, decision.Failed, 0},
}

// counterEvents returns the answers that the oldest call to the quota counter may get.
func (w *world) counterEvents() []event {
	var events []event
	for _, r := range counterReplies {
		events = append(events, event{r.kind, func() {
			name := w.counterCalls[0]
			w.counterCalls = w.counterCalls[1:]
			w.counterTotal += r.units
			reply := decision.CounterReply{Name: name, Outcome: r.outcome, Total: w.counterTotal}
			w.applyEffects(w.dispatcher.Handle(w.now, reply))
		}})
	}
	return events
}

// changePlan gives the customer the other plan.
func (w *world) changePlan() {
	w.planIndex = 1 - w.planIndex
	plan := plans[w.planIndex]
	w.applyEffects(w.dispatcher.Handle(w.now, decision.Terms{Customer: customer, Plan: plan, Tag: plan.Tag()}))
}

// shutDown begins the drain of the process.
func (w *world) shutDown() {
	w.draining = true
	w.dispatcher.ExpectDisruption(math.Inf(1))
}

// abortAttempts cancels all attempts, now and as they begin.
func (w *world) abortAttempts() {
	w.attemptsAborted = true
	for _, c := range w.clients {
		if c.attempt != nil {
			c.attempt.cancelled = true
		}
	}
}
