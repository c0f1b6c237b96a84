package consensus

import "mulleinrouter/internal/mutants"

// Backoff after a failed round, in seconds. It doubles with each consecutive failure, up to the maximum, and is reduced
// by up to half at random, so that competing proposers don't retry at the same time.
const (
	minBackoff = 0.008
	maxBackoff = 0.064
)

// Round numbers that a new ballot skips. The number is random and its range grows with each consecutive failure, so
// that a proposer that lost some rounds doesn't also lose the next because its name compares lower.
const (
	minRoundsSkipped        = 2  // size of the random range without failures, in rounds
	roundsSkippedPerBackoff = 8  // rounds that each consecutive failure adds to the range
	maxBackoffsCounted      = 10 // consecutive failures that are counted, here and for the backoff
)

// round holds the results of a round of a proposer.
type round struct {
	query ActionKind // the request of this round, Prepare or Read
	// newestEpoch is the highest chosen epoch that any node reported, whether or not its vote counts.
	newestEpoch  uint64
	newestSource string // address of the node that reported newestEpoch
	noMajority   bool   // too many voters rejected the request, or it timed out; Backoff follows the Fetch
	// pending is the accepted proposal of the highest epoch, then the highest ballot, among the votes that count.
	pending *Proposal
}

// startRound begins a round with Prepare or Read.
func (p *Proposer) startRound(query ActionKind) Action {
	p.round, p.confirmed = round{query: query}, false
	a := Action{Kind: query, To: p.base.Electorate.Addresses()}
	if query == Prepare {
		p.prepared = false
		p.ObserveBallot(p.ballot)
		p.ballot = p.highestSeen.Next(p.name)
		backoffs := uint64(min(p.backoffs, maxBackoffsCounted))
		p.ballot.Round += p.rnd.Uint64N(minRoundsSkipped + roundsSkippedPerBackoff*backoffs)
		a.Ballot = p.ballot
	}
	return p.emit(a)
}

// restart begins a new round: Read for a run that only reads, unless a change of the electorate must be sealed; else
// Prepare.
func (p *Proposer) restart() Action {
	if p.reading && !p.needsSeal {
		return p.startRound(Read)
	}
	return p.startRound(Prepare)
}

// Promised reports an answer to Prepare or Read.
func (p *Proposer) Promised(attempt uint64, from string, a Promise) Action {
	p.ObserveBallot(a.Promised)
	if attempt != p.attempt || (p.action != Prepare && p.action != Read) {
		return Action{}
	}
	if a.Epoch > p.round.newestEpoch || p.round.newestSource == "" {
		p.round.newestEpoch, p.round.newestSource = a.Epoch, from
	}
	if !p.counts(from, a) {
		return p.reject(from)
	}
	if p.granted[from] {
		return Action{}
	}
	p.granted[from] = true
	if a.Pending.newerThan(p.round.pending) {
		p.round.pending = a.Pending
	}
	if len(p.granted) < p.base.Electorate.Majority() {
		return Action{}
	}
	if p.action == Prepare {
		p.prepared = true
	}
	return p.continueRound()
}

// counts reports whether a promise grants the request and comes from a voter of the electorate, with the listed disk.
func (p *Proposer) counts(from string, a Promise) bool {
	if p.action == Prepare && (!a.OK || a.Promised != p.ballot) {
		return false
	}
	return p.base.Electorate.Contains(Voter{Addr: from, Disk: a.Disk}) || mutants.On("consensus/any-disk")
}

// continueRound returns the next action once a majority has granted the request.
func (p *Proposer) continueRound() Action {
	if p.round.newestEpoch > p.base.Epoch {
		return p.fetch()
	}
	if p.inFlight != nil && p.inFlight.Epoch <= p.base.Epoch {
		p.inFlight = nil
	}
	pending := p.round.pending
	if pending != nil && (pending.Epoch != p.base.Epoch+1 || mutants.On("consensus/ignores-pending")) {
		pending = nil
	}
	if p.round.query == Read {
		if pending != nil {
			return p.startRound(Prepare) // the proposal may have been chosen, so it must be completed first
		}
		return p.emit(Action{Kind: Done})
	}
	p.confirmed = true
	if pending == nil {
		// Voters that did not answer may have accepted this proposer's own proposal. It precedes new changes, because
		// its calls have not been answered yet.
		pending = p.inFlight
	}
	if pending != nil {
		return p.accept(pending.Items, pending.Voters)
	}
	if p.needsSeal && !mutants.On("consensus/no-seal") {
		return p.accept(nil, nil)
	}
	if p.reading {
		return p.emit(Action{Kind: Done})
	}
	return p.emit(Action{Kind: Compose, Confirmed: true})
}

