// Package modelcheck drives the decision module, the desk, the lives of requests and of connections through every
// order of a few events, and checks the rules that matter most after each. What serves is what is explored:
// decision.Gateway, attempt.Desk, link.Link, link.Shelf and link.Memory. Around them stands a small world: clients,
// quote servers, a list, a counter and a clock, and in place of the ingress's and the pool's goroutines their few
// steps between decisions.
//
// It does no I/O and reads no clock but its own.
package modelcheck

import (
	"fmt"

	"mulleinrouter/internal/dataplane/attempt"
	"mulleinrouter/internal/dataplane/upstreamconn"
	"mulleinrouter/internal/decision"
)

// The world's figures.
const (
	latencyTarget, requestDeadline = 1.0, 3.0
	answerSlack                    = 0.05
	drainGrace                     = 0.25 // after hearing that a server drains
	clockStep                      = 0.05
)

// world is one run: a state, and what has been found wrong.
type world struct {
	config          Config
	now             decision.Seconds
	dispatcher      *attempt.Dispatcher[*client]
	idlePool        *upstreamconn.IdlePool[*connection]
	lossHistory     upstreamconn.LossHistory
	servers         []*server // by list order; those that are gone stay, to be looked at
	timers          []decision.SetTimer
	counterCalls    []string // calls that are out
	counterTotal    float64
	clients         []*client
	attemptsAborted bool // the end of patience
	draining        bool
	planIndex       int
	violations      []Violation
	steps           int
	effects         []attempt.Effect // to be carried out
	applying        bool             // they are being
	streamNext      bool             // the next request that is asked is long
}

// Violation is a property that does not hold.
type Violation struct{ Property, Text string }

// server is a quote server, and what the list says of it.
type server struct {
	id, address   string
	listed        bool
	serving       bool
	drainingSince decision.Seconds // when it was told to drain, or gone
	down          bool             // refuses connections
}

// connection is a connection to a server.
type connection struct {
	upstreamconn.Machine
	server         *server
	address        string
	current        *pendingAttempt // on it now
	unusable       bool            // in truth: ended by the server, or with stray bytes, or at the mercy of a deadline that may change
	closed         bool            // from here
	answeredAt     decision.Seconds
	lastClient     *client // whose request was written on it last,
	previousClient *client // and before that
	unidentified   bool    // an answer without a name has come on it
	notProcessed   bool    // the last answer said that its request had not run
}

// client is one request of a client.
type client struct {
	name               string
	atMostOnce         bool
	request            *attempt.Request[*client]
	submittedAt        decision.Seconds
	disconnected       bool // left
	answers            int
	status             string
	finalDecisions     int // last words
	attempt            *pendingAttempt
	attempts           int
	possibleExecutions int // attempts that may have run, in truth
	retried            bool
	finished           bool
	streamed           bool
	writtenTo          map[string]bool // servers to which it was written whole
	stream             *connection     // on which the body of its answer comes
}

// attemptStage is where an attempt is, between the steps of the pool.
type attemptStage int

const (
	dialing   attemptStage = iota // a connection is to come up
	holding                       // written but for the last byte, or the head of a long request alone
	uploading                     // its body goes up
	sending                       // it goes out at once, in one write that is not over
	awaiting                      // written whole
)

// pendingAttempt is an attempt that is out.
type pendingAttempt struct {
	client         *client
	backend        string
	deadline       decision.Seconds
	conn           *connection
	stage          attemptStage
	cancelled      bool
	slowAfter      decision.Seconds // after it was written; 0: none
	writtenAt      decision.Seconds
	foreignAnswers int // answers to other requests that came in its answer's place
}

func (w *world) violate(property, format string, args ...any) {
	for _, v := range w.violations {
		if v.Property == property {
			return
		}
	}
	w.violations = append(w.violations, Violation{property, fmt.Sprintf(format, args...)})
}

