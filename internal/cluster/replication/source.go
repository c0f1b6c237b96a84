package replication

import (
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// Classes of subscribers.
const (
	ClassAgent   = "agent"   // agent of an edge machine, subscribed to a control node
	ClassProxy   = "proxy"   // proxy, subscribed to the agent on the same machine
	ClassControl = "control" // control node, subscribed to another control node
)

// Source serves subscribers of a Store. Its functions are called from many goroutines and must not block. A function
// may be nil if its comment says what nil means.
type Source struct {
	Store *Store
	Clock *Clock

	// Members returns the number of ingresses with a lease; nil means unknown.
	Members func() int
	// RecentMembers returns the highest number of ingresses that had a lease lately; nil means unknown.
	RecentMembers func() int
	// Ready reports whether a new subscriber has all that it needs to serve once it is up to date; nil means no.
	Ready func() bool
	// Quorum reports whether this process is in contact with a majority of the voters; nil means no.
	Quorum func() bool
	// Epoch returns the epoch to send; nil means the epoch of the Store.
	Epoch func() uint64
	// OnInstances is called with instances that a subscriber sends because this source may have lost them; nil means
	// that they are ignored.
	OnInstances func(instances []registry.Instance)
	// OnRenewal is called when an agent or a proxy renews its lease; may be nil.
	OnRenewal func(hello *transport.Hello, ready bool)
	// Rank returns the rank of a subscriber in its zone, and the number of ranked ingresses there; nil means no ranks.
	Rank func(node string) (rank, peers int)
	// LinkDelay estimates the queueing delay of this machine's link; 0 or nil means unknown.
	LinkDelay func() time.Duration
	// Voters returns the electorate, which is sent to all subscribers but control nodes. The slice is never changed in
	// place. Nil means that it is not sent.
	Voters func() []string
	// Heartbeats returns the heartbeats received after a number, and the number for the next call (see
	// registry.Registry.HeartbeatsSince). They are sent to control nodes; nil means that none are sent.
	Heartbeats func(since uint64) (heartbeats []transport.Heartbeat, last uint64)

	// OnItemLeftOut is called when an item is not sent to a subscriber of an earlier version, which would reject a
	// frame of that length. May be nil.
	OnItemLeftOut func(node string, key configuration.Key)

	cache   chunkCache
	resumes heartbeatResumes
}

// Serve sends a subscriber the entries that it does not have, then changes as they happen, and an update at least each
// half second. It handles the subscriber's frames until the connection ends, and returns the cause of the end. Calls
// and other frames that are not part of the subscription are passed to handle (see transport.Conn.Run); with a nil
// handle they are ignored.
func (s *Source) Serve(
	conn *transport.Conn, hello *transport.Hello, handle func(*transport.Frame) *transport.Frame,
) error {
	defer conn.Close()
	s.restoreInstances(hello)
	ended := make(chan error, 1)
	go func() {
		ended <- conn.Run(func(frame *transport.Frame) *transport.Frame {
			switch {
			case frame.Renewal != nil:
				s.Clock.Observe(frame.Renewal.Clock, 0)
				if s.OnRenewal != nil && hello.Class != ClassControl {
					s.OnRenewal(hello, frame.Renewal.Ready)
				}
			case frame.Hello != nil:
				s.restoreInstances(frame.Hello)
			case handle != nil:
				return handle(frame)
			}
			return nil
		})
	}()
	feed := newFeed(s, conn, hello)
	feed.run()
	feed.recordHeartbeats()
	conn.Close()
	return <-ended
}

// restoreInstances passes on the instances that a subscriber sends because this source may have lost them.
func (s *Source) restoreInstances(hello *transport.Hello) {
	if s.OnInstances != nil && len(hello.Instances) > 0 {
		s.OnInstances(hello.Instances)
	}
}

// status returns an update without changes.
func (s *Source) status() *transport.Update {
	update := &transport.Update{Incarnation: s.Store.Incarnation(), Clock: s.Clock.Now()}
	if s.Members != nil {
		update.Members = s.Members()
	}
	if s.RecentMembers != nil {
		update.RecentMembers = s.RecentMembers()
	}
	update.Ready = s.Ready != nil && s.Ready()
	update.Quorum = s.Quorum != nil && s.Quorum()
	if s.LinkDelay != nil {
		update.LinkDelay = s.LinkDelay().Seconds()
	}
	if s.Epoch != nil {
		update.Epoch = s.Epoch()
	} else {
		update.Epoch = s.Store.Epoch()
	}
	return update
}
