package ballot

// Acceptor is what a voter has promised and accepted. Whoever holds one has each changed state on disk, synced, before the
// answer that came with it leaves: for its own proposals too. An answer that repeats an earlier one waits for the same sync.
type Acceptor struct {
	Promised Ballot    `cbor:"1,keyasint"`
	Epoch    uint64    `cbor:"2,keyasint"` // of the newest whole that is known here to be chosen
	Pending  *Proposal `cbor:"-"`          // accepted upon that whole, not known to be chosen; never changed in place
}

// Prepare promises to take nothing under a lower ballot, if none as high was promised before. The same ballot is promised
// again. It tells whether the state changed.
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
	return Promise{Promised: a.Promised, Epoch: a.Epoch, Pending: a.Pending}
}

// Accept takes a proposal that builds on the whole that is chosen here, unless a higher ballot was promised. It tells whether
// the state changed. Where it says Behind, the proposal may come again once the whole before it is here.
func (a *Acceptor) Accept(p Proposal) (Accepted, bool) {
	r := Accepted{Promised: a.Promised, Epoch: a.Epoch}
	switch {
	case p.Ballot.Compare(a.Promised) < 0 && !mutated("stale-ballot"), p.Epoch <= a.Epoch:
		return r, false
	case p.Epoch > a.Epoch+1:
		r.Behind = true
		return r, false
	}
	r.OK, r.Promised = true, p.Ballot
	if a.Pending != nil && a.Pending.Ballot == p.Ballot {
		return r, false // the same ballot never bears two proposals upon one whole
	}
	a.Promised, a.Pending = p.Ballot, &p
	return r, true
}

// Learn takes note that all up to an epoch is chosen and known here. It tells whether the state changed. What it drops is
// chosen or never will be, so this may reach the disk later, before the next answer.
func (a *Acceptor) Learn(epoch uint64) bool {
	if epoch <= a.Epoch {
		return false
	}
	a.Epoch, a.Pending = epoch, nil
	return true
}

// Abstains tells whether a voter neither promised a ballot nor knows a higher one: its disk is empty and it has no vote.
func (p Promise) Abstains(asked Ballot) bool { return !p.OK && p.Promised.Compare(asked) < 0 }

// Round numbers are split: the low bits count tries, the high ones count how often a voter came back with an empty disk.
const eraBits = 40

// Above is the first ballot of a name that is higher than another. It never leaves the era: 2^40 tries do not happen.
func (b Ballot) Above(name string) Ballot { return Ballot{Round: b.Round + 1, Node: name} }

// NextEra is the first ballot of the era after that of a ballot.
func (b Ballot) NextEra(name string) Ballot {
	return Ballot{Round: (b.Round>>eraBits + 1) << eraBits, Node: name}
}

// Recovery is how a voter whose disk is empty gets its vote back. What it had promised and accepted is lost; it must act as if
// it were not. With n voters and a majority of m, it counts in no quorum until n-m+1 other voters that have their disks have
// promised a ballot of a new era to it (with three voters: both). That is enough, as long as no more than n-m disks are lost
// at a time:
//
// Whatever it had a part in needed m-1 of the n-1 others as well, and any m-1 and n-m+1 of n-1 have one in common. Take a
// ballot b that it promised, or under which it accepted, before the loss. If that other had done the same before it promised
// to the recovery, the recovery sees it: it takes the highest promise, the highest epoch and, upon that, the proposal under the
// highest ballot, which by the rule of proposers is the chosen one if any was. If the other had not, it refuses b from then on,
// because the recovery's ballot is of a higher era than any the voter can have promised to: eras rise by recoveries alone, and
// of each recovery that ended n-m+1 others know, at least one of whom is asked now. So no promise or vote given before the loss can complete a majority unseen.
// Merely reading from them would not do: b might complete its majority after the reading.
//
// Where all the others have answered it needs no number of them: those without a disk have never had one to lose, but for
// n-m at most, so whoever has one is asked. If none has, nothing was ever acknowledged, and it starts as at bootstrap.
type Recovery struct {
	voters []string
	self   string
	ballot Ballot
	heard  map[string]*Promise // nil: that one has an empty disk too
}

// NewRecovery starts the recovery of one of the voters, under a name that no other life of it has. Known is the highest ballot
// it was told of.
func NewRecovery(voters []string, self, name string, known Ballot) *Recovery {
	return &Recovery{voters: voters, self: self, ballot: known.NextEra(name), heard: map[string]*Promise{}}
}

// Ballot is what the other voters are to be asked to promise.
func (r *Recovery) Ballot() Ballot { return r.ballot }

// Heard takes the answer of another voter. Where Again, a higher era is in use: all are to be asked anew, under a new Ballot.
func (r *Recovery) Heard(from string, asked Ballot, p Promise) (again bool) {
	if asked != r.ballot || from == r.self {
		return false
	}
	switch {
	case p.OK:
		r.heard[from] = &p
	case p.Abstains(asked):
		r.heard[from] = nil
	default:
		r.ballot, r.heard = p.Promised.NextEra(r.ballot.Node), map[string]*Promise{}
		return true
	}
	return false
}

// Done gives what the voter takes as its own state, and who has the whole that it builds on (empty: nobody has anything).
// It has its vote once it has that whole, and all of it is on its disk, synced.
func (r *Recovery) Done() (state Acceptor, from string, ok bool) {
	disks := 0
	for _, p := range r.heard {
		if p != nil {
			disks++
		}
	}
	need := len(r.voters) - Majority(len(r.voters)) + 1
	if mutated("recovers-early") {
		need = 1
	}
	if disks < need && len(r.heard) < len(r.voters)-1 {
		return Acceptor{}, "", false
	}
	state.Promised = r.ballot
	for _, v := range r.voters {
		if p := r.heard[v]; p != nil && (from == "" || p.Epoch > state.Epoch) {
			state.Epoch, state.Pending, from = p.Epoch, nil, v
		}
	}
	for _, p := range r.heard {
		if p != nil && p.Pending != nil && p.Pending.Epoch == state.Epoch+1 && (state.Pending == nil || p.Pending.Ballot.Compare(state.Pending.Ballot) > 0) {
			state.Pending = p.Pending
		}
	}
	return state, from, true
}

// Majority is more than half of a number of voters.
func Majority(n int) int { return n/2 + 1 }