// plans that a change goes to and fro between.
var plans = []decision.Plan{
	{Name: "small", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1},
	{Name: "large", Rate: 1000, Burst: 1000, ValueWeight: 1, ExcessCost: 1},
}

// newWorld returns a world with its first request asked.
func newWorld(c Config) *world {
	s := decision.Settings{
		Gateways:       3,
		MaxAttempts:    4,
		MayCancel:      true,
		MayRetryAfter:  true,
		MaxRetryAfter:  1,
		HasCounter:     true,
		CounterTimeout: 0.05,
		MaxUnits:       1,
		DrainGrace:     drainGrace,
		AnswerSlack:    answerSlack,
		SlowStartShare: 0.2,
		SlowStartTime:  10,
		OverloadFactor: 2,
		OverloadFor:    1,
		Classes: []decision.Class{
			{
				Name:              "read",
				LatencyTarget:     latencyTarget,
				Deadline:          requestDeadline,
				Value:             1,
				LateValue:         0.2,
				SlowAttemptFactor: 1,
				Effect:            decision.Idempotent,
			},
			{Name: "send", LatencyTarget: latencyTarget, Deadline: requestDeadline, Value: 1, LateValue: 0.2},
		},
		Plans: plans,
	}
	most := 4
	if c.OneConnection {
		most = 1
	}
	w := &world{
		config:     c,
		now:        1000,
		dispatcher: attempt.NewDispatcher[*client](decision.New(s, 1), &s),
		idlePool:   upstreamconn.NewIdlePool[*connection](most),
	}
	w.apply(w.dispatcher.Handle(w.now, decision.Start{}))
	for i := range c.Servers {
		w.servers = append(
			w.servers,
			&server{id: fmt.Sprint("s", i+1), address: fmt.Sprint("a", i+1), listed: true, serving: true},
		)
	}
	w.updateBackends()
	if c.IdleConnection {
		conn := &connection{server: w.servers[0], address: w.servers[0].address}
		w.idlePool.Reserve()
		conn.Begin()
		conn.Written()
		conn.Answered(upstreamconn.Answer{Status: 200}, false)
		conn.answeredAt = w.now
		w.idlePool.Put(w.servers[0].id, conn, w.now)
		w.now += 2 // idle for long: the last byte is held
	}
	w.streamNext = c.StreamedBody
	w.submit(c.AtMostOnce[0], false)
	w.streamNext = false
	if c.TwoRequests {
		w.submit(c.AtMostOnce[1], false)
	}
	return w
}

func (w *world) updateBackends() {
	update := decision.Backends{Complete: true}
	for _, s := range w.servers {
		if s.listed {
			update.List = append(update.List, decision.Backend{ID: s.id, Zone: "a", Serving: s.serving, Size: 1})
		}
	}
	w.apply(w.dispatcher.Handle(w.now, update))
}

func (w *world) server(id string) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *world) lookup(id string) (addr string, serving bool) {
	if s := w.server(id); s != nil && s.listed {
		return s.address, s.serving
	}
	return "", false
}

// submit has a client send a request.
func (w *world) submit(send, repeat bool) {
	c := &client{name: fmt.Sprint("c", len(w.clients)+1), atMostOnce: send, submittedAt: w.now, streamed: w.streamNext, writtenTo: map[string]bool{}}
	w.clients = append(w.clients, c)
	class, gateways := "read", 1
	if send {
		class = "send"
	}
	if w.config.Sparse {
		gateways = 5
	}
	r := decision.Request{
		Class:       class,
		Plan:        plans[w.planIndex].Name,
		Customer:    "m",
		TimeLeft:    requestDeadline,
		Units:       1,
		Gateways:    gateways,
		ClientRetry: repeat,
		Streamed:    w.streamNext,
	}
	var effects []attempt.Effect
	c.request, effects = w.dispatcher.Submit(w.now, r, c)
	w.apply(effects)
}

