package consensus

import "slices"

// Voter is a control node that takes part in choosing changes, identified by its address and by the disk that stores
// its votes. A machine that returns with another disk counts as another voter. The old voter never answers again, so a
// voter that lost its promises can't vote a second time.
type Voter struct {
	Addr string `cbor:"1,keyasint"`           // host:port
	Disk uint64 `cbor:"2,keyasint,omitempty"` // see Acceptor.Disk; 0 means the disk of the first start
}

// Electorate is the set of voters whose majority chooses the change to the next epoch.
//
// It is part of the chosen configuration: a change may name another electorate, which takes effect with that change's
// epoch. The change to epoch e+1, even if it changes the electorate, is promised and accepted by a majority of the
// electorate in the snapshot of epoch e, and by no other voter. That electorate is fixed before any voter receives a
// request. Each epoch is a separate Paxos instance, and its voters are fixed by the epochs before it. Two electorates
// never choose for the same epoch, so the majorities of subsequent electorates need not intersect.
type Electorate struct {
	Since  uint64  `cbor:"1,keyasint,omitempty"` // epoch of the change that set it; 0 means the first start
	Voters []Voter `cbor:"2,keyasint,omitempty"` // never changed in place
}

// InitialElectorate returns the electorate of the first start, made of the voters' addresses.
func InitialElectorate(addresses []string) Electorate {
	var e Electorate
	for _, addr := range addresses {
		e.Voters = append(e.Voters, Voter{Addr: addr})
	}
	return e
}

// Known reports whether the electorate is known, which means that it has voters.
func (e Electorate) Known() bool { return len(e.Voters) > 0 }

// Contains reports whether a voter is in the electorate, with the same address and disk.
func (e Electorate) Contains(v Voter) bool { return slices.Contains(e.Voters, v) }

// VoterAt returns the voter at an address, and whether there is one.
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

// Equal reports whether two electorates have the same voters and were set by the same change.
func (e Electorate) Equal(o Electorate) bool {
	return e.Since == o.Since && slices.Equal(e.Voters, o.Voters)
}

// ReplaceVoter returns the voters with the one at oldAddr replaced. If oldAddr is empty, the replacement is added. If
// the replacement has no Addr, the voter at oldAddr is removed. If a non-empty oldAddr is that of no voter, nothing
// changes.
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

// Base is what a change builds on: the epoch of a chosen snapshot, and the electorate in that snapshot.
type Base struct {
	Epoch      uint64
	Electorate Electorate
}

// With returns the base that follows once a proposal that builds on b is chosen.
func (b Base) With(p Proposal) Base {
	b.Epoch = p.Epoch
	if p.Voters != nil {
		b.Electorate = Electorate{Since: p.Epoch, Voters: p.Voters}
	}
	return b
}
