package proposals

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/mutants"
)

const (
	maxBatchCalls   = 128  // limit of the changes that are proposed together; the others wait for the next run
	eventsBuffer    = 64   // answers that may wait for the queue's goroutine; the senders of further ones block
	jitterStream    = 1    // second seed of the random delays; the first is the incarnation
	firstProposerID = "/1" // appended to Options.Name in ballots
)

// Peers reaches the other control nodes (peers.Set).
type Peers interface {
	// Call calls a node and returns its answer, or nil if there was none.
	Call(addr string, timeout time.Duration, request *transport.Frame) *transport.Frame
	// Broadcast sends a request to all nodes without waiting for answers.
	Broadcast(timeout time.Duration, newRequest func() *transport.Frame)
}

// Fetcher fetches chosen changes that the replica does not have (catchup.Fetcher).
type Fetcher interface {
	Fetch(from string, epoch uint64) uint64
}

// Lease reports whether this node is in contact with a majority (majority.Lease).
type Lease interface {
	Current() (term uint64, held bool)
}

// Options are the settings and dependencies of a queue.
type Options struct {
	Self        string // own control address
	Name        string // unique name of this process, which is part of its ballots
	Incarnation uint64 // seeds the random delays
	Replica     *replica.Replica
	Peers       Peers
	Fetcher     Fetcher
	Lease       Lease
	// OnConfirmed is called after each read. Its argument is the term of the lease in which the read confirmed that
	// this node's snapshot is the newest, or 0 if it did not.
	OnConfirmed func(term uint64)
	Closed      <-chan struct{} // closed when the node stops; later answers are dropped
	Log         log.Logger
}

// pendingChange is a change that waits for a decision.
type pendingChange struct {
	items            []configuration.Item
	electorateChange *ElectorateChange // proposed instead of items; nil for a change of items
	deadline         time.Time
	done             chan error  // receives nil, a *configuration.RejectionError or another error
	abandoned        atomic.Bool // the caller has its answer, or has stopped waiting
}

// answer passes the result to the caller that waits for the change. Only the first answer counts.
func (p *pendingChange) answer(err error) {
	select {
	case p.done <- err:
	default:
	}
}

// isAbandoned reports whether no caller waits for the answer any more, so that the change must not be proposed.
func (p *pendingChange) isAbandoned() bool {
	return p.abandoned.Load() && !mutants.On("proposals/proposes-gone")
}

// event is an answer to a request of a proposer, applied by the queue's goroutine.
type event func(*consensus.Proposer) consensus.Action

// Queue runs changes and reads through consensus, one run at a time. There is no leader. Each node proposes the changes
// that it received, and competes with the others by ballots.
type Queue struct {
	options Options
	log     log.Logger
	replica *replica.Replica
	events  chan event
	wake    chan struct{}
	chosen  atomic.Int64 // chosen proposals of this node, and those of other nodes that it completed

	mu               sync.Mutex // guards the fields below
	changes          []*pendingChange
	readers          []chan error
	confirmRequested bool

	// Only the goroutine of Run uses the fields below.
	random        *rand.Rand
	proposer      *consensus.Proposer
	included      []*pendingChange // changes in the current proposal
	proposed      consensus.Ballot // ballot of the current proposal
	proposedEpoch uint64           // epoch of the snapshot upon which it was proposed
}

// New makes a queue. Nothing is decided before Run is called.
func New(o Options) *Queue {
	return &Queue{
		options: o,
		log:     o.Log,
		replica: o.Replica,
		events:  make(chan event, eventsBuffer),
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(o.Incarnation, jitterStream)),
	}
}

// Change proposes items, and waits up to timeout until they are chosen. It returns nil once they are, a
// *configuration.RejectionError, or ErrNoMajority. After the timeout or the end of the caller's context, no new
// proposal includes the items, because the operator may have sent them to another node and got an answer there, which a
// late proposal from this node must not contradict.
func (q *Queue) Change(ctx context.Context, items []configuration.Item, timeout time.Duration) error {
	return q.submit(ctx, &pendingChange{items: items}, timeout)
}

// ChangeElectorate proposes a change of the electorate. It returns nil once the change is chosen and is on the disks of
// a majority of the new electorate, and otherwise ErrElectorateChanged or ErrNoMajority.
func (q *Queue) ChangeElectorate(ctx context.Context, change ElectorateChange, timeout time.Duration) error {
	return q.submit(ctx, &pendingChange{electorateChange: &change}, timeout)
}

func (q *Queue) submit(ctx context.Context, c *pendingChange, timeout time.Duration) error {
	c.deadline = time.Now().Add(timeout)
	c.done = make(chan error, 1)
	q.enqueue(func() { q.changes = append(q.changes, c) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-c.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	c.abandoned.Store(true)
	return ErrNoMajority
}

// Read returns nil once this node's snapshot is at least as new as any that was acknowledged before the call.
func (q *Queue) Read(timeout time.Duration) error {
	done := make(chan error, 1)
	q.enqueue(func() { q.readers = append(q.readers, done) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return ErrNoMajority
	}
}

// RequestConfirmation requests a read without waiting for it. The read completes the change that another proposer may
// have left incomplete, and confirms the snapshot.
func (q *Queue) RequestConfirmation() { q.enqueue(func() { q.confirmRequested = true }) }

// enqueue calls add under the mutex, and wakes the goroutine.
func (q *Queue) enqueue(add func()) {
	q.mu.Lock()
	add()
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Waiting is the number of changes that wait to be proposed.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.changes)
}

// Chosen is the number of chosen proposals of this node, including those that it completed for other nodes.
func (q *Queue) Chosen() int64 { return q.chosen.Load() }

// takeChanges removes up to limit changes from the queue, and drops abandoned ones.
func (q *Queue) takeChanges(limit int) (changes []*pendingChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.changes) > 0 && len(changes) < limit {
		if c := q.changes[0]; !c.isAbandoned() {
			changes = append(changes, c)
		}
		q.changes[0] = nil
		q.changes = q.changes[1:]
	}
	return changes
}

// takeReaders removes the waiting reads from the queue. Requested means that there are some, or that a confirmation was
// requested.
func (q *Queue) takeReaders() (readers []chan error, requested bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	readers, requested = q.readers, q.confirmRequested || len(q.readers) > 0
	q.readers, q.confirmRequested = nil, false
	return readers, requested
}

// Run runs the submitted changes and reads until the context ends.
func (q *Queue) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-q.events:
			if q.proposer != nil {
				e(q.proposer) // the answer came after the end of its run
			}
			continue
		case <-q.wake:
		}
		for more := true; more && ctx.Err() == nil; {
			more = q.runPending(ctx)
		}
	}
}

// runPending runs the changes that wait, and then the reads. It returns false if there were none.
func (q *Queue) runPending(ctx context.Context) (more bool) {
	if changes := q.takeChanges(maxBatchCalls); len(changes) > 0 {
		more = true
		_ = q.runProposer(ctx, changes) // the callers have been answered, or stop waiting at their deadlines
	}
	if readers, requested := q.takeReaders(); requested {
		more = true
		q.runRead(ctx, readers)
	}
	return more
}

// runRead confirms the snapshot by reading from the voters, and answers the calls of Read.
func (q *Queue) runRead(ctx context.Context, readers []chan error) {
	term, held := q.options.Lease.Current()
	err := q.runProposer(ctx, nil)
	if err != nil || !held {
		term = 0
	}
	q.options.OnConfirmed(term)
	for _, reader := range readers {
		reader <- err
	}
}
