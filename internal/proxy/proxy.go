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

// Shares of the file descriptors; the rest is for a few others.
const (
	clientShare   = 0.55
	upstreamShare = 0.35
	reservedFDs   = 200 // that are not for sockets (DEPLOY, "Machines")
	minSocketFDs  = 64
)

const (
	// connectTimeout bounds a connection to a server: a machine without power does not answer.
	connectTimeout = 250 * time.Millisecond
	// keepalive is the idle time after which servers close connections, as far as is known.
	keepalive = 8 * time.Second
	// resetDelay is the time until the reset of a connection that the server has dropped is here. In a run in which
	// servers dropped idle connections, 161 of 161 resets came after 10 ms.
	resetDelay = 30 * time.Millisecond
	// retryBudgetShare of the further attempts that the rules allow is used: windows slide, and ingresses come and go.
	retryBudgetShare = 0.8
	// maxNodeIndex bounds the number of a gateway in decision.Settings.
	maxNodeIndex = 1 << 31
)

// Parameters of the decision module, in seconds where no unit stands.
const (
	answerSlack    = 0.02
	slowStartTime  = 3.0 // for which a server is slow after its start
	slowStartShare = 0.5 // of its capacity meanwhile
	maxAttempts    = 2
	maxRetryAfter  = 0.5
	remoteZoneCost = 1.25 // of a server in another zone, in that of one in the own zone
	counterCycle   = 1.0
)

// Proxy is a running proxy.
type Proxy struct {
	settings   *settings.Settings // at the start
	watcher    *settings.Watcher
	log        log.Logger
	control    *controlFeed
	translator *translator
	pool       *upstream.Pool
	ingress    *ingress.Server
	metrics    metrics.Endpoint // where metrics are served; zero: nowhere
}

// New returns a proxy for the settings that are watched. The incarnation is a number that no other process of this
// machine has had.
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

// nodeSeed returns a number for a node's random draws.
func nodeSeed(node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	return h.Sum64()
}

// connectDataPlane connects the decision module, the engine, the pool of connections to servers and the clients'
// server.
func (p *Proxy) connectDataPlane(seed, incarnation uint64, clock *replication.Clock) {
	logger := log.NewNopLogger() // to log each connection would cost too much processor time here
	decisions := p.decisionSettings(seed)
	p.control.engine = engine.New(decision.New(*decisions, seed^incarnation), decisions, engine.NewClockFrom(clock.Now))
	p.translator = newTranslator(p.control, newSplitter(rand.New(rand.NewPCG(seed, incarnation))))
	sockets := float64(max(minSocketFDs, p.settings.Limits.MaxFDs-reservedFDs))
	p.pool = upstream.New(p.control.lookup, upstream.Limits{
		Connections:    int(upstreamShare * sockets),
		ConnectTimeout: connectTimeout,
		Keepalive:      keepalive,
	}, logger)
	p.pool.Dialect = upstream.Dialect{AppendHead: appendRequestHead, Meaning: classifyAnswer, IDField: headerAttemptID}
	if p.settings.Clauses["pool"] { // the clause by which servers drop idle connections
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

// Ready reports whether this proxy takes new clients.
func (p *Proxy) Ready() bool { return p.ingress.Phase() == decision.Serving }

// ServeMetrics has Run serve the proxy's metrics too.
func (p *Proxy) ServeMetrics(endpoint metrics.Endpoint) { p.metrics = endpoint }
