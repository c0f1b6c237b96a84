package consensus

import "slices"

// Voter is a control node that chooses, with the disk that its votes are on. A machine that comes with another disk
// is another voter: the lost one is as one that never answers again, and none of its votes is given twice.
type Voter struct {
	Addr string `cbor:"1,keyasint"`
	Disk uint64 `cbor:"2,keyasint,omitempty"` // 0: that of the first start
}

// Electorate is who chooses the change to the next epoch, more than half of them. It is part of what is chosen: a
// change may name another, which stands from its own epoch on. So the change to epoch e+1, also one of the
// electorate, is promised and accepted by more than half of the voters that stand in the snapshot of e and by nobody
// else, and who these are is settled before anything is asked of them. Each epoch is an instance of its own with a
// membership fixed by those before it, and no two electorates ever choose about one epoch: nothing has to be in
// common between the majorities of neighbours.
type Electorate struct {
	Since  uint64  `cbor:"1,keyasint,omitempty"` // epoch of the change that set it; 0: the first start
	Voters []Voter `cbor:"2,keyasint,omitempty"` // never changed in place
}

// InitialElectorate is the electorate of the first start.
func InitialElectorate(at []string) Electorate {
	var e Electorate
	for _, a := range at {
		e.Voters = append(e.Voters, Voter{Addr: a})
	}
	return e
}

// Known tells whether there is one at all.
func (e Electorate) Known() bool { return len(e.Voters) > 0 }

// Contains tells whether a voter is in it, with that disk.
func (e Electorate) Contains(v Voter) bool { return slices.Contains(e.Voters, v) }

// VoterAt is the voter at an address.
func (e Electorate) VoterAt(addr string) (Voter, bool) {
	k := slices.IndexFunc(e.Voters, func(v Voter) bool { return v.Addr == addr })
	if k < 0 {
		return Voter{}, false
	}
	return e.Voters[k], true
}

// Addresses is those of its voters, in its order.
func (e Electorate) Addresses() []string {
	all := make([]string, len(e.Voters))
	for k, v := range e.Voters {
		all[k] = v.Addr
	}
	return all
}

// Majority is more than half of its voters.
func (e Electorate) Majority() int { return Majority(len(e.Voters)) }

// Equal tells whether two are one.
func (e Electorate) Equal(o Electorate) bool {
	return e.Since == o.Since && slices.Equal(e.Voters, o.Voters)
}

// ReplaceVoter is its voters with one in the place of another: by address. Out empty: one more. In empty: one less.
func (e Electorate) ReplaceVoter(out string, in Voter) []Voter {
	all := slices.Clone(e.Voters)
	k := slices.IndexFunc(all, func(v Voter) bool { return v.Addr == out })
	switch {
	case k >= 0 && in.Addr == "":
		return slices.Delete(all, k, k+1)
	case k >= 0:
		all[k] = in
	case out == "":
		all = append(all, in)
	}
	return all
}

// Base is what a change builds on: a snapshot that is chosen, and who chooses upon it.
type Base struct {
	Epoch      uint64
	Electorate Electorate
}

// With is the base once a change upon it is chosen.
func (b Base) With(p Proposal) Base {
	b.Epoch = p.Epoch
	if p.Voters != nil {
		b.Electorate = Electorate{Since: p.Epoch, Voters: p.Voters}
	}
	return b
}
