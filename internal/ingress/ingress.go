// Package ingress serves the clients: it reads their requests, has the engine decide on each, makes
// the attempts and answers.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/client"
	"mulleinrouter/internal/engine"
	"mulleinrouter/internal/http1"
	"mulleinrouter/internal/upstream"
	"mulleinrouter/internal/usage"
	"mulleinrouter/passhub"
)

const (
	sweepEvery  = 250 * time.Millisecond
	idleMost    = 2 * time.Second                                       // clients may count on no more: many ask once and keep the connection
	silentMost  = 2 * time.Second                                       // for the first byte of a client
	headMost    = time.Duration(client.HeadMost * float64(time.Second)) // for a head, the first one from the connection's beginning
	wholeSoon   = 100 * time.Millisecond                                // a client that means it sends a request whole at once
	acceptPause = 10 * time.Millisecond                                 // guards against spinning on an error that stays
	stuckMost   = 10 * time.Second                                      // a client that takes longer over an answer holds the connection for nothing
	crowdedPart = 8                                                     // of the places: with no more left, an answer is the last on its connection
	lingerMost  = time.Second                                           // for a client to read why it is refused, or to send more of what is read off
	lingerLong  = 5 * time.Second                                       // for the rest of a long body to be read off
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
	life    passhub.Lifecycle // readiness, and whether connections stay open after an answer

	figures figures
}

