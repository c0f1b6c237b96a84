package replication

import (
	"slices"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// batchDelay is the least time from a complete update to the next one, so that changes that are close in time are
	// sent in one update.
	batchDelay = 2 * time.Millisecond
	// heartbeatBatchInterval is the least time between two batches of heartbeats. A batch is sent in one update or, if
	// it has maxHeartbeats or more, in several updates without a delay.
	heartbeatBatchInterval = 400 * time.Millisecond
	// maxHeartbeats is the most heartbeats that Source.Heartbeats returns at a time. After that many, more may be left.
	maxHeartbeats = 2048
)

// feed is the sending side of a subscription. It records what has been sent to the subscriber so far.
type feed struct {
	source *Source
	conn   *transport.Conn
	hello  *transport.Hello

	initial      bool             // the Hello names no entries by Seq or digests, so shared chunks are sent first
	seq          uint64           // changes up to this sequence number were sent
	matching     *MatchingBuckets // entries that the subscriber had when it subscribed
	matchingBits []byte           // bits of matching to be sent with the next update; nil means none
	voters       []string         // the electorate as last sent

	sendsHeartbeats  bool
	heartbeatNumber  uint64 // heartbeats up to this number were sent
	lastBatchStart   uint64 // heartbeatNumber before the last update with heartbeats, which may not have arrived
	lastHeartbeatsAt time.Time
}

func newFeed(s *Source, conn *transport.Conn, hello *transport.Hello) *feed {
	f := &feed{source: s, conn: conn, hello: hello}
	if hello.SourceIncarnation == s.Store.Incarnation() {
		f.seq = hello.Seq
	} else {
		f.matching = s.Store.Match(hello.Digests)
	}
	f.matchingBits = f.matching.Bits()
	f.sendsHeartbeats = hello.Class == ClassControl && s.Heartbeats != nil
	if f.sendsHeartbeats {
		f.heartbeatNumber = s.resumeHeartbeats(hello.Node)
		f.lastBatchStart = f.heartbeatNumber
	}
	f.initial = f.seq == 0 && f.matching == nil && hello.Class != ClassControl
	return f
}

// run sends updates until the connection ends: when the store changes, and at least once per
// transport.KeepaliveInterval.
func (f *feed) run() {
	timer := time.NewTimer(transport.KeepaliveInterval)
	defer timer.Stop()
	for {
		changed := f.source.Store.Changed()
		if f.initial {
			sent, err := f.sendChunk()
			if err != nil {
				return
			}
			if sent {
				continue
			}
			f.initial = false
		}
		builtAt, more, err := f.sendUpdate()
		if err != nil {
			return
		}
		if more {
			continue
		}
		if !wait(timer, transport.KeepaliveInterval, changed, f.conn.Done()) {
			return
		}
		if left := batchDelay - time.Since(builtAt); left > 0 && !wait(timer, left, nil, f.conn.Done()) {
			return
		}
	}
}

// sendChunk sends the next shared chunk. If few changes are left, it sends nothing and returns sent false; they go with
// the next update.
func (f *feed) sendChunk() (sent bool, err error) {
	next, found, err := f.source.chunk(f.seq)
	if err != nil || !found {
		return false, err
	}
	if err := f.conn.SendEncoded(next.frame); err != nil {
		return false, err
	}
	f.seq = next.last
	return true, nil
}

// sendUpdate sends an update with the next changes for the subscriber. More reports that further ones are left.
func (f *feed) sendUpdate() (builtAt time.Time, more bool, err error) {
	s := f.source
	update := s.status()
	if s.Rank != nil {
		update.Rank, update.ZonePeers = s.Rank(f.hello.Node)
	}
	if s.Voters != nil && f.hello.Class != ClassControl {
		if voters := s.Voters(); !slices.Equal(voters, f.voters) {
			f.voters, update.Voters = voters, voters
		}
	}
	changes := s.Store.ChangesSinceExcept(f.seq, chunkBytes, f.matching)
	f.seq = changes.Seq
	update.Items, update.Instances, update.Complete = changes.Items, changes.Instances, changes.Complete
	update.Seq = f.seq
	update.MatchingBuckets, f.matchingBits = f.matchingBits, nil
	if f.hello.Class == ClassControl {
		update.Items = nil // a control node accepts only items that consensus has chosen
	}
	builtAt = time.Now()
	more = !update.Complete
	if f.sendsHeartbeats && builtAt.Sub(f.lastHeartbeatsAt) >= heartbeatBatchInterval {
		since := f.heartbeatNumber
		if update.Heartbeats, f.heartbeatNumber = s.Heartbeats(since); len(update.Heartbeats) > 0 {
			f.lastBatchStart = since
		}
		if len(update.Heartbeats) < maxHeartbeats {
			f.lastHeartbeatsAt = builtAt
		} else {
			more = true
		}
	}
	return builtAt, more, f.conn.Send(&transport.Frame{Update: update})
}

// wait waits for a change or the end of the timeout. It returns false if the connection has ended.
func wait(timer *time.Timer, timeout time.Duration, changed, done <-chan struct{}) bool {
	timer.Reset(timeout)
	select {
	case <-done:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
