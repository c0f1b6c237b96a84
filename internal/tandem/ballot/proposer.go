package ballot

import (
	"math/rand/v2"

	"mulleinrouter/internal/office/directory"
)

// Deed is what a proposer wants done.
type Deed uint8

// The deeds. After each the proposer waits for the call named here, or for Timeout.
const (
	None    Deed = iota // nothing: it waits for what is still out
	Prepare             // ask To to promise Ballot: Promised, Lost
	Read                // ask To what they know: Promised, Lost
	Fetch               // get what is chosen from From, up to Epoch at least: Fetched
	Form                // say what is to be proposed upon the whole that is chosen here: Formed. Sure: that whole is the newest acknowledged one
	Accept              // ask To to accept Proposal: Accepted, Lost
	Apply               // Proposal is chosen: take it in, tell all others, then Applied
	Pause               // wait for Wait: Woken
	Rest                // nothing is left to do; after a reading, the whole here is as new as any that was acknowledged before it began
)

// Action is a deed with what it needs. Answers to it bear its Try: those to earlier tries are passed over.
type Action struct {
	Do       Deed
	Try      uint64
	To       []string
	From     string
	Ballot   Ballot
	Epoch    uint64
	Proposal Proposal
	Sure     bool
	Wait     float64 // seconds
}

// Pauses after a round that a higher ballot or a lack of voters has ended, doubled each time, in seconds.
const (
	leastPause = 0.008
	mostPause  = 0.064
)

// Proposer leads the changes of one node, one after the other, in rounds: it asks more than half of the voters for a promise, takes in
// what they know to be chosen, has whatever one of them accepted chosen first, and only then proposes anything of its own.
// While nobody comes between, it keeps its ballot for the next change. It has no time-outs of its own: who runs it
// says when an answer is overdue. The zero value is not ready; it is not safe for concurrent use.
type Proposer struct {
	name   string
	voters []string
	rnd    *rand.Rand

	ballot   Ballot // under which it asks; promised by more than half if prepared
	prepared bool
	reading  bool // it has nothing to propose, and makes nobody promise anything unless there is something to finish
	high     Ballot
	epoch    uint64    // of the whole that is chosen here
	sure     bool      // nothing newer than that was acknowledged before this run began
	mine     *Proposal // sent out to be accepted under the newest ballot of a whole, not known to be chosen or dead

	doing   Deed
	asked   Deed // Prepare or Read: what the answers below are to
	try     uint64
	yes, no map[string]bool
	top     uint64 // highest epoch, and who has it, among those who answered
	topAt   string
	found   *Proposal // accepted by one that answered, under the highest ballot
	pauses  int
}

