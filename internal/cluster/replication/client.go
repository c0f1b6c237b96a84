package replication

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

const (
	initialDialTimeout = 200 * time.Millisecond // a machine without power does not answer, and may be back the next moment: an opening packet is sent again after 1 s
	dialTimeout        = time.Second
	renewInterval      = 400 * time.Millisecond // at the first feed so long after the last one; updates come each half second at least
	repairDelay        = 3 * time.Second        // from the whole of a new incarnation of a source until it is told what it still lacks
	repairAfterAbsence = time.Minute            // without word of a source, after which it may have forgotten what changed
	maxRepairInstances = 2048                   // instances told to one source at once
	repairBatch        = 256                    // instances in one frame
	maxVoters          = 64
)

// Pauses between two tries at a connection.
const (
	initialBackoff = 100 * time.Millisecond
	localBackoff   = 15 * time.Millisecond // to the agent on the same machine, which starts at the same moment
	maxBackoff     = time.Second
)

// ErrNotConnected means that there is no connection to the source now.
var ErrNotConnected = errors.New("source not connected")

// Client keeps one subscription to one source and merges what comes into the Store. Set its fields, then Run it.
type Client struct {
	Addr        string // of the source, host:port
	Node        string // whose subscription it is
	Class       string // Agent, Proxy or Control
	Zone        string // of an ingress
	ControlAddr string // where a control node that subscribes is itself reached; else empty
	Incarnation uint64 // of this process
	Seed        uint64 // for the pauses between tries
	Store       *Store
	Clock       *Clock
	MaxFrame    int // bytes of a frame that is taken; 0: transport.MaxFrame

	Ready        func() bool                             // told with each renewal; nil: not ready
	Handle       func(*transport.Frame) *transport.Frame // calls of the source (see transport.Conn.Run); nil: none are taken
	Consume      func(*transport.Update)                 // takes the place of merging an update into the Store; nil: merge
	OnUpdate     func(*transport.Update)                 // after each feed, in which then is only what was news here (unless Take took it); nil: nobody asks
	OnConnection func(up bool, err error)                // the source answered on a new connection, or a connection on which it had ended; nil: nobody asks
	InitialSync  *InitialSync                            // who of those that share the Store takes the whole first; nil: all do
	RepairSource bool                                    // tell a source that began a new incarnation the instances that it then lacks
	Dial         func(context.Context) (net.Conn, error) // nil: TCP to Addr

	mu          sync.Mutex
	conn        *transport.Conn
	state       State
	cancelPause context.CancelFunc // of the dial or the pause that is under way
}

// State is what is known of a source.
type State struct {
	Incarnation uint64 // 0: it was never heard
	Seq         uint64 // all its changes up to this one are here
	Members     int
	Ready       bool
	Quorum      bool
	Complete    bool // everything of its present incarnation was here, as of its last feed
	Epoch       uint64
	Rank        int       // of this process's ingress among those of its zone
	ZonePeers   int       // 0: it has no rank
	Voters      []string  // the electorate, as it told it last
	LastUpdateAt   time.Time // when it sent the last feed, by the common clock; only for spans, which are of the steady clock
}

// UpdatedWithin tells whether a source was heard so recently.
func (s State) UpdatedWithin(span time.Duration) bool {
	return s.Incarnation != 0 && time.Since(s.LastUpdateAt) <= span
}

// State returns what is known of the source now. What it last said stays when the connection ends; see Heard.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Connected tells whether there is a connection on which the source has answered.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// Call calls the source: ErrDown where it is not connected, else as transport.Conn.Call.
func (c *Client) Call(timeout time.Duration, f *transport.Frame) (*transport.Frame, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil, ErrNotConnected
	}
	return conn.Call(timeout, f)
}

