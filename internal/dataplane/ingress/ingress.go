// Package ingress serves the clients: it reads their requests, has the engine decide on each, makes
// the attempts and answers.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/decision"
)

const (
	sweepEvery  = 250 * time.Millisecond
	soon        = 100 * time.Millisecond // until room is looked for again: a new connection that still asks nothing makes some
	acceptPause = 10 * time.Millisecond  // guards against spinning on an error that stays
	crowdedPart = 8                      // of the places: with no more left, an answer is the last on its connection
	lingerMost  = time.Second            // for a client to read why it is refused, or to send more of what is read off
	lingerLong  = 5 * time.Second        // for the rest of a long body to be read off
)

// Meter records tries for billing. Its methods return at once and may be called from several goroutines.
type Meter interface {
	// Sent records that a try's first attempt is about to go out. The number names it to Ended.
	Sent(usage.Try) (seq uint64)
	// Ended records what is known of its arrival once it is over.
	Ended(seq uint64, a usage.Arrival)
}

// Server serves the clients of one ingress.
type Server struct {
	// Meter is told of each try that is sent on; nil: use is not metered. It is set before Serve.
	Meter Meter
	// Traffic counts what goes over clients' connections; nil: nothing is counted. It is set before Serve.
	Traffic *traffic.Counter
	// About is what the readiness page says of the fleet, in X-Fleet; nil: nothing. It is set before Serve.
	About func() string

	dialect   Dialect
	engine    *engine.Engine
	pool      *upstream.Pool
	log       *logrus.Logger
	methods   atomic.Pointer[map[string]string] // by class
	plans     atomic.Pointer[map[string]bool]
	ingresses int
	mostUnits float64
	most      int // connections at once

	base time.Time // the pace's times are seconds since then

	mu      sync.Mutex
	conns   map[*conn]struct{}
	ids     map[string]struct{} // of the requests in hand
	room    sync.Cond           // a connection has ended, or become idle while one waits for room
	waiting int                 // accepted connections that wait for room
	halt    context.Context
	halted  context.CancelFunc
	life    decision.Lifecycle // readiness, and whether connections stay open after an answer

	figures figures
	totals  totals
}

// New returns a server for what the settings name, with at most so many connections at once.
func New(s *decision.Settings, e *engine.Engine, p *upstream.Pool, most int, log *logrus.Logger) *Server {
	srv := &Server{
		engine: e, pool: p, log: log,
		ingresses: max(1, s.Gateways), mostUnits: cmp.Or(s.MaxUnits, mostUnits), most: most,
		conns: map[*conn]struct{}{}, ids: map[string]struct{}{}, base: time.Now(),
	}
	srv.dialect = Dialect{Ready: "/ready", Parse: srv.parse, Deciding: deciding, Reports: reports}
	srv.room.L = &srv.mu
	srv.halt, srv.halted = context.WithCancel(context.Background())
	srv.SetClasses(s.Classes)
	var names []string
	for _, p := range s.Plans {
		names = append(names, p.Name)
	}
	srv.SetPlans(names)
	return srv
}

// SetDialect has it speak another dialect. It is called before Serve.
func (s *Server) SetDialect(d Dialect) { s.dialect = d }

// SetClasses says which classes clients may name from now on; the class fixes the method. A request that is in hand
// keeps what it was read with.
func (s *Server) SetClasses(classes []decision.Class) {
	m := make(map[string]string, len(classes))
	for _, c := range classes {
		s.figures.of(c.Name)
		m[c.Name] = "POST"
		if c.Effect == decision.Idempotent {
			m[c.Name] = "GET"
		}
	}
	s.methods.Store(&m)
}

// SetPlans says which plans clients may name from now on.
func (s *Server) SetPlans(names []string) {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	s.plans.Store(&m)
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) {
	go s.sweep()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors run short, or the network fails for a while: no reason to give up all clients.
			s.log.WithField("code", "process-accept-failed").WithError(err).Warn("connection not accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{Conn: nc, server: s, life: clientconn.Accepted(s.seconds(time.Now())),
			watch: make(chan *engine.Ticket), arrived: make(chan error, 1)}
		c.reader = http1.NewReader(c)
		if s.dialect.Times != nil {
			c.life.Keep(s.dialect.Times())
		}
		if s.dialect.MostBody != nil {
			c.reader.Most = s.dialect.MostBody()
		}
		s.Traffic.Connected()
		s.add(c)
		go c.run()
	}
}

