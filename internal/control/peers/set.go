package peers

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
)

const (
	// maxPeers is the maximum number of other control nodes. It bounds the connections, because any control node that
	// connects to this one is added. A further node takes the place of one that is evicted, or is ignored if there is
	// none.
	maxPeers = 40
	// evictAfter is how long a peer must have been disconnected before it may be evicted. Voters are not evicted.
	evictAfter = 30 * time.Second
)

// Options are the settings and dependencies of a Set.
type Options struct {
	Self           string // control address of this node
	Node           string // name of this node
	Zone           string // zone of this node
	Incarnation    uint64 // identifies this process; no other process has had the same number
	Store          *replication.Store
	Clock          *replication.Clock
	Lease          *majority.Lease
	Ready          func() bool                                                  // sent with each renewal
	Voters         func() []string                                              // control addresses of the electorate
	InternalAddrOf func(controlAddr string) string                              // empty if unknown
	Dial           func(ctx context.Context, internal string) (net.Conn, error) // TCP if nil
	// OnUpdate is called with each update of a peer, to merge its contents other than configuration items.
	OnUpdate func(*transport.Update)
	// OnConnected is called when a peer answers on a new connection. It must not block.
	OnConnected func()
	Log         log.Logger
}

// Set is the set of other control nodes that this node knows. It is safe for concurrent use.
type Set struct {
	options Options

	mu  sync.Mutex // guards all
	all []*Peer    // copied on append, so that readers may keep the old slice
}

// Peer is another control node.
type Peer struct {
	Addr   string // control address
	client *replication.Client
	stop   context.CancelFunc // ends the client
	zone   atomic.Pointer[string]
	leaves atomic.Bool               // the peer shuts down
	lostAt atomic.Pointer[time.Time] // end of the last connection or, before the first one, time of the subscription
}

// NewSet makes an empty set.
func NewSet(o Options) *Set { return &Set{options: o} }

// Subscribe subscribes to those of the control nodes that are not known yet. The clients run in wg until the context
// ends.
func (s *Set) Subscribe(ctx context.Context, wg *sync.WaitGroup, addrs []string) {
	voters := s.options.Voters()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, addr := range addrs {
		internal := s.options.InternalAddrOf(addr)
		known := slices.ContainsFunc(s.all, func(p *Peer) bool { return p.Addr == addr })
		if addr == s.options.Self || internal == "" || known || !s.evictIfFull(slices.Concat(voters, addrs)) {
			continue
		}
		p := s.newPeer(addr, internal)
		peerCtx, stop := context.WithCancel(ctx)
		p.stop = stop
		s.all = append(s.all[:len(s.all):len(s.all)], p)
		wg.Go(func() { p.client.Run(peerCtx) })
	}
}

// evictIfFull reports whether another peer may be added. If the set is full, it evicts the peer that has been
// disconnected for longest, except those to keep. The caller holds s.mu.
func (s *Set) evictIfFull(keep []string) bool {
	if len(s.all) < maxPeers {
		return true
	}
	var evicted *Peer
	for _, p := range s.all {
		if p.Connected() || time.Since(*p.lostAt.Load()) < evictAfter || slices.Contains(keep, p.Addr) {
			continue
		}
		if evicted == nil || p.lostAt.Load().Before(*evicted.lostAt.Load()) {
			evicted = p
		}
	}
	if evicted == nil {
		return false
	}
	evicted.stop()
	s.all = slices.DeleteFunc(slices.Clone(s.all), func(p *Peer) bool { return p == evicted })
	return true
}

func (s *Set) newPeer(addr, internal string) *Peer {
	o := &s.options
	client := &replication.Client{
		Addr:        internal,
		Node:        o.Node,
		Class:       replication.ClassControl,
		ControlAddr: o.Self,
		Zone:        o.Zone,
		Incarnation: o.Incarnation,
		Seed:        o.Incarnation,
		Store:       o.Store,
		Clock:       o.Clock,
		MaxFrame:    transport.MaxControlFrame,
		Ready:       o.Ready,
		Consume:     o.OnUpdate,
	}
	p := &Peer{Addr: addr, client: client}
	p.recordLoss()
	client.OnConnection = func(up bool, err error) {
		if up {
			level.Info(o.Log).Log("msg", "peer connected", "peer", addr)
			o.OnConnected()
		} else {
			p.recordLoss()
			level.Warn(o.Log).Log("msg", "peer disconnected", "peer", addr, "err", err)
		}
	}
	if o.Dial != nil {
		client.Dial = func(ctx context.Context) (net.Conn, error) { return o.Dial(ctx, internal) }
	}
	return p
}