func (p *Proposer) fetch() Action {
	return p.emit(Action{Kind: Fetch, Source: p.round.newestSource, Epoch: p.round.newestEpoch})
}

// Fetched reports the base of this node after Fetch.
func (p *Proposer) Fetched(attempt uint64, base Base) Action {
	if attempt != p.attempt || p.action != Fetch {
		return Action{}
	}
	electorateChanged := false
	if base.Epoch > p.base.Epoch {
		electorateChanged = p.rebase(base)
	}
	if p.base.Epoch < p.round.newestEpoch || p.round.noMajority {
		return p.backOff()
	}
	if p.base.Epoch > p.round.newestEpoch || electorateChanged {
		return p.restart() // the answers of this round belong to an earlier epoch, or to another electorate
	}
	return p.continueRound()
}

// Accepted reports an answer to Accept.
func (p *Proposer) Accepted(attempt uint64, from string, a Accepted) Action {
	p.ObserveBallot(a.Promised)
	if attempt != p.attempt || p.action != Accept {
		return Action{}
	}
	if !a.OK || a.Promised != p.ballot || a.Epoch+1 != p.inFlight.Epoch {
		return p.reject(from)
	}
	p.granted[from] = true
	if len(p.granted) < p.base.Electorate.Majority() {
		return Action{}
	}
	chosen := *p.inFlight
	p.inFlight = nil
	// No other change was chosen on the snapshot that this change builds on, so nothing newer was acknowledged before
	// this run.
	p.confirmed = true
	p.needsSeal = chosen.Voters != nil
	return p.emit(Action{Kind: Apply, Proposal: chosen})
}

// NoReply reports that a request to a voter failed or was not answered.
func (p *Proposer) NoReply(attempt uint64, from string) Action {
	if attempt != p.attempt || (p.action != Prepare && p.action != Read && p.action != Accept) {
		return Action{}
	}
	return p.reject(from)
}

// reject counts a voter that doesn't grant the request, and abandons the round once the voters that have not rejected
// it are too few for a majority.
func (p *Proposer) reject(from string) Action {
	if p.granted[from] {
		return Action{}
	}
	p.rejected[from] = true
	if len(p.base.Electorate.Voters)-len(p.rejected) >= p.base.Electorate.Majority() {
		return Action{}
	}
	return p.abandonRound()
}

// Timeout reports that the result of an action is overdue.
func (p *Proposer) Timeout(attempt uint64) Action {
	if attempt != p.attempt || p.action == Done || p.action == Backoff || p.action == None {
		return Action{}
	}
	return p.abandonRound()
}

// abandonRound ends a round that got no majority. If a node reported a newer snapshot, that snapshot is fetched before
// the backoff, because it may have another electorate.
func (p *Proposer) abandonRound() Action {
	if (p.action == Prepare || p.action == Read) && p.round.newestEpoch > p.base.Epoch {
		p.round.noMajority = true
		return p.fetch()
	}
	return p.backOff()
}

// backOff waits before the next round.
func (p *Proposer) backOff() Action {
	limit := min(minBackoff*float64(uint(1)<<min(p.backoffs, maxBackoffsCounted)), maxBackoff)
	p.backoffs++
	return p.emit(Action{Kind: Backoff, Delay: limit * (0.5 + p.rnd.Float64()/2)})
}

// Resumed reports that a backoff is over, and the present base of this node. A new round begins.
func (p *Proposer) Resumed(attempt uint64, base Base) Action {
	if attempt != p.attempt || p.action != Backoff {
		return Action{}
	}
	if base.Epoch > p.base.Epoch {
		p.rebase(base)
	}
	return p.restart()
}
