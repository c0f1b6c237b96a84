package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/clientconn"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/dataplane/traffic"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// acceptPause is the pause after a failed accept: it guards against a busy loop on an error that persists.
const acceptPause = 10 * time.Millisecond

// Server serves the clients of one ingress.
type Server struct {
	// Meter records each request that is forwarded; nil: use is not metered. It is set before Serve.
	Meter Meter
	// Traffic counts the bytes on clients' connections; nil: nothing is counted. It is set before Serve.
	Traffic *traffic.Counter
	// FleetStatus returns what the readiness page says of the fleet, in X-Fleet; nil: nothing. It is set before Serve.
	FleetStatus func() string

	dialect   Dialect
	engine    *engine.Engine
	pool      *upstream.Pool
	log       log.Logger
	methods   atomic.Pointer[map[string]string] // by class
	plans     atomic.Pointer[map[string]bool]
	ingresses int             // of the fleet
	maxUnits  float64         // of a request
	maxConns  int             // at once
	base      time.Time       // the times of the state machines are seconds since then
	ctx       context.Context // of the attempts, and of sweep
	cancel    context.CancelFunc
	sweeping  sync.WaitGroup // sweep; Drain waits for it
	stats     classStats
	totals    totals

	mu        sync.Mutex // guards what follows, and the machine of each connection
	conns     map[*conn]struct{}
	ids       map[string]struct{} // of the pending requests
	changed   sync.Cond           // a connection was removed, or became idle while one waits for a place
	waiting   int                 // accepted connections that wait for a place
	lifecycle decision.Lifecycle  // readiness, and whether connections stay open after an answer
}

// New returns a server for what the settings name, with a limit of connections at once.
func New(
	settings *decision.Settings, e *engine.Engine, p *upstream.Pool, maxConns int, logger log.Logger,
) *Server {
	s := &Server{
		engine:    e,
		pool:      p,
		log:       logger,
		ingresses: max(1, settings.Gateways),
		maxUnits:  cmp.Or(settings.MaxUnits, defaultMaxUnits),
		maxConns:  maxConns,
		base:      time.Now(),
		conns:     map[*conn]struct{}{},
		ids:       map[string]struct{}{},
	}
	s.dialect = Dialect{
		ReadyPath:     "/ready",
		Parse:         s.parse,
		IngressFields: ingressFields,
		ServerFields:  serverFields,
	}
	s.changed.L = &s.mu
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.SetClasses(settings.Classes)
	plans := make([]string, 0, len(settings.Plans))
	for _, p := range settings.Plans {
		plans = append(plans, p.Name)
	}
	s.SetPlans(plans)
	return s
}

// SetClasses sets the classes that clients may name from now on; the class determines the method. A pending request
// keeps what it was parsed with.
func (s *Server) SetClasses(classes []decision.Class) {
	methods := make(map[string]string, len(classes))
	for _, c := range classes {
		s.stats.of(c.Name)
		methods[c.Name] = "POST"
		if c.Effect == decision.Idempotent {
			methods[c.Name] = "GET"
		}
	}
	s.methods.Store(&methods)
}

// SetPlans sets the plans that clients may name from now on.
func (s *Server) SetPlans(names []string) {
	plans := make(map[string]bool, len(names))
	for _, name := range names {
		plans[name] = true
	}
	s.plans.Store(&plans)
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) {
	s.startSweep()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors run short, or the network fails for a while: no reason to give up all clients.
			level.Warn(s.log).Log("msg", "connection not accepted", "code", "process-accept-failed", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		c := s.newConn(nc)
		s.Traffic.Connected()
		s.admit(c)
		go c.run()
	}
}

// newConn returns a connection that was accepted.
func (s *Server) newConn(nc net.Conn) *conn {
	c := &conn{
		Conn:    nc,
		server:  s,
		machine: clientconn.Accepted(s.seconds(time.Now())),
		watch:   make(chan *engine.Ticket),
		watched: make(chan error, 1),
	}
	c.reader = http1.NewReader(c)
	if s.dialect.Timeouts != nil {
		c.machine.SetTimeouts(s.dialect.Timeouts())
	}
	if s.dialect.MaxBody != nil {
		c.reader.MaxRequestBody = s.dialect.MaxBody()
	}
	return c
}

// seconds returns a moment in the time of the state machines.
func (s *Server) seconds(at time.Time) decision.Seconds { return at.Sub(s.base).Seconds() }

// claimID claims an ID for a request, until releaseID. It reports whether no pending request has it.
func (s *Server) claimID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, taken := s.ids[id]
	s.ids[id] = struct{}{}
	return !taken
}

func (s *Server) releaseID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}
