package consensus

import "slices"

// Voter is a control node that chooses, with the disk that its votes are on. A machine that comes back with another
// disk is another voter: the old one never answers again, so none of its votes is given twice.
type Voter struct {
	Addr string `cbor:"1,keyasint"`           // host:port
	Disk uint64 `cbor:"2,keyasint,omitempty"` // see Acceptor.Disk; 0: the disk of the first start
}

// Electorate is the set of voters whose majority chooses the change to the next epoch.
//
// It is part of what is chosen: a change may name another electorate, which stands from that change's own epoch on.
// So the change to epoch e+1, also one of the electorate, is promised and accepted by a majority of the voters that
// stand in the snapshot of e, and by nobody else, and that set is fixed before any of them is asked. Each epoch is an
// instance of its own whose membership is fixed by those before it, and no two electorates ever choose about one
// epoch: the majorities of subsequent electorates need not intersect.
type Electorate struct {
	Since  uint64  `cbor:"1,keyasint,omitempty"` // epoch of the change that set it; 0: the first start
	Voters []Voter `cbor:"2,keyasint,omitempty"` // never changed in place
}

// InitialElectorate is the electorate of the first start, from the voters' addresses.
func InitialElectorate(addresses []string) Electorate {
	var e Electorate
	for _, addr := range addresses {
		e.Voters = append(e.Voters, Voter{Addr: addr})
	}
	return e
}

// Known reports whether there is an electorate at all.
func (e Electorate) Known() bool { return len(e.Voters) > 0 }

// Contains reports whether a voter is in the electorate, with its disk.
func (e Electorate) Contains(v Voter) bool { return slices.Contains(e.Voters, v) }

// VoterAt is the voter at an address.
func (e Electorate) VoterAt(addr string) (Voter, bool) {
	n := e.index(addr)
	if n < 0 {
		return Voter{}, false
	}
	return e.Voters[n], true
}

func (e Electorate) index(addr string) int {
	return slices.IndexFunc(e.Voters, func(v Voter) bool { return v.Addr == addr })
}

// Addresses lists the addresses of the voters, in their order.
func (e Electorate) Addresses() []string {
	addresses := make([]string, len(e.Voters))
	for n, v := range e.Voters {
		addresses[n] = v.Addr
	}
	return addresses
}

// Majority is the size of a majority of the voters.
func (e Electorate) Majority() int { return Majority(len(e.Voters)) }

// Majority is the smallest number that is more than half of n voters.
func Majority(n int) int { return n/2 + 1 }

// Equal reports whether two electorates are the same one, set by the same change.
func (e Electorate) Equal(o Electorate) bool {
	return e.Since == o.Since && slices.Equal(e.Voters, o.Voters)
}

// ReplaceVoter lists the voters with one in the place of the voter at an address. Without an address the new one is
// added; without a new one (no Addr) the old one is removed.
func (e Electorate) ReplaceVoter(oldAddr string, replacement Voter) []Voter {
	voters := slices.Clone(e.Voters)
	n := e.index(oldAddr)
	switch {
	case n >= 0 && replacement.Addr == "":
		return slices.Delete(voters, n, n+1)
	case n >= 0:
		voters[n] = replacement
	case oldAddr == "":
		voters = append(voters, replacement)
	}
	return voters
}

// Base is what a change builds on: a chosen snapshot, by its epoch, and the electorate that stands in it.
type Base struct {
	Epoch      uint64
	Electorate Electorate
}

// With is the base after a change upon this one is chosen.
func (b Base) With(p Proposal) Base {
	b.Epoch = p.Epoch
	if p.Voters != nil {
		b.Electorate = Electorate{Since: p.Epoch, Voters: p.Voters}
	}
	return b
}