// New returns a server for what the settings name, with at most so many connections at once.
func New(s *passhub.Settings, e *engine.Engine, p *upstream.Pool, most int, log *logrus.Logger) *Server {
	srv := &Server{
		engine: e, pool: p, log: log,
		ingresses: max(1, s.Balancers), mostUnits: cmp.Or(s.MaxUnits, mostUnits), most: most,
		conns: map[*conn]struct{}{}, ids: map[string]struct{}{}, base: time.Now(),
	}
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

// SetClasses says which classes clients may name from now on; the class fixes the method. A request that is in hand
// keeps what it was read with.
func (s *Server) SetClasses(classes []passhub.Class) {
	m := make(map[string]string, len(classes))
	for _, c := range classes {
		s.figures.of(c.Name)
		m[c.Name] = "POST"
		if c.Effect == passhub.Safe {
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

// state is what a connection is doing, for those who look after it from outside.
type state int

const (
	idle    state = iota // between requests
	reading              // the head of a request comes in
	taking               // its body does
	busy                 // a request is in the engine's hands
	writing              // an answer goes out
	closing              // the last answer has gone out; it is to be read before the connection ends
)

// conn is one client's connection.
type conn struct {
	net.Conn
	server  *Server
	reader  *http1.Reader
	out     []byte
	unread  time.Duration       // something that was sent is not read: for so long the connection must not end under it
	paced   bool                // a body is being taken: only whoever takes it looks at this
	watch   chan *engine.Ticket // the request in hand, for the watcher
	arrived chan error          // the watcher's word: the next request begins, or the connection is over

	// Guarded by the server's mutex.
	state state
	since time.Time   // in that state; until a first request is whole, since the beginning
	fresh bool        // no request has come in whole
	asks  bool        // idle, but bytes of a request are here
	pace  client.Pace // of the body that is being taken
	code  string      // why it was ended from outside
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
		c := &conn{Conn: nc, server: s, since: time.Now(), fresh: true,
			watch: make(chan *engine.Ticket), arrived: make(chan error, 1)}
		c.reader = http1.NewReader(c)
		s.add(c)
		go c.run()
	}
}

// add makes room first: the connection that holds its place for the least goes. Where each has a request
// in hand, it waits until one is idle or ends.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	again := false
	for asked := false; len(s.conns) >= s.most; s.room.Wait() {
		if asked {
			continue // one connection goes for each that comes, not one more whenever another ends
		}
		if other := s.spare(time.Now()); other != nil {
			other.end("client-room")
			asked = true
		} else if !again {
			again = true
			time.AfterFunc(wholeSoon, s.room.Broadcast) // one that is new now is slow by then
		}
	}
	s.waiting--
	s.conns[c] = struct{}{}
	if !s.life.Accepts() {
		c.end("client-drain") // accepted as the hand-over ended: the client asks elsewhere
	}
}

// spare is the connection to close for want of room, nil where there is none. Those that have not asked
// anything yet, or ask slowly, or are refused, go before the idle ones of clients that are served: a flood
// of silent connections must crowd out itself.
func (s *Server) spare(now time.Time) (spare *conn) {
	useless := func(c *conn) bool {
		return c.state == closing || c.fresh && (c.state == idle && !c.asks || (c.state == reading || c.state == taking) && now.Sub(c.since) > wholeSoon)
	}
	for {
		spare = nil
		for c := range s.conns {
			if c.code != "" || !useless(c) && (c.state != idle || c.fresh || c.asks) {
				continue
			}
			if spare == nil || useless(c) && !useless(spare) ||
				useless(c) == useless(spare) && c.since.Before(spare.since) {
				spare = c
			}
		}
		if spare == nil || spare.state != idle || !spare.begun() {
			return spare
		}
		spare.asks = true // in a rush its request may be here for long before it is read
	}
}

// begun tells whether bytes have come that nobody has read yet.
func (c *conn) begun() (is bool) {
	if c.asks {
		return true
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = n > 0
	})
	return is
}

// end closes a connection from outside, the server's mutex held.
func (c *conn) end(code string) {
	c.code = code
	c.SetReadDeadline(time.Unix(1, 0))
	if c.state == writing {
		c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// to enters a state. It tells whether the connection goes on.
func (c *conn) to(st state) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == idle && !s.life.KeepOpen() && c.code == "" {
		c.code = "client-drain"
	}
	if c.code != "" {
		switch st {
		case idle:
			return false
		case reading, taking, busy:
			// It was ended as unused, but a request had begun to come in: taken is taken. It is the last.
			c.SetReadDeadline(time.Time{})
		}
	}
	if c.fresh = c.fresh && st < busy; !c.fresh {
		c.since = time.Now()
	}
	c.state, c.asks = st, false
	if st == idle && s.waiting > 0 {
		s.room.Broadcast()
	}
	return true
}

// ended tells why the connection is being ended from outside, if it is.
func (c *conn) ended() string {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.code
}

// last tells whether the connection is to end with the next answer.
func (c *conn) last() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.code == "" && len(s.conns) > s.most-s.most/crowdedPart {
		c.code = "client-room" // told so, the client asks elsewhere; closed while idle, its next request might cross
	}
	return c.code != "" || !s.life.KeepOpen()
}

// run serves one connection and leaves one line in the log when it ends.
func (c *conn) run() {
	code, served, err := "", 0, c.reader.Wait()
	watching := false
	for ; err == nil && code == ""; served++ {
		c.to(reading)
		var r *http1.Request
		if r, err = c.reader.Head(); err == nil && r.HasBody() {
			err = c.take(r)
		}
		if err != nil {
			code = c.refuseMessage(err)
			break
		}
		if !watching {
			watching = true
			go c.watcher()
		}
		if code, err = c.serve(r); err == nil && code == "" {
			if !c.to(idle) {
				break
			}
			err = <-c.arrived
		}
	}
	if c.unread > 0 {
		c.linger(c.unread)
	}
	c.Close()
	close(c.watch)
	s := c.server
	s.mu.Lock()
	delete(s.conns, c)
	s.room.Broadcast()
	if c.code != "" {
		code, err = c.code, nil // the error is what ending it made
	}
	s.mu.Unlock()
	if code == "" {
		code = ending(err)
	}
	entry := s.log.WithFields(logrus.Fields{"code": code, "from": c.RemoteAddr().String(), "requests": served})
	if err != nil && !errors.Is(err, io.EOF) {
		entry = entry.WithError(err)
	}
	entry.Info("client connection ended")
}

// watcher looks out, while a request is in hand, for the client to leave or to send the next one.
func (c *conn) watcher() {
	for ticket := range c.watch {
		err := c.reader.Wait()
		if err != nil && ticket != nil {
			ticket.Leave()
		}
		c.arrived <- err
	}
}

func ending(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		return "client-closed"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "client-cut-short"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "client-timeout"
	}
	return "client-reset"
}

