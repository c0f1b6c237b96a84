package replication

import (
	"context"
	"net"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// renewInterval is the least time between two renewals. A renewal is sent when an update arrives, which happens at
	// least each half second.
	renewInterval = 400 * time.Millisecond
	maxVoters     = 64 // a longer list of voters in an update is ignored
)

// session is one connection of a client.
type session struct {
	client      *Client
	conn        *transport.Conn
	lastRenewal time.Time
	repair      sourceRepair
	longItem    bodyAssembly // parts of the item that the source is sending
}

// connectAndServe subscribes over a connection, and returns when the connection ends, or at once if netConn is nil. It
// reports whether the source answered.
func (c *Client) connectAndServe(ctx context.Context, netConn net.Conn) (answered bool) {
	if netConn == nil {
		return false
	}
	conn := transport.NewConn(netConn)
	if c.MaxFrame > 0 {
		conn.SetMaxFrame(c.MaxFrame)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	defer c.setConnection(nil)
	s := &session{client: c, conn: conn}
	if c.InitialSync != nil {
		c.InitialSync.await(ctx, s)
		defer c.InitialSync.end(s)
	}
	previous := c.State()
	if conn.Send(&transport.Frame{Hello: c.hello(previous)}) != nil {
		return false
	}
	if c.RepairSource && previous.Incarnation != 0 && time.Since(previous.LastUpdateAt) > repairAfterAbsence {
		s.repair.start()
	}
	err := conn.Run(func(frame *transport.Frame) *transport.Frame {
		switch {
		case frame.Update != nil:
			if !answered && c.OnConnection != nil {
				c.OnConnection(true, nil)
			}
			answered = true
			s.apply(frame.Update)
		case c.Handle != nil:
			return c.Handle(frame)
		}
		return nil
	})
	if answered && c.OnConnection != nil {
		c.OnConnection(false, err)
	}
	return answered
}

func (c *Client) setConnection(conn *transport.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
}

// hello returns the first frame of a subscription. It identifies the subscriber, and the last change of the source that
// the subscriber has.
func (c *Client) hello(previous State) *transport.Hello {
	hello := &transport.Hello{
		Node:              c.Node,
		Class:             c.Class,
		Incarnation:       c.Incarnation,
		SourceIncarnation: previous.Incarnation,
		Seq:               previous.Seq,
		Epoch:             c.Store.Epoch(),
		Zone:              c.Zone,
		ControlAddr:       c.ControlAddr,
		AcceptsParts:      true,
	}
	if c.Class == ClassAgent {
		hello.Digests = c.Store.Digests()
	}
	return hello
}

// apply handles an update. It also sends the renewals, so that a subscription needs no timer for them.
func (s *session) apply(update *transport.Update) {
	c, now := s.client, time.Now()
	// No store has the incarnation 0 (NewStore), and parts that do not form a body would be lost.
	if update.Incarnation == 0 || !s.longItem.add(update) {
		s.conn.Close()
		return
	}
	c.Clock.Observe(update.Clock, 0)
	c.mu.Lock()
	previous := c.state
	c.mu.Unlock()
	if c.RepairSource && previous.Incarnation != 0 && previous.Incarnation != update.Incarnation {
		s.repair.start()
	}
	s.repair.observe(update, c.Store)
	if c.Consume != nil {
		c.Consume(update)
	} else {
		c.merge(update)
	}
	s.recordState(update, previous, now)
	if c.OnUpdate != nil {
		c.OnUpdate(update)
	}
	if c.InitialSync != nil {
		c.InitialSync.observe(s, update)
	}
	s.repairSource(update, now)
	if now.Sub(s.lastRenewal) >= renewInterval {
		s.lastRenewal = now
		renewal := &transport.Renewal{Clock: c.Clock.Now(), Ready: c.Ready != nil && c.Ready()}
		_ = s.conn.Send(&transport.Frame{Renewal: renewal}) // a broken connection ends in conn.Run
	}
}

// recordState records the state of the source from an update, and that the connection is up.
func (s *session) recordState(update *transport.Update, previous State, now time.Time) {
	c := s.client
	voters := previous.Voters
	if n := len(update.Voters); n > 0 && n <= maxVoters {
		voters = update.Voters
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = State{
		Incarnation:  update.Incarnation,
		Seq:          update.Seq,
		Members:      update.Members,
		Recent:       update.RecentMembers,
		Ready:        update.Ready,
		Quorum:       update.Quorum,
		Complete:     update.Complete,
		Epoch:        update.Epoch,
		Rank:         update.Rank,
		ZonePeers:    update.ZonePeers,
		Voters:       voters,
		LastUpdateAt: now.Add(-c.Clock.Age(update.Clock)),
	}
	c.conn = s.conn
}

// merge merges an update into the store, and reduces the update to the entries that were new to the store. Items with
// an invalid key are dropped, because no process of the system sends them. The source's epoch is recorded once the
// update is complete, so that the store has everything of that epoch. A control node doesn't use the source's epoch.
func (c *Client) merge(update *transport.Update) {
	valid := update.Items[:0]
	for _, item := range update.Items {
		if item.Key.Valid() {
			valid = append(valid, item)
		}
	}
	update.Items = c.Store.MergeItems(valid)
	update.Instances = c.Store.MergeInstances(update.Instances)
	if update.Complete && c.Class != ClassControl {
		c.Store.SetEpoch(update.Epoch)
	}
}
