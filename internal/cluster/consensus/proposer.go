package consensus

import (
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/mutants"
)

// ActionKind is what a proposer wants done.
type ActionKind uint8

// The deeds. After each the proposer waits for the call named here, or for Timeout.
const (
	None    ActionKind = iota // nothing: it waits for what is still out
	Prepare                   // ask To to promise Ballot: Promised, Lost
	Read                      // ask To what they know: Promised, Lost
	Fetch                     // get what is chosen from From, up to Epoch at least: Fetched
	Compose                   // say what is to be proposed upon the snapshot that is chosen here: Formed. Sure: that snapshot is the newest acknowledged one
	Accept                    // ask To to accept Proposal: Accepted, Lost
	Apply                     // Proposal is chosen: take it in, tell all others, then Applied
	Backoff                   // wait for Wait: Woken
	Done                      // nothing is left to do; after a reading, the snapshot here is as new as any that was acknowledged before it began
)

// Action is a deed with what it needs. Answers to it bear its Try: those to earlier tries are passed over.
type Action struct {
	Kind      ActionKind
	Attempt   uint64
	To        []string
	Source    string
	Ballot    Ballot
	Epoch     uint64
	Proposal  Proposal
	Confirmed bool
	Delay     float64 // seconds
}

// Pauses after a round that a higher ballot or a lack of voters has ended, doubled each time, in seconds.
const (
	minBackoff = 0.008
	maxBackoff = 0.064
)

// Proposer leads the changes of one node, one after the other, in rounds: it asks more than half of the voters for a
// promise, takes in what they know to be chosen, has whatever one of them accepted chosen first, and only then
// proposes anything of its own. While nobody comes between, it keeps its ballot for the next change. It has no
// time-outs of its own: who runs it says when an answer is overdue. The zero value is not ready; it is not safe for
// concurrent use.
type Proposer struct {
	name string
	rnd  *rand.Rand

	ballot      Ballot // under which it asks; promised by more than half if prepared
	prepared    bool
	reading     bool // it has nothing to propose, and makes nobody promise anything unless there is something to finish
	highestSeen Ballot
	base        Base      // the snapshot that is chosen here
	needsSeal   bool      // the electorate was changed, and more than half of the new one may not have it on their disks yet
	confirmed   bool      // nothing newer than that was acknowledged before this run began
	inFlight    *Proposal // sent out to be accepted under the newest ballot of a snapshot, not known to be chosen or dead

	current           ActionKind
	asked             ActionKind // Prepare or Read: what the answers below are to
	try               uint64
	granted, rejected map[string]bool
	newestEpoch       uint64 // highest epoch, and who has it, among those who answered, whether they count or not
	newestAt          string
	lacksMajority     bool      // they are too few
	foundPending      *Proposal // accepted by one that answered, under the highest ballot
	pauses            int
}

