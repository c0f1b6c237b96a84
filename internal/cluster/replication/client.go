package replication

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// initialDialTimeout is the least time-out of an attempt that is not eager. It is short because a machine without
	// power does not answer and may return at any moment, but the kernel repeats the first packet of a connection only
	// after 1 s.
	initialDialTimeout = 200 * time.Millisecond
	dialTimeout        = time.Second // bounds the time-outs of later attempts, which are twice the backoff
)

// Backoff between two attempts at a connection. The wait is at least half of it.
const (
	initialBackoff = 100 * time.Millisecond
	localBackoff   = 15 * time.Millisecond // to the agent on the same machine, which starts at the same moment
	maxBackoff     = time.Second
)

// Client maintains one subscription to one source and merges its updates into the Store. Set its fields, then Run it.
type Client struct {
	Addr        string // address of the source, host:port
	Node        string // name of the subscribing node
	Class       string // ClassAgent, ClassProxy or ClassControl
	Zone        string // zone of an ingress or a control node
	ControlAddr string // own address of a control node that subscribes, host:port; else empty
	Incarnation uint64 // incarnation of this process
	Seed        uint64 // seed of the jitter of the backoff
	Store       *Store
	Clock       *Clock
	MaxFrame    int // longest accepted frame, bytes; 0 means transport.MaxFrame

	// Ready is sent with each renewal; nil means not ready.
	Ready func() bool
	// Handle answers calls of the source (see transport.Conn.Run); nil means that calls are ignored.
	Handle func(*transport.Frame) *transport.Frame
	// Consume handles an update instead of merging it into the Store; nil means that updates are merged.
	Consume func(*transport.Update)
	// OnUpdate is called after each update. Unless Consume is set, the update then has only the entries that were new
	// to the Store. It may be nil.
	OnUpdate func(*transport.Update)
	// OnConnection is called with up set when the source has answered on a new connection, and without up and with the
	// cause when such a connection has ended. It may be nil.
	OnConnection func(up bool, err error)
	// InitialSync orders the clients that share an empty Store: one receives the snapshot before the others subscribe.
	// Nil means that each client receives the complete snapshot.
	InitialSync *InitialSync
	// RepairSource enables repair: the instances that a source may have lost are sent to it if it began a new
	// incarnation, or sent no update for repairAfterAbsence.
	RepairSource bool
	// Dial opens a connection; nil means TCP to Addr.
	Dial func(context.Context) (net.Conn, error)

	mu            sync.Mutex      // guards the fields below
	conn          *transport.Conn // connection on which the source has answered; nil means none
	state         State
	cancelBackoff context.CancelFunc // cancels the present dial or backoff
}

// State is the known state of a source.
type State struct {
	Incarnation  uint64    // 0 means that the source never sent an update
	Seq          uint64    // all changes of the source up to this one are in the Store
	Members      int       // number of ingresses with a lease; 0 means unknown
	Recent       int       // highest number of ingresses that had a lease lately; 0 means unknown
	Ready        bool      // the source has all that a new ingress needs
	Quorum       bool      // the source reaches a majority of the voters
	Complete     bool      // as of the last update, the Store has everything of the source's present incarnation
	Epoch        uint64    // epoch of the source's newest complete snapshot
	Rank         int       // rank of this process's ingress in its zone, from 0
	ZonePeers    int       // number of ranked ingresses in the zone; 0 means no rank
	Voters       []string  // the electorate, as last sent
	LastUpdateAt time.Time // sending time of the last update, computed by the common clock; only for differences
}

// UpdatedWithin reports whether the source sent an update within the last span of time.
func (s State) UpdatedWithin(span time.Duration) bool {
	return s.Incarnation != 0 && time.Since(s.LastUpdateAt) <= span
}

// State returns the known state of the source. It is kept when the connection ends; see State.UpdatedWithin.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Connected reports whether there is a connection on which the source has answered.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// Call calls the source as transport.Conn.Call does. Without a connection it returns ErrNotConnected.
func (c *Client) Call(timeout time.Duration, request *transport.Frame) (*transport.Frame, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil, ErrNotConnected
	}
	return conn.Call(timeout, request)
}

// Send sends a one-way frame to the source as transport.Conn.Send does. Without a connection it returns
// ErrNotConnected.
func (c *Client) Send(frame *transport.Frame) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return ErrNotConnected
	}
	return conn.Send(frame)
}

// SendTo sends a one-way frame to one process of the source, which is identified by its incarnation. A connection ends
// with either of its processes, so no other process at the same address receives the frame.
func (c *Client) SendTo(incarnation uint64, frame *transport.Frame) error {
	c.mu.Lock()
	conn, current := c.conn, c.state.Incarnation
	c.mu.Unlock()
	if conn == nil {
		return ErrNotConnected
	}
	if current != incarnation {
		return ErrOtherProcess
	}
	return conn.Send(frame)
}

// Run maintains the subscription until the context ends. Just after the start, after a lost connection and after
// RetryNow it connects eagerly (see dialEagerly). Then the backoff grows from 100 ms to a second, with jitter, so that
// clients that lost their sources at the same time do not all reconnect at the same time. A proxy does not connect
// eagerly to the agent on the same machine: for that period its backoff stays at localBackoff instead.
func (c *Client) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.Seed, c.Incarnation))
	first := initialBackoff
	if c.Class == ClassProxy {
		first = localBackoff
	}
	eagerUntil := time.Now().Add(eagerPeriod)
	for backoff := first; ctx.Err() == nil; {
		attempt, cancel := context.WithCancel(ctx)
		c.mu.Lock()
		c.cancelBackoff = cancel
		c.mu.Unlock()
		if c.connectAndServe(ctx, c.open(attempt, eagerUntil, backoff)) {
			backoff, eagerUntil = first, time.Now().Add(eagerPeriod)
		}
		timer := time.NewTimer(backoff/2 + time.Duration(random.Int64N(int64(backoff/2))))
		select {
		case <-attempt.Done():
			backoff, eagerUntil = first, time.Now().Add(eagerPeriod)
		case <-timer.C:
			if c.Class != ClassProxy || time.Now().After(eagerUntil) {
				backoff = min(2*backoff, maxBackoff)
			}
		}
		timer.Stop()
		cancel()
	}
}

// open opens a connection to the source; nil means that the dial failed or the source did not answer in time. The agent
// on the same machine is never dialed eagerly, because the kernel refuses connections at once while the agent isn't
// running.
func (c *Client) open(ctx context.Context, eagerUntil time.Time, backoff time.Duration) net.Conn {
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context) (net.Conn, error) { return transport.Dial(ctx, c.Addr, dialTimeout) }
	}
	deadline := time.Now().Add(min(max(2*backoff, initialDialTimeout), dialTimeout))
	if eager := c.Class != ClassProxy && time.Now().Before(eagerUntil); eager {
		deadline, dial = eagerUntil, eagerly(dial)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := dial(ctx)
	if err != nil {
		return nil
	}
	return conn
}

// RetryNow ends the present dial or backoff if the source is not connected. It is called on a sign that the source has
// returned, because a dial that began while the source was without power would only time out.
func (c *Client) RetryNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil && c.cancelBackoff != nil {
		c.cancelBackoff()
	}
}
