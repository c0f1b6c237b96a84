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
	aim, deadline = 1.0, 3.0
	slack         = 0.05
	grace         = 0.25 // after hearing that a server drains
	tick          = 0.05
)

// World is one run: a state, and what has been found wrong.
type World struct {
	config     Config
	now        decision.Seconds
	dispatcher *attempt.Dispatcher[*client]
	idlePool   *upstreamconn.IdlePool[*conn]
	memory     upstreamconn.LossHistory
	servers    []*server // by list order; those that are gone stay, to be looked at
	timers     []decision.SetTimer
	counts     []string // calls that are out
	sum        float64
	clients    []*client
	halted     bool // the end of patience
	draining   bool
	plan       int
	Violations []Violation
	steps      int
	queue      []attempt.Effect // to be carried out
	busy       bool             // they are being
	long       bool             // the next request that is asked is long
}

// Violation is a property that does not hold.
type Violation struct{ Property, Text string }

// server is a quote server, and what the list says of it.
type server struct {
	id, addr      string
	listed        bool
	serving       bool
	drainingSince decision.Seconds // when it was told to drain, or gone
	down          bool             // refuses connections
}

// conn is a connection to a server.
type conn struct {
	upstreamconn.Machine
	server   *server
	addr     string
	used     *try // on it now
	spoilt   bool // in truth: ended by the server, or with stray bytes, or at the mercy of a deadline that may change
	ended    bool // from here
	answered decision.Seconds
	by       *client // whose request was written on it last,
	before   *client // and before that
	unnamed  bool    // an answer without a name has come on it
	refused  bool    // the last answer said that its request had not run
}

// client is one request of a client.
type client struct {
	name         string
	send         bool
	request      *attempt.Request[*client]
	at           decision.Seconds
	disconnected bool // left
	answers      int
	status       string
	finalAnswers int // last words
	try          *try
	tries        int
	mayRun       int // attempts that may have run, in truth
	retried      bool
	finished     bool
	long         bool
	tried        map[string]bool // servers to which it was written whole
	stream       *conn           // on which the body of its answer comes
}

// stage is where an attempt is, between the steps of the pool.
type stage int

const (
	dialing   stage = iota // a connection is to come up
	holding                // written but for the last byte, or the head of a long request alone
	uploading              // its body goes up
	sending                // it goes out at once, in one write that is not over
	awaiting               // written whole
)

// try is an attempt that is out.
type try struct {
	client    *client
	backend   string
	until     decision.Seconds
	conn      *conn
	stage     stage
	cancelled bool
	slowAfter decision.Seconds // after it was written; 0: none
	writtenAt decision.Seconds
	others    int // answers to other requests that came in its answer's place
}

func (w *World) violate(property, format string, args ...any) {
	for _, v := range w.Violations {
		if v.Property == property {
			return
		}
	}
	w.Violations = append(w.Violations, Violation{property, fmt.Sprintf(format, args...)})
}

// plans that a change goes to and fro between.
var planTable = []decision.Plan{
	{Name: "small", Rate: 1, Burst: 2, ValueWeight: 1, ExcessCost: 1},
	{Name: "large", Rate: 1000, Burst: 1000, ValueWeight: 1, ExcessCost: 1},
}

// New returns a world with its first request asked.
func New(c Config) *World {
	s := decision.Settings{
		Gateways:       3,
		MaxAttempts:    4,
		MayCancel:      true,
		MayRetryAfter:  true,
		MaxRetryAfter:  1,
		HasCounter:     true,
		CounterTimeout: 0.05,
		MaxUnits:       1,
		DrainGrace:     grace,
		AnswerSlack:    slack,
		SlowStartShare: 0.2,
		SlowStartTime:  10,
		OverloadFactor: 2,
		OverloadFor:    1,
		Classes: []decision.Class{
			{
				Name:              "read",
				LatencyTarget:     aim,
				Deadline:          deadline,
				Value:             1,
				LateValue:         0.2,
				SlowAttemptFactor: 1,
				Effect:            decision.Idempotent,
			},
			{Name: "send", LatencyTarget: aim, Deadline: deadline, Value: 1, LateValue: 0.2},
		},
		Plans: planTable,
	}
	most := 4
	if c.Full {
		most = 1
	}
	w := &World{
		config:     c,
		now:        1000,
		dispatcher: attempt.NewDispatcher[*client](decision.New(s, 1), &s),
		idlePool:   upstreamconn.NewIdlePool[*conn](most),
	}
	w.do(w.dispatcher.Handle(w.now, decision.Start{}))
	for i := range c.Servers {
		w.servers = append(
			w.servers,
			&server{id: fmt.Sprint("s", i+1), addr: fmt.Sprint("a", i+1), listed: true, serving: true},
		)
	}
	w.list()
	if c.Kept {
		k := &conn{server: w.servers[0], addr: w.servers[0].addr}
		w.idlePool.Reserve()
		k.Begin()
		k.Written()
		k.Answered(upstreamconn.Answer{Status: 200}, false)
		k.answered = w.now
		w.idlePool.Put(w.servers[0].id, k, w.now)
		w.now += 2 // idle for long: the last byte is held
	}
	w.long = c.Long
	w.ask(c.Send[0], false)
	w.long = false
	if c.Two {
		w.ask(c.Send[1], false)
	}
	return w
}