// serve is the life of one request: decide, attempt, perhaps again, answer. A code says why the
// connection ends with it.
func (c *conn) serve(r *http1.Request) (code string, err error) {
	s := c.server
	if r.Target == s.dialect.Ready {
		return c.ready(r)
	}
	s.figures.active.Add(1)
	defer s.figures.active.Add(-1)
	request, message, bad := s.dialect.Parse(r)
	if bad == nil && !s.claim(message.ID) {
		bad = &Problem{Status: 409, Code: "request-id-in-use", Text: "X-Request-ID is that of a request in hand"}
	} else if bad == nil {
		defer s.free(message.ID)
	}
	if bad != nil {
		s.log.WithFields(logrus.Fields{"code": bad.Code, "status": bad.Status}).Warn("bad request")
		if class := r.Header.Get(keyClass); class != "" {
			s.figures.of(class).count(bad.Status)
		}
		s.ended(Rejected)
		c.unwatched(r)
		return c.lastOf(r, c.answerProblem(bad, ends(r)))
	}
	counts := s.figures.of(request.Class) // once a request: the figures' lock is not taken for each of its events
	c.to(clientconn.Deciding)
	ctx, cancel := context.WithCancel(s.halt)
	defer cancel()
	ticket := s.engine.Submit(request, cancel)
	var up *upload
	if r.Long == nil {
		c.watch <- ticket
	} else {
		up = &upload{conn: c, ticket: ticket, body: r.Long, expect: r.Expect}
		message.Upload = up
	}
	var bill account
	defer bill.close()
	var last upstream.Result // of the attempts, with the server's own answer
	for {
		switch d := ticket.Next(); d.Kind {
		case engine.Send:
			if s.Meter != nil {
				bill.open(s.Meter, &request, ticket, d.Beyond)
			}
			message.Patience = upstream.SlowAttempt{After: d.Patience, ShouldAbandon: ticket.ShouldAbandon}
			result := s.pool.Do(ctx, d.Backend, message, d.Until)
			counts.tried(result.Writes)
			s.totals.attempts.Add(int64(result.Writes))
			bill.arrival = max(bill.arrival, usage.ArrivalOf(result.Outcome, result.Answered))
			last = result
			if result.Outcome == decision.Succeeded && result.Stream != nil {
				ticket.AttemptEnded(result.Outcome) // served: what follows is the body's way to the client
				s.ended(Answered)
				counts.count(result.Head.Status)
				r.Close = r.Close || r.Old && result.Stream.Length < 0
				return c.lastOf(r, c.relay(result.Head, result.Stream, ends(r)))
			}
			if result.Outcome == decision.Succeeded {
				s.ended(Answered)
				err = c.pass(result.Head, result.Body, ends(r))
				counts.count(result.Head.Status)
				ticket.AttemptEnded(result.Outcome)
				return c.lastOf(r, err)
			}
			if up != nil && up.failed != nil {
				ticket.ClientGone() // the client did not send what it began with: nobody waits for an answer to it
			}
			ticket.AttemptEnded(result.Outcome)
		case engine.Refuse:
			status, outcome := 503, RefusedNoServer
			if d.Beyond {
				outcome = RefusedQuota
			}
			if d.Beyond && s.dialect.Beyond > 0 {
				status = s.dialect.Beyond
			}
			s.ended(outcome)
			counts.count(status)
			return c.lastOf(r, c.answer(status, d.RetryAfter, nil, ends(r)))
		case engine.Fail:
			if s.dialect.PassFailures && last.Outcome == decision.Failed && last.Head != nil {
				counts.count(last.Head.Status)
				s.ended(ServerFailed)
				return c.lastOf(r, c.pass(last.Head, last.Body, ends(r)))
			}
			counts.count(502)
			s.ended(Failed)
			return c.lastOf(r, c.answer(502, 0, nil, ends(r)))
		case engine.Gone:
			s.ended(ClientGone)
			if up != nil && up.failed != nil {
				return c.refuseMessage(up.failed), up.failed
			}
			return "client-gone", nil
		}
	}
}

