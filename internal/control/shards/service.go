package shards

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
)

// Count is the number of shards. Six shards are divided evenly among three voters, and nearly so among four. The number
// is part of the format on disk, because names would be in other shards if it changed.
const Count = 6

const (
	tickInterval           = 50 * time.Millisecond // interval at which the time is reported to the replicas
	upkeepIntervalTicks    = 10                    // ticks (0.5 s) between deletions of records that are not needed
	rebalanceIntervalTicks = 40                    // ticks (2 s) between transfers of leases to preferred voters
	// minTermAgeSeconds is the time for which a leaseholder keeps a lease before it transfers it to a preferred voter.
	// It bounds how often a lease moves.
	minTermAgeSeconds   = 3.0
	removalPollInterval = 20 * time.Millisecond // between two looks at the voters by AwaitRemoval
)

// Process is one process of a control node. A node that is restarted continues as another process.
type Process struct {
	Addr        string // control address of the node
	Incarnation uint64 // identifies the process; no other process has had the same number
}

// Peers reaches the other control nodes (peers.Set).
type Peers interface {
	// Send sends a frame to whichever process of a node is connected.
	Send(addr string, frame *transport.Frame) error
	// SendTo sends a frame to one process of a node. It must never deliver the frame to another process of the node.
	SendTo(addr string, incarnation uint64, frame *transport.Frame) error
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Self        string  // own control address
	Incarnation uint64  // identifies this process, and is the seed of its random choices
	History     float64 // time for which events are kept for watches, seconds
	Peers       Peers
	// Electorate returns the voters of the configuration. The voters of the shards are changed to these.
	Electorate func() consensus.Electorate
	Clock      func() time.Duration // monotonic clock
	Log        log.Logger
}

// Service has the shards of this node. It has none before Open. Until then calls fail and messages are dropped.
type Service struct {
	options Options
	log     log.Logger
	hosts   atomic.Pointer[[Count]*host]
	opened  chan struct{} // closed by Open

	ctx     context.Context //nolint:containedctx // goroutines that calls start end with Run
	stop    context.CancelFunc
	running sync.WaitGroup

	mu                sync.Mutex // guards the fields up to ended
	outboxes          map[string]*outbox
	lastCall          uint64 // id of the last call that was forwarded
	forwards          map[uint64]chan transport.CoordinationReply
	forwardedInFlight int  // calls that peers forwarded and that are being evaluated
	ended             bool // no more goroutines are started

	Metrics *Metrics
}

// New makes a service.
func New(o Options) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		lastCall: firstCall(o.Incarnation),
		options:  o, log: log.With(o.Log, "part", "shards"), opened: make(chan struct{}), ctx: ctx, stop: stop,
		outboxes: map[string]*outbox{}, forwards: map[uint64]chan transport.CoordinationReply{}, Metrics: newMetrics(),
	}
}

// Open sets the state of the shards that was read from the disk. If the system starts for the first time on this disk,
// initialVoters are its voters. If they are nil, a shard that is not on the disk is received from its leaseholder.
func (s *Service) Open(disk *storage.Store, states map[uint32]shard.State, self consensus.Voter,
	initialVoters []consensus.Voter) {
	hosts := new([Count]*host)
	for number := range uint32(Count) {
		h := newHost(s, number, disk, states[number], self)
		if initialVoters != nil {
			h.bootstrap(initialVoters)
		}
		hosts[number] = h
		s.start(h.reportSaves)
	}
	s.hosts.Store(hosts)
	close(s.opened)
}

// Run reports the time to the shards until the context ends. Then it ends all goroutines of the service.
func (s *Service) Run(ctx context.Context) {
	defer s.end()
	select {
	case <-s.opened:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		target := s.options.Electorate().Voters
		for _, h := range s.hosts.Load() {
			h.tick(round, target)
		}
	}
}

// start runs work in a goroutine. After the end of the service it does nothing.
func (s *Service) start(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.running.Go(work)
	}
}

// end ends the goroutines of the service, and waits for them.
func (s *Service) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.stop()
	s.running.Wait()
}

// TransferLeases transfers the leases that this node holds to other voters. It is called before the process ends.
func (s *Service) TransferLeases() {
	hosts := s.hosts.Load()
	if hosts == nil {
		return
	}
	for _, h := range hosts {
		h.transferToAnyVoter()
	}
}

// AwaitRemoval waits until this node is no voter of any shard, as far as it has replicas of them, for limit at most.
// It reports whether that is so. It is called before the process ends, once the electorate does not list the node any
// more: a voter of a shard that has ended would count towards the majority that the other voters need.
func (s *Service) AwaitRemoval(ctx context.Context, limit time.Duration) (removed bool) {
	hosts := s.hosts.Load()
	if hosts == nil {
		return true
	}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		removed = !slices.ContainsFunc(hosts[:], (*host).isVoter)
		if removed || !retry.Sleep(ctx, removalPollInterval) {
			break
		}
	}
	return removed
}

// now is the time by the monotonic clock, in seconds.
func (s *Service) now() float64 { return s.options.Clock().Seconds() }

// hostOf returns the host of a request's shard, or nil until the disk has been read.
func (s *Service) hostOf(r coordination.Request) *host {
	hosts := s.hosts.Load()
	if hosts == nil {
		return nil
	}
	return hosts[shardOf(r.Scope())]
}

// shardOf returns the number of the shard of a scope.
func shardOf(scope string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(scope))
	return hash.Sum32() % Count
}

// ShardOf returns the number of the shard that evaluates a request.
func (s *Service) ShardOf(r coordination.Request) uint32 { return shardOf(r.Scope()) }