// NewProposer is a proposer whose ballots bear a name that no other node and no other life of this one uses.
func NewProposer(name string, voters []string, seed uint64) *Proposer {
	return &Proposer{name: name, voters: voters, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Start begins a run upon the whole that is chosen here: a reading, or one that may propose. What was under way is left: if it was out to be
// accepted, it stays with whoever accepted it, and this or another proposer finds it. The ballot serves on only behind a run that came to its
// rest: in one that was left, something may have been found that goes first, or something may be out under that ballot, and chosen by answers
// that came since.
func (p *Proposer) Start(epoch uint64, reading bool) Action {
	p.epoch, p.sure, p.reading, p.pauses = epoch, false, reading, 0
	if p.mine != nil || p.high.Compare(p.ballot) > 0 || p.doing != Rest && !mutated("keeps-ballot") {
		p.prepared = false // what is out comes first; and a higher ballot is about, which most would stand by
	}
	if reading {
		return p.ask(Read)
	}
	if p.prepared {
		return p.act(Action{Do: Form})
	}
	return p.ask(Prepare)
}

// Promised takes an answer to Prepare or Read.
func (p *Proposer) Promised(try uint64, from string, a Promise) Action {
	p.see(a.Promised)
	if try != p.try || (p.doing != Prepare && p.doing != Read) {
		return Action{}
	}
	if p.doing == Prepare && (!a.OK || a.Promised != p.ballot) {
		return p.refused(from)
	}
	if p.yes[from] {
		return Action{}
	}
	p.yes[from] = true
	if a.Epoch > p.top || p.topAt == "" {
		p.top, p.topAt = a.Epoch, from
	}
	if f := a.Pending; f != nil && (p.found == nil || f.Epoch > p.found.Epoch || f.Epoch == p.found.Epoch && f.Ballot.Compare(p.found.Ballot) > 0) {
		p.found = f
	}
	if len(p.yes) < Majority(len(p.voters)) {
		return Action{}
	}
	if p.doing == Prepare {
		p.prepared = true
	}
	return p.informed()
}

// informed goes on once more than half have answered.
func (p *Proposer) informed() Action {
	if p.top > p.epoch {
		return p.act(Action{Do: Fetch, From: p.topAt, Epoch: p.top})
	}
	if p.mine != nil && p.mine.Epoch <= p.epoch {
		p.mine = nil
	}
	open := p.found
	if open != nil && (open.Epoch != p.epoch+1 || mutated("ignores-pending")) {
		open = nil
	}
	if p.asked == Read {
		if open != nil {
			return p.ask(Prepare) // somebody left it unfinished, and it may have been chosen
		}
		return p.act(Action{Do: Rest})
	}
	p.sure = true
	if open == nil {
		open = p.mine // it may sit with voters that did not answer: nothing else is said about what was in it, but it comes first
	}
	if open != nil {
		return p.accept(open.Items)
	}
	if p.reading {
		return p.act(Action{Do: Rest})
	}
	return p.act(Action{Do: Form, Sure: true})
}

// Fetched tells how far the whole here is, after Fetch.
func (p *Proposer) Fetched(try, epoch uint64) Action {
	if try != p.try || p.doing != Fetch {
		return Action{}
	}
	p.epoch = max(p.epoch, epoch)
	if p.epoch < p.top {
		return p.pause()
	}
	if p.epoch > p.top {
		return p.again() // what was found is of the past
	}
	return p.informed()
}

// Formed gives what to propose upon the whole of an epoch: each call in it must be valid upon that whole by itself too, so that no other
// proposer refuses what may yet be chosen of this one. Nothing: the run is over.
func (p *Proposer) Formed(try, epoch uint64, items []directory.Item) Action {
	if try != p.try || p.doing != Form {
		return Action{}
	}
	if epoch != p.epoch {
		p.epoch = epoch
		return p.again() // another one's change was learnt meanwhile
	}
	if len(items) == 0 {
		return p.act(Action{Do: Rest})
	}
	return p.accept(items)
}

// Unsure answers Form where the whole has to be the newest before anything can be said.
func (p *Proposer) Unsure(try uint64) Action {
	if try != p.try || p.doing != Form {
		return Action{}
	}
	return p.ask(Prepare)
}

func (p *Proposer) accept(items []directory.Item) Action {
	p.mine = &Proposal{Ballot: p.ballot, Epoch: p.epoch + 1, Items: items}
	return p.act(Action{Do: Accept, To: p.voters, Proposal: *p.mine})
}

// Accepted takes an answer to Accept.
func (p *Proposer) Accepted(try uint64, from string, a Accepted) Action {
	p.see(a.Promised)
	if try != p.try || p.doing != Accept {
		return Action{}
	}
	if !a.OK || a.Promised != p.ballot || a.Epoch+1 != p.mine.Epoch {
		return p.refused(from)
	}
	p.yes[from] = true
	if len(p.yes) < Majority(len(p.voters)) {
		return Action{}
	}
	chosen := *p.mine
	p.mine, p.sure = nil, true // nothing was chosen upon the whole before it, so nothing newer was acknowledged before this run
	return p.act(Action{Do: Apply, Proposal: chosen})
}

// Applied tells how far the whole here is after Apply. What is still to be said goes on from there.
func (p *Proposer) Applied(try, epoch uint64) Action {
	if try != p.try || p.doing != Apply {
		return Action{}
	}
	p.epoch, p.pauses = epoch, 0
	if p.reading {
		return p.again() // it finished another's change: somebody may have gone on from that
	}
	return p.act(Action{Do: Form, Sure: p.sure})
}

// Lost tells that a voter does not answer.
func (p *Proposer) Lost(try uint64, from string) Action {
	if try != p.try || (p.doing != Prepare && p.doing != Read && p.doing != Accept) {
		return Action{}
	}
	return p.refused(from)
}

// refused goes on once so many have refused that the others are not enough.
func (p *Proposer) refused(from string) Action {
	if p.yes[from] {
		return Action{}
	}
	p.no[from] = true
	if len(p.voters)-len(p.no) >= Majority(len(p.voters)) {
		return Action{}
	}
	return p.pause()
}

// Timeout tells that what a try waits for is overdue.
func (p *Proposer) Timeout(try uint64) Action {
	if try != p.try || p.doing == Rest || p.doing == Pause || p.doing == None {
		return Action{}
	}
	return p.pause()
}

func (p *Proposer) pause() Action {
	most := min(leastPause*float64(uint(1)<<min(p.pauses, 10)), mostPause)
	p.pauses++
	return p.act(Action{Do: Pause, Wait: most * (0.5 + p.rnd.Float64()/2)})
}

// Woken tells that a pause is over: a new round begins.
func (p *Proposer) Woken(try uint64) Action {
	if try != p.try || p.doing != Pause {
		return Action{}
	}
	return p.again()
}

func (p *Proposer) again() Action {
	if p.reading {
		return p.ask(Read)
	}
	return p.ask(Prepare)
}

// ask begins a round.
func (p *Proposer) ask(d Deed) Action {
	p.top, p.topAt, p.found, p.sure = 0, "", nil, false
	p.asked = d
	a := Action{Do: d, To: p.voters}
	if d == Prepare {
		p.prepared = false
		if p.high.Compare(p.ballot) < 0 {
			p.high = p.ballot
		}
		p.ballot = p.high.Above(p.name)
		p.ballot.Round += p.rnd.Uint64N(2 + 8*uint64(min(p.pauses, 10))) // who lost a few rounds is not to lose the next by its name
		a.Ballot = p.ballot
	}
	return p.act(a)
}

func (p *Proposer) act(a Action) Action {
	p.try++
	a.Try, p.doing = p.try, a.Do
	p.yes, p.no = map[string]bool{}, map[string]bool{}
	return a
}

func (p *Proposer) see(b Ballot) {
	if b.Compare(p.high) > 0 {
		p.high = b
	}
}

// Saw tells of a ballot that is in use, so that the next one is above it.
func (p *Proposer) Saw(b Ballot) { p.see(b) }
