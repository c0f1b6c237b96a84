package consensus

import "mulleinrouter/internal/mutants"

// Acceptor is what a voter has promised and accepted.
//
// Its owner must have each changed state on disk, synced, before the answer that came with it leaves, also the
// answers to its own proposer. An answer that repeats an earlier one waits for the same sync. A node outside the
// electorate has an acceptor too, and answers from it: whether an answer counts is decided by the proposer, which
// compares the voter's address and disk with the electorate.
type Acceptor struct {
	Promised Ballot `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"` // of the newest snapshot that is known here to be chosen
	// Electorate is that of the snapshot, which chooses the next change; empty: not known.
	Electorate Electorate `cbor:"3,keyasint,omitempty"`
	// Disk is a random number, drawn at the first write; 0: at the first start of all.
	Disk uint64 `cbor:"4,keyasint,omitempty"`
	Addr string `cbor:"-"` // own address, host:port
	// Pending was accepted upon that snapshot and is not known to be chosen; immutable.
	Pending *Proposal `cbor:"-"`
}

// Self is the voter that this node is, if it is one.
func (a *Acceptor) Self() Voter { return Voter{Addr: a.Addr, Disk: a.Disk} }

// IsVoter reports whether this node is in the electorate that chooses next, as far as is known here.
func (a *Acceptor) IsVoter() bool { return a.Electorate.Contains(a.Self()) }

// Base is what a proposer on this node starts from.
func (a *Acceptor) Base() Base { return Base{Epoch: a.Epoch, Electorate: a.Electorate} }

// Prepare promises to accept nothing under a lower ballot, if no higher one was promised before. Promising the same
// ballot again changes nothing. It reports whether the state changed.
func (a *Acceptor) Prepare(b Ballot) (promise Promise, changed bool) {
	order := b.Compare(a.Promised)
	if order > 0 {
		a.Promised = b
	}
	promise = a.Read()
	promise.OK = order >= 0
	return promise, order > 0
}

// Read reports what Prepare would, and promises nothing.
func (a *Acceptor) Read() Promise {
	return Promise{Promised: a.Promised, Epoch: a.Epoch, Pending: a.Pending, Disk: a.Disk}
}

// Accept accepts a proposal that builds on the snapshot that is chosen here, unless a higher ballot was promised or
// this node has no vote in that snapshot. It reports whether the state changed. Where the answer is Behind, the
// proposal may be sent again once this node has caught up with the snapshot before it.
func (a *Acceptor) Accept(p Proposal) (accepted Accepted, changed bool) {
	accepted = Accepted{Promised: a.Promised, Epoch: a.Epoch}
	switch {
	case p.Ballot.Compare(a.Promised) < 0 && !mutants.On("consensus/stale-ballot"), p.Epoch <= a.Epoch:
		return accepted, false
	case p.Epoch > a.Epoch+1 && (!mutants.On("consensus/votes-unfinished") || a.Pending != nil):
		accepted.Behind = true
		return accepted, false
	case !a.IsVoter() && !mutants.On("consensus/out-votes") && !mutants.On("consensus/votes-unfinished"):
		return accepted, false
	}
	accepted.OK, accepted.Promised = true, p.Ballot
	if mutants.On("consensus/votes-unfinished") {
		accepted.Epoch = p.Epoch - 1
	}
	if a.Pending != nil && a.Pending.Ballot == p.Ballot && a.Pending.Epoch == p.Epoch {
		return accepted, false // one ballot never proposes two values in one epoch
	}
	a.Promised, a.Pending = p.Ballot, &p
	return accepted, true
}

// Learn records that all changes up to an epoch are chosen and applied here, and who chooses next. It reports whether
// the state changed. The pending proposal that it drops is chosen or never will be, so the new state may reach the
// disk later, before the next answer.
func (a *Acceptor) Learn(b Base) bool {
	if b.Epoch <= a.Epoch {
		return false
	}
	a.Epoch, a.Electorate, a.Pending = b.Epoch, b.Electorate, nil
	return true
}
