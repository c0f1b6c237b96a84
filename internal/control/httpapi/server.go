package httpapi

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/control/connlimit"
	"mulleinrouter/internal/control/electorate"
	"mulleinrouter/internal/control/instances"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/operatorapi"
	"mulleinrouter/internal/control/replica"
)

const (
	readHeaderTimeout = 2 * time.Second // for the header of a call; a slower client is disconnected
	idleTimeout       = 5 * time.Second // time without a call after which a connection is closed
	maxHeaderBytes    = 8 << 10         // limit of the header of a call, bytes; bounds the memory for it
	maxLargeBodies    = 2               // large bodies that may be read or handled at once; bounds the memory for them
)

// Proposals submits changes of the configuration to the voters (proposals.Queue).
type Proposals interface {
	Change(ctx context.Context, items []configuration.Item, timeout time.Duration) error
	Read(timeout time.Duration) error
}

// Departures stores the departures of instances on enough disks (instances.Departures).
type Departures interface {
	Replicate(ctx context.Context, instance registry.Instance) bool
}

// Coordination evaluates the requests of applications (shards.Service).
type Coordination interface {
	Do(ctx context.Context, request coordination.Request) (coordination.Result, error)
	Status() []operatorapi.Shard
	Transfer(shard uint32, to string) error // returns a *shards.TransferError if the transfer is refused
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Self        string // own control address
	Instances   *instances.Registry
	Departures  Departures
	Proposals   Proposals
	Replica     *replica.Replica
	Electorate  *electorate.Manager
	Lease       *majority.Lease
	Connections *connlimit.Gate
	Clock       *replication.Clock
	// Coordination answers applications. If it is nil, their calls and those about shards are unknown.
	Coordination Coordination
	Started      time.Time   // start of this process
	View         func() View // returns the body of GET /view
	// Member returns the state of the control node at an address, as known to this node. EpochsBehind is how far that
	// node is behind the given epoch.
	Member func(addr string, epoch uint64) operatorapi.Member
	Log    log.Logger
}

// Server serves the calls of servers, operators and applications.
type Server struct {
	options     Options
	log         log.Logger
	largeBodies chan struct{} // semaphore with one value for each large body that is being read or handled

	// OperatorCalls, ServerCalls and ApplicationCalls count the answers.
	OperatorCalls    CallCounts
	ServerCalls      CallCounts
	ApplicationCalls CallCounts
	UnknownCalls     atomic.Int64 // calls that no endpoint serves
	unknownLogged    atomic.Bool  // whether the first unknown call has been logged
}

// New makes a server. HTTPServer serves its calls.
func New(o Options) *Server {
	return &Server{options: o, log: o.Log, largeBodies: make(chan struct{}, maxLargeBodies)}
}

// caller is who makes a call.
type caller int

const (
	byServer caller = iota
	byOperator
	byApplication
)

// endpoint is a call that servers, operators or applications make.
type endpoint struct {
	pattern      string // method and path
	maxBody      int64  // bytes
	caller       caller
	needsContact bool // the majority lease must be held both when the call arrives and when it is answered
	prompt       bool // the call is rejected if it may have waited for long before it was read (isPrompt)
	handle       func(*Server, *http.Request, []byte) (reply, error)
}

// endpoints are the calls of servers and operators, except those about shards.
var endpoints = []endpoint{
	{pattern: "PUT /instances/{id}", maxBody: maxHeartbeatBytes, needsContact: true, handle: (*Server).putInstance},
	{pattern: "DELETE /instances/{id}", maxBody: maxHeartbeatBytes, needsContact: true,
		handle: (*Server).deleteInstance},
	{
		pattern:      "PATCH /config",
		maxBody:      maxPatchBytes,
		caller:       byOperator,
		needsContact: true,
		handle:       (*Server).patchConfig,
	},
	{pattern: "GET /config", caller: byOperator, needsContact: true, handle: (*Server).getConfig},
	{pattern: "GET /view", caller: byOperator, handle: (*Server).getView},
	{pattern: "GET /members", caller: byOperator, handle: (*Server).getMembers},
	{
		pattern:      "POST /members/replace",
		maxBody:      maxReplaceBytes,
		caller:       byOperator,
		needsContact: true,
		handle:       (*Server).replaceMember,
	},
}

// HTTPServer makes the http.Server of the calls.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      2 * bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.options.Connections.ConnState,
		ConnContext:       s.connContext,
		ErrorLog:          stdlog.New(serverLog{s.log}, "", 0),
	}
}

// connContext adds to the context of a connection what its calls share.
func (s *Server) connContext(ctx context.Context, nc net.Conn) context.Context {
	return s.withWaitingConn(withRememberedHold(s.options.Connections.ConnContext(ctx, nc)))
}

// serverLog is the destination of the http.Server's log. The adapter of the logging library is not used, because it
// takes a part of a line that ends with a port for a file name.
type serverLog struct{ log log.Logger }

// Write logs a line.
func (sl serverLog) Write(line []byte) (int, error) {
	level.Warn(sl.log).Log("msg", strings.TrimSpace(string(line)))
	return len(line), nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	all := endpoints
	if s.options.Coordination != nil {
		all = slices.Concat(endpoints, applicationEndpoints, shardEndpoints)
	}
	for _, e := range all {
		mux.HandleFunc(e.pattern, func(w http.ResponseWriter, r *http.Request) {
			answer := s.serveCall(e, w, r)
			s.callCounts(e).add(answer.status)
			s.beginWaiting(r)
			h := w.Header()
			h.Set("Content-Type", "application/json")
			h.Set("Content-Length", strconv.Itoa(len(answer.body)))
			if answer.location != "" {
				h.Set("Location", answer.location)
			}
			w.WriteHeader(answer.status)
			_, _ = w.Write(answer.body) // a caller that does not get the answer retries
		})
	}
	mux.HandleFunc("/", s.rejectUnknown)
	return mux
}

// rejectUnknown answers a call that no endpoint serves. Such calls are counted and the first one is logged, because all
// calls of that kind fail.
func (s *Server) rejectUnknown(w http.ResponseWriter, r *http.Request) {
	s.UnknownCalls.Add(1)
	if !s.unknownLogged.Swap(true) {
		level.Warn(s.log).Log("msg", "unknown call", "method", r.Method, "path", r.URL.Path)
	}
	answer := errorReply(ErrNotFound)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// callCounts returns the counter for the answers of an endpoint.
func (s *Server) callCounts(e endpoint) *CallCounts {
	switch e.caller {
	case byOperator:
		return &s.OperatorCalls
	case byApplication:
		return &s.ApplicationCalls
	default:
		return &s.ServerCalls
	}
}