// NewProposer is a proposer whose ballots bear a name that no other node and no other life of this one uses.
func NewProposer(name string, seed uint64) *Proposer {
	return &Proposer{name: name, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Start begins a run upon the snapshot that is chosen here: a reading, or one that may propose. What was under way is
// left: if it was out to be accepted, it stays with whoever accepted it, and this or another proposer finds it. The
// ballot serves on only behind a run that came to its rest: in one that was left, something may have been found that
// goes first, or something may be out under that ballot, and chosen by answers that came since.
func (p *Proposer) Start(base Base, reading bool) Action {
	p.rebase(base)
	p.confirmed, p.reading, p.pauses = false, reading, 0
	if p.inFlight != nil || p.highestSeen.Compare(p.ballot) > 0 || p.current != Done && !mutants.On("consensus/keeps-ballot") {
		p.prepared = false // what is out comes first; and a higher ballot is about, which most would stand by
	}
	if reading {
		return p.startRound(Read)
	}
	if p.prepared {
		return p.emit(Action{Kind: Compose})
	}
	return p.startRound(Prepare)
}

// rebase takes the base from here on, and tells whether that has another electorate. A ballot that more than half of
// one electorate have promised is nothing to the next.
func (p *Proposer) rebase(b Base) bool {
	other := !b.Electorate.Equal(p.base.Electorate)
	if mutants.On("consensus/out-votes") && p.base.Electorate.Known() {
		b.Electorate.Voters = p.base.Electorate.Voters
	}
	p.base = b
	if other && !mutants.On("consensus/crosses-ballot") {
		p.prepared = false
	}
	return other
}

// Promised takes an answer to Prepare or Read.
func (p *Proposer) Promised(try uint64, from string, a Promise) Action {
	p.observe(a.Promised)
	if try != p.try || (p.current != Prepare && p.current != Read) {
		return Action{}
	}
	if a.Epoch > p.newestEpoch || p.newestAt == "" {
		p.newestEpoch, p.newestAt = a.Epoch, from
	}
	if p.current == Prepare && (!a.OK || a.Promised != p.ballot) || !p.base.Electorate.Contains(Voter{Addr: from, Disk: a.Disk}) && !mutants.On("consensus/any-disk") {
		return p.refused(from)
	}
	if p.granted[from] {
		return Action{}
	}
	p.granted[from] = true
	if f := a.Pending; f != nil && (p.foundPending == nil || f.Epoch > p.foundPending.Epoch || f.Epoch == p.foundPending.Epoch && f.Ballot.Compare(p.foundPending.Ballot) > 0) {
		p.foundPending = f
	}
	if len(p.granted) < p.base.Electorate.Majority() {
		return Action{}
	}
	if p.current == Prepare {
		p.prepared = true
	}
	return p.continueRound()
}

// continueRound goes on once more than half have answered.
func (p *Proposer) continueRound() Action {
	if p.newestEpoch > p.base.Epoch {
		return p.emit(Action{Kind: Fetch, Source: p.newestAt, Epoch: p.newestEpoch})
	}
	if p.inFlight != nil && p.inFlight.Epoch <= p.base.Epoch {
		p.inFlight = nil
	}
	open := p.foundPending
	if open != nil && (open.Epoch != p.base.Epoch+1 || mutants.On("consensus/ignores-pending")) {
		open = nil
	}
	if p.asked == Read {
		if open != nil {
			return p.startRound(Prepare) // somebody left it unfinished, and it may have been chosen
		}
		return p.emit(Action{Kind: Done})
	}
	p.confirmed = true
	if open == nil {
		open = p.inFlight // it may sit with voters that did not answer: nothing else is said about what was in it, but it comes first
	}
	if open != nil {
		return p.accept(open.Items, open.Voters)
	}
	if p.needsSeal && !mutants.On("consensus/no-seal") {
		return p.accept(nil, nil)
	}
	if p.reading {
		return p.emit(Action{Kind: Done})
	}
	return p.emit(Action{Kind: Compose, Confirmed: true})
}

// Fetched tells how far the snapshot here is, after Fetch.
func (p *Proposer) Fetched(try uint64, base Base) Action {
	if try != p.try || p.current != Fetch {
		return Action{}
	}
	other := false
	if base.Epoch > p.base.Epoch {
		other = p.rebase(base)
	}
	if p.base.Epoch < p.newestEpoch || p.lacksMajority {
		return p.backOff()
	}
	if p.base.Epoch > p.newestEpoch || other {
		return p.restart() // what was found is of the past, or was asked of others
	}
	return p.continueRound()
}

// Composed gives what to propose upon the snapshot of an epoch: each call in it must be valid upon that snapshot by
// itself too, so that no other proposer refuses what may yet be chosen of this one. Voters: the electorate from then
// on, nil as it was. Nothing: the run is over.
func (p *Proposer) Composed(try uint64, base Base, items []configuration.Item, voters []Voter) Action {
	if try != p.try || p.current != Compose {
		return Action{}
	}
	if base.Epoch != p.base.Epoch {
		p.rebase(base)
		return p.restart() // another one's change was learnt meanwhile
	}
	if len(items) == 0 && voters == nil {
		return p.emit(Action{Kind: Done})
	}
	return p.accept(items, voters)
}

// RequireConfirmation answers Form where the snapshot has to be the newest before anything can be said.
func (p *Proposer) RequireConfirmation(try uint64) Action {
	if try != p.try || p.current != Compose {
		return Action{}
	}
	return p.startRound(Prepare)
}

func (p *Proposer) accept(items []configuration.Item, voters []Voter) Action {
	p.inFlight = &Proposal{Ballot: p.ballot, Epoch: p.base.Epoch + 1, Items: items, Voters: voters}
	if voters != nil && mutants.On("consensus/new-chooses") {
		p.base.Electorate.Voters = voters
	}
	return p.emit(Action{Kind: Accept, To: p.base.Electorate.Addresses(), Proposal: *p.inFlight})
}

// Accepted takes an answer to Accept.
func (p *Proposer) Accepted(try uint64, from string, a Accepted) Action {
	p.observe(a.Promised)
	if try != p.try || p.current != Accept {
		return Action{}
	}
	if !a.OK || a.Promised != p.ballot || a.Epoch+1 != p.inFlight.Epoch {
		return p.refused(from)
	}
	p.granted[from] = true
	if len(p.granted) < p.base.Electorate.Majority() {
		return Action{}
	}
	chosen := *p.inFlight
	p.inFlight, p.confirmed, p.needsSeal = nil, true, chosen.Voters != nil // nothing was chosen upon the snapshot before it, so nothing newer was acknowledged before this run
	return p.emit(Action{Kind: Apply, Proposal: chosen})
}

// Applied tells how far the snapshot here is after Apply. What is still to be said goes on from there. A change of
// the electorate is sealed by an empty one that more than half of the new electorate accept: from then on it is on
// their disks, with all before it.
func (p *Proposer) Applied(try uint64, base Base) Action {
	if try != p.try || p.current != Apply {
		return Action{}
	}
	p.pauses = 0
	if p.rebase(base) {
		if mutants.On("consensus/crosses-ballot") {
			return p.emit(Action{Kind: Compose, Confirmed: p.confirmed})
		}
		return p.startRound(Prepare)
	}
	if p.reading {
		return p.restart() // it finished another's change: somebody may have gone on from that
	}
	return p.emit(Action{Kind: Compose, Confirmed: p.confirmed})
}

// NoReply tells that a voter does not answer.
func (p *Proposer) NoReply(try uint64, from string) Action {
	if try != p.try || (p.current != Prepare && p.current != Read && p.current != Accept) {
		return Action{}
	}
	return p.refused(from)
}

// refused goes on once so many have refused that the others are not enough.
func (p *Proposer) refused(from string) Action {
	if p.granted[from] {
		return Action{}
	}
	p.rejected[from] = true
	if len(p.base.Electorate.Voters)-len(p.rejected) >= p.base.Electorate.Majority() {
		return Action{}
	}
	return p.abandonRound()
}

// abandonRound ends a round without a majority. Where one that answered knows more, that comes first: others may
// choose by now.
func (p *Proposer) abandonRound() Action {
	if (p.current == Prepare || p.current == Read) && p.newestEpoch > p.base.Epoch {
		p.lacksMajority = true
		return p.emit(Action{Kind: Fetch, Source: p.newestAt, Epoch: p.newestEpoch})
	}
	return p.backOff()
}

// Timeout tells that what a try waits for is overdue.
func (p *Proposer) Timeout(try uint64) Action {
	if try != p.try || p.current == Done || p.current == Backoff || p.current == None {
		return Action{}
	}
	return p.abandonRound()
}

func (p *Proposer) backOff() Action {
	most := min(minBackoff*float64(uint(1)<<min(p.pauses, 10)), maxBackoff)
	p.pauses++
	return p.emit(Action{Kind: Backoff, Delay: most * (0.5 + p.rnd.Float64()/2)})
}

// Resumed tells that a pause is over, and how far the snapshot here is by now: a new round begins.
func (p *Proposer) Resumed(try uint64, base Base) Action {
	if try != p.try || p.current != Backoff {
		return Action{}
	}
	if base.Epoch > p.base.Epoch {
		p.rebase(base)
	}
	return p.restart()
}

func (p *Proposer) restart() Action {
	if p.reading && !p.needsSeal {
		return p.startRound(Read)
	}
	return p.startRound(Prepare)
}

// startRound begins a round.
func (p *Proposer) startRound(d ActionKind) Action {
	p.newestEpoch, p.newestAt, p.lacksMajority, p.foundPending, p.confirmed = 0, "", false, nil, false
	p.asked = d
	a := Action{Kind: d, To: p.base.Electorate.Addresses()}
	if d == Prepare {
		p.prepared = false
		if p.highestSeen.Compare(p.ballot) < 0 {
			p.highestSeen = p.ballot
		}
		p.ballot = p.highestSeen.Next(p.name)
		p.ballot.Round += p.rnd.Uint64N(2 + 8*uint64(min(p.pauses, 10))) // who lost a few rounds is not to lose the next by its name
		a.Ballot = p.ballot
	}
	return p.emit(a)
}

func (p *Proposer) emit(a Action) Action {
	p.try++
	a.Attempt, p.current = p.try, a.Kind
	p.granted, p.rejected = map[string]bool{}, map[string]bool{}
	return a
}

func (p *Proposer) observe(b Ballot) {
	if b.Compare(p.highestSeen) > 0 {
		p.highestSeen = b
	}
}

// ObserveBallot tells of a ballot that is in use, so that the next one is above it.
func (p *Proposer) ObserveBallot(b Ballot) { p.observe(b) }