// refuseMessage answers what is no request. The place where the next one would begin is lost.
func (c *conn) refuseMessage(err error) (code string) {
	p := problem{status: 400}
	switch {
	case errors.Is(err, http1.ErrStartLine):
		p.code, p.text = "client-bad-request-line", "broken request line"
	case errors.Is(err, http1.ErrHeader):
		p.code, p.text = "client-bad-header", "broken header"
	case errors.Is(err, http1.ErrFraming):
		p.code, p.text = "client-bad-length", "broken length or transfer coding"
	case errors.Is(err, http1.ErrHeadTooLarge):
		p.status, p.code, p.text = 431, "client-head-too-large", "request line and headers too large"
	case errors.Is(err, http1.ErrBodyTooLarge):
		p.status, p.code, p.text = 413, "client-body-too-large", "body too large"
	case errors.Is(err, http1.ErrExpect):
		p.status, p.code, p.text = 417, "client-bad-expectation", "an expectation that cannot be met"
	case c.ended() == "client-slow-request":
		p.status, p.code, p.text = 408, "client-slow-request", "the request did not come to its end"
	default:
		return "" // the connection itself ended
	}
	c.answerProblem(&p, true)
	c.unread = lingerMost
	return p.code
}

// serve is the life of one request: decide, attempt, perhaps again, answer. A code says why the
// connection ends with it.
func (c *conn) serve(r *http1.Request) (code string, err error) {
	s := c.server
	if r.Target == "/ready" {
		return c.ready(r)
	}
	s.figures.active.Add(1)
	defer s.figures.active.Add(-1)
	request, message, bad := s.parse(r)
	if bad == nil && !s.claim(message.ID) {
		bad = &problem{status: 409, code: "request-id-in-use", text: "X-Request-ID is that of a request in hand"}
	} else if bad == nil {
		defer s.free(message.ID)
	}
	if bad != nil {
		s.log.WithFields(logrus.Fields{"code": bad.code, "status": bad.status}).Warn("bad request")
		if class := r.Header.Get(keyClass); class != "" {
			s.figures.of(class).count(bad.status)
		}
		c.unwatched(r)
		return c.lastOf(r, c.answerProblem(bad, ends(r)))
	}
	counts := s.figures.of(request.Class) // once a request: the figures' lock is not taken for each of its events
	c.to(busy)
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
	for {
		switch d := ticket.Next(); d.Kind {
		case engine.Send:
			if s.Meter != nil {
				bill.open(s.Meter, &request, ticket, d.Beyond)
			}
			result := s.pool.Do(ctx, d.Backend, message, d.Until)
			counts.tried(result.Writes)
			bill.arrival = max(bill.arrival, usage.ArrivalOf(result.Outcome, result.Answered))
			if result.Outcome == passhub.Done && result.Stream != nil {
				ticket.Ended(result.Outcome) // served: what follows is the body's way to the client
				counts.count(200)
				return c.lastOf(r, c.relay(result.Stream, ends(r)))
			}
			if result.Outcome == passhub.Done {
				err = c.answer(200, 0, result.Body, ends(r))
				counts.count(200)
				ticket.Ended(result.Outcome)
				return c.lastOf(r, err)
			}
			if up != nil && up.failed != nil {
				ticket.Leave() // the client did not send what it began with: nobody waits for an answer to it
			}
			ticket.Ended(result.Outcome)
		case engine.Refuse:
			counts.count(503)
			return c.lastOf(r, c.answer(503, d.RetryAfter, nil, ends(r)))
		case engine.Fail:
			counts.count(502)
			return c.lastOf(r, c.answer(502, 0, nil, ends(r)))
		case engine.Gone:
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
func (a *account) open(m Meter, r *passhub.Request, t *engine.Ticket, beyond bool) {
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
	return c.lastOf(r, c.answer(status, 0, nil, ends(r)))
}

// lastOf tells whether the connection ends with this answer.
func (c *conn) lastOf(r *http1.Request, err error) (string, error) {
	if errors.Is(err, errAnswerCut) {
		return "client-answer-cut", err
	}
	if err != nil {
		return "client-write-failed", err
	}
	switch unread := r.Long != nil && !r.Long.Ended(); {
	case unread && (ends(r) || !c.skip(r.Long)):
		c.unread = lingerLong
		return "client-body-unread", nil
	case r.Close:
		return "client-asked", nil
	}
	return "", nil
}

// answer writes a whole answer at once.
func (c *conn) answer(status int, retryAfter passhub.Seconds, body []byte, last bool) error {
	b := http1.AppendHead(c.out[:0], status, len(body))
	if retryAfter > 0 {
		b = http1.AppendSeconds(b, "Retry-After", retryAfter)
	}
	return c.send(b, body, last)
}

func (c *conn) answerProblem(p *problem, last bool) error {
	body := []byte(p.code + ": " + p.text + "\n")
	b := http1.AppendHead(c.out[:0], p.status, len(body))
	b = http1.AppendField(b, "Content-Type", "text/plain")
	if p.allow != "" {
		b = http1.AppendField(b, "Allow", p.allow)
	}
	return c.send(b, body, last)
}

func (c *conn) send(b, body []byte, last bool) error {
	b = append(c.endHead(b, last), body...)
	if c.out = b; cap(b) > 8<<10 {
		c.out = nil // guards against many connections that each keep the room of a large answer
	}
	c.to(writing)
	_, err := c.Write(b)
	return err
}

// endHead ends an answer's head, with Connection: close where it is the last on its connection.
func (c *conn) endHead(b []byte, last bool) []byte {
	if last || c.last() {
		b = http1.AppendField(b, "Connection", "close")
	}
	return append(b, "\r\n"...)
}

// sweep ends connections that hold their place for nothing.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.halt.Done():
			return
		case now := <-ticker.C:
			s.sweepAt(now)
		}
	}
}