func (w *World) list() {
	update := decision.Backends{Complete: true}
	for _, s := range w.servers {
		if s.listed {
			update.List = append(update.List, decision.Backend{ID: s.id, Zone: "a", Serving: s.serving, Size: 1})
		}
	}
	w.do(w.dispatcher.Handle(w.now, update))
}

func (w *World) server(id string) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *World) lookup(id string) (addr string, serving bool) {
	if s := w.server(id); s != nil && s.listed {
		return s.addr, s.serving
	}
	return "", false
}

// ask has a client send a request.
func (w *World) ask(send, repeat bool) {
	c := &client{name: fmt.Sprint("c", len(w.clients)+1), send: send, at: w.now, long: w.long, tried: map[string]bool{}}
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
		Plan:        planTable[w.plan].Name,
		Customer:    "m",
		TimeLeft:    deadline,
		Units:       1,
		Gateways:    gateways,
		ClientRetry: repeat,
		Streamed:    w.long,
	}
	var effects []attempt.Effect
	c.request, effects = w.dispatcher.Submit(w.now, r, c)
	w.do(effects)
}

// do carries effects out, as the engine, the ingress and the pool do between them.
// What comes of carrying one out waits until those before it have been told: the engine tells all decisions of an event
// under its mutex.
func (w *World) do(effects []attempt.Effect) {
	w.queue = append(w.queue, effects...)
	if w.busy {
		return
	}
	w.busy = true
	defer func() { w.busy = false }()
	for len(w.queue) > 0 {
		e := w.queue[0]
		w.queue = w.queue[1:]
		switch a := e.(type) {
		case attempt.Notify[*client]:
			w.tell(a.Request.Host, a.Decision)
		case attempt.CancelAttempt[*client]:
			if c := a.Request.Host; c.try != nil && c.tries == a.Attempt+1 {
				c.try.cancelled = true
			}
		case attempt.Timer:
			w.timers = append(w.timers, a.SetTimer)
		case attempt.CounterCall:
			w.counts = append(w.counts, a.Name)
		case attempt.IllegalStep[*client]:
			w.violate("legal", "%v", a.Err)
		}
	}
}

// tell is a client's connection hearing a decision.
func (w *World) tell(c *client, d attempt.Decision) {
	if d.Kind == attempt.Send {
		if c.try != nil {
			w.violate("one-attempt-at-a-time", "%s has two attempts out", c.name)
		}
		if c.finalAnswers > 0 {
			w.violate("one-answer", "%s is sent on after its last word", c.name)
		}
		if c.tries++; c.tries > 4 {
			w.violate("four-attempts", "%s has %d", c.name, c.tries)
		}
		if d.Deadline > c.at+deadline+1e-9 {
			w.violate("in-time", "%s may be out until %.2f s after it was taken", c.name, d.Deadline-c.at)
		}
		w.start(&try{client: c, backend: d.Backend, until: d.Deadline, slowAfter: d.SlowAfter})
		return
	}
	c.finalAnswers++
	if c.finalAnswers > 1 {
		w.violate("one-answer", "%s has %d last words", c.name, c.finalAnswers)
	}
	if c.try != nil {
		w.violate("one-attempt-at-a-time", "%s hears %v with an attempt out", c.name, d.Kind)
	}
	switch d.Kind {
	case attempt.Reject:
		if c.send && c.mayRun > 0 {
			w.violate("refusal-is-harmless", "%s must not run twice, may have run, and was refused", c.name)
		}
		w.answer(c, "refused")
	case attempt.Fail:
		w.answer(c, "failed")
	case attempt.NoAnswer:
		if !c.disconnected && !w.halted {
			w.violate("one-answer", "%s waits, and is answered nothing", c.name)
		}
		c.status, c.finished = "gone", true
	}
}

