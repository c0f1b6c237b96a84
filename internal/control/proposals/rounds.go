package proposals

import (
	"time"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/replica"
)

// roundTimeout limits the wait for the answers of a round. The time for the transfer of its items is added.
const roundTimeout = 300 * time.Millisecond

// ask sends an action to the voters, and returns how long to wait for their answers.
func (q *Queue) ask(action consensus.Action) (wait time.Duration) {
	wait = roundTimeout
	if action.Kind == consensus.Accept {
		wait += replica.TransferAllowance(action.Proposal.Items)
	}
	proposer := q.proposer
	for _, voter := range action.To {
		go func() { q.post(proposer, q.askVoter(voter, action, wait)) }()
	}
	return wait
}

// askVoter sends an action to one voter, which may be this node, and returns its answer.
func (q *Queue) askVoter(voter string, action consensus.Action, timeout time.Duration) event {
	if action.Kind == consensus.Accept {
		if accepted := q.accept(voter, action, timeout); accepted != nil {
			return func(p *consensus.Proposer) consensus.Action { return p.Accepted(action.Attempt, voter, *accepted) }
		}
	} else if promise := q.prepare(voter, action, timeout); promise != nil {
		return func(p *consensus.Proposer) consensus.Action { return p.Promised(action.Attempt, voter, *promise) }
	}
	return func(p *consensus.Proposer) consensus.Action { return p.NoReply(action.Attempt, voter) }
}

// accept asks a voter to accept a proposal, and returns its answer, or nil if there was none.
func (q *Queue) accept(voter string, action consensus.Action, timeout time.Duration) *consensus.Accepted {
	if voter == q.options.Self {
		return q.replica.Accept(action.Proposal, nil)
	}
	request := &transport.Frame{Accept: &transport.Accept{Proposal: action.Proposal}}
	answer := q.options.Peers.Call(voter, timeout, request)
	if answer == nil || answer.Accepted == nil {
		return nil
	}
	return &answer.Accepted.Accepted
}

// prepare asks a voter for a promise. If the action is a read, it asks only for what the voter has promised and
// accepted. It returns the voter's answer, or nil if there was none.
func (q *Queue) prepare(voter string, action consensus.Action, timeout time.Duration) *consensus.Promise {
	prepare := &transport.Prepare{Ballot: action.Ballot, ReadOnly: action.Kind == consensus.Read}
	if voter == q.options.Self {
		return q.replica.Prepare(prepare)
	}
	answer := q.options.Peers.Call(voter, timeout, &transport.Frame{Prepare: prepare})
	if answer == nil || answer.Promise == nil {
		return nil
	}
	return &answer.Promise.Promise
}

// fetch starts to fetch missing chosen changes from a node that has them, and returns how long to wait.
func (q *Queue) fetch(action consensus.Action) (wait time.Duration) {
	proposer := q.proposer
	go func() {
		q.options.Fetcher.Fetch(action.Source, action.Epoch)
		base, _ := q.replica.Base()
		q.post(proposer, func(p *consensus.Proposer) consensus.Action { return p.Fetched(action.Attempt, base) })
	}()
	return 2 * roundTimeout
}

// post passes an answer to the goroutine of Run, which ignores it unless the present proposer is the one that asked.
func (q *Queue) post(asked *consensus.Proposer, e event) {
	ifSame := func(p *consensus.Proposer) consensus.Action {
		if p != asked {
			return consensus.Action{}
		}
		return e(p)
	}
	select {
	case q.events <- ifSame:
	case <-q.options.Closed:
	}
}

// broadcastChosen notifies the other nodes that the proposal that they accepted under a ballot is chosen. The items are
// not sent again.
func (q *Queue) broadcastChosen(p consensus.Proposal) {
	q.options.Peers.Broadcast(roundTimeout, func() *transport.Frame {
		chosen := consensus.Proposal{Ballot: p.Ballot, Epoch: p.Epoch}
		return &transport.Frame{Chosen: &transport.Chosen{Proposal: chosen}}
	})
}
