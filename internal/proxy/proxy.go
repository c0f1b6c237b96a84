package proxy

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

// program is the name of this program in logs, metrics and settings.
const program = "proxy"

// Shares of the file descriptors for sockets. The rest is left for a few other sockets.
const (
	clientShare   = 0.55 // share for connections of clients
	upstreamShare = 0.35 // share for connections to servers
	reservedFDs   = 200  // file descriptors that are not for sockets (DEPLOY, "Machines")
	minSocketFDs  = 64   // least number of descriptors for sockets, if the limit is too low or not known
)

const (
	// connectTimeout bounds the establishment of a connection to a server, because a machine without power does not
	// answer.
	connectTimeout = 250 * time.Millisecond
	// keepalive is the idle time after which servers are assumed to close connections.
	keepalive = 8 * time.Second
	// resetDelay is the time within which the reset of a connection that the server has dropped arrives here. With a
	// wait of 10 ms, 161 of 161 resets came too late when servers dropped idle connections.
	resetDelay = 30 * time.Millisecond
	// retryBudgetShare is the share of the permitted retries that is used. The margin covers sliding windows and a
	// changing number of ingresses.
	retryBudgetShare = 0.8
	// maxNodeIndex bounds the index of a gateway in decision.Settings.
	maxNodeIndex = 1 << 31
)

// Parameters of the decision module. Times are in seconds.
const (
	answerSlack    = 0.02 // time by which an answer may exceed the client's deadline
	slowStartTime  = 3.0  // time after its start for which a server has less capacity
	slowStartShare = 0.5  // share of a server's capacity at its start, which rises to 1 during slowStartTime
	maxAttempts    = 2    // attempts per request
	maxRetryAfter  = 0.5  // longest time in a Retry-After
	remoteZoneCost = 1.25 // cost of a server in another zone, relative to one in the same zone
	counterCycle   = 1.0  // period of the calls to quota counters
)

// Proxy is a running proxy.
type Proxy struct {
	settings   *settings.Settings // settings as of the start of the process
	watcher    *settings.Watcher
	log        log.Logger
	control    *controlFeed
	translator *translator
	pool       *upstream.Pool
	ingress    *ingress.Server
	metrics    metrics.Endpoint // where metrics are served; zero value: not served
}

// New returns a proxy for the settings of a watcher. The incarnation is a number that no other process of this machine
// must have used.
func New(watcher *settings.Watcher, incarnation uint64, logger log.Logger) *Proxy {
	s := watcher.Current()
	p := &Proxy{settings: s, watcher: watcher, log: log.With(logger, "part", program)}
	p.control = newControlFeed(watcher, incarnation, p.log)
	startedAt := p.control.startedAt
	clock := replication.NewClock(func() float64 { return time.Since(startedAt).Seconds() })
	seed := nodeSeed(s.Node)
	p.control.agent = &replication.Client{
		Addr:        s.AgentAddr(),
		Node:        s.Node,
		Class:       replication.ClassProxy,
		Incarnation: incarnation,
		Seed:        seed,
		Store:       p.control.store,
		Clock:       clock,
		OnUpdate:    p.control.applyUpdate,
		Ready:       p.Ready,
	}
	p.connectDataPlane(seed, incarnation, clock)
	return p
}

// nodeSeed returns the seed of a node's random numbers. It is the same after each start of the node.
func nodeSeed(node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	return h.Sum64()
}

// connectDataPlane creates and connects the decision module, the engine, the pool of connections to servers and the
// HTTP server for clients.
func (p *Proxy) connectDataPlane(seed, incarnation uint64, clock *replication.Clock) {
	logger := log.NewNopLogger() // logging each connection would take too much processor time
	decisions := p.decisionSettings(seed)
	p.control.engine = engine.New(decision.New(*decisions, seed^incarnation), decisions, engine.NewClockFrom(clock.Now))
	p.translator = newTranslator(p.control, newSplitter(rand.New(rand.NewPCG(seed, incarnation))))
	sockets := float64(max(minSocketFDs, p.settings.Limits.MaxFDs-reservedFDs))
	p.pool = upstream.New(p.control.lookup, upstream.Limits{
		Connections:    int(upstreamShare * sockets),
		ConnectTimeout: connectTimeout,
		Keepalive:      keepalive,
	}, logger)
	p.pool.Dialect = serverDialect
	if p.settings.Clauses["pool"] { // this clause says that servers drop idle connections
		p.pool.Dialect.MinHoldIdle = resetDelay
	}
	p.ingress = ingress.New(decisions, p.control.engine, p.pool, int(clientShare*sockets), logger)
	p.ingress.SetDialect(p.translator.dialect())
	p.ingress.Traffic, p.pool.Traffic = p.control.shedder.counter, p.control.shedder.counter
}

// decisionSettings returns the settings of the decision module.
func (p *Proxy) decisionSettings(seed uint64) *decision.Settings {
	bounds := p.settings.Bounds
	return &decision.Settings{
		Gateways:            1,
		Index:               int(seed % maxNodeIndex),
		Zone:                p.settings.Zone,
		AnswerSlack:         answerSlack,
		SlowStartShare:      slowStartShare,
		SlowStartTime:       slowStartTime,
		MaxAttempts:         maxAttempts,
		MayCancel:           true,
		FinishNonIdempotent: true,
		MayRetryAfter:       true,
		MaxRetryAfter:       maxRetryAfter,
		ConnectTimeout:      connectTimeout.Seconds(),
		Keepalive:           keepalive.Seconds(),
		HasCounter:          true,
		CounterTimeout:      counterTimeout.Seconds(),
		CapacityInSlots:     true,
		RemoteZoneCost:      remoteZoneCost,
		PairCounters:        true,
		CounterCycle:        counterCycle,
		QuotaTolerance: decision.QuotaTolerance{
			Window: bounds.QuotaWindow,
			Excess: bounds.QuotaExcess,
			Slack:  bounds.QuotaSlack,
		},
		RetryShare: retryBudgetShare * bounds.RetryRatio,
		RetrySlack: retryBudgetShare * bounds.RetrySlack,
	}
}

// Ready reports whether this proxy accepts new clients.
func (p *Proxy) Ready() bool { return p.ingress.Phase() == decision.Serving }

// ServeMetrics makes Run serve the proxy's metrics at endpoint. It must be called before Run.
func (p *Proxy) ServeMetrics(endpoint metrics.Endpoint) { p.metrics = endpoint }
