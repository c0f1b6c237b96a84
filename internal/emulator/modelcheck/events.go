package modelcheck

import (
	"fmt"
	"math"
	"slices"

	"mulleinrouter/internal/decision"
)

const (
	maxClients = 3 // number of clients, including those that send a request again
	maxServers = 4 // number of servers, including those that get the address of another

	// passingTime is the time by which eventTime advances the clock, in seconds. It exceeds drainGrace, so that one
	// such event ends the grace time of a drain.
	passingTime decision.Seconds = 0.3
)

// event is an event that may happen in the present state of a world. It is valid until the world changes.
type event struct {
	name  string
	apply func()
}

// subjectEvent returns an event that concerns one client or server.
func subjectEvent(subject, kind string, apply func()) event {
	return event{kind + " " + subject, apply}
}

// events returns the events that are possible now, in a fixed order. An ordering is a sequence of choices among them.
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

// step applies one event, and checks the properties. Attempts that begin after a drain has ended are cancelled at once.
func (w *world) step(e event) {
	w.steps++
	e.apply()
	if w.attemptsAborted {
		w.abortAttempts()
	}
	w.checkInvariants()
}

// findEvent returns the event with a name, if it is possible now.
func (w *world) findEvent(name string) (event, bool) {
	events := w.events()
	if i := slices.IndexFunc(events, func(e event) bool { return e.name == name }); i >= 0 {
		return events[i], true
	}
	return event{}, false
}

// clientEvents returns the possible events of a client, its attempt and its answer.
func (w *world) clientEvents(c *client) []event {
	var events []event
	if c.attempt != nil && c.attempt.conn != nil {
		events = append(events, w.attemptEvents(c.attempt)...)
	}
	if c.stream != nil {
		events = append(events, w.streamEvents(c)...)
	}
	if !c.disconnected && !c.finished {
		events = append(events, subjectEvent(c.name, eventDisconnects, func() { w.disconnect(c) }))
	}
	if w.mayRetry(c) {
		events = append(events, subjectEvent(c.name, eventRetries, func() {
			c.retried = true
			w.submitRequest(clientRequest{atMostOnce: c.atMostOnce, retry: true})
		}))
	}
	return events
}

// mayRetry reports whether a client may send its request again. Only a client that was rejected or has disconnected
// may, once, while there are fewer than maxClients clients, and not during a drain of the process.
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

// streamEvents returns the possible ends of a streamed answer.
func (w *world) streamEvents(c *client) []event {
	return []event{
		subjectEvent(c.name, eventStreamComplete, func() { w.streamEnded(c, true, false) }),
		subjectEvent(c.name, eventStreamTrailingBytes, func() { w.streamEnded(c, true, true) }),
		subjectEvent(c.name, eventStreamCut, func() { w.streamEnded(c, false, false) }),
		subjectEvent(c.name, eventStreamLeft, func() { w.streamEnded(c, false, false) }),
	}
}

// serverEvents returns the possible events of a listed server.
func (w *world) serverEvents(s *server) []event {
	var events []event
	if s.serving {
		events = append(events, subjectEvent(s.id, eventDrains, func() {
			s.serving, s.drainingSince = false, w.now
			w.updateBackends()
		}))
	}
	events = append(events, subjectEvent(s.id, eventRemoved, func() {
		s.listed, s.serving, s.drainingSince = false, false, w.now
		w.updateBackends()
	}))
	if len(w.servers) < maxServers {
		events = append(events, subjectEvent(s.id, eventAddressTaken, func() { w.takeAddress(s) }))
	}
	if !s.down {
		events = append(events, subjectEvent(s.id, eventRefuses, func() { s.down = true }))
	}
	if conn, ok := w.idlePool.Peek(s.id); ok && !conn.unusable {
		events = append(events, subjectEvent(s.id, eventForgets, func() { conn.unusable = true }))
	}
	return events
}

// takeAddress lists a new server at the address of s, and moves s to another address.
func (w *world) takeAddress(s *server) {
	id := fmt.Sprint("n", len(w.servers))
	w.servers = append(w.servers, &server{id: id, address: s.address, listed: true, serving: true})
	s.address += "'"
	w.updateBackends()
}

// counterReplies lists the answers that the quota counter may give.
var counterReplies = []struct {
	kind    string
	outcome decision.Outcome
	units   float64 // units by which the total grows before the answer
}{
	{eventCounted, decision.Succeeded, 3},
	{eventCounterBusy, decision.Rejected, 0},
	{eventCounterLate, decision.TimedOut, 0},
	{eventCounterUnreadable, decision.Failed, 0},
}

// counterEvents returns the possible answers to the oldest call to the quota counter.
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

// changePlan moves the customer to the other plan.
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

// abortAttempts cancels all attempts; step calls it again for those that begin later.
func (w *world) abortAttempts() {
	w.attemptsAborted = true
	for _, c := range w.clients {
		if c.attempt != nil {
			c.attempt.cancelled = true
		}
	}
}