// Run keeps the subscription until the context ends. Just after the start, after a lost connection and after RetryNow it connects
// eagerly (see dialEagerly); then the pause between tries grows from 100 ms to a second, and is drawn anew each time so that those cut
// off together do not come back together.
func (c *Client) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.Seed, c.Incarnation))
	first := initialBackoff
	if c.Class == ClassProxy {
		first = localBackoff
	}
	eagerUntil := time.Now().Add(eagerPeriod)
	for pause := first; ctx.Err() == nil; {
		unhurried, hurry := context.WithCancel(ctx)
		c.mu.Lock()
		c.cancelPause = hurry
		c.mu.Unlock()
		if c.connectAndServe(ctx, c.open(unhurried, eagerUntil, pause)) {
			pause, eagerUntil = first, time.Now().Add(eagerPeriod)
		}
		t := time.NewTimer(pause/2 + time.Duration(random.Int64N(int64(pause/2))))
		select {
		case <-unhurried.Done():
			pause, eagerUntil = first, time.Now().Add(eagerPeriod)
		case <-t.C:
			pause = min(2*pause, maxBackoff)
		}
		t.Stop()
		hurry()
	}
}

// open opens a connection to the source; nil: it does not answer in time. The agent on the same machine, which refuses at once while
// it is not there, is never dialled eagerly.
func (c *Client) open(ctx context.Context, eagerUntil time.Time, pause time.Duration) net.Conn {
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context) (net.Conn, error) { return transport.Dial(ctx, c.Addr, dialTimeout) }
	}
	deadline := time.Now().Add(min(max(2*pause, initialDialTimeout), dialTimeout))
	if eager := c.Class != ClassProxy && time.Now().Before(eagerUntil); eager {
		deadline, dial = eagerUntil, eagerly(dial)
	}
	ctx, done := context.WithDeadline(ctx, deadline)
	defer done()
	conn, err := dial(ctx)
	if err != nil {
		return nil
	}
	return conn
}

func eagerly(dial dialFunc) dialFunc {
	return func(ctx context.Context) (net.Conn, error) { return dialEagerly(ctx, dial) }
}

// RetryNow has a source that is not connected tried anew at once, for there is word that it may be back: a dial that began while it was without
// power would only run out.
func (c *Client) RetryNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil && c.cancelPause != nil {
		c.cancelPause()
	}
}

