package consensus

import (
	"cmp"

	"mulleinrouter/internal/cluster/configuration"
)

// Ballot is a proposal number: it orders the attempts of all proposers. The zero ballot is lower than all others.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint,omitempty"`
	Node  string `cbor:"2,keyasint,omitempty"` // name of the proposer, see NewProposer
}

// Compare orders ballots by their round, then by their node.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node))
}

// Next is the lowest ballot of a node that is higher than this one whatever its node.
func (b Ballot) Next(node string) Ballot { return Ballot{Round: b.Round + 1, Node: node} }

// Proposal is a change under a ballot: it sets items upon the snapshot of the epoch before, and may set the electorate.
type Proposal struct {
	Ballot Ballot               `cbor:"1,keyasint"`
	Epoch  uint64               `cbor:"2,keyasint"` // that the change leads to
	Items  []configuration.Item `cbor:"3,keyasint,omitempty"`
	Voters []Voter              `cbor:"4,keyasint,omitempty"` // the electorate from this epoch on; nil: unchanged
}

// newerThan reports whether a pending proposal takes precedence over another one: by its epoch, then by its ballot. A
// nil proposal has no precedence.
func (p *Proposal) newerThan(o *Proposal) bool {
	switch {
	case p == nil || o == nil:
		return p != nil
	case p.Epoch != o.Epoch:
		return p.Epoch > o.Epoch
	}
	return p.Ballot.Compare(o.Ballot) > 0
}

// Promise answers Prepare and Read: whether the ballot is promised, and the acceptor's state.
type Promise struct {
	OK       bool      `cbor:"1,keyasint,omitempty"`
	Promised Ballot    `cbor:"2,keyasint"`           // the highest
	Epoch    uint64    `cbor:"3,keyasint"`           // of the newest snapshot that the acceptor knows to be chosen
	Pending  *Proposal `cbor:"4,keyasint,omitempty"` // accepted, not known to be chosen
	Disk     uint64    `cbor:"5,keyasint,omitempty"` // of the acceptor: it counts for the voter that is listed with it
}

// Accepted answers Accept. Only a voter of the electorate that stands in the snapshot before the proposal says OK.
type Accepted struct {
	OK       bool   `cbor:"1,keyasint,omitempty"`
	Behind   bool   `cbor:"2,keyasint,omitempty"` // the voter lacks the snapshot that the proposal builds on
	Promised Ballot `cbor:"3,keyasint"`           // the highest
	Epoch    uint64 `cbor:"4,keyasint"`           // of the newest snapshot that the voter knows to be chosen
}