func (p *Peer) recordLoss() {
	now := time.Now()
	p.lostAt.Store(&now)
}

// All returns the peers in the order in which they became known. The caller must not change the slice.
func (s *Set) All() []*Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}

// Find returns the peer at a control address, or nil if it is unknown.
func (s *Set) Find(addr string) *Peer {
	for _, p := range s.All() {
		if p.Addr == addr {
			return p
		}
	}
	return nil
}

// Call calls a peer and returns its answer, or nil if there is none. Any answer extends the majority lease.
func (s *Set) Call(addr string, timeout time.Duration, request *transport.Frame) *transport.Frame {
	p := s.Find(addr)
	if p == nil {
		return nil
	}
	sentAt := s.options.Lease.Now()
	answer, err := p.client.Call(timeout, request)
	if err != nil {
		return nil
	}
	s.options.Lease.RecordAnswer(addr, sentAt)
	return answer
}

// Send sends a one-way frame to a peer. It may block while the peer does not read. A frame that can't be sent is lost.
func (s *Set) Send(addr string, frame *transport.Frame) error {
	p := s.Find(addr)
	if p == nil {
		return replication.ErrNotConnected
	}
	return p.client.Send(frame)
}

// SendTo sends a one-way frame to one process of a peer, which is identified by its incarnation. If the peer has been
// restarted since, the frame is dropped. Otherwise SendTo is like Send.
func (s *Set) SendTo(addr string, incarnation uint64, frame *transport.Frame) error {
	p := s.Find(addr)
	if p == nil {
		return replication.ErrNotConnected
	}
	return p.client.SendTo(incarnation, frame)
}

// Broadcast calls all peers without waiting for answers, which do not extend the majority lease. Each call needs a
// separate frame, made by newRequest.
func (s *Set) Broadcast(timeout time.Duration, newRequest func() *transport.Frame) {
	for _, p := range s.All() {
		request := newRequest()
		go p.client.Call(timeout, request) //nolint:errcheck // a peer that misses it catches up later
	}
}

// Connected returns the number of connected peers.
func (s *Set) Connected() (count int) {
	for _, p := range s.All() {
		if p.Connected() {
			count++
		}
	}
	return count
}

// NewestEpoch returns the highest epoch that a peer is known to have, or floor if that is higher.
func (s *Set) NewestEpoch(floor uint64) uint64 {
	newest := floor
	for _, p := range s.All() {
		newest = max(newest, p.State().Epoch)
	}
	return newest
}

// Call calls the peer without extending the majority lease; see Set.Call.
func (p *Peer) Call(timeout time.Duration, request *transport.Frame) (*transport.Frame, error) {
	return p.client.Call(timeout, request)
}

// Connected reports whether there is a connection on which the peer has answered.
func (p *Peer) Connected() bool { return p.client.Connected() }

// State returns the state that the peer last reported of itself.
func (p *Peer) State() replication.State { return p.client.State() }

// RetryNow dials the peer again at once if it is not connected. It is called when the peer has connected to this node,
// and so is known to run.
func (p *Peer) RetryNow() { p.client.RetryNow() }

// SetLeaving records whether the peer has announced its shutdown.
func (p *Peer) SetLeaving(leaving bool) { p.leaves.Store(leaving) }

// Leaving reports whether the peer has announced its shutdown with its last answer to a ping.
func (p *Peer) Leaving() bool { return p.leaves.Load() }

// SetZone records the zone that the peer has reported.
func (p *Peer) SetZone(zone string) { p.zone.Store(&zone) }

// Zone returns the peer's zone, or "" if it is unknown.
func (p *Peer) Zone() string {
	if zone := p.zone.Load(); zone != nil {
		return *zone
	}
	return ""
}
