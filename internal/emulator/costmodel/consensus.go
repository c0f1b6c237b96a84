package costmodel

import (
	"fmt"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
)

// measureConsensus measures the series of the processor time to choose a change, without network and disk.
func measureConsensus(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "ballot.change",
			Description: "one change through a proposer and its voters in one process",
			SizeUnit:    "voters",
		},
		sizes:      []int{3, 5, 7, 9, 13},
		operations: 500,
		prepare: func(n int) func(int) {
			electorate, items := newLocalElectorate(n), tenants(1)
			return func(int) { electorate.choose(items) }
		},
	})
}

// localElectorate is a proposer and its voters in one process, with the latest chosen configuration.
type localElectorate struct {
	voters    []string
	acceptors map[string]*consensus.Acceptor
	proposer  *consensus.Proposer
	base      consensus.Base
}

func newLocalElectorate(voterCount int) *localElectorate {
	voters := generate(voterCount, func(i int) string { return fmt.Sprint("v", i) })
	le := &localElectorate{
		voters:    voters,
		acceptors: map[string]*consensus.Acceptor{},
		proposer:  consensus.NewProposer(voters[0], 1),
		base:      consensus.Base{Electorate: consensus.InitialElectorate(voters)},
	}
	for _, voter := range voters {
		le.acceptors[voter] = &consensus.Acceptor{Addr: voter, Electorate: le.base.Electorate}
	}
	return le
}

// choose runs one change through the proposer until all voters have applied it.
func (le *localElectorate) choose(items []configuration.Item) {
	action := le.proposer.Start(le.base, false)
	for {
		switch action.Kind {
		case consensus.Prepare:
			action = le.askVoters(le.prepare, action)
		case consensus.Accept:
			action = le.askVoters(le.accept, action)
		case consensus.Compose:
			action = le.proposer.Composed(action.Attempt, le.base, items, nil)
			items = nil // they are proposed only once
		case consensus.Apply:
			action = le.apply(action)
		default:
			return
		}
	}
}

// askVoters sends the action to all voters, and returns the last action that results from their answers.
func (le *localElectorate) askVoters(
	ask func(consensus.Action, string) consensus.Action,
	action consensus.Action,
) consensus.Action {
	next := consensus.Action{}
	for _, voter := range le.voters {
		if following := ask(action, voter); following.Kind != consensus.None {
			next = following
		}
	}
	return next
}

func (le *localElectorate) prepare(action consensus.Action, voter string) consensus.Action {
	promise, _ := le.acceptors[voter].Prepare(action.Ballot)
	return le.proposer.Promised(action.Attempt, voter, promise)
}

func (le *localElectorate) accept(action consensus.Action, voter string) consensus.Action {
	accepted, _ := le.acceptors[voter].Accept(action.Proposal)
	return le.proposer.Accepted(action.Attempt, voter, accepted)
}

func (le *localElectorate) apply(action consensus.Action) consensus.Action {
	le.base = le.base.With(action.Proposal)
	for _, voter := range le.voters {
		le.acceptors[voter].Learn(le.base)
	}
	return le.proposer.Applied(action.Attempt, le.base)
}