func (s *Server) sweepAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch age := now.Sub(c.since); {
		case c.state == reading && age > headMost, c.state == taking && c.pace.Late(s.seconds(now)): // also one ended as unused when its first byte came
			c.end("client-slow-request")
		case c.state == writing && age > stuckMost:
			c.end("client-slow-reader")
		case c.code != "":
		case c.state == idle && c.fresh && age > silentMost:
			c.end("client-silent")
		case c.state == idle && !c.fresh && age > idleMost:
			c.end("client-idle")
		}
	}
	if s.waiting > 0 {
		s.room.Broadcast() // one that was new a moment ago may be slow by now
	}
}

// Started says that it serves: the readiness page says yes from now on.
func (s *Server) Started() { s.move(passhub.Started) }

// Leave makes the readiness page say that clients should go elsewhere, for good: a SIGTERM has come. Idle
// connections are closed at once, the others after their next answer.
func (s *Server) Leave() { s.move(passhub.Terminate) }

// LameDuck drains without stopping: the readiness page says no, idle connections are closed at once and the others
// after their next answer; new connections are still served, each for one request. It tells whether the call was
// taken.
func (s *Server) LameDuck() bool { return s.move(passhub.Lame) }

// Rejoin ends a drain that LameDuck began: the readiness page says yes again, and connections stay open. It tells
// whether the call was taken: not once it stops.
func (s *Server) Rejoin() bool { return s.move(passhub.Rejoin) }

// Phase tells where the process is in its life.
func (s *Server) Phase() passhub.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Phase()
}

func (s *Server) move(e passhub.LifeEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.life.Phase()
	taken := s.life.Handle(e)
	if !s.life.KeepOpen() {
		for c := range s.conns {
			if c.state == idle && c.code == "" {
				c.end("client-drain")
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
	s.move(passhub.Close)
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
