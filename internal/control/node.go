package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/connlimit"
	"mulleinrouter/internal/control/ingresslease"
	"mulleinrouter/internal/control/instances"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/storage"
)

const (
	watchInterval   = 250 * time.Millisecond
	orphanTimeout   = 200 * time.Millisecond // after which an accepted change is finished by whoever has it
	orphanRankDelay = 75 * time.Millisecond  // more for each voter before this one, so that they do not all do it
	inquiryInterval = 200 * time.Millisecond // while a vote is being recovered
	maxPeers        = 40                     // control nodes
	shutdownLinger  = time.Second
)

// program is the name of this program in logs, metrics and settings.
const program = "control"

// Config is what a node is made of.
type Config struct {
	Settings       *settings.Settings
	Metrics        metrics.Endpoint // where figures are served; zero: nowhere
	Log            log.Logger
	FS             vfs.FS                                                    // nil: the machine's own
	Incarnation    uint64                                                    // of this process, no other's; 0: drawn
	Control        net.Listener                                              // nil: bound to the settings' address
	Internal       net.Listener                                              // nil: bound to the settings' address
	InternalAddrOf func(control string) string                               // nil: the settings'
	Dial           func(ctx context.Context, inner string) (net.Conn, error) // nil: TCP
}

// Node is a control node. Of itself and others it speaks by control addresses.
type Node struct {
	settings    *settings.Settings
	config      Config
	self        string
	incarnation uint64
	name        string // of this process, as no other has it: ballots bear it
	log         log.Logger
	started     time.Time

	store       *replication.Store
	clock       *replication.Clock
	source      *replication.Source
	replica     *replica
	proposals   *proposalQueue
	instances   *instances.Registry
	ingresses   ingresslease.Table
	storage     atomic.Pointer[storage.Store] // nil: the disk has not been read yet
	largeBodies chan struct{}                 // room for large bodies

	peers struct {
		sync.Mutex
		all []*peer
	}
	keeper struct {
		sync.Mutex
		*quota.CounterTable
		term uint64 // the span of contact in which it was last told its duty
	}

	behind                     atomic.Bool // another node has had a newer snapshot for a while (see lags)
	lagging                    lag         // watch's
	majority                   *majority.Lease
	leaseClock                 func() time.Duration // of majority; monotonic
	confirmed                  atomic.Uint64        // the span of contact in which the snapshot here was found to be as new as that of more than half; 0: none
	warm                       atomic.Bool          // the servers are known: its disk had them, or another node that has all has told them
	lastInContact              atomic.Bool          // contact, as watch last found it
	wakeWatch                  chan struct{}        // something came that is not to wait for the next tick
	connections                *connlimit.Gate
	ended                      chan struct{} // closed at the end
	electorateState            electorateState
	operatorCalls, serverCalls callCounts
	linger                     time.Duration // from the end of the control calls to that of all else
}

// New makes a node. It does nothing until Run.
func New(c Config) (*Node, error) {
	s := c.Settings
	if err := s.Require(program); err != nil {
		return nil, err
	}
	if c.Incarnation == 0 {
		c.Incarnation = rand.Uint64() | 1
	}
	if c.InternalAddrOf == nil {
		c.InternalAddrOf = s.InternalAddrOf
	}
	n := &Node{settings: s, config: c, self: s.ControlAddr, incarnation: c.Incarnation, log: log.With(c.Log, "part", program), started: time.Now(),
		store: replication.NewStore(c.Incarnation), largeBodies: make(chan struct{}, 2), wakeWatch: make(chan struct{}, 1), ended: make(chan struct{}), linger: shutdownLinger}
	n.clock = replication.NewClock(n.uptime)
	n.name = s.Node + "/" + incarnationName(n.incarnation)
	n.replica = &replica{self: n.self, store: n.store, isOwnBallot: func(b consensus.Ballot) bool { return strings.HasPrefix(b.Node, n.name+"/") },
		drawDiskID: func() uint64 { return n.incarnation }, electorateChanged: n.notifyWatch}
	n.proposals = newProposalQueue(n)
	n.instances = instances.New(n.store, s.HeartbeatInterval, n.uptime)
	n.keeper.CounterTable = quota.New()
	n.connections = connlimit.NewGate(s.Limits.MaxFDs)
	n.leaseClock = func() time.Duration { return time.Since(n.started) }
	n.majority = majority.NewLease(n.self, func() time.Duration { return n.leaseClock() }, n.replica.votersForContact)
	told := func() []string {
		voters, _ := n.replica.electorate()
		return voters
	}
	n.source = &replication.Source{Store: n.store, Voters: told, Clock: n.clock, Ready: n.ready, Quorum: n.inContact, OnInstances: n.instances.Merge, OnRenewal: n.ingresses.Renew,
		Heartbeats: n.instances.HeartbeatsSince, Rank: n.zoneRankOf, Members: n.ingressCount}
	return n, nil
}

