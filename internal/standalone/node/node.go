package node

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/dataplane/upstream"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/counterclient"
	"mulleinrouter/internal/standalone/counterserver"
	"mulleinrouter/internal/standalone/discovery"
	"mulleinrouter/internal/standalone/fleet/gossip"
	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/quotasync"
	"mulleinrouter/internal/standalone/hotrestart"
	"mulleinrouter/internal/standalone/plans"
)

// Node is one ingress.
type Node struct {
	config     *config.Config
	log        log.Logger
	listener   net.Listener
	management net.Listener // nil: there is no management address
	engine     *engine.Engine
	counter    *counterclient.Client // nil: there is no shared counter
	server     *ingress.Server
	watcher    *discovery.Watcher

	cancel      context.CancelFunc // ends the tasks
	tasks       sync.WaitGroup     // goroutines that end with the context
	acceptLoops sync.WaitGroup     // goroutines that end when their listener closes
	closers     []func()           // in the order of opening

	reloadsApplied, reloadsRejected atomic.Int64 // configuration files read at SIGHUP

	fleet     *gossip.Fleet           // the other ingresses; nil: there is no membership
	quotaSync *quotasync.Service      // shares quotas and verdicts on servers with them; nil: nothing is shared
	leases    *leaseservice.Service   // leases of singleton roles; nil: there are no voters
	announcer *leaseservice.Announcer // orders catalogue revisions; nil: the catalogue's file alone counts

	peers        *peerProcesses // other processes of this ingress; nil: there can be none
	newerProcess atomic.Bool    // a newer process of this ingress runs beside this one
	draining     atomic.Bool    // the listener accepts no new connections

	mu                 sync.Mutex   // guards the fields below
	planState          *plans.State // nil: plans have not changed since the start
	lastReloadRevision uint64       // number of the revision that the last reload made
}

// Start returns a node that listens and serves. Limits that the configuration leaves at zero must have been set by
// Tune.
func Start(c *config.Config, logger log.Logger) (*Node, error) {
	n := &Node{config: c, log: logger}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.start(ctx); err != nil {
		n.stop()
		return nil, err
	}
	return n, nil
}

// start opens everything in the order in which the parts depend on each other, and begins to accept connections last.
// What it opened before an error is left to stop.
func (n *Node) start(ctx context.Context) error {
	c := n.config
	// Before it listens, so that what arrives meanwhile goes to the older process.
	var knowledge *decision.Knowledge
	if n.peers = newPeerProcesses(c.State, c.Name, c.Listen, int64(os.Getpid()), n.log); n.peers != nil {
		knowledge = n.peers.awaitKnowledge()
	}
	if err := n.listen(); err != nil {
		return err
	}
	if c.Embedded != "" {
		if err := n.startEmbeddedCounter(); err != nil {
			return err
		}
	}
	n.startEngine()
	directory := n.newWatcher()
	if knowledge != nil {
		customers, backends := n.engine.Restore(*knowledge)
		level.Info(n.log).Log("msg", "state of the older process restored",
			"code", "process-learned", "customers", customers, "servers", backends,
		)
	}
	if n.peers != nil {
		n.spawn(func() { n.runPeerHeartbeats(ctx) })
	}
	if c.Membership != nil {
		if err := n.joinFleet(ctx); err != nil {
			return err
		}
	}
	pool := n.newServer(directory)
	if c.Catalogue != "" {
		if err := n.startCatalogue(ctx); err != nil {
			return err
		}
	}
	if c.Usage != nil {
		if err := n.startUsage(ctx); err != nil {
			return err
		}
	}
	if !c.Static {
		n.spawn(func() { n.watcher.Run(ctx) })
	}
	n.spawn(func() { pool.Run(ctx) })
	if c.Mgmt != "" {
		if err := n.startManagement(); err != nil {
			return err
		}
	}
	n.acceptLoops.Go(func() { n.server.Serve(n.listener) })
	n.server.Started()
	n.publishPhase()
	level.Info(n.log).Log("msg", "serving",
		"code", "process-started", "name", c.Name, "listen", n.Addr(), "mgmt", n.MgmtAddr(),
	)
	return nil
}

// listen opens the address of clients. An older process of this ingress may listen there too: an error means that
// another program does.
func (n *Node) listen() (err error) {
	if n.listener, err = hotrestart.Listen(n.config.Listen); err != nil {
		return err
	}
	n.closers = append(n.closers, func() { n.listener.Close() })
	return nil
}

// startEmbeddedCounter serves a quota counter for this ingress and the others on this machine.
func (n *Node) startEmbeddedCounter() error {
	listener, err := net.Listen("tcp", n.config.Embedded)
	if err != nil {
		return fmt.Errorf("counter: %w", err)
	}
	server := counterserver.New(1)
	n.config.Counter = listener.Addr().String()
	n.acceptLoops.Go(func() { server.Serve(listener) })
	n.closers = append(n.closers, func() {
		listener.Close()
		server.Close()
	})
	return nil
}

// startEngine starts the engine round the decision module, with the counter's client where there is a counter.
func (n *Node) startEngine() {
	c := n.config
	n.engine = engine.New(decision.New(c.Settings, c.Seed), &c.Settings, engine.NewClock())
	n.engine.Log = n.log
	if c.Counter == "" {
		n.engine.Start(nil)
		return
	}
	timeout := duration(c.Settings.CounterTimeout)
	n.counter = counterclient.New(c.Counter, timeout, n.engine.CounterReplied, n.log)
	n.closers = append(n.closers, n.counter.Close)
	n.engine.Start(n.counter)
}

// newWatcher makes the watcher of the endpoint list, which does not run yet, and returns the directory that it keeps.
func (n *Node) newWatcher() *discovery.Directory {
	c := n.config
	directory := &discovery.Directory{}
	n.watcher = &discovery.Watcher{
		Addr:      c.Discovery,
		Directory: directory,
		OnUpdate:  n.engine.SetBackends,
		Log:       n.log,
		FleetSize: c.Settings.Gateways,
		Seed:      c.Seed,
	}
	if c.Known != nil {
		n.watcher.RestoreList(c.Known)
	}
	return directory
}

// newServer makes the server of clients, which does not run yet, and returns its pool of upstream connections.
func (n *Node) newServer(directory *discovery.Directory) *upstream.Pool {
	c := n.config
	sockets := float64(c.Limits.Sockets)
	pool := upstream.New(directory.Lookup, upstream.Limits{
		Connections:    int(upstreamSocketShare * sockets),
		ConnectTimeout: duration(c.Settings.ConnectTimeout),
		Keepalive:      duration(c.Settings.Keepalive),
	}, n.log)
	n.server = ingress.New(&c.Settings, n.engine, pool, int(clientSocketShare*sockets), n.log)
	if n.fleet != nil {
		n.server.FleetStatus = n.fleetStatus
	}
	return pool
}

// Addr is the address that clients connect to.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// spawn runs a task that ends with the node's context.
func (n *Node) spawn(task func()) { n.tasks.Go(task) }

// duration converts the decision module's seconds.
func duration(s decision.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
