package transport

import (
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/shard"
)

// Coordination is a batch of all messages about shards that a control node has for another one at a time. It is
// one-way: replies are separate messages, and a sender repeats what is lost.
type Coordination struct {
	Messages []shard.Message     `cbor:"1,keyasint,omitempty"`
	Calls    []CoordinationCall  `cbor:"2,keyasint,omitempty"`
	Replies  []CoordinationReply `cbor:"3,keyasint,omitempty"`
}

// CoordinationCall forwards a request of an application to the leaseholder of its shard.
type CoordinationCall struct {
	ID      uint64               `cbor:"1,keyasint"` // number of the call, used once by the sending process
	Request coordination.Request `cbor:"2,keyasint"`
}

// CoordinationStatus is the outcome of a forwarded request.
type CoordinationStatus uint8

// The statuses. Their numbers are on the wire.
const (
	CoordinationAnswered       CoordinationStatus = 1 // the request was evaluated, with the answer in Result
	CoordinationNotLeaseholder CoordinationStatus = 2 // the node is not the leaseholder; the request had no effect
	CoordinationUnknown        CoordinationStatus = 3 // it is not known whether the request takes effect
)

// CoordinationReply answers a CoordinationCall.
type CoordinationReply struct {
	ID     uint64              `cbor:"1,keyasint"`
	Status CoordinationStatus  `cbor:"2,keyasint"`
	Result coordination.Result `cbor:"3,keyasint"`
	Leader string              `cbor:"4,keyasint,omitempty"` // control address of the leaseholder, as far as known
}
