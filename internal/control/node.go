package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/control/catchup"
	"mulleinrouter/internal/control/connlimit"
	"mulleinrouter/internal/control/electorate"
	"mulleinrouter/internal/control/httpapi"
	"mulleinrouter/internal/control/ingresslease"
	"mulleinrouter/internal/control/instances"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/peers"
	"mulleinrouter/internal/control/proposals"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/control/shards"
	"mulleinrouter/internal/control/storage"
)

// shutdownGracePeriod is how long a node goes on serving agents and other control nodes after a shutdown has begun.
// HTTP calls end within this time, and agents find other control nodes meanwhile.
const shutdownGracePeriod = time.Second

// bindPolicy retries for 3 s, because a previous process that is still shutting down may hold the address.
var bindPolicy = retry.Policy{Attempts: 31, Interval: 100 * time.Millisecond}

// program is the name of this program in logs, metrics and settings.
const program = "control"

// Config contains the settings and dependencies of a node.
type Config struct {
	Settings *settings.Settings
	Metrics  metrics.Endpoint // where metrics are served; nowhere if zero
	Log      log.Logger
	FS       vfs.FS       // the machine's file system if nil
	Control  net.Listener // for HTTP calls; bound to the settings' address if nil
	Internal net.Listener // for agents and control nodes; bound to the settings' address if nil

	// Incarnation identifies this process; no other process may have had the same number. A random one is drawn if 0.
	Incarnation uint64
	// InternalAddrOf returns the internal address of the node with a control address. The settings' rule applies if
	// nil.
	InternalAddrOf func(control string) string
	// Dial connects to an internal address. It uses TCP if nil.
	Dial func(ctx context.Context, internal string) (net.Conn, error)
}

// Node is a control node. It connects its components and owns their life cycle. Nodes are identified by their control
// addresses.
type Node struct {
	settings    *settings.Settings
	config      Config
	self        string // control address of this node
	incarnation uint64
	name        string // unique name of this process, which its ballots contain
	log         log.Logger
	started     time.Time
	ended       chan struct{}        // closed at the end of Run
	gracePeriod time.Duration        // shutdownGracePeriod, unless a test sets another before Run
	leaseClock  func() time.Duration // monotonic clock of the majority lease; a test may set another before Run

	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source
	disk        atomic.Pointer[storage.Store] // nil until it has been read
	connections *connlimit.Gate
	majority    *majority.Lease
	replica     *replica.Replica
	peers       *peers.Set
	fetcher     *catchup.Fetcher
	proposals   *proposals.Queue
	electorate  *electorate.Manager
	instances   *instances.Registry
	departures  *instances.Departures
	ingresses   ingresslease.Table
	counters    *counterService
	shards      *shards.Service // nil if coordinationClause is not in force
	api         *httpapi.Server

	leaving       atomic.Bool   // the shutdown has begun
	wakeWatch     chan struct{} // makes watch start its next round at once
	lastInContact atomic.Bool   // whether the majority lease was held in the last round of watch
	// confirmedTerm is the term of the majority lease in which the local snapshot was confirmed as the newest; 0 if
	// none.
	confirmedTerm atomic.Uint64
	lagging       atomic.Bool // another node has had a newer snapshot for more than catchup.MaxLag
	warm          atomic.Bool // the servers were read from disk or received from another ready node
}

// New makes a node. The node does nothing until Run is called.
func New(c Config) (*Node, error) {
	if err := c.Settings.Require(program); err != nil {
		return nil, err
	}
	if c.Incarnation == 0 {
		c.Incarnation = rand.Uint64() | 1
	}
	if c.InternalAddrOf == nil {
		c.InternalAddrOf = c.Settings.InternalAddrOf
	}
	n := &Node{
		settings:    c.Settings,
		config:      c,
		self:        c.Settings.ControlAddr,
		incarnation: c.Incarnation,
		name:        c.Settings.Node + "/" + incarnationName(c.Incarnation),
		log:         log.With(c.Log, "part", program),
		started:     time.Now(),
		ended:       make(chan struct{}),
		gracePeriod: shutdownGracePeriod,
		store:       replication.NewStore(c.Incarnation),
		connections: connlimit.NewGate(c.Settings.Limits.MaxFDs),
		wakeWatch:   make(chan struct{}, 1),
	}
	n.leaseClock = func() time.Duration { return time.Since(n.started) }
	n.clock = replication.NewClock(n.uptime)
	n.makeReplica()
	n.makePeers()
	n.makeInstances()
	n.makeProposals()
	n.makeShards()
	n.makeServers()
	return n, nil
}

// uptime returns the seconds since the node was made, by a monotonic clock.
func (n *Node) uptime() float64 { return time.Since(n.started).Seconds() }

