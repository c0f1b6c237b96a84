package proxy

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
)

const (
	clientShare   = 0.55 // of the descriptors; the rest is for servers and a few others
	upstreamShare = 0.35
	reservedFDs   = 200 // descriptors that are not for sockets (DEPLOY, "Machines")

	connectTimeout = 250 * time.Millisecond // for a connection to a server: a machine that is dark does not answer
	keepalive      = 8 * time.Second        // servers close connections idle for this long, as far as is known
	resetDoubt     = 30 * time.Millisecond  // until the reset of a forgotten connection is here: at 10 ms, 161 of 161 came later on a wide day
	warmUp         = 3.0                    // s for which a server is slow after its start
	otherZoneCost  = 1.25                   // cost of a server in another zone beside one in one's own
	counterCycle   = 1.0                    // s of the counters

	// After SIGTERM the platform finds out by its question each second, twice, that no new clients are wanted; they are served till then.
	handOverTime = 2200 * time.Millisecond
	drainRest    = 400 * time.Millisecond
)

// program is the name of this program in logs, metrics and settings.
const program = "proxy"

// Proxy is one proxy.
type Proxy struct {
	p          *settings.Settings
	watch      *settings.Watcher
	log        log.Logger
	control    *controlFeed
	translator *translator
	pool       *upstream.Pool
	server     *ingress.Server
	front      *sheddingListener
	page       net.Listener
	metrics    metrics.Endpoint // where figures are served; zero: nowhere
}

// New returns a proxy for the settings that are watched. Life is a number that no other process of this machine has had.
func New(watch *settings.Watcher, life uint64, logger log.Logger) *Proxy {
	p := watch.Current()
	h := fnv.New64a()
	h.Write([]byte(p.Node))
	me := h.Sum64()
	b := &Proxy{p: p, watch: watch, log: log.With(logger, "part", program)}
	base := time.Now()
	o := &controlFeed{log: b.log, shedder: newShedder(p.Limits.LinkMbps), node: p.Node, process: p.Node + "#" + strconv.FormatUint(life, 36), store: replication.NewStore(life), warmUp: warmUp, base: base, ready: make(chan struct{}),
		bounds: func() settings.Bounds { return watch.Current().Bounds }}
	o.table.Store(configuration.NewRoutingTable())
	clock := replication.NewClock(func() float64 { return time.Since(base).Seconds() })
	o.client = &replication.Client{Addr: p.AgentAddr(), Node: p.Node, Class: replication.ClassProxy, Incarnation: life, Seed: me, Store: o.store, Clock: clock,
		OnUpdate: o.applyUpdate, Ready: b.Ready}
	b.control = o
	return b.wire(me, life, clock)
}

// quiet is the log of the data plane: what it says of each connection is too much for a machine whose logs cost processor time.
func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	return l
}

// wire puts the data plane together.
func (b *Proxy) wire(me, life uint64, clock *replication.Clock) *Proxy {
	p, o := b.p, b.control
	quiet := quiet()
	s := &decision.Settings{Gateways: 1, Index: int(me % (1 << 31)), Zone: p.Zone, AnswerSlack: 0.02, SlowStartShare: 0.5, SlowStartTime: warmUp, MaxAttempts: 2,
		MayCancel: true, FinishNonIdempotent: true, MayRetryAfter: true, MaxRetryAfter: 0.5, ConnectTimeout: connectTimeout.Seconds(), Keepalive: keepalive.Seconds(),
		HasCounter: true, CounterTimeout: counterTimeout.Seconds(), CapacityInSlots: true, RemoteZoneCost: otherZoneCost, PairCounters: true, CounterCycle: counterCycle,
		RetryShare: retryBudgetShare * p.Bounds.RetryRatio, RetrySlack: retryBudgetShare * p.Bounds.RetrySlack}
	o.engine = engine.New(decision.New(*s, me^life), s, engine.NewClockOf(clock.Now))
	b.translator = &translator{control: o, splits: newSplitter(rand.New(rand.NewPCG(me, life))), terms: map[string]*decision.Terms{}, classes: map[string]*decision.Class{}}
	sockets := float64(max(64, p.Limits.MaxFDs-reservedFDs))
	b.pool = upstream.New(o.lookup, upstream.Limits{Connections: int(upstreamShare * sockets), ConnectTimeout: connectTimeout, Keepalive: keepalive}, quiet)
	b.pool.Dialect = upstream.Dialect{AppendHead: beginRequest, Meaning: classifyAnswer, IDField: headerAttemptID}
	if p.Clauses["pool"] { // servers there forget connections that rest
		b.pool.Dialect.MinHoldIdle = resetDoubt
	}
	b.server = ingress.New(s, o.engine, b.pool, int(clientShare*sockets), quiet)
	b.server.SetDialect(b.translator.dialect())
	b.server.Traffic, b.pool.Traffic = o.shedder.counter, o.shedder.counter
	return b
}

