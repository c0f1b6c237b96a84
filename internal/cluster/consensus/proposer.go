package consensus

import (
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// Proposer proposes the changes of a node, one at a time. Its caller performs the actions that it returns and
// reports their results; the methods that take an attempt ignore results of earlier actions.
//
// A run consists of rounds. In a round the proposer requests promises of its ballot from the voters. With a majority of
// promises, it catches up with the newest snapshot that they know to be chosen, completes any proposal that one of them
// has accepted, and only then proposes its own change. While no other proposer intervenes, it keeps its ballot for the
// next change and continues without another Prepare. It has no timers: the caller reports with Timeout that an answer
// is overdue.
//
// Use NewProposer; the zero value is not usable. A Proposer is not safe for concurrent use.
type Proposer struct {
	name string
	rnd  *rand.Rand

	ballot      Ballot // ballot of its requests; promised by a majority if prepared is set
	prepared    bool
	reading     bool   // the run only reads; it prepares a ballot only to complete a pending proposal or to seal
	highestSeen Ballot // highest ballot seen of any node
	base        Base   // the newest chosen snapshot on this node

	// needsSeal means that the electorate was changed, and that a majority of the new electorate may not have that
	// change on disk yet.
	needsSeal bool
	// confirmed means that nothing newer than the base was acknowledged before this run began.
	confirmed bool
	// inFlight is the last proposal that this proposer sent to the voters, while it is not known whether that proposal
	// is chosen.
	inFlight *Proposal

	action   ActionKind      // the action whose result the proposer waits for
	attempt  uint64          // number of that action
	granted  map[string]bool // voters that granted the request of that action, by address
	rejected map[string]bool // voters that rejected that request or did not answer it, by address
	round    round
	backoffs int // consecutive backoffs
}

// NewProposer returns a proposer whose ballots carry the given name. No other node, and no other incarnation of this
// node, may use the same name. The seed determines the random parts of backoffs and round numbers.
func NewProposer(name string, seed uint64) *Proposer {
	return &Proposer{name: name, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Start begins a run on the newest chosen snapshot of this node. With reading set, the run confirms that the snapshot
// is the newest one; otherwise it may propose a change.
//
// A run that is in progress is abandoned. A proposal that it sent stays with the voters that accepted it, and this or
// another proposer finds it there. The ballot is kept only after a run that ended with Done. An abandoned run may have
// found a pending proposal that must be completed first. It may also have a proposal in flight under that ballot, which
// may have been chosen since.
func (p *Proposer) Start(base Base, reading bool) Action {
	p.rebase(base)
	p.confirmed, p.reading, p.backoffs = false, reading, 0
	switch {
	case p.inFlight != nil: // the proposal must be completed first
		p.prepared = false
	case p.highestSeen.Compare(p.ballot) > 0: // most voters have probably promised the higher ballot
		p.prepared = false
	case p.action != Done && !mutants.On("consensus/keeps-ballot"):
		p.prepared = false
	}
	if reading {
		return p.startRound(Read)
	}
	if p.prepared {
		return p.emit(Action{Kind: Compose})
	}
	return p.startRound(Prepare)
}

// ObserveBallot reports a ballot that is in use, so that the proposer's next ballot is higher.
func (p *Proposer) ObserveBallot(b Ballot) {
	if b.Compare(p.highestSeen) > 0 {
		p.highestSeen = b
	}
}

// Composed reports what to propose on the snapshot of a base. Each call in the proposal must also be valid on that
// snapshot alone. Otherwise another proposer could reject a call that is chosen later as part of this proposal. Voters
// are the electorate after the change; nil means unchanged. With neither items nor voters the run ends.
func (p *Proposer) Composed(attempt uint64, base Base, items []configuration.Item, voters []Voter) Action {
	if attempt != p.attempt || p.action != Compose {
		return Action{}
	}
	if base.Epoch != p.base.Epoch {
		p.rebase(base)
		return p.restart() // another node's change was learned meanwhile
	}
	if len(items) == 0 && voters == nil {
		return p.emit(Action{Kind: Done})
	}
	return p.accept(items, voters)
}

// RequireConfirmation answers Compose if a call can only be answered once the snapshot is known to be the newest one.
// The proposer then prepares a ballot again.
func (p *Proposer) RequireConfirmation(attempt uint64) Action {
	if attempt != p.attempt || p.action != Compose {
		return Action{}
	}
	return p.startRound(Prepare)
}

// Applied reports the base of this node after Apply, from which the run continues. A change of the electorate is sealed
// by an empty change that a majority of the new electorate accepts. From then on the change of the electorate, and all
// changes before it, are on the disks of that majority.
func (p *Proposer) Applied(attempt uint64, base Base) Action {
	if attempt != p.attempt || p.action != Apply {
		return Action{}
	}
	p.backoffs = 0
	if p.rebase(base) {
		if mutants.On("consensus/crosses-ballot") {
			return p.emit(Action{Kind: Compose, Confirmed: p.confirmed})
		}
		return p.startRound(Prepare)
	}
	if p.reading {
		return p.restart() // this read completed a pending change, and other nodes may have proposed more since
	}
	return p.emit(Action{Kind: Compose, Confirmed: p.confirmed})
}

// rebase sets the base to build on, and reports whether its electorate differs from that of the previous base. If so,
// the ballot must be prepared again, because the promises of an electorate are not valid for the next.
func (p *Proposer) rebase(b Base) (electorateChanged bool) {
	electorateChanged = !b.Electorate.Equal(p.base.Electorate)
	if mutants.On("consensus/out-votes") && p.base.Electorate.Known() {
		b.Electorate.Voters = p.base.Electorate.Voters
	}
	p.base = b
	if electorateChanged && !mutants.On("consensus/crosses-ballot") {
		p.prepared = false
	}
	return electorateChanged
}

// accept returns the action that sends a proposal to the voters.
func (p *Proposer) accept(items []configuration.Item, voters []Voter) Action {
	p.inFlight = &Proposal{Ballot: p.ballot, Epoch: p.base.Epoch + 1, Items: items, Voters: voters}
	if voters != nil && mutants.On("consensus/new-chooses") {
		p.base.Electorate.Voters = voters
	}
	return p.emit(Action{Kind: Accept, To: p.base.Electorate.Addresses(), Proposal: *p.inFlight})
}

// emit numbers an action and records that the proposer waits for its result.
func (p *Proposer) emit(a Action) Action {
	p.attempt++
	a.Attempt, p.action = p.attempt, a.Kind
	p.granted, p.rejected = map[string]bool{}, map[string]bool{}
	return a
}
