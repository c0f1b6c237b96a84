package replication

import (
	"errors"
	"slices"
	"time"

	"mulleinrouter/internal/cluster/configuration"
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

// sendChunk sends the next shared chunk, or an item that is too long for one. If few changes are left, it sends nothing
// and returns sent false; they go with the next update.
func (f *feed) sendChunk() (sent bool, err error) {
	next, found, err := f.source.chunk(f.seq)
	if errors.Is(err, errLongItem) {
		_, _, err = f.sendUpdate()
		return true, err
	}
	if err != nil || !found {
		return false, err
	}
	if err := f.conn.SendEncoded(next.frame); err != nil {
		return false, err
	}
	f.seq = next.last
	return true, nil
}

// newUpdate returns an update without changes for the subscriber.
func (f *feed) newUpdate() *transport.Update {
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
	update.MatchingBuckets, f.matchingBits = f.matchingBits, nil
	update.Seq = f.seq
	return update
}

// sendUpdate sends an update with the next changes for the subscriber. More reports that further ones are left.
func (f *feed) sendUpdate() (builtAt time.Time, more bool, err error) {
	s := f.source
	changes := s.Store.ChangesSinceExcept(f.seq, chunkBytes, f.matching)
	if f.hello.Class == ClassControl {
		changes.Items = nil // a control node accepts only items that consensus has chosen
	}
	if item := changes.longItem(); item != nil {
		err := f.sendLongItem(item, changes)
		return time.Now(), !changes.Complete, err
	}
	f.seq = changes.Seq
	update := f.newUpdate()
	update.Items, update.Instances, update.Complete = changes.Items, changes.Instances, changes.Complete
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

// sendLongItem sends an item that is too long for one update: in parts, or to a subscriber of an earlier version in one
// frame. If such a subscriber would reject the frame and end the connection, the item is left out, so that the
// subscriber gets the later changes.
func (f *feed) sendLongItem(item *configuration.Item, changes Changes) error {
	if !f.hello.AcceptsParts {
		return f.sendUnsplit(item, changes)
	}
	for _, part := range splitBody(item) {
		update := f.newUpdate()
		update.Part = &part
		if part.Last() {
			bare := *item
			bare.Body = nil
			update.Items, update.Seq, update.Complete = []configuration.Item{bare}, changes.Seq, changes.Complete
		}
		if err := f.conn.Send(&transport.Frame{Update: update}); err != nil {
			return err
		}
	}
	f.seq = changes.Seq
	return nil
}

// sendUnsplit sends a long item in one frame, or without the item if the frame would be too long.
func (f *feed) sendUnsplit(item *configuration.Item, changes Changes) error {
	f.seq = changes.Seq
	update := f.newUpdate()
	update.Items, update.Complete = []configuration.Item{*item}, changes.Complete
	frame, err := transport.Append(nil, &transport.Frame{Update: update})
	if err != nil {
		return err
	}
	if len(frame) <= transport.MaxFrameWithoutParts {
		return f.conn.SendEncoded(frame)
	}
	if f.source.OnItemLeftOut != nil {
		f.source.OnItemLeftOut(f.hello.Node, item.Key)
	}
	update.Items = nil
	return f.conn.Send(&transport.Frame{Update: update})
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
