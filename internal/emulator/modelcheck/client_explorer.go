package modelcheck

import (
	"slices"

	"mulleinrouter/internal/dataplane/clientconn"
)

// Sizes of the chunks in which a body arrives, in bytes.
const (
	largeChunk = 256 << 10
	smallChunk = 1
)

// clientEvent is an event that may happen to a client's connection.
type clientEvent struct {
	name  string
	apply func(*clientConnection)
}

var (
	clientLargeChunk = clientEvent{"piece", func(cc *clientConnection) {
		cc.receiveBody(largeChunk)
		cc.awaitBody()
	}}
	clientSmallChunk = clientEvent{"byte", func(cc *clientConnection) {
		cc.receiveBody(smallChunk)
		cc.awaitBody()
	}}
	clientMalformed   = clientEvent{"broken", (*clientConnection).rejectRequest}
	clientNextRequest = clientEvent{"next", func(cc *clientConnection) { cc.nextReceived = true }}
)

// clientEvents lists the events that are possible in each state, in a fixed order.
var clientEvents = map[clientconn.State][]clientEvent{
	clientconn.Idle: {
		{"begins", (*clientConnection).beginRequest},
	},
	clientconn.ReadingHead: {
		{"no-body", func(cc *clientConnection) { cc.enter(clientconn.Deciding) }},
		{"body", func(cc *clientConnection) { cc.beginBody(clientconn.ReadingBody) }},
		{"long-body", func(cc *clientConnection) { // the body will be streamed; the decision needs only the head
			cc.bodyUnread = true
			cc.enter(clientconn.ReadingBody)
			cc.enter(clientconn.Deciding)
		}},
		clientMalformed,
	},
	clientconn.ReadingBody: {
		clientLargeChunk,
		clientSmallChunk,
		{"body-whole", func(cc *clientConnection) {
			cc.receiveBody(smallChunk)
			cc.enter(clientconn.Deciding)
		}},
		clientMalformed,
	},
	clientconn.Deciding: {
		{"answer", (*clientConnection).answer},
		{"upload", func(cc *clientConnection) {
			if cc.bodyUnread {
				cc.beginBody(clientconn.Uploading)
			}
		}},
		clientNextRequest,
	},
	clientconn.Uploading: {
		clientLargeChunk,
		clientSmallChunk,
		{"up", func(cc *clientConnection) {
			cc.receiveLastByte()
			cc.enter(clientconn.Deciding)
		}},
		{"early-answer", (*clientConnection).answer},
		clientMalformed,
	},
	clientconn.Answering: {
		{"written", (*clientConnection).answered},
		clientNextRequest,
	},
	clientconn.Discarding: {
		clientLargeChunk,
		clientSmallChunk,
		{"rest-read", func(cc *clientConnection) {
			cc.receiveLastByte()
			cc.becomeIdle()
		}},
	},
}

// events returns the events that are possible now, in a fixed order.
func (cc *clientConnection) events() []clientEvent {
	if cc.closed {
		return nil
	}
	events := []clientEvent{
		{"second", func(cc *clientConnection) { cc.passTime(1) }},
		{"while", func(cc *clientConnection) { cc.passTime(4) }}, // longer than maxWait
		{"room", (*clientConnection).evict},
	}
	if cc.keepOpen {
		events = append(events, clientEvent{"drain", (*clientConnection).drain})
	}
	if !cc.crowded {
		events = append(events, clientEvent{"crowd", func(cc *clientConnection) { cc.crowded = true }})
	}
	if cc.readsInterrupted {
		events = append(events, clientEvent{"cut-noticed", (*clientConnection).noticeInterrupt})
	}
	return append(events, clientEvents[cc.machine.State()]...)
}

// step applies one event, and checks propertyDrainCloses.
func (cc *clientConnection) step(e clientEvent) {
	e.apply(cc)
	cc.checkDrain()
}

// ClientResult is the result of an exploration of a client's connection.
type ClientResult struct {
	Orderings int
	Violation *Violation // violation by the shortest ordering that has one; nil if none has
	Trace     []string   // names of the events of that ordering
}

// clientRun is a connection, and the events that led to its state.
type clientRun struct {
	conn  clientConnection
	trace []string
}

// ExploreClientConnections drives the state machine of a client's connection through every ordering of up to depth
// events: once with the default timeouts, and once with timeouts that also serve a pending request (ServePending). It
// stops at the first violation.
func ExploreClientConnections(depth int) ClientResult {
	servesPending := clientConnection{machine: clientconn.Accepted(0), keepOpen: true, mustServePending: true}
	servesPending.machine.SetTimeouts(&clientconn.Timeouts{FirstByte: 2, Idle: 2, Head: 2.5, ServePending: true})
	runs := []clientRun{
		{conn: clientConnection{machine: clientconn.Accepted(0), keepOpen: true}},
		{conn: servesPending},
	}
	var result ClientResult
	for range depth {
		var longer []clientRun
		for _, run := range runs {
			for _, e := range run.conn.events() {
				conn := run.conn
				conn.step(e)
				trace := append(slices.Clip(run.trace), e.name)
				if conn.violation != nil {
					result.Violation, result.Trace = conn.violation, trace
					return result
				}
				result.Orderings++
				longer = append(longer, clientRun{conn, trace})
			}
		}
		runs = longer
	}
	return result
}
