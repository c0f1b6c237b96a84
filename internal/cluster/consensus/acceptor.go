package consensus

import "mulleinrouter/internal/mutants"

// Acceptor is what a voter has promised and accepted.
//
// The owner must sync each changed state to disk before it sends the answer that was returned with the change, also to
// its own proposer. An answer that repeats an earlier one must wait for the same sync. A node outside the electorate
// has an acceptor too and answers from it, because the proposer decides whether an answer counts: it compares the
// voter's address and disk with the electorate.
type Acceptor struct {
	Promised Ballot `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"` // epoch of the newest snapshot that this node knows to be chosen
	// Electorate is the electorate of that snapshot, which chooses the next change. Empty means unknown.
	Electorate Electorate `cbor:"3,keyasint,omitempty"`
	// Disk is a random number that identifies the disk, drawn at its first write. It is 0 on the disks with which the
	// control plane started for the first time.
	Disk uint64 `cbor:"4,keyasint,omitempty"`
	Addr string `cbor:"-"` // own address, host:port
	// Pending is the accepted proposal that builds on that snapshot and is not known to be chosen. It is immutable.
	Pending *Proposal `cbor:"-"`
}

// Self is this node's entry in an electorate, whether or not it is a voter at present.
func (a *Acceptor) Self() Voter { return Voter{Addr: a.Addr, Disk: a.Disk} }

// IsVoter reports whether this node is in the newest electorate that it knows, which chooses the next change.
func (a *Acceptor) IsVoter() bool { return a.Electorate.Contains(a.Self()) }

// Base is the base from which a proposer on this node starts.
func (a *Acceptor) Base() Base { return Base{Epoch: a.Epoch, Electorate: a.Electorate} }

// Prepare promises to accept nothing under a lower ballot, unless a higher ballot is already promised. Promising the
// same ballot again changes nothing. It reports whether the state changed.
func (a *Acceptor) Prepare(b Ballot) (promise Promise, changed bool) {
	order := b.Compare(a.Promised)
	if order > 0 {
		a.Promised = b
	}
	promise = a.Read()
	promise.OK = order >= 0
	return promise, order > 0
}

// Read reports the acceptor's state as Prepare does, but promises nothing.
func (a *Acceptor) Read() Promise {
	return Promise{Promised: a.Promised, Epoch: a.Epoch, Pending: a.Pending, Disk: a.Disk}
}

// Accept accepts a proposal that builds on the newest snapshot this node knows to be chosen, unless a higher ballot was
// promised or this node is not a voter in that snapshot. It reports whether the state changed. If the answer is Behind,
// the proposal may be sent again once this node has caught up with the snapshot that the proposal builds on.
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
		return accepted, false // already accepted, because one ballot never proposes two values in one epoch
	}
	a.Promised, a.Pending = p.Ballot, &p
	return accepted, true
}

// Learn records that all changes up to an epoch are chosen and applied on this node, and which electorate chooses the
// next one. It reports whether the state changed. It drops the pending proposal, which either is chosen or never will
// be, so the new state need not be synced at once, only before the next answer.
func (a *Acceptor) Learn(b Base) bool {
	if b.Epoch <= a.Epoch {
		return false
	}
	a.Epoch, a.Electorate, a.Pending = b.Epoch, b.Electorate, nil
	return true
}