// uptime is the seconds since the node was made, by the steady clock.
func (n *Node) uptime() float64 { return time.Since(n.started).Seconds() }

// Run serves until the context ends, then finishes what is in hand and returns. It returns an error where it cannot serve.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	control, inner, err := n.listen()
	if err != nil {
		return err
	}
	// What serves others goes on for a second after the calls of servers and operators have ended: agents find the other nodes meanwhile.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	broken := make(chan error, 2)
	n.subscribeTo(work, &all, n.settings.Seeds)
	all.Go(func() { n.proposals.run(work) })
	all.Go(func() { n.watch(work, &all) })
	all.Go(func() { n.followElectorate(work, &all) })
	all.Go(func() { n.serveInternal(work, inner, &all) })
	all.Go(func() { n.serveMetrics(work) })
	opened := make(chan struct{})
	go func() { // the disk may hang: nobody waits for this to end
		defer close(opened)
		if err := n.open(work, &all); err != nil {
			broken <- err
		}
	}()
	server := n.server()
	lame := n.linger
	all.Go(func() {
		if err := server.Serve(n.connections.Listen(control)); !errors.Is(err, http.ErrServerClosed) {
			broken <- errors.Wrap(err, "control calls")
		}
	})
	n.log.Log("msg", "started", "node", n.settings.Node, "control", n.self, "incarnation", n.incarnation)
	handed := make(chan struct{})
	select {
	case err = <-broken:
		lame = 0
		close(handed)
	case <-ctx.Done():
		n.log.Log("msg", "told to end")
		go func() {
			defer close(handed)
			n.handOverVote(work)
		}()
		server.SetKeepAlivesEnabled(false)
	}
	last, cancel := context.WithTimeout(context.Background(), lame)
	defer cancel()
	if server.Shutdown(last) != nil {
		server.Close()
	}
	<-last.Done()
	select {
	case <-handed:
	case <-time.After(2 * handoverTimeout):
	}
	stop()
	inner.Close()
	select {
	case <-opened:
	case <-time.After(lame):
	}
	if v := n.storage.Load(); v != nil {
		err = errors.CombineErrors(err, v.Close())
	}
	n.log.Log("msg", "ended")
	return err
}

func (n *Node) listen() (control, inner net.Listener, err error) {
	if control = n.config.Control; control == nil {
		if control, err = bind(n.self); err != nil {
			return nil, nil, err
		}
	}
	if inner = n.config.Internal; inner == nil {
		if inner, err = bind(n.settings.InternalAddr()); err != nil {
			control.Close()
			return nil, nil, err
		}
	}
	return control, inner, nil
}

// bind listens on an address, also where the process before has it for a moment longer.
func bind(addr string) (net.Listener, error) {
	for until := time.Now().Add(3 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		l, err := transport.Listen(addr)
		if err == nil || time.Now().After(until) {
			return l, errors.Wrapf(err, "listen on %s", addr)
		}
	}
}

// open reads the disk, and has this node join the others.
func (n *Node) open(ctx context.Context, all *sync.WaitGroup) error {
	v, s, err := storage.Open(n.config.FS, n.settings.DataPath, n.log)
	if err != nil {
		return errors.Wrap(err, "the disk")
	}
	if ctx.Err() != nil {
		return v.Close()
	}
	n.instances.Restore(s.Instances)
	if slices.ContainsFunc(s.Instances, func(l registry.Instance) bool { return l.Phase == registry.Serving }) {
		n.warm.Store(true)
	}
	var bootstrap []string
	if s.Empty && n.settings.Bootstrap {
		bootstrap = n.settings.Seeds
	}
	n.replica.load(v, s, bootstrap)
	n.ingresses.Restore(s.Members)
	n.storage.Store(v)
	n.notifyWatch()
	_, votes := n.replica.electorate()
	n.log.Log("msg", "disk read", "empty", s.Empty, "epoch", s.Acceptor.Epoch, "items", len(s.Items), "instances", len(s.Instances), "votes", votes)
	n.join(ctx, all)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