// connectAndServe subscribes over a connection until that ends; nil: there is none. It tells whether the source answered.
func (c *Client) connectAndServe(ctx context.Context, nc net.Conn) (answered bool) {
	if nc == nil {
		return false
	}
	conn := transport.NewConn(nc)
	if c.MaxFrame > 0 {
		conn.SetMaxFrame(c.MaxFrame)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	defer func() {
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
	}()
	s := session{c: c, conn: conn}
	if c.InitialSync != nil {
		c.InitialSync.await(ctx, &s)
		defer c.InitialSync.end(&s)
	}
	was := c.State()
	hello := &transport.Hello{Node: c.Node, Class: c.Class, Incarnation: c.Incarnation, SourceIncarnation: was.Incarnation, Seq: was.Seq, Epoch: c.Store.Epoch(), Zone: c.Zone, ControlAddr: c.ControlAddr}
	if c.Class == ClassAgent {
		hello.Digests = c.Store.Digests()
	}
	if conn.Send(&transport.Frame{Hello: hello}) != nil {
		return false
	}
	if c.RepairSource && was.Incarnation != 0 && time.Since(was.LastUpdateAt) > repairAfterAbsence {
		s.received = map[string]struct{}{}
	}
	err := conn.Run(func(f *transport.Frame) *transport.Frame {
		switch {
		case f.Update != nil:
			if !answered && c.OnConnection != nil {
				c.OnConnection(true, nil)
			}
			answered = true
			s.apply(f.Update)
		case c.Handle != nil:
			return c.Handle(f)
		}
		return nil
	})
	if answered && c.OnConnection != nil {
		c.OnConnection(false, err)
	}
	return answered
}

// session is one connection of a client.
type session struct {
	c           *Client
	conn        *transport.Conn
	lastRenewal time.Time
	received    map[string]struct{} // instances that the source told since its new incarnation began; nil: it is not to be told any
	completeAt  time.Time           // when it had told all of them
}

// apply takes an update. The renewal goes out with it, so that a subscription needs no timer of its own.
func (s *session) apply(f *transport.Update) {
	c, now := s.c, time.Now()
	if f.Incarnation == 0 {
		s.conn.Close()
		return
	}
	c.Clock.Observe(f.Clock, 0)
	c.mu.Lock()
	old := c.state
	c.mu.Unlock()
	if c.RepairSource && old.Incarnation != 0 && old.Incarnation != f.Incarnation {
		s.received, s.completeAt = map[string]struct{}{}, time.Time{}
	}
	if s.received != nil {
		for _, l := range f.Instances {
			s.received[l.ID] = struct{}{}
		}
		if len(f.MatchingBuckets) > 0 {
			for _, l := range c.Store.Instances() {
				if inMatchingBucket(f.MatchingBuckets, l.ID) {
					s.received[l.ID] = struct{}{}
				}
			}
		}
	}
	if c.Consume != nil {
		c.Consume(f)
	} else {
		c.merge(f)
	}
	c.mu.Lock()
	voters := old.Voters
	if n := len(f.Voters); n > 0 && n <= maxVoters {
		voters = f.Voters
	}
	c.state = State{f.Incarnation, f.Seq, f.Members, f.Ready, f.Quorum, f.Complete, f.Epoch, f.Rank, f.ZonePeers, voters, now.Add(-c.Clock.Age(f.Clock))}
	c.conn = s.conn
	c.mu.Unlock()
	if c.OnUpdate != nil {
		c.OnUpdate(f)
	}
	if c.InitialSync != nil {
		c.InitialSync.observe(s, f)
	}
	s.repairSource(f, now)
	if now.Sub(s.lastRenewal) >= renewInterval {
		s.lastRenewal = now
		_ = s.conn.Send(&transport.Frame{Renewal: &transport.Renewal{Clock: c.Clock.Now(), Ready: c.Ready != nil && c.Ready()}})
	}
}

// merge takes the news of an update into the store, and leaves in the update what was news here. What no process of the system can have
// said is left out. An epoch is noted once all that the source had with it is here; a control node keeps its own.
func (c *Client) merge(f *transport.Update) {
	ok := f.Items[:0]
	for _, i := range f.Items {
		if i.Key.Valid() {
			ok = append(ok, i)
		}
	}
	f.Items = ok
	f.Items, f.Instances = c.Store.MergeItems(f.Items), c.Store.MergeInstances(f.Instances)
	if f.Complete && c.Class != ClassControl {
		c.Store.SetEpoch(f.Epoch)
	}
}

// repairSource tells a source that began a new incarnation, or was long away, which instances are known here and have still not come from there after
// two calls of a server: it may have lost them, and could not tell others when they fall silent. Of very many only some are told, others by
// other subscribers.
func (s *session) repairSource(f *transport.Update, now time.Time) {
	if s.received == nil {
		return
	}
	if s.completeAt.IsZero() && f.Complete {
		s.completeAt = now
	}
	if s.completeAt.IsZero() || now.Sub(s.completeAt) < repairDelay {
		return
	}
	var tell []registry.Instance
	all := s.c.Store.Instances()
	for i := range all {
		l := all[(uint64(i)+s.c.Incarnation)%uint64(len(all))]
		if _, told := s.received[l.ID]; !told && (l.Phase == registry.Serving || l.Phase == registry.Draining) && len(tell) < maxRepairInstances {
			tell = append(tell, l)
		}
	}
	s.received = nil
	for len(tell) > 0 {
		n := min(len(tell), repairBatch)
		if s.conn.Send(&transport.Frame{Hello: &transport.Hello{Node: s.c.Node, Class: s.c.Class, Incarnation: s.c.Incarnation, Instances: tell[:n]}}) != nil {
			return
		}
		tell = tell[n:]
	}
}
