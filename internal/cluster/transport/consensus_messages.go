package transport

import "mulleinrouter/internal/cluster/consensus"

// Prepare asks a control node to promise a ballot.
type Prepare struct {
	Ballot   consensus.Ballot `cbor:"1,keyasint"`
	ReadOnly bool             `cbor:"2,keyasint,omitempty"` // read without a promise, see consensus.Acceptor.Read
	// Synced is used with ReadOnly: the node replies only once all state in the reply is on disk.
	Synced bool `cbor:"3,keyasint,omitempty"`
}

// Promise is the reply to Prepare.
type Promise struct{ consensus.Promise }

// Accept asks a control node to accept a change.
type Accept struct{ consensus.Proposal }

// Accepted is the reply to Accept.
type Accepted struct{ consensus.Accepted }

// Chosen notifies a control node that a change is chosen.
type Chosen struct{ consensus.Proposal }

// Ping is a call whose reply shows that two control nodes reach each other. The reply is empty if About is empty, and
// otherwise a Pong. Nodes of earlier versions always reply with an empty frame.
type Ping struct {
	About string `cbor:"1,keyasint,omitempty"` // control address of a third node
}

// Pong is the reply to a Ping about a third node, and to each Ping while the replying process shuts down.
type Pong struct {
	Answered    bool    `cbor:"1,keyasint,omitempty"` // the third node has answered a call of the replying process
	AnsweredAgo float64 `cbor:"2,keyasint,omitempty"` // time since the newest such call was sent, seconds
	Leaving     bool    `cbor:"3,keyasint,omitempty"` // the replying process shuts down
}
