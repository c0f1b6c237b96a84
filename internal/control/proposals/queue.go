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
	maxBatchCalls   = 128 // calls that are proposed together
	eventsBuffer    = 64
	jitterStream    = 1 // of the random generator of an incarnation
	firstProposerID = "/1"
)

// Peers reaches the other control nodes (peers.Set).
type Peers interface {
	// Call calls a node; nil: no answer.
	Call(addr string, timeout time.Duration, request *transport.Frame) *transport.Frame
	// Broadcast calls all nodes, without waiting for answers.
	Broadcast(timeout time.Duration, newRequest func() *transport.Frame)
}

// Fetcher gets chosen changes that the replica lacks (catchup.Fetcher).
type Fetcher interface {
	Fetch(from string, epoch uint64) uint64
}

// Lease tells whether this node is in contact with a majority (majority.Lease).
type Lease interface {
	Current() (term uint64, held bool)
}

// Options is what a queue is made of.
type Options struct {
	Self        string // own control address
	Name        string // of this process, and of no other: its ballots bear it
	Incarnation uint64 // seeds the random delays
	Replica     *replica.Replica
	Peers       Peers
	Fetcher     Fetcher
	Lease       Lease
	// OnConfirmed is called after each read with the term of the lease in which the snapshot here was confirmed as
	// the newest; 0: it was not.
	OnConfirmed func(term uint64)
	Closed      <-chan struct{} // closed when the node ends: late answers are dropped
	Log         log.Logger
}

// pendingChange is a change that waits for a decision.
type pendingChange struct {
	items            []configuration.Item
	electorateChange *ElectorateChange // instead of items; nil: none
	deadline         time.Time
	done             chan error // gets nil, a *configuration.RejectionError or another error
	abandoned        atomic.Bool
}

// answer ends the change with an error; only the first answer counts.
func (p *pendingChange) answer(err error) {
	select {
	case p.done <- err:
	default:
	}
}

// isAbandoned tells whether nobody waits for the answer any more.
func (p *pendingChange) isAbandoned() bool {
	return p.abandoned.Load() && !mutants.On("proposals/proposes-gone")
}

// event is an answer to a request of a proposer, applied by the queue's goroutine.
type event func(*consensus.Proposer) consensus.Action

// Queue runs changes and reads through consensus, one run after the other. No node is a leader: each runs the changes
// that it received, and competes with the others by ballots.
type Queue struct {
	options Options
	log     log.Logger
	replica *replica.Replica
	events  chan event
	wake    chan struct{}
	chosen  atomic.Int64 // proposals of this node that were chosen, or that it completed for another

	mu               sync.Mutex // guards the fields below
	changes          []*pendingChange
	readers          []chan error
	confirmRequested bool

	// Of the goroutine of Run alone:
	random        *rand.Rand
	proposer      *consensus.Proposer
	included      []*pendingChange // in the proposal below
	proposed      consensus.Ballot
	proposedEpoch uint64 // of the snapshot upon which it was proposed
}

// New makes a queue. Run must be called for anything to be decided.
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

// Change has items chosen, and waits for it as long as timeout. It returns nil once they are, a
// *configuration.RejectionError, or ErrNoMajority. Once the caller's context ends they are not proposed any more: the
// operator may have sent them to another node and got an answer there, which a late proposal from here must not
// contradict.
func (q *Queue) Change(ctx context.Context, items []configuration.Item, timeout time.Duration) error {
	return q.submit(ctx, &pendingChange{items: items}, timeout)
}

// ChangeElectorate has the electorate changed. It returns nil once it is, and is on the disks of a majority of
// the new one; else ErrElectorateChanged or ErrNoMajority.
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

// Read returns nil once the snapshot here is as new as any that was acknowledged before the call.
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

// RequestConfirmation has a read done without waiting for it: it completes what another proposer left, and
// confirms the snapshot.
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

// Chosen is the number of proposals that this node had chosen, those that it completed for another included.
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

// takeReaders removes the waiting reads from the queue. Requested: there are some, or a confirmation was requested.
func (q *Queue) takeReaders() (readers []chan error, requested bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	readers, requested = q.readers, q.confirmRequested || len(q.readers) > 0
	q.readers, q.confirmRequested = nil, false
	return readers, requested
}

// Run has what is submitted chosen, until the context ends.
func (q *Queue) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-q.events:
			if q.proposer != nil {
				e(q.proposer) // too late for its run
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
		_ = q.runProposer(ctx, changes) // those that wait have been answered
	}
	if readers, requested := q.takeReaders(); requested {
		more = true
		q.runRead(ctx, readers)
	}
	return more
}

// runRead confirms the snapshot by a read of the voters, and answers the calls of Read.
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
