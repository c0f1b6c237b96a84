package consensus

import "mulleinrouter/internal/mutants"

// Acceptor is what a voter has promised and accepted. Whoever holds one has each changed state on disk, synced,
// before the answer that came with it leaves: for its own proposals too. An answer that repeats an earlier one waits
// for the same sync. A node outside the electorate has one as well, and answers from it: what it says counts where it
// is listed, with its disk.
type Acceptor struct {
	Promised   Ballot     `cbor:"1,keyasint"`
	Epoch      uint64     `cbor:"2,keyasint"`           // of the newest snapshot that is known here to be chosen
	Electorate Electorate `cbor:"3,keyasint,omitempty"` // that chooses the change to the next epoch; empty: not known
	Disk       uint64     `cbor:"4,keyasint,omitempty"` // drawn when it was first written to; 0: at the first start of all
	Addr       string     `cbor:"-"`                    // own address
	Pending    *Proposal  `cbor:"-"`                    // accepted upon that snapshot, not known to be chosen; never changed in place
}

// Self is the voter that this is, if it is one.
func (a *Acceptor) Self() Voter { return Voter{Addr: a.Addr, Disk: a.Disk} }

// IsVoter tells whether this is in the electorate that chooses next, as far as is known here.
func (a *Acceptor) IsVoter() bool { return a.Electorate.Contains(a.Self()) }

// Base is what a proposer here starts from.
func (a *Acceptor) Base() Base { return Base{Epoch: a.Epoch, Electorate: a.Electorate} }

// Prepare promises to take nothing under a lower ballot, if none as high was promised before. The same ballot is
// promised again. It tells whether the state changed.
func (a *Acceptor) Prepare(b Ballot) (Promise, bool) {
	c := b.Compare(a.Promised)
	if c > 0 {
		a.Promised = b
	}
	p := a.Read()
	p.OK = c >= 0
	return p, c > 0
}

// Read tells what Prepare would, and promises nothing.
func (a *Acceptor) Read() Promise {
	return Promise{Promised: a.Promised, Epoch: a.Epoch, Pending: a.Pending, Disk: a.Disk}
}

// Accept takes a proposal that builds on the snapshot that is chosen here, unless a higher ballot was promised or
// that snapshot gives it no vote. It tells whether the state changed. Where it says Behind, the proposal may come
// again once the snapshot before it is here.
func (a *Acceptor) Accept(p Proposal) (Accepted, bool) {
	r := Accepted{Promised: a.Promised, Epoch: a.Epoch}
	switch {
	case p.Ballot.Compare(a.Promised) < 0 && !mutants.On("consensus/stale-ballot"), p.Epoch <= a.Epoch:
		return r, false
	case p.Epoch > a.Epoch+1 && !(mutants.On("consensus/votes-unfinished") && a.Pending == nil):
		r.Behind = true
		return r, false
	case !a.IsVoter() && !mutants.On("consensus/out-votes") && !mutants.On("consensus/votes-unfinished"):
		return r, false
	}
	r.OK, r.Promised = true, p.Ballot
	if mutants.On("consensus/votes-unfinished") {
		r.Epoch = p.Epoch - 1
	}
	if a.Pending != nil && a.Pending.Ballot == p.Ballot && a.Pending.Epoch == p.Epoch {
		return r, false // the same ballot never bears two proposals upon one snapshot
	}
	a.Promised, a.Pending = p.Ballot, &p
	return r, true
}

// Learn takes note that all up to an epoch is chosen and known here, and who chooses next. It tells whether the state
// changed. What it drops is chosen or never will be, so this may reach the disk later, before the next answer.
func (a *Acceptor) Learn(b Base) bool {
	if b.Epoch <= a.Epoch {
		return false
	}
	a.Epoch, a.Electorate, a.Pending = b.Epoch, b.Electorate, nil
	return true
}

// Next is the first ballot of a name that is higher than another.
func (b Ballot) Next(name string) Ballot { return Ballot{Round: b.Round + 1, Node: name} }

// Majority is more than half of a number of voters.
func Majority(n int) int { return n/2 + 1 }
