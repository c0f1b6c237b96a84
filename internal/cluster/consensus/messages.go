package consensus

import (
	"cmp"

	"mulleinrouter/internal/cluster/configuration"
)

// Ballot is a proposal number: it orders the attempts of all proposers. The zero ballot is lower than all others.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint,omitempty"`
	Node  string `cbor:"2,keyasint,omitempty"` // unique name of the proposer, see NewProposer
}

// Compare orders ballots by their round, then by their node.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Node, o.Node))
}

// Next is the given node's ballot of the next round, which is higher than b whatever the order of the node names.
func (b Ballot) Next(node string) Ballot { return Ballot{Round: b.Round + 1, Node: node} }

// Proposal is a change that is proposed under a ballot. It sets items in the snapshot of the epoch before, and may set
// the electorate.
type Proposal struct {
	Ballot Ballot               `cbor:"1,keyasint"`
	Epoch  uint64               `cbor:"2,keyasint"` // epoch of the snapshot that the change produces
	Items  []configuration.Item `cbor:"3,keyasint,omitempty"`
	Voters []Voter              `cbor:"4,keyasint,omitempty"` // the electorate from this epoch on; nil means unchanged
}

// newerThan reports whether a pending proposal takes precedence over another one. The epoch is compared first, then the
// ballot. A nil proposal has no precedence.
func (p *Proposal) newerThan(o *Proposal) bool {
	switch {
	case p == nil || o == nil:
		return p != nil
	case p.Epoch != o.Epoch:
		return p.Epoch > o.Epoch
	}
	return p.Ballot.Compare(o.Ballot) > 0
}

// Promise answers Prepare and Read. It says whether the ballot is promised, and contains the acceptor's state.
type Promise struct {
	OK       bool      `cbor:"1,keyasint,omitempty"`
	Promised Ballot    `cbor:"2,keyasint"`           // the highest ballot that is promised
	Epoch    uint64    `cbor:"3,keyasint"`           // epoch of the newest snapshot the acceptor knows to be chosen
	Pending  *Proposal `cbor:"4,keyasint,omitempty"` // accepted, not known to be chosen
	// Disk is the acceptor's disk. The answer counts only for a voter that the electorate lists with this disk.
	Disk uint64 `cbor:"5,keyasint,omitempty"`
}

// Accepted answers Accept. OK is set only by a voter in the electorate of the snapshot that the proposal builds on.
type Accepted struct {
	OK       bool   `cbor:"1,keyasint,omitempty"`
	Behind   bool   `cbor:"2,keyasint,omitempty"` // the voter doesn't have the snapshot that the proposal builds on
	Promised Ballot `cbor:"3,keyasint"`           // the highest ballot that is promised
	Epoch    uint64 `cbor:"4,keyasint"`           // epoch of the newest snapshot that the voter knows to be chosen
}
