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

// shutdownLinger is the time from the end of the HTTP calls to that of all else: agents find other nodes meanwhile.
const shutdownLinger = time.Second

// bindPolicy covers the 3 s for which the process before may still hold an address.
var bindPolicy = retry.Policy{Attempts: 31, Interval: 100 * time.Millisecond}

// program is the name of this program in logs, metrics and settings.
const program = "control"

// Config is what a node is made of.
type Config struct {
	Settings *settings.Settings
	Metrics  metrics.Endpoint // where metrics are served; zero: nowhere
	Log      log.Logger
	FS       vfs.FS       // nil: the machine's own
	Control  net.Listener // for HTTP calls; nil: bound to the settings' address
	Internal net.Listener // for agents and control nodes; nil: bound to the settings' address

	// Incarnation is a number that no other process has had; 0: drawn.
	Incarnation uint64
	// InternalAddrOf returns the internal address that belongs to a control address; nil: as the settings say.
	InternalAddrOf func(control string) string
	// Dial connects to an internal address; nil: TCP.
	Dial func(ctx context.Context, internal string) (net.Conn, error)
}

// Node is a control node. Nodes are named by their control addresses. It wires its parts together and owns their
// life cycle.
type Node struct {
	settings    *settings.Settings
	config      Config
	self        string // own control address
	incarnation uint64
	name        string // of this process, and of no other: its ballots bear it
	log         log.Logger
	started     time.Time
	ended       chan struct{} // closed at the end of Run
	linger      time.Duration // shutdownLinger; tests set it before Run
	leaseClock  func() time.Duration

	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source
	disk        atomic.Pointer[storage.Store] // nil: it has not been read yet
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
	shards      *shards.Service // nil: applications do not coordinate through this system
	api         *httpapi.Server

	wakeWatch     chan struct{} // something happened that must not wait for the next tick
	lastInContact atomic.Bool   // the majority lease was held when watch looked last
	// confirmedTerm is the term of the majority lease in which the snapshot here was confirmed as the newest; 0: none.
	confirmedTerm atomic.Uint64
	lagging       atomic.Bool // another node has had a newer snapshot for a while
	warm          atomic.Bool // the servers are known: the disk or another ready node had them
}

// New makes a node. It does nothing until Run.
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
		linger:      shutdownLinger,
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

// uptime is the seconds since the node was made, by a monotonic clock.
func (n *Node) uptime() float64 { return time.Since(n.started).Seconds() }

func incarnationName(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Run serves until the context ends, then shuts down gracefully and returns. It returns an error if it cannot serve.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	control, internal, err := n.listen()
	if err != nil {
		return err
	}
	// What serves other nodes outlives the HTTP calls by n.linger: agents find other control nodes meanwhile.
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
			failed <- errors.Wrap(err, "control calls")
		}
	})
	level.Info(n.log).Log("msg", "started", "node", n.settings.Node, "control", n.self, "incarnation", n.incarnation)
	for _, clause := range n.settings.UnsupportedClauses() {
		level.Warn(n.log).Log("msg", "clause not supported", "clause", clause)
	}
	linger := n.linger
	handedOver := make(chan struct{})
	select {
	case err = <-failed:
		linger = 0
		close(handedOver)
	case <-ctx.Done():
		level.Info(n.log).Log("msg", "shutting down")
		go func() {
			defer close(handedOver)
			n.handOverShards()
			n.electorate.HandOver(work)
		}()
		server.SetKeepAlivesEnabled(false)
	}
	n.drain(server, linger, handedOver)
	stop()
	internal.Close()
	retry.AwaitClosed(opened, linger)
	if disk := n.disk.Load(); disk != nil {
		err = errors.CombineErrors(err, disk.Close())
	}
	level.Info(n.log).Log("msg", "stopped")
	return err
}

// startWork starts what runs from the start of the node until work ends.
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

// openDisk reads the disk in the background: it may hang, and nothing waits for it. The channel is closed at its end.
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

// drain ends the HTTP calls within linger, and waits for the handover of the vote.
func (n *Node) drain(server *http.Server, linger time.Duration, handedOver <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), linger)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
	<-ctx.Done()
	retry.AwaitClosed(handedOver, electorate.HandoverLimit)
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

// listen listens on an address, which the process before may hold for a moment longer.
func listen(addr string) (net.Listener, error) {
	listener, err := retry.Listen(context.Background(), addr, bindPolicy)
	return listener, errors.Wrapf(err, "listen on %s", addr)
}

// open reads the disk, and has this node join the others.
func (n *Node) open(ctx context.Context, wg *sync.WaitGroup) error {
	disk, state, err := storage.Open(n.config.FS, n.settings.DataPath, n.log)
	if err != nil {
		return errors.Wrap(err, "the disk")
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
