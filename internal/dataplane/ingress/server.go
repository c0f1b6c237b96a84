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
	sweepInterval   = 250 * time.Millisecond
	evictionRetry   = 100 * time.Millisecond // until room is looked for again: a new connection that still asks nothing makes some
	acceptPause     = 10 * time.Millisecond  // guards against spinning on an error that stays
	crowdedFraction = 8                      // of the places: with no more left, an answer is the last on its connection
	lingerShort     = time.Second            // for a client to read why it is refused, or to send more of what is read off
	lingerLong      = 5 * time.Second        // for the rest of a long body to be read off
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
	FleetStatus func() string

	dialect   Dialect
	engine    *engine.Engine
	pool      *upstream.Pool
	log       *logrus.Logger
	methods   atomic.Pointer[map[string]string] // by class
	plans     atomic.Pointer[map[string]bool]
	ingresses int
	maxUnits  float64
	maxConns  int // connections at once

	base time.Time // the pace's times are seconds since then

	mu        sync.Mutex
	conns     map[*conn]struct{}
	ids       map[string]struct{} // of the requests in hand
	changed   sync.Cond           // a connection has ended, or become idle while one waits for room
	waiting   int                 // accepted connections that wait for room
	ctx       context.Context
	cancel    context.CancelFunc
	lifecycle decision.Lifecycle // readiness, and whether connections stay open after an answer

	stats  classStats
	totals totals
}

// New returns a server for what the settings name, with at most so many connections at once.
func New(s *decision.Settings, e *engine.Engine, p *upstream.Pool, most int, log *logrus.Logger) *Server {
	srv := &Server{
		engine: e, pool: p, log: log,
		ingresses: max(1, s.Gateways), maxUnits: cmp.Or(s.MaxUnits, defaultMaxUnits), maxConns: most,
		conns: map[*conn]struct{}{}, ids: map[string]struct{}{}, base: time.Now(),
	}
	srv.dialect = Dialect{ReadyPath: "/ready", Parse: srv.parse, IngressFields: ingressFields, ServerFields: serverFields}
	srv.changed.L = &srv.mu
	srv.ctx, srv.cancel = context.WithCancel(context.Background())
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
		s.stats.class(c.Name)
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
		c := &conn{Conn: nc, server: s, machine: clientconn.Accepted(s.seconds(time.Now())),
			watch: make(chan *engine.Ticket), watched: make(chan error, 1)}
		c.reader = http1.NewReader(c)
		if s.dialect.Timeouts != nil {
			c.machine.SetTimeouts(s.dialect.Timeouts())
		}
		if s.dialect.MaxBody != nil {
			c.reader.MaxRequestBody = s.dialect.MaxBody()
		}
		s.Traffic.Connected()
		s.admit(c)
		go c.run()
	}
}

// serve is the life of one request: decide, attempt, perhaps again, answer. A code says why the
// connection ends with it.
func (c *conn) serve(r *http1.Request) (code string, err error) {
	s := c.server
	if r.Target == s.dialect.ReadyPath {
		return c.ready(r)
	}
	s.stats.inFlight.Add(1)
	defer s.stats.inFlight.Add(-1)
	request, message, bad := s.dialect.Parse(r)
	if bad == nil && !s.claimID(message.ID) {
		bad = &RequestError{Status: 409, Code: "request-id-in-use", Text: "X-Request-ID is that of a request in hand"}
	} else if bad == nil {
		defer s.releaseID(message.ID)
	}
	if bad != nil {
		s.log.WithFields(logrus.Fields{"code": bad.Code, "status": bad.Status}).Warn("bad request")
		if class := r.Header.Get(keyClass); class != "" {
			s.stats.class(class).count(bad.Status)
		}
		s.countOutcome(Invalid)
		c.skipWatch(r)
		return c.afterAnswer(r, c.answerError(bad, closesConnection(r)))
	}
	counts := s.stats.class(request.Class) // once a request: the figures' lock is not taken for each of its events
	c.enter(clientconn.Deciding)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	ticket := s.engine.Submit(request, cancel)
	var up *upload
	if r.Streamed == nil {
		c.watch <- ticket
	} else {
		up = &upload{conn: c, ticket: ticket, body: r.Streamed, expect: r.Expect}
		message.Upload = up
	}
	var bill meteredRequest
	defer bill.close()
	var last upstream.Result // of the attempts, with the server's own answer
	for {
		switch d := ticket.Next(); d.Kind {
		case engine.Send:
			if s.Meter != nil {
				bill.open(s.Meter, &request, ticket, d.OverQuota)
			}
			message.SlowAttempt = upstream.SlowAttempt{After: d.SlowAfter, ShouldAbandon: ticket.ShouldAbandon}
			result := s.pool.Do(ctx, d.Backend, message, d.Deadline)
			counts.tried(result.Writes)
			s.totals.attempts.Add(int64(result.Writes))
			bill.arrival = max(bill.arrival, usage.ArrivalOf(result.Outcome, result.Answered))
			last = result
			if result.Outcome == decision.Succeeded && result.Stream != nil {
				ticket.AttemptEnded(result.Outcome) // served: what follows is the body's way to the client
				s.countOutcome(Answered)
				counts.count(result.Head.Status)
				r.Close = r.Close || r.HTTP10 && result.Stream.Length < 0
				return c.afterAnswer(r, c.relay(result.Head, result.Stream, closesConnection(r)))
			}
			if result.Outcome == decision.Succeeded {
				s.countOutcome(Answered)
				err = c.forward(result.Head, result.Body, closesConnection(r))
				counts.count(result.Head.Status)
				ticket.AttemptEnded(result.Outcome)
				return c.afterAnswer(r, err)
			}
			if up != nil && up.err != nil {
				ticket.ClientDisconnected() // the client did not send what it began with: nobody waits for an answer to it
			}
			ticket.AttemptEnded(result.Outcome)
		case engine.Reject:
			status, outcome := 503, NoServer
			if d.OverQuota {
				outcome = OverQuota
			}
			if d.OverQuota && s.dialect.OverQuotaStatus > 0 {
				status = s.dialect.OverQuotaStatus
			}
			s.countOutcome(outcome)
			counts.count(status)
			return c.afterAnswer(r, c.answer(status, d.RetryAfter, nil, closesConnection(r)))
		case engine.Fail:
			if s.dialect.ForwardFailures && last.Outcome == decision.Failed && last.Head != nil {
				counts.count(last.Head.Status)
				s.countOutcome(ServerFailed)
				return c.afterAnswer(r, c.forward(last.Head, last.Body, closesConnection(r)))
			}
			counts.count(502)
			s.countOutcome(Failed)
			return c.afterAnswer(r, c.answer(502, 0, nil, closesConnection(r)))
		case engine.NoAnswer:
			s.countOutcome(ClientDisconnected)
			if up != nil && up.err != nil {
				return c.rejectMessage(up.err), up.err
			}
			return "client-gone", nil
		}
	}
}

