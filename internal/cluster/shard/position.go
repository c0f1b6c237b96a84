package shard

import (
	"cmp"

	"mulleinrouter/internal/cluster/consensus"
)

// Position identifies a batch by the term of the leader that made it and its number in the shard. The zero position
// means that a replica never had any state.
type Position struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
}

// InitialPosition is the position of the state with which the first voters of a shard start.
var InitialPosition = Position{Seq: 1}

// Compare orders positions by their terms, then by their numbers.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Seq, o.Seq))
}

// Write sets a record, or deletes it.
type Write struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"` // nil means deleted
}

// Batch is a set of writes that take effect together.
type Batch struct {
	Position Position          `cbor:"1,keyasint"`
	Writes   []Write           `cbor:"2,keyasint,omitempty"`
	Voters   []consensus.Voter `cbor:"3,keyasint,omitempty"` // the voters from this batch on; nil means unchanged
}

// Header is what a replica saves in addition to its records.
type Header struct {
	Term     uint64            `cbor:"1,keyasint,omitempty"` // the highest term seen until the save
	VotedFor string            `cbor:"2,keyasint,omitempty"` // address of the candidate with the vote in this term
	Last     Position          `cbor:"3,keyasint"`           // position of the last batch in the records
	Voters   []consensus.Voter `cbor:"4,keyasint,omitempty"`
}

// State is what a replica has on its disk.
type State struct {
	Header
	Records map[string][]byte
}

// InitialState returns the state with which each of the first voters of a shard starts.
func InitialState(voters []consensus.Voter) State {
	return State{Header: Header{Last: InitialPosition, Voters: voters}, Records: map[string][]byte{}}
}

// Save is a change of the state on disk. Saves must reach the disk in the order of their numbers.
type Save struct {
	Number uint64
	Header Header
	Writes []Write
	// Replace means that all existing records are deleted before Writes are applied.
	Replace bool
}
