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
	management net.Listener // nil if no management address is configured
	engine     *engine.Engine
	counter    *counterclient.Client // nil if no shared counter is configured
	server     *ingress.Server
	watcher    *discovery.Watcher

	cancel      context.CancelFunc // ends the context of the tasks
	tasks       sync.WaitGroup     // goroutines that end with the context
	acceptLoops sync.WaitGroup     // goroutines that end when their listener closes
	closers     []func()           // close the opened resources; in the order of opening

	reloadsApplied, reloadsRejected atomic.Int64 // configuration files read at SIGHUP

	fleet     *gossip.Fleet           // the other ingresses; nil if no membership is configured
	quotaSync *quotasync.Service      // shares quotas and warnings of servers with them; nil if not shared
	leases    *leaseservice.Service   // leases of singleton roles; nil if no voters are configured
	announcer *leaseservice.Announcer // orders catalogue revisions; nil if only the catalogue's file is used

	peers        *peerProcesses // other processes of this ingress; nil if there can be none
	newerProcess atomic.Bool    // a newer process of this ingress is running, too
	draining     atomic.Bool    // the listener accepts no new connections

	mu                 sync.Mutex   // guards the fields below
	planState          *plans.State // nil until a catalogue or a reload first changes the plans
	lastReloadRevision uint64       // number of the plan revision that the last reload created
}

// Start starts a node and returns it once it serves. Tune must have set the limits that the configuration leaves at
// zero.
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

// start opens the parts in the order of their dependencies, and begins to accept connections last. After an error, the
// caller must call stop to close the parts that were opened.
func (n *Node) start(ctx context.Context) error {
	c := n.config
	// The knowledge of the older process is awaited before this one listens, so that connections that arrive meanwhile
	// reach the older process.
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

// listen opens the client address. An older process of this ingress may listen there, too (SO_REUSEPORT), so an error
// that the address is in use means that another program uses it.
func (n *Node) listen() (err error) {
	if n.listener, err = hotrestart.Listen(n.config.Listen); err != nil {
		return err
	}
	n.closers = append(n.closers, func() { n.listener.Close() })
	return nil
}

// startEmbeddedCounter starts a quota counter for this ingress and the others on this machine.
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

// startEngine starts the engine with the decision module, and with a client of the counter if one is configured.
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

// newWatcher creates the watcher of the endpoint list without running it, and returns the directory that it updates.
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

// newServer creates the ingress server without running it, and returns its pool of upstream connections.
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

// Addr returns the address that clients connect to.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// spawn runs a task in a goroutine. The task must end with the node's context.
func (n *Node) spawn(task func()) { n.tasks.Go(task) }

// duration converts seconds of the decision module to a time.Duration.
func duration(s decision.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