func incarnationName(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Run serves until the context ends, then shuts down gracefully and returns. It returns an error if it cannot serve.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	control, internal, err := n.listen()
	if err != nil {
		return err
	}
	// The work for agents and other control nodes goes on for n.gracePeriod after the shutdown has begun, so that
	// agents find other control nodes meanwhile.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	failed := make(chan error, 2)
	n.startWork(work, &wg, internal)
	opened := n.openDisk(work, &wg, failed)
	server := n.api.HTTPServer()
	wg.Go(func() {
		if err := server.Serve(n.connections.Listen(control)); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve HTTP calls")
		}
	})
	level.Info(n.log).Log("msg", "started", "node", n.settings.Node, "control", n.self, "incarnation", n.incarnation)
	for _, clause := range n.settings.UnsupportedClauses() {
		level.Warn(n.log).Log("msg", "clause not supported", "clause", clause)
	}
	gracePeriod := n.gracePeriod
	handedOver := make(chan struct{})
	select {
	case err = <-failed:
		gracePeriod = 0
		close(handedOver)
	case <-ctx.Done():
		level.Info(n.log).Log("msg", "shutting down")
		n.leaving.Store(true)
		go func() {
			defer close(handedOver)
			n.transferShardLeases()
			n.electorate.HandOver(work)
			n.awaitShardRemoval(work)
		}()
		server.SetKeepAlivesEnabled(false)
	}
	n.drain(server, gracePeriod, handedOver)
	stop()
	internal.Close()
	retry.AwaitClosed(opened, gracePeriod)
	if disk := n.disk.Load(); disk != nil {
		err = errors.CombineErrors(err, disk.Close())
	}
	level.Info(n.log).Log("msg", "stopped")
	return err
}

// startWork starts the goroutines that run from the start of the node until the context work ends.
func (n *Node) startWork(work context.Context, wg *sync.WaitGroup, internal net.Listener) {
	n.peers.Subscribe(work, wg, n.settings.Seeds)
	wg.Go(func() { n.proposals.Run(work) })
	wg.Go(func() { n.watch(work, wg) })
	wg.Go(func() { n.electorate.Follow(work, wg) })
	wg.Go(func() { n.serveInternal(work, internal, wg) })
	wg.Go(func() { n.serveMetrics(work) })
	if n.shards != nil {
		wg.Go(func() { n.shards.Run(work) })
	}
}

// openDisk reads the disk in the background, because the disk may hang and the node must serve without it meanwhile.
// The channel is closed when the disk has been read or has failed.
func (n *Node) openDisk(work context.Context, wg *sync.WaitGroup, failed chan<- error) <-chan struct{} {
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		if err := n.open(work, wg); err != nil {
			failed <- err
		}
	}()
	return opened
}

// drain ends the HTTP calls within gracePeriod, waits for the rest of that time, and then for the handover of the
// shards and the vote.
func (n *Node) drain(server *http.Server, gracePeriod time.Duration, handedOver <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
	<-ctx.Done()
	retry.AwaitClosed(handedOver, electorate.HandoverLimit+shardRemovalLimit)
}

func (n *Node) listen() (control, internal net.Listener, err error) {
	if control = n.config.Control; control == nil {
		if control, err = listen(n.self); err != nil {
			return nil, nil, err
		}
	}
	if internal = n.config.Internal; internal == nil {
		if internal, err = listen(n.settings.InternalAddr()); err != nil {
			control.Close()
			return nil, nil, err
		}
	}
	return control, internal, nil
}

// listen listens on an address. It retries while a previous process still holds the address (bindPolicy).
func listen(addr string) (net.Listener, error) {
	listener, err := retry.Listen(context.Background(), addr, bindPolicy)
	return listener, errors.Wrapf(err, "listen on %s", addr)
}

// open reads the disk, starts the components that depend on it, and joins this node to the others.
func (n *Node) open(ctx context.Context, wg *sync.WaitGroup) error {
	disk, state, err := storage.Open(n.config.FS, n.settings.DataPath, n.log)
	if err != nil {
		return errors.Wrap(err, "open storage")
	}
	if ctx.Err() != nil {
		return disk.Close()
	}
	n.instances.Restore(state.Instances)
	serving := func(i registry.Instance) bool { return i.Phase == registry.Serving }
	if slices.ContainsFunc(state.Instances, serving) {
		n.warm.Store(true)
	}
	var bootstrap []string
	if state.Empty && n.settings.Bootstrap {
		bootstrap = n.settings.Seeds
	}
	n.replica.Load(disk, state, bootstrap)
	n.openShards(disk, state)
	n.ingresses.Restore(state.IngressCount)
	n.disk.Store(disk)
	n.notifyWatch()
	level.Info(n.log).Log(
		"msg", "storage opened", "empty", state.Empty, "epoch", state.Acceptor.Epoch, "items", len(state.Items),
		"instances", len(state.Instances), "votes", n.replica.IsVoter())
	n.electorate.Join(ctx, wg)
	return nil
}
