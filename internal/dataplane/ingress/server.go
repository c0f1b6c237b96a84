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

// acceptPause is the pause after a failed accept. It prevents a busy loop if the error persists.
const acceptPause = 10 * time.Millisecond

// Server serves the clients of an ingress.
type Server struct {
	// Meter records each request that is forwarded; nil: requests are not metered. It must be set before Serve.
	Meter Meter
	// Traffic counts the bytes on clients' connections; nil: nothing is counted. It must be set before Serve.
	Traffic *traffic.Counter
	// FleetStatus returns the value of the X-Fleet field of the readiness page; nil: the page has no such field. It
	// must be set before Serve.
	FleetStatus func() string

	dialect   Dialect
	engine    *engine.Engine
	pool      *upstream.Pool
	log       log.Logger
	methods   atomic.Pointer[map[string]string] // HTTP method of each class
	plans     atomic.Pointer[map[string]bool]   // plans that clients may name
	ingresses int                               // number of ingresses in the fleet
	maxUnits  float64                           // limit of a request's units
	maxConns  int                               // limit of open connections
	base      time.Time                         // time 0 of the state machines, whose times are in seconds
	ctx       context.Context                   // context of the attempts and of sweep
	cancel    context.CancelFunc
	sweeping  sync.WaitGroup // goroutine of sweep, for which Drain waits
	stats     classStats
	totals    totals

	mu        sync.Mutex // guards the fields below, and the machine of each connection
	conns     map[*conn]struct{}
	ids       map[string]struct{} // IDs of the pending requests
	changed   sync.Cond           // signals that a connection was removed or may be evictable, or a time limit passed
	waiting   int                 // accepted connections that wait in admit for the limit to allow them
	lifecycle decision.Lifecycle  // readiness, and whether connections stay open after an answer
}

// New returns a server for the classes, plans and limits in the settings. It has at most maxConns open connections.
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

// SetClasses sets the classes that clients may name from now on. The class determines the method. A pending request
// keeps the class that it was parsed with.
func (s *Server) SetClasses(classes []decision.Class) {
	methods := make(map[string]string, len(classes))
	for _, c := range classes {
		s.stats.forClass(c.Name)
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
			// The process may be out of file descriptors, or the network may fail for a while. Serving continues,
			// because other clients are not affected.
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

// newConn returns the conn for an accepted network connection.
func (s *Server) newConn(nc net.Conn) *conn {
	c := &conn{
		Conn:        nc,
		server:      s,
		machine:     clientconn.Accepted(s.seconds(time.Now())),
		watch:       make(chan *engine.Ticket),
		watchResult: make(chan error, 1),
	}
	c.reader = http1.NewReader(c)
	if s.dialect.Timeouts != nil {
		c.machine.SetTimeouts(s.dialect.Timeouts())
	}
	return c
}

// seconds converts a time to the time of the state machines: seconds since s.base.
func (s *Server) seconds(at time.Time) decision.Seconds { return at.Sub(s.base).Seconds() }

// claimID marks an ID as that of a pending request, until releaseID. It returns false if another pending request has
// the ID.
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