// apply carries effects out, as the engine, the ingress and the pool apply between them.
// What comes of carrying one out waits until those before it have been told: the engine tells all decisions of an event
// under its mutex.
func (w *world) apply(effects []attempt.Effect) {
	w.effects = append(w.effects, effects...)
	if w.applying {
		return
	}
	w.applying = true
	defer func() { w.applying = false }()
	for len(w.effects) > 0 {
		e := w.effects[0]
		w.effects = w.effects[1:]
		switch a := e.(type) {
		case attempt.Notify[*client]:
			w.deliver(a.Request.Host, a.Decision)
		case attempt.CancelAttempt[*client]:
			if c := a.Request.Host; c.attempt != nil && c.attempts == a.Attempt+1 {
				c.attempt.cancelled = true
			}
		case attempt.Timer:
			w.timers = append(w.timers, a.SetTimer)
		case attempt.CounterCall:
			w.counterCalls = append(w.counterCalls, a.Name)
		case attempt.IllegalStep[*client]:
			w.violate("legal", "%v", a.Err)
		}
	}
}

// deliver is a client's connection hearing a decision.
func (w *world) deliver(c *client, d attempt.Decision) {
	if d.Kind == attempt.Send {
		if c.attempt != nil {
			w.violate("one-attempt-at-a-time", "%s has two attempts out", c.name)
		}
		if c.finalDecisions > 0 {
			w.violate("one-answer", "%s is sent on after its last word", c.name)
		}
		if c.attempts++; c.attempts > 4 {
			w.violate("four-attempts", "%s has %d", c.name, c.attempts)
		}
		if d.Deadline > c.submittedAt+requestDeadline+1e-9 {
			w.violate("in-time", "%s may be out until %.2f s after it was taken", c.name, d.Deadline-c.submittedAt)
		}
		w.startAttempt(&pendingAttempt{client: c, backend: d.Backend, deadline: d.Deadline, slowAfter: d.SlowAfter})
		return
	}
	c.finalDecisions++
	if c.finalDecisions > 1 {
		w.violate("one-answer", "%s has %d last words", c.name, c.finalDecisions)
	}
	if c.attempt != nil {
		w.violate("one-attempt-at-a-time", "%s hears %v with an attempt out", c.name, d.Kind)
	}
	switch d.Kind {
	case attempt.Reject:
		if c.atMostOnce && c.possibleExecutions > 0 {
			w.violate("refusal-is-harmless", "%s must not run twice, may have run, and was refused", c.name)
		}
		w.answerClient(c, "refused")
	case attempt.Fail:
		w.answerClient(c, "failed")
	case attempt.NoAnswer:
		if !c.disconnected && !w.attemptsAborted {
			w.violate("one-answer", "%s waits, and is answered nothing", c.name)
		}
		c.status, c.finished = "gone", true
	}
}

func (w *world) answerClient(c *client, status string) {
	c.finished = true
	if c.disconnected {
		return
	}
	c.status = status
	if c.answers++; c.answers > 1 {
		w.violate("one-answer", "%s has %d answers", c.name, c.answers)
	}
	if late := w.now - c.submittedAt - requestDeadline; late > answerSlack+1e-9 {
		w.violate("in-time", "%s is answered %.2f s after its deadline", c.name, late)
	}
}

// startAttempt is Pool.Do: a connection is taken or opened, and the request written, with its last byte held or not.
func (w *world) startAttempt(pending *pendingAttempt) {
	pending.client.attempt = pending
	if _, serving := w.lookup(pending.backend); !serving || pending.cancelled {
		w.attemptEnded(pending, decision.NotSent)
		return
	}
	k, outcome, ok := w.takeConnection(pending, upstreamconn.Reuse{Resent: pending.client.writtenTo[pending.backend], AtMostOnce: pending.client.atMostOnce})
	switch {
	case !ok:
		w.attemptEnded(pending, outcome)
	case w.config.SlowDials && k.Uses() == 0:
		pending.conn, pending.stage = k, dialing
	default:
		w.beginAttempt(pending, k)
	}
}