func (w *World) answer(c *client, status string) {
	c.finished = true
	if c.disconnected {
		return
	}
	c.status = status
	if c.answers++; c.answers > 1 {
		w.violate("one-answer", "%s has %d answers", c.name, c.answers)
	}
	if late := w.now - c.at - deadline; late > slack+1e-9 {
		w.violate("in-time", "%s is answered %.2f s after its deadline", c.name, late)
	}
}

// start is Pool.Do: a connection is taken or opened, and the request written, with its last byte held or not.
func (w *World) start(t *try) {
	t.client.try = t
	if _, serving := w.lookup(t.backend); !serving || t.cancelled {
		w.ended(t, decision.NotSent)
		return
	}
	k, outcome, ok := w.get(t, upstreamconn.Reuse{Resent: t.client.tried[t.backend], AtMostOnce: t.client.send})
	switch {
	case !ok:
		w.ended(t, outcome)
	case w.config.Dials && k.Uses() == 0:
		t.conn, t.stage = k, dialing
	default:
		w.begin(t, k)
	}
}

// begin is what Pool.attempt does with a connection that is up.
func (w *World) begin(t *try, k *conn) {
	c := t.client
	if k.used != nil {
		w.violate("one-request-on-a-connection", "%s begins on a connection that %s is on", c.name, k.used.client.name)
	}
	if k.ended {
		w.violate("spoilt-is-spoilt", "%s begins on a connection that has ended", c.name)
	}
	if err := k.Begin(); err != nil {
		w.violate("legal", "%v", err)
		w.ended(t, decision.ConnectionReset)
		return
	}
	addr, serving := w.lookup(t.backend)
	if !upstreamconn.MayBegin(serving, addr == k.addr, t.cancelled, t.until-w.now) {
		w.finish(t, k, k.NotBegun())
		return
	}
	t.conn, k.used = k, t
	if s := w.server(t.backend); s == nil || !s.listed {
		w.violate("nothing-new-to-the-gone", "%s begins at %s, which is gone", c.name, t.backend)
	} else if !s.serving {
		w.violate("drained", "%s begins at %s, which is known to drain", c.name, s.id)
	} else if s.addr != k.addr {
		w.violate("nothing-new-to-the-gone", "%s begins at an address that is another server's", c.name)
	}
	if machine := c.request.Machine(); machine.BodyConsumed() {
		w.violate("spent-is-spent", "%s begins again, and its body has gone", c.name)
	}
	if c.long ||
		w.memory.HoldLastByte(
			t.backend,
			w.now,
			upstreamconn.Evidence{New: k.Uses() == 1, IdleFor: w.now - k.answered, AtMostOnce: c.send},
		) {
		t.stage = holding
		return
	}
	if w.config.Odd {
		t.stage = sending
		return
	}
	w.written(t)
}

// impatient is the pool asking, once the patience with an attempt is out, whether to give it up.
func (w *World) checkSlow(t *try, k *conn) {
	for end := t.writtenAt + t.slowAfter; t.client.try == t && w.now < end-1e-9 && len(w.Violations) == 0; {
		w.pass()
	}
	if t.client.try != t || t.cancelled || !w.dispatcher.ShouldAbandon(w.now, t.client.request) {
		return
	}
	c := t.client
	before := c.tries
	switch {
	case w.draining:
		w.violate("planned-is-kept", "%s is given up by patience, and this process leaves", c.name)
	case c.send:
		w.violate("planned-is-kept", "%s is given up by patience, and must not run twice", c.name)
	}
	k.spoilt = true
	w.finish(t, k, k.FailedAwaiting(upstreamconn.TimedOut))
	if c.tries == before && !c.disconnected { // the other one may turn out to be down
		w.violate("given-up-goes-on", "%s is given up by patience, and goes to no other server", c.name)
	}
}

// ended tells the desk how an attempt ended, and answers the client if it was served: as ingress.serve does.
func (w *World) ended(t *try, o decision.Outcome) {
	c := t.client
	c.try = nil
	if o == decision.Succeeded {
		w.answer(c, "served")
		c.finalAnswers++
	}
	if o == decision.Succeeded && c.finalAnswers > 1 {
		w.violate("one-answer", "%s is served after its last word", c.name)
	}
	disconnected := c.request.Machine()
	if p := disconnected.Phase(); p == attempt.Abandoned && o == decision.Succeeded {
		c.finalAnswers-- // its host hears Gone, too: the answer went to nobody
	}
	w.do(w.dispatcher.AttemptEnded(w.now, c.request, o))
	w.check()
}
