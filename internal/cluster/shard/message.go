package shard

import "mulleinrouter/internal/cluster/consensus"

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Their numbers are on the wire.
const (
	Vote           Kind = 1 // a candidate requests a vote or, with Pre, asks whether it would be granted
	VoteReply      Kind = 2
	Heartbeat      Kind = 3 // from the leader, periodically
	HeartbeatReply Kind = 4
	Append         Kind = 5 // the batches that follow Prev
	Install        Kind = 6 // the complete state
	AppendReply    Kind = 7 // reply to Append and Install
	TimeoutNow     Kind = 8 // the leader has released its lease, and the receiver must campaign at once
)

// Message is a message between replicas of a shard. It may be lost, delayed or duplicated.
type Message struct {
	From string `cbor:"-"` // address of the sender; set by the transport of the receiver
	To   string `cbor:"-"` // address of the receiver

	Shard uint32 `cbor:"1,keyasint"`
	Kind  Kind   `cbor:"2,keyasint"`
	// Term is the term of the sender. In a Vote, and in a VoteReply that grants a pre-vote, it is the term in which the
	// vote is requested.
	Term uint64 `cbor:"3,keyasint"`
	Disk uint64 `cbor:"4,keyasint,omitempty"` // disk of the sender (consensus.Voter)
	// Last is the position of the sender's last batch; a VoteReply has none. In an AppendReply with OK, all batches up
	// to Last are saved.
	Last     Position          `cbor:"5,keyasint"`
	Pre      bool              `cbor:"6,keyasint,omitempty"` // pre-vote: nothing is saved or promised
	Transfer bool              `cbor:"7,keyasint,omitempty"` // the leader of the previous term has released its lease
	OK       bool              `cbor:"8,keyasint,omitempty"` // in a reply: the sender grants or accepts the request
	Prev     Position          `cbor:"9,keyasint"`           // position of the batch before the first of Batches
	Batches  []Batch           `cbor:"10,keyasint,omitempty"`
	Records  []Write           `cbor:"11,keyasint,omitempty"` // records of an Install
	Voters   []consensus.Voter `cbor:"12,keyasint,omitempty"` // voters of an Install
	// Sent is the sending time by the leader's clock, in seconds. The replies repeat it.
	Sent float64 `cbor:"13,keyasint,omitempty"`
}

// Output is what a replica asks its caller to do.
type Output struct {
	Saves    []Save    // saves to write in this order; the caller reports each with Saved once it is synced
	Messages []Message // messages to send at once, without waiting for the saves
}