// beginAttempt is what Pool.attempt does with a connection that is up.
func (w *world) beginAttempt(pending *pendingAttempt, conn *connection) {
	c := pending.client
	if conn.current != nil {
		w.violate("one-request-on-a-connection", "%s begins on a connection that %s is on", c.name, conn.current.client.name)
	}
	if conn.closed {
		w.violate("spoilt-is-spoilt", "%s begins on a connection that has ended", c.name)
	}
	if err := conn.Begin(); err != nil {
		w.violate("legal", "%v", err)
		w.attemptEnded(pending, decision.ConnectionReset)
		return
	}
	addr, serving := w.lookup(pending.backend)
	if !upstreamconn.MayBegin(serving, addr == conn.address, pending.cancelled, pending.deadline-w.now) {
		w.applyVerdict(pending, conn, conn.NotBegun())
		return
	}
	pending.conn, conn.current = conn, pending
	if s := w.server(pending.backend); s == nil || !s.listed {
		w.violate("nothing-new-to-the-gone", "%s begins at %s, which is gone", c.name, pending.backend)
	} else if !s.serving {
		w.violate("drained", "%s begins at %s, which is known to drain", c.name, s.id)
	} else if s.address != conn.address {
		w.violate("nothing-new-to-the-gone", "%s begins at an address that is another server's", c.name)
	}
	if machine := c.request.Machine(); machine.BodyConsumed() {
		w.violate("spent-is-spent", "%s begins again, and its body has gone", c.name)
	}
	if c.streamed ||
		w.lossHistory.HoldLastByte(
			pending.backend,
			w.now,
			upstreamconn.Evidence{New: conn.Uses() == 1, IdleFor: w.now - conn.answeredAt, AtMostOnce: c.atMostOnce},
		) {
		pending.stage = holding
		return
	}
	if w.config.OddServers {
		pending.stage = sending
		return
	}
	w.requestWritten(pending)
}

// impatient is the pool asking, once the patience with an attempt is out, whether to give it up.
func (w *world) checkSlow(pending *pendingAttempt, conn *connection) {
	for end := pending.writtenAt + pending.slowAfter; pending.client.attempt == pending && w.now < end-1e-9 && len(w.violations) == 0; {
		w.advance()
	}
	if pending.client.attempt != pending || pending.cancelled || !w.dispatcher.ShouldAbandon(w.now, pending.client.request) {
		return
	}
	c := pending.client
	before := c.attempts
	switch {
	case w.draining:
		w.violate("planned-is-kept", "%s is given up by patience, and this process leaves", c.name)
	case c.atMostOnce:
		w.violate("planned-is-kept", "%s is given up by patience, and must not run twice", c.name)
	}
	conn.unusable = true
	w.applyVerdict(pending, conn, conn.FailedAwaiting(upstreamconn.TimedOut))
	if c.attempts == before && !c.disconnected { // the other one may turn out to be down
		w.violate("given-up-goes-on", "%s is given up by patience, and goes to no other server", c.name)
	}
}

// attemptEnded tells the desk how an attempt attemptEnded, and answers the client if it was served: as ingress.serve does.
func (w *world) attemptEnded(pending *pendingAttempt, o decision.Outcome) {
	c := pending.client
	c.attempt = nil
	if o == decision.Succeeded {
		w.answerClient(c, "served")
		c.finalDecisions++
	}
	if o == decision.Succeeded && c.finalDecisions > 1 {
		w.violate("one-answer", "%s is served after its last word", c.name)
	}
	disconnected := c.request.Machine()
	if p := disconnected.Phase(); p == attempt.Abandoned && o == decision.Succeeded {
		c.finalDecisions-- // its host hears Gone, too: the answer went to nobody
	}
	w.apply(w.dispatcher.AttemptEnded(w.now, c.request, o))
	w.checkInvariants()
}
