package replication

import (
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// Classes of subscribers.
const (
	ClassAgent   = "agent"   // of an edge machine, to a control node
	ClassProxy   = "proxy"   // to the agent beside it
	ClassControl = "control" // of another control node
)

// Source serves subscribers of a Store. Its functions are called from many goroutines and must not block; those that
// say what nil means may be nil.
type Source struct {
	Store *Store
	Clock *Clock

	// Members counts the ingresses with a lease; nil: not known.
	Members func() int
	// Ready reports whether a new subscriber may serve with what it gets here; nil: no.
	Ready func() bool
	// Quorum reports whether this process is in contact with a majority of the voters; nil: no.
	Quorum func() bool
	// Epoch returns the epoch to send; nil: that of the Store.
	Epoch func() uint64
	// OnInstances takes instances that a subscriber knows and this source may have lost; nil: they are ignored.
	OnInstances func(instances []registry.Instance)
	// OnRenewal is called when an agent or a proxy renews its lease; may be nil.
	OnRenewal func(hello *transport.Hello, ready bool)
	// Rank returns the rank of a subscriber in its zone, and how many are ranked there; nil: nobody has a rank.
	Rank func(node string) (rank, peers int)
	// LinkDelay estimates the queueing delay of this machine's link; 0 or nil: not known.
	LinkDelay func() time.Duration
	// Voters returns the electorate that agents are sent. The slice is never changed in place. Nil: none is sent.
	Voters func() []string
	// Heartbeats returns what was received behind a number, and the number to ask with next (see
	// registry.Registry.HeartbeatsSince). It is sent to control nodes; nil: nothing is.
	Heartbeats func(since uint64) (heartbeats []transport.Heartbeat, last uint64)

	cache   chunkCache
	resumes heartbeatResumes
}

// Serve sends a subscriber what it lacks, changes as they come and an empty update each half second, and takes its
// frames until the connection ends; it returns the cause. Calls, and other frames that are no matter of the
// subscription, go to handle (see transport.Conn.Run); with a nil handle they are ignored.
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

// restoreInstances takes the instances that a subscriber sends because this source may have lost them.
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
