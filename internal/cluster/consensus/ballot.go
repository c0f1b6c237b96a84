package consensus

import (
	"cmp"

	"mulleinrouter/internal/cluster/configuration"
)

// Ballot numbers a try at a change. The zero one is before all.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint,omitempty"`
	Node  string `cbor:"2,keyasint,omitempty"`
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node))
}

// Proposal is a change under a ballot: these items, upon the snapshot of the epoch before, and who is to choose from
// then on.
type Proposal struct {
	Ballot Ballot               `cbor:"1,keyasint"`
	Epoch  uint64               `cbor:"2,keyasint"`
	Items  []configuration.Item `cbor:"3,keyasint,omitempty"`
	Voters []Voter              `cbor:"4,keyasint,omitempty"` // the electorate from this epoch on; nil: as it was
}

// Promise answers a ballot: whether it is promised, what was promised and accepted before, and the epoch of the last
// snapshot that is known to be chosen.
type Promise struct {
	OK       bool      `cbor:"1,keyasint,omitempty"`
	Promised Ballot    `cbor:"2,keyasint"`
	Epoch    uint64    `cbor:"3,keyasint"`
	Pending  *Proposal `cbor:"4,keyasint,omitempty"` // accepted, not known to be chosen
	Disk     uint64    `cbor:"5,keyasint,omitempty"` // that this is on: an answer counts for the voter that is listed with it
}

// Accepted answers a proposal. Behind: the voter lacks the snapshot that it builds on, and Epoch is what it has. Only
// a voter of the electorate that stands in that snapshot says OK.
type Accepted struct {
	OK       bool   `cbor:"1,keyasint,omitempty"`
	Behind   bool   `cbor:"2,keyasint,omitempty"`
	Promised Ballot `cbor:"3,keyasint"`
	Epoch    uint64 `cbor:"4,keyasint"`
}