// account is what billing is to know of one try.
type account struct {
	meter   Meter // nil: nothing has gone out
	seq     uint64
	arrival usage.Arrival // of the attempt that got farthest
}

// open records a try before its first attempt goes out: should the process be killed, it is known to have been
// sent, and not whether it arrived.
func (a *account) open(m Meter, r *decision.Request, t *engine.Ticket, beyond bool) {
	if a.meter != nil {
		return // a further attempt
	}
	a.meter = m
	a.seq = m.Sent(usage.Try{Member: r.Customer, Plan: t.Plan, Class: r.Class, Revision: t.Revision,
		Units: usage.ToMicro(r.Units), Beyond: beyond, Minute: time.Now().Unix() / 60})
}

func (a *account) close() {
	if a.meter != nil {
		a.meter.Ended(a.seq, a.arrival)
	}
}

// claim takes an id for one request, until it is freed. A second request under it is no retry, for these
// have ids of their own: quote servers would take the two for one, to the harm of the first.
func (s *Server) claim(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, taken := s.ids[id]
	s.ids[id] = struct{}{}
	return !taken
}

func (s *Server) free(id string) {
	s.mu.Lock()
	delete(s.ids, id)
	s.mu.Unlock()
}

// ready answers the front: 200 while the process serves and wants clients, 503 before, while it is a lame duck and
// once it stops.
func (c *conn) ready(r *http1.Request) (code string, err error) {
	c.unwatched(r)
	status := 503
	c.server.mu.Lock()
	if c.server.life.Ready() {
		status = 200
	}
	c.server.mu.Unlock()
	if about := c.server.About; about != nil {
		b := http1.AppendField(http1.AppendHead(c.out[:0], status, 0), "X-Fleet", about())
		return c.lastOf(r, c.send(b, nil, ends(r)))
	}
	return c.lastOf(r, c.answer(status, 0, nil, ends(r)))
}

// Started says that it serves: the readiness page says yes from now on.
func (s *Server) Started() { s.move(decision.Started) }

// Shutdown makes the readiness page say that clients should go elsewhere, for good: a SIGTERM has come. Idle
// connections are closed at once, the others after their next answer.
func (s *Server) Shutdown() { s.move(decision.Terminate) }

// LameDuck drains without stopping: the readiness page says no, idle connections are closed at once and the others
// after their next answer; new connections are still served, each for one request. It tells whether the call was
// taken.
func (s *Server) LameDuck() bool { return s.move(decision.EnterLameDuck) }

// Rejoin ends a drain that LameDuck began: the readiness page says yes again, and connections stay open. It tells
// whether the call was taken: not once it stops.
func (s *Server) Rejoin() bool { return s.move(decision.Rejoin) }

// Phase tells where the process is in its life.
func (s *Server) Phase() decision.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Phase()
}

func (s *Server) move(e decision.LifecycleEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.life.Phase()
	taken := s.life.Handle(e)
	if !s.life.KeepOpen() {
		for c := range s.conns {
			if c.life.Drains() && !(c.life.Hears() && c.begun()) {
				c.end(clientconn.CodeDrain)
			}
		}
	}
	if after := s.life.Phase(); after != before {
		s.log.WithFields(logrus.Fields{"code": "process-phase", "phase": after.String(), "was": before.String()}).Info("the process moved on")
	}
	return taken
}

// Drain closes the idle connections and waits for the others to end. At the end of patience it stops
// the attempts that are out, so that each request still gets its answer, and waits a little longer.
func (s *Server) Drain(patience, rest time.Duration) {
	s.move(decision.Close)
	if !s.wait(patience) {
		s.halted()
		s.wait(rest)
	}
	s.halted()
}

// wait tells whether all connections have ended in time.
func (s *Server) wait(most time.Duration) bool {
	late := false
	timer := time.AfterFunc(most, func() {
		s.mu.Lock()
		late = true
		s.room.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !late {
		s.room.Wait()
	}
	return len(s.conns) == 0
}
