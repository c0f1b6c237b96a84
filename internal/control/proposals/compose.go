package proposals

import (
	"net/http"
	"slices"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/replica"
	"mulleinrouter/internal/mutants"
)

// maxBatchBytes is the approximate limit on the total size of the items of a proposal. A first change that is longer is
// proposed alone.
const maxBatchBytes = 1 << 20

// maxProposalBytes limits the items of a proposal in a frame, so that it can be sent to the other voters together with
// its ballot and the electorate. If this node accepted a longer one, it could never complete it.
const maxProposalBytes = transport.MaxControlFrame - 64<<10

// errChangeTooLong rejects a change whose items do not fit into a proposal together with the histories of the items
// that they replace.
var errChangeTooLong = &configuration.RejectionError{
	Status: http.StatusRequestEntityTooLarge,
	Text:   "too long for one change: send its items in several calls",
}

// ElectorateChange replaces the voters. It applies only to the electorate for which it was planned.
type ElectorateChange struct {
	From consensus.Electorate // electorate for which the change was planned
	To   []consensus.Voter
}

// evaluate returns the voters to propose upon the present base. Nil voters without an error mean that the change has
// been made already.
func (e *ElectorateChange) evaluate(base consensus.Base) ([]consensus.Voter, error) {
	switch {
	case slices.Equal(base.Electorate.Voters, e.To):
		return nil, nil
	case !base.Electorate.Equal(e.From):
		return nil, ErrElectorateChanged
	}
	return e.To, nil
}

// compose chooses the next proposal, and answers the changes that are decided without one. It returns the undecided
// changes.
func (q *Queue) compose(action consensus.Action, changes []*pendingChange) (consensus.Action, []*pendingChange) {
	base, snapshot := q.replica.Base()
	changes = slices.DeleteFunc(changes, (*pendingChange).isAbandoned)
	k := slices.IndexFunc(changes, func(c *pendingChange) bool { return c.electorateChange != nil })
	if k >= 0 {
		return q.composeElectorateChange(action, changes, changes[k], base)
	}
	items, verdicts := consensus.ComposeProposal(
		snapshot, itemsForEpoch(changes, base.Epoch+1), maxBatchBytes, (*configuration.Snapshot).Validate)
	items, verdicts = rejectTooLong(items, verdicts)
	// A change that an outdated snapshot rejects may be valid upon the newest one.
	rejects := slices.ContainsFunc(verdicts, func(v consensus.Verdict) bool { return v.Err != nil })
	if rejects && !action.Confirmed && !mutants.On("proposals/refuses-unsure") {
		return q.proposer.RequireConfirmation(action.Attempt), changes
	}
	left := q.answerDecided(changes, verdicts)
	next := q.proposer.Composed(action.Attempt, base, items, nil)
	q.proposed, q.proposedEpoch = next.Proposal.Ballot, base.Epoch
	return next, left
}

// rejectTooLong rejects the included change if its items are too long for a proposal. A change that is included
// together with others is short.
func rejectTooLong(items []configuration.Item, verdicts []consensus.Verdict) (
	[]configuration.Item, []consensus.Verdict,
) {
	if fitIntoFrame(items) {
		return items, verdicts
	}
	for n := range verdicts {
		if verdicts[n].Included {
			verdicts[n] = consensus.Verdict{Err: errChangeTooLong}
		}
	}
	return nil, verdicts
}

// fitIntoFrame reports whether a proposal with these items fits into a frame. Only items that may be too long by their
// estimated size are encoded to find out.
func fitIntoFrame(items []configuration.Item) bool {
	estimate := 0
	for _, item := range items {
		estimate += replica.FrameBytes(item)
	}
	if estimate <= maxProposalBytes {
		return true
	}
	proposal := consensus.Proposal{Items: items}
	frame, err := transport.Append(nil, &transport.Frame{Accept: &transport.Accept{Proposal: proposal}})
	return err == nil && len(frame) <= maxProposalBytes
}

// itemsForEpoch returns copies of the items of each change, marked with the epoch in which they would be chosen.
func itemsForEpoch(changes []*pendingChange, epoch uint64) [][]configuration.Item {
	all := make([][]configuration.Item, len(changes))
	for n, c := range changes {
		all[n] = slices.Clone(c.items)
		for i := range all[n] {
			all[n][i].Epoch = epoch
		}
	}
	return all
}

// answerDecided answers the changes that are rejected or applied already, records in q.included those that are part of
// the proposal, and returns all undecided ones.
func (q *Queue) answerDecided(changes []*pendingChange, verdicts []consensus.Verdict) (undecided []*pendingChange) {
	q.included = nil
	for n, verdict := range verdicts {
		c := changes[n]
		switch {
		case verdict.Err != nil:
			c.answer(verdict.Err)
			continue
		case verdict.AlreadyApplied:
			c.answer(nil)
			continue
		}
		undecided = append(undecided, c)
		if mutants.On("proposals/answers-before") || mutants.On("proposals/answers-left") && !verdict.Included {
			c.answer(nil)
		}
		if verdict.Included {
			q.included = append(q.included, c)
		}
	}
	return undecided
}

// composeElectorateChange proposes a change of the electorate alone. Other waiting changes are proposed after it.
func (q *Queue) composeElectorateChange(
	action consensus.Action, changes []*pendingChange, c *pendingChange, base consensus.Base,
) (consensus.Action, []*pendingChange) {
	if !action.Confirmed {
		return q.proposer.RequireConfirmation(action.Attempt), changes
	}
	voters, err := c.electorateChange.evaluate(base)
	if voters == nil {
		c.answer(err)
		c.abandoned.Store(true)
		return q.compose(action, changes)
	}
	q.included = nil
	return q.proposer.Composed(action.Attempt, base, nil, voters), changes
}

// apply applies a chosen proposal and notifies the other nodes. It answers the included changes only if the proposal is
// the one that compose made, because the proposer may instead have completed a proposal of another node.
func (q *Queue) apply(action consensus.Action) consensus.Action {
	p := action.Proposal
	base := q.replica.Choose(p)
	q.broadcastChosen(p)
	if p.Ballot == q.proposed && p.Epoch == q.proposedEpoch+1 || mutants.On("proposals/answers-others") {
		for _, c := range q.included {
			c.answer(nil)
			c.abandoned.Store(true)
		}
	}
	q.included = nil
	q.chosen.Add(1)
	level.Info(q.log).Log("msg", "change chosen", "epoch", p.Epoch, "items", len(p.Items), "voters", len(p.Voters))
	return q.proposer.Applied(action.Attempt, base)
}
