package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
)

// program is the name of this program in logs, metrics and settings.
const program = "agent"

const (
	proxyReadyTTL = 1500 * time.Millisecond // for which a proxy's renewal that says it is ready is valid
	dialTimeout   = time.Second
)

// Agent is a running agent.
type Agent struct {
	incarnation uint64
	log         log.Logger
	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source // of the proxies
	startedAt   time.Time
	initialSync replication.InitialSync
	linkDelay   linkDelay
	dial        func(ctx context.Context, addr string) (net.Conn, error) // to a control node

	sources       atomic.Pointer[[]*source] // in force; replaced as a whole, under subscriptions.mu
	subscriptions struct {
		mu       sync.Mutex // guards the fields below
		ctx      context.Context
		settings *settings.Settings
	}
	votersCheckedAt atomic.Int64 // when the electorate was last compared with the sources, since startedAt
	tasks           sync.WaitGroup

	ready        atomic.Bool   // what is here is enough to serve with; once it is, it stays so
	proxyReadyAt atomic.Int64  // when a proxy last reported that it is ready, since startedAt; 0: never
	proxies      atomic.Int32  // connections
	lastProxy    chan struct{} // receives when the last proxy has disconnected

	counterSlots        chan struct{} // counter calls in flight
	counterCalls        atomic.Int64  // forwarded
	counterCallFailures atomic.Int64  // of these, the ones that no owner answered
}

// New makes an agent of a process with that incarnation, which no other process has had.
func New(incarnation uint64, logger log.Logger) *Agent {
	a := &Agent{
		incarnation:  incarnation,
		log:          log.With(logger, "part", program),
		store:        replication.NewStore(incarnation),
		startedAt:    time.Now(),
		lastProxy:    make(chan struct{}, 1),
		counterSlots: make(chan struct{}, maxCounterCalls),
		dial:         Dial,
	}
	a.clock = replication.NewClock(func() float64 { return time.Since(a.startedAt).Seconds() })
	a.sources.Store(new([]*source))
	a.source = &replication.Source{
		Store:     a.store,
		Clock:     a.clock,
		Ready:     a.ready.Load,
		Members:   func() int { return a.view().members },
		Quorum:    func() bool { return a.view().quorum },
		LinkDelay: func() time.Duration { return a.linkDelay.current(time.Now()) },
		Rank: func(string) (rank, peers int) {
			view := a.view()
			return view.rank, view.peers
		},
		OnRenewal: func(_ *transport.Hello, ready bool) {
			if ready {
				a.proxyReadyAt.Store(int64(time.Since(a.startedAt)))
			}
		},
	}
	return a
}

// Dial connects to a control node's internal address within a second.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return transport.Dial(ctx, addr, dialTimeout)
}

// proxyReady reports whether a proxy takes requests: only then the agent renews the lease of its ingress.
func (a *Agent) proxyReady() bool {
	at := a.proxyReadyAt.Load()
	return at != 0 && a.proxies.Load() > 0 && time.Since(a.startedAt)-time.Duration(at) < proxyReadyTTL
}
