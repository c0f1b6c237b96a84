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
	// proxyReadyTTL is the time for which a proxy's renewal that reports it as ready is valid. After this time the
	// agent no longer renews the lease of its ingress.
	proxyReadyTTL = 1500 * time.Millisecond
	dialTimeout   = time.Second // limit of the time to connect to a control node
)

// Agent is a running agent.
type Agent struct {
	incarnation uint64
	log         log.Logger
	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source // source of updates for the proxies
	startedAt   time.Time
	initialSync replication.InitialSync
	linkDelay   linkDelay
	dial        func(ctx context.Context, addr string) (net.Conn, error) // connects to a control node

	sources       atomic.Pointer[[]*source] // current ones; replaced as a whole, under subscriptions.mu
	subscriptions struct {
		mu       sync.Mutex // guards the fields below
		ctx      context.Context
		settings *settings.Settings
	}
	votersCheckedAt atomic.Int64 // time of the last comparison of voters and sources, in ns since startedAt
	tasks           sync.WaitGroup

	ready        atomic.Bool   // the store is sufficient to serve requests; never reset
	proxyReadyAt atomic.Int64  // time of a proxy's last report that it is ready, in ns since startedAt; 0: never
	proxies      atomic.Int32  // open connections of proxies
	lastProxy    chan struct{} // receives a value when the last connected proxy disconnects

	counterSlots        chan struct{} // one element per counter call in flight
	counterCalls        atomic.Int64  // counter calls forwarded
	counterCallFailures atomic.Int64  // forwarded counter calls that no owner accepted
}

// New returns an agent. The incarnation identifies the process and must not have been used by any other process.
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
		Store:         a.store,
		Clock:         a.clock,
		Ready:         a.ready.Load,
		Members:       func() int { return a.view().members },
		RecentMembers: func() int { return a.view().recentMembers },
		Quorum:        func() bool { return a.view().quorum },
		LinkDelay:     func() time.Duration { return a.linkDelay.current(time.Now()) },
		Rank: func(string) (rank, peers int) {
			view := a.view()
			return view.rank, view.peers
		},
		OnRenewal: func(_ *transport.Hello, ready bool) {
			if ready {
				a.proxyReadyAt.Store(int64(time.Since(a.startedAt)))
			}
		},
		OnItemLeftOut: replication.LogItemLeftOut(logger),
	}
	return a
}

// Dial connects to a control node's internal address. It fails after dialTimeout.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return transport.Dial(ctx, addr, dialTimeout)
}

// proxyReady reports whether a connected proxy accepts requests. The agent renews the lease of its ingress only then.
func (a *Agent) proxyReady() bool {
	at := a.proxyReadyAt.Load()
	return at != 0 && a.proxies.Load() > 0 && time.Since(a.startedAt)-time.Duration(at) < proxyReadyTTL
}
