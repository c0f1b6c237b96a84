package consensus

import (
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// Proposer leads the changes of one node, one after the other. Its caller performs the actions that it returns and
// reports their results; the methods that take an attempt ignore results of earlier actions.
//
// A run consists of rounds. In a round the proposer has a majority of the voters promise its ballot, catches up with
// what they know to be chosen, completes whatever one of them has accepted, and only then proposes a value of its
// own. While no other proposer intervenes, it keeps its ballot for the next change and goes on without another
// Prepare. It has no timers: the caller reports with Timeout that an answer is overdue.
//
// The zero value is not ready; a Proposer is not safe for concurrent use.
type Proposer struct {
	name string
	rnd  *rand.Rand

	ballot      Ballot // of its requests; promised by a majority if prepared
	prepared    bool
	reading     bool   // nothing is to be proposed: a ballot is prepared only where there is a proposal to complete
	highestSeen Ballot // of any node
	base        Base   // the snapshot that is chosen here

	// needsSeal means that the electorate was changed, and that a majority of the new one may not have that on disk
	// yet.
	needsSeal bool
	// confirmed means that nothing newer than the base was acknowledged before this run began.
	confirmed bool
	// inFlight was sent to be accepted under the newest ballot of its epoch. It is not known whether it is chosen.
	inFlight *Proposal

	action   ActionKind // that the proposer waits for
	attempt  uint64     // of that action
	granted  map[string]bool
	rejected map[string]bool
	round    round
	backoffs int // in a row
}

// NewProposer returns a proposer whose ballots carry a name that no other node and no other incarnation of this one
// uses.
func NewProposer(name string, seed uint64) *Proposer {
	return &Proposer{name: name, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Start begins a run upon the snapshot that is chosen here: a read, or one that may propose.
//
// A run that is in progress is abandoned: a proposal that it sent stays with the voters that accepted it, and this or
// another proposer finds it there. The ballot is kept only after a run that ended with Done. In one that was
// abandoned, a pending proposal may have been found that must be completed first, or a proposal may be in flight
// under that ballot, and chosen by answers that came since.
func (p *Proposer) Start(base Base, reading bool) Action {
	p.rebase(base)
	p.confirmed, p.reading, p.backoffs = false, reading, 0
	switch {
	case p.inFlight != nil: // it must be completed first
		p.prepared = false
	case p.highestSeen.Compare(p.ballot) > 0: // most voters have likely promised the higher ballot
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

// ObserveBallot reports a ballot that is in use, so that the next one is higher.
func (p *Proposer) ObserveBallot(b Ballot) {
	if b.Compare(p.highestSeen) > 0 {
		p.highestSeen = b
	}
}

// Composed reports what to propose upon the snapshot of a base. Each call in it must be valid upon that snapshot by
// itself too, so that no other proposer rejects what may yet be chosen of this proposal. Voters are the electorate
// from then on; nil means unchanged. With neither items nor voters the run is over.
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

// RequireConfirmation answers Compose where the snapshot has to be known to be the newest before a call can be
// answered.
func (p *Proposer) RequireConfirmation(attempt uint64) Action {
	if attempt != p.attempt || p.action != Compose {
		return Action{}
	}
	return p.startRound(Prepare)
}

// Applied reports how far the snapshot here is after Apply, upon which the run goes on. A change of the electorate is
// sealed by an empty change that a majority of the new electorate accept: from then on it is on their disks, with all
// before it.
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
		return p.restart() // it completed another node's change, from which that node may have gone on
	}
	return p.emit(Action{Kind: Compose, Confirmed: p.confirmed})
}

// rebase takes a base as the one to build on, and reports whether it has another electorate. A ballot that a majority
// of one electorate has promised means nothing to the next.
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

// accept sends a proposal to the voters.
func (p *Proposer) accept(items []configuration.Item, voters []Voter) Action {
	p.inFlight = &Proposal{Ballot: p.ballot, Epoch: p.base.Epoch + 1, Items: items, Voters: voters}
	if voters != nil && mutants.On("consensus/new-chooses") {
		p.base.Electorate.Voters = voters
	}
	return p.emit(Action{Kind: Accept, To: p.base.Electorate.Addresses(), Proposal: *p.inFlight})
}

// emit returns an action as the one that the proposer waits for.
func (p *Proposer) emit(a Action) Action {
	p.attempt++
	a.Attempt, p.action = p.attempt, a.Kind
	p.granted, p.rejected = map[string]bool{}, map[string]bool{}
	return a
}