// account is what billing is to know of one try.
type meteredRequest struct {
	meter   Meter // nil: nothing has gone out
	seq     uint64
	arrival usage.Arrival // of the attempt that got farthest
}

// open records a try before its first attempt goes out: should the process be killed, it is known to have been
// sent, and not whether it arrived.
func (m *meteredRequest) open(meter Meter, r *decision.Request, t *engine.Ticket, beyond bool) {
	if m.meter != nil {
		return // a further attempt
	}
	m.meter = meter
	m.seq = meter.Sent(usage.Try{Member: r.Customer, Plan: t.Plan, Class: r.Class, Revision: t.Revision,
		Units: usage.ToMicro(r.Units), Beyond: beyond, Minute: time.Now().Unix() / 60})
}

func (m *meteredRequest) close() {
	if m.meter != nil {
		m.meter.Ended(m.seq, m.arrival)
	}
}

// claim takes an id for one request, until it is freed. A second request under it is no retry, for these
// have ids of their own: quote servers would take the two for one, to the harm of the first.
func (s *Server) claimID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, taken := s.ids[id]
	s.ids[id] = struct{}{}
	return !taken
}

func (s *Server) releaseID(id string) {
	s.mu.Lock()
	delete(s.ids, id)
	s.mu.Unlock()
}

// ready answers the front: 200 while the process serves and wants clients, 503 before, while it is a lame duck and
// once it stops.
func (c *conn) ready(r *http1.Request) (code string, err error) {
	c.skipWatch(r)
	status := 503
	c.server.mu.Lock()
	if c.server.lifecycle.Ready() {
		status = 200
	}
	c.server.mu.Unlock()
	if about := c.server.FleetStatus; about != nil {
		b := http1.AppendField(http1.AppendHead(c.out[:0], status, 0), "X-Fleet", about())
		return c.afterAnswer(r, c.send(b, nil, closesConnection(r)))
	}
	return c.afterAnswer(r, c.answer(status, 0, nil, closesConnection(r)))
}

// Started says that it serves: the readiness page says yes from now on.
func (s *Server) Started() { s.transition(decision.Started) }

// Shutdown makes the readiness page say that clients should go elsewhere, for good: a SIGTERM has come. Idle
// connections are closed at once, the others after their next answer.
func (s *Server) Shutdown() { s.transition(decision.Terminate) }

// LameDuck drains without stopping: the readiness page says no, idle connections are closed at once and the others
// after their next answer; new connections are still served, each for one request. It tells whether the call was
// taken.
func (s *Server) LameDuck() bool { return s.transition(decision.EnterLameDuck) }

// Rejoin ends a drain that LameDuck began: the readiness page says yes again, and connections stay open. It tells
// whether the call was taken: not once it stops.
func (s *Server) Rejoin() bool { return s.transition(decision.Rejoin) }

// Phase tells where the process is in its life.
func (s *Server) Phase() decision.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifecycle.Phase()
}

func (s *Server) transition(e decision.LifecycleEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.lifecycle.Phase()
	taken := s.lifecycle.Handle(e)
	if !s.lifecycle.KeepOpen() {
		for c := range s.conns {
			if c.machine.ClosesOnDrain() && !(c.machine.ServesPending() && c.requestPending()) {
				c.close(clientconn.CodeDrain)
			}
		}
	}
	if after := s.lifecycle.Phase(); after != before {
		s.log.WithFields(logrus.Fields{"code": "process-phase", "phase": after.String(), "was": before.String()}).Info("the process moved on")
	}
	return taken
}

// Drain closes the idle connections and waits for the others to end. At the end of patience it stops
// the attempts that are out, so that each request still gets its answer, and waits a little longer.
func (s *Server) Drain(patience, rest time.Duration) {
	s.transition(decision.Close)
	if !s.awaitConns(patience) {
		s.cancel()
		s.awaitConns(rest)
	}
	s.cancel()
}

// wait tells whether all connections have ended in time.
func (s *Server) awaitConns(most time.Duration) bool {
	late := false
	timer := time.AfterFunc(most, func() {
		s.mu.Lock()
		late = true
		s.changed.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !late {
		s.changed.Wait()
	}
	return len(s.conns) == 0
}