// retryBudgetShare of what the rules allow in further attempts is used: windows slide, and ingresses come and go.
const retryBudgetShare = 0.8

// Ready tells whether this proxy wants clients.
func (b *Proxy) Ready() bool { return b.server.Phase() == decision.Serving }

// ServeMetrics has Run serve the proxy's figures too.
func (b *Proxy) ServeMetrics(e metrics.Endpoint) { b.metrics = e }

// serveMetrics serves the proxy's figures until the context ends.
func (b *Proxy) serveMetrics(ctx context.Context) {
	r := metrics.NewRegistry(program)
	b.registerMetrics(r)
	r.Serve(ctx, b.metrics, b.p.Host, b.log)
}

// Run serves until the context ends, and then hands its clients over within the grace that the platform gives. A signal on hup says that
// the settings file has changed; it may also change without one.
func (b *Proxy) Run(ctx context.Context, hup <-chan os.Signal) (err error) {
	listen := func() (net.Listener, error) { return net.Listen("tcp4", b.p.FrontAddr) }
	if b.front, err = newSheddingListener(listen, b.control.shedder, b.log); err != nil {
		return fmt.Errorf("clients' address: %w", err)
	}
	defer b.front.Close()
	if b.page, err = net.Listen("tcp4", b.p.ReadyAddr); err != nil {
		return fmt.Errorf("readiness address: %w", err)
	}
	defer b.page.Close()
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, run := range []func(){
		func() { b.control.client.Run(running) },
		func() { b.pool.Run(running) },
		func() { serveReadiness(b.page, b.Ready) },
		func() { b.server.Serve(b.front) },
		func() { b.front.Run(running.Done()) },
		func() { b.serveMetrics(running) },
		func() { b.watch.Follow(running, b.forwardHangups(running, hup), b.settingsReread) },
	} {
		go run()
	}
	b.log.Log("msg", "waiting for the agent", "front", b.p.FrontAddr, "agent", b.p.AgentAddr())
	select {
	case <-b.control.ready:
		b.server.Started()
		b.log.Log("msg", "serving", "routes", b.control.table.Load().RouteCount())
		<-ctx.Done()
	case <-ctx.Done():
	}
	b.log.Log("msg", "leaving")
	b.announceShutdown()
	serve, finish := shutdownTimes(time.Duration(b.watch.Current().Bounds.Grace * float64(time.Second)))
	time.Sleep(serve)
	b.front.Close()
	b.server.Drain(finish, drainRest)
	b.log.Log("msg", "left")
	return nil
}

// shutdownTimes is for how long a machine that leaves serves on as before, and then finishes what it has, before what is left is given up: all of it
// within the grace, with a rest for the last answers, and nothing given up in its first half.
func shutdownTimes(grace time.Duration) (serve, finish time.Duration) {
	serve = min(handOverTime, grace*2/5)
	return serve, max(0, grace-serve-2*drainRest-200*time.Millisecond)
}

// announceShutdown has the clients sent elsewhere. A server's silence ends nothing from now on.
func (b *Proxy) announceShutdown() {
	b.control.engine.ExpectDisruption(math.Inf(1))
	b.server.Shutdown()
}

// forwardHangups passes signals on, and has the module know of each as it comes, whether the file says anything new or not.
func (b *Proxy) forwardHangups(ctx context.Context, hup <-chan os.Signal) <-chan os.Signal {
	passed := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-hup:
				b.control.engine.ExpectDisruption(b.control.disruptionWindow())
				select {
				case passed <- s:
				default: // one is on its way
				}
			}
		}
	}()
	return passed
}

// settingsReread is told of a settings file that was read again. The grace holds from now on, what else the proxy goes by from its next start on.
func (b *Proxy) settingsReread(changed bool, err error) {
	switch {
	case err != nil:
		b.log.Log("msg", "settings refused, the old ones stay", "err", err)
	case changed:
		b.log.Log("msg", "settings read again")
	}
}
