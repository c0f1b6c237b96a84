package proposals

import (
	"context"
	"slices"
	"time"

	"mulleinrouter/internal/cluster/consensus"
)

const (
	// backgroundRunTimeout limits a run that has no operator's deadline.
	backgroundRunTimeout = time.Second
	// meanForeignRoundWait is the mean of the random limit on the wait of a round for the round of another node.
	meanForeignRoundWait = 40 * time.Millisecond
	// firstRoundFactor multiplies that limit in the first round of a run, so that proposers that have lost rounds go
	// first.
	firstRoundFactor = 2
	// maxForeignWaitDivisor bounds the divisor of that limit, which grows with the number of lost rounds.
	maxForeignWaitDivisor = 4
)

// run is one run of the proposer, from its start until it is done or fails.
type run struct {
	queue      *Queue
	changes    []*pendingChange // undecided changes
	read       bool             // the run reads and has no changes
	deadline   time.Time
	timer      *time.Timer
	lostRounds int
}

// runProposer runs the proposer once, until it is done or fails. Without changes the run is a read.
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

// ensureProposer makes the proposer if there is none. It returns false if the electorate is not known yet.
func (q *Queue) ensureProposer() bool {
	if base, _ := q.replica.Base(); !base.Electorate.Known() {
		return false
	}
	if q.proposer == nil {
		q.proposer = consensus.NewProposer(q.options.Name+firstProposerID, q.options.Incarnation)
	}
	return true
}

// perform performs an action of the proposer. If finished is true, next is the following action. Otherwise the caller
// must wait for answers, for the time that is returned.
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

// await passes answers to the proposer until one of them, or the end of the wait, results in the next action.
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
			return next, ErrNoMajority // the deadlines of the callers have passed too
		}
		if action.Kind == consensus.Backoff {
			next = r.nextRound(ctx, action)
		} else {
			next = r.queue.proposer.Timeout(action.Attempt)
		}
	}
	return next, nil
}

// nextRound begins another round after a lost one. Changes that were queued in the meantime join it, because they will
// be validated upon a snapshot that is newer than they are.
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

// waitForForeignRound waits for the end of another node's round if one is in progress, for a short random time at most,
// because two proposers that keep outbidding each other would both fail. A run that has lost rounds waits less than a
// run in its first round.
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
	wait := meanForeignRoundWait/2 + time.Duration(q.random.Int64N(int64(meanForeignRoundWait)))
	if r.lostRounds == 0 {
		wait *= firstRoundFactor
	} else {
		wait /= time.Duration(min(r.lostRounds, maxForeignWaitDivisor))
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
