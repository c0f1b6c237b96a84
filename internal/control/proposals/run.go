package proposals

import (
	"context"
	"slices"
	"time"

	"mulleinrouter/internal/cluster/consensus"
)

const (
	// backgroundRunTimeout is the time for a run without an operator's deadline.
	backgroundRunTimeout = time.Second
	// foreignRoundWait is how long a round waits for another node's round, on average.
	foreignRoundWait = 40 * time.Millisecond
	// firstRoundFactor is how many times as long the first round waits: a proposer that has lost some goes first.
	firstRoundFactor = 2
	// maxWaitDivisor bounds how much less a proposer waits that has lost rounds.
	maxWaitDivisor = 4
)

// run is one run of the proposer, from its start until it is done or given up.
type run struct {
	queue      *Queue
	changes    []*pendingChange // that are still undecided; none: the run is a read
	read       bool
	deadline   time.Time
	timer      *time.Timer
	lostRounds int
}

// runProposer runs the proposer once, until it is done or given up: with changes, or as a read if there are none.
func (q *Queue) runProposer(ctx context.Context, changes []*pendingChange) error {
	if !q.ensureProposer() {
		for _, c := range changes {
			c.answer(ErrNoMajority)
		}
		return ErrNoMajority
	}
	r := &run{
		queue:    q,
		changes:  changes,
		read:     len(changes) == 0,
		deadline: time.Now().Add(backgroundRunTimeout),
		timer:    time.NewTimer(0),
	}
	defer r.timer.Stop()
	if !r.read {
		r.deadline = latestDeadline(changes)
	}
	q.included = nil
	r.waitForForeignRound(ctx)
	base, _ := q.replica.Base()
	for action := q.proposer.Start(base, r.read); action.Kind != consensus.Done; {
		next, wait, finished := r.perform(action)
		if !finished {
			var err error
			if next, err = r.await(ctx, action, wait); err != nil {
				return err
			}
		}
		action = next
	}
	return nil
}

// ensureProposer makes the proposer once the electorate is known.
func (q *Queue) ensureProposer() bool {
	if base, _ := q.replica.Base(); !base.Electorate.Known() {
		return false
	}
	if q.proposer == nil {
		q.proposer = consensus.NewProposer(q.options.Name+firstProposerID, q.options.Incarnation)
	}
	return true
}

// perform carries out an action of the proposer. Either it is finished, and next is the following action, or
// answers must be awaited for a time.
func (r *run) perform(action consensus.Action) (next consensus.Action, wait time.Duration, finished bool) {
	switch action.Kind {
	case consensus.Compose:
		next, r.changes = r.queue.compose(action, r.changes)
		return next, 0, true
	case consensus.Apply:
		return r.queue.apply(action), 0, true
	case consensus.Fetch:
		wait = r.queue.fetch(action)
	case consensus.Prepare, consensus.Read, consensus.Accept:
		wait = r.queue.ask(action)
	case consensus.Backoff:
		wait = time.Duration(action.Delay * float64(time.Second))
	}
	return consensus.Action{}, wait, false
}

// await feeds answers to the proposer until one of them, or the end of the wait, results in the next action.
func (r *run) await(
	ctx context.Context, action consensus.Action, wait time.Duration,
) (next consensus.Action, err error) {
	r.timer.Reset(wait)
	for next.Kind == consensus.None {
		select {
		case <-ctx.Done():
			return next, ctx.Err()
		case e := <-r.queue.events:
			next = e(r.queue.proposer)
			continue
		case <-r.timer.C:
		}
		if !time.Now().Before(r.deadline) {
			return next, ErrNoMajority // those that waited have been answered
		}
		if action.Kind == consensus.Backoff {
			next = r.nextRound(ctx, action)
		} else {
			next = r.queue.proposer.Timeout(action.Attempt)
		}
	}
	return next, nil
}

// nextRound begins another round after a lost one. Changes that have been queued meanwhile join it: they will be
// validated upon a snapshot that is newer than they are.
func (r *run) nextRound(ctx context.Context, action consensus.Action) consensus.Action {
	r.lostRounds++
	r.waitForForeignRound(ctx)
	if !r.read {
		r.changes = append(r.changes, r.queue.takeChanges(maxBatchCalls-len(r.changes))...)
		r.changes = slices.DeleteFunc(r.changes, (*pendingChange).isAbandoned)
		if len(r.changes) > 0 {
			r.deadline = latestDeadline(r.changes)
		}
	}
	base, _ := r.queue.replica.Base()
	return r.queue.proposer.Resumed(action.Attempt, base)
}

// waitForForeignRound waits a little while another node's round is under way: two proposers that outbid one
// another all the time would both come to nothing. One that has lost rounds waits less than one that begins.
func (r *run) waitForForeignRound(ctx context.Context) {
	q := r.queue
	defer func() {
		promised, _ := q.replica.Pending()
		q.proposer.ObserveBallot(promised)
	}()
	done := q.replica.ForeignRoundDone()
	if done == nil {
		return
	}
	wait := foreignRoundWait/2 + time.Duration(q.random.Int64N(int64(foreignRoundWait)))
	if r.lostRounds == 0 {
		wait *= firstRoundFactor
	} else {
		wait /= time.Duration(min(r.lostRounds, maxWaitDivisor))
	}
	r.timer.Reset(wait)
	select {
	case <-done:
	case <-r.timer.C:
	case <-ctx.Done():
	}
}

func latestDeadline(changes []*pendingChange) (latest time.Time) {
	for _, c := range changes {
		if c.deadline.After(latest) {
			latest = c.deadline
		}
	}
	return latest
}
