package quorum

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// messageKind is what an envelope carries.
type messageKind uint8

const (
	kindRaft      messageKind = 1 // a message of raft
	kindHello     messageKind = 2 // asks how far this voter is known to have been; kindProgress responds
	kindProgress  messageKind = 3
	kindBootstrap messageKind = 4 // the first voters of the fleet
)

// envelope is a message between voters.
type envelope struct {
	Kind         messageKind       `cbor:"1,keyasint"`
	From         uint64            `cbor:"2,keyasint"` // id
	Name         string            `cbor:"3,keyasint"` // of the sender
	Boot         uint64            `cbor:"4,keyasint"` // of the sender
	RaftMessage  []byte            `cbor:"5,keyasint,omitempty"`
	LastIndex    uint64            `cbor:"6,keyasint,omitempty"` // of a hello: the last entry that the sender has
	Bootstrapped bool              `cbor:"7,keyasint,omitempty"` // the sender's store knows its voters
	Progress     PeerProgress      `cbor:"8,keyasint,omitempty"` // of the receiver, as the sender knows it
	Match        map[uint64]uint64 `cbor:"9,keyasint,omitempty"` // of a leader: the index that each voter acknowledged
	Voters       map[uint64]string `cbor:"10,keyasint,omitempty"`
	TokenBase    uint64            `cbor:"11,keyasint,omitempty"`
	Waiting      bool              `cbor:"12,keyasint,omitempty"` // of a progress: the sender is Waiting itself
}

// Message is an encoded envelope to a voter.
type Message struct {
	To   string // name
	Data []byte
}

// strictDecoding decodes what other processes send, which is untrusted input.
var strictDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1024,
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// decodeEnvelope decodes a message of another voter.
func decodeEnvelope(data []byte) (e envelope, err error) {
	if len(data) > maxMessageBytes {
		return envelope{}, fmt.Errorf("quorum: receive %d bytes: %w", len(data), ErrMessageTooLong)
	}
	if err := strictDecoding.Unmarshal(data, &e); err != nil {
		return envelope{}, fmt.Errorf("quorum: decode a voter's message: %w", err)
	}
	return e, nil
}
