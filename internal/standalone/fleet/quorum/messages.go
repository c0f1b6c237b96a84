package quorum

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// messageKind is the kind of an envelope's content.
type messageKind uint8

const (
	kindRaft      messageKind = 1 // a message of raft
	kindHello     messageKind = 2 // asks up to which boot and entry the receiver has seen the sender
	kindProgress  messageKind = 3 // responds to a hello
	kindBootstrap messageKind = 4 // the first voters of the fleet, by id
)

// envelope is a message between voters.
type envelope struct {
	Kind         messageKind       `cbor:"1,keyasint"`
	From         uint64            `cbor:"2,keyasint"` // id of the sender
	Name         string            `cbor:"3,keyasint"` // name of the sender
	Boot         uint64            `cbor:"4,keyasint"` // boot count of the sender
	RaftMessage  []byte            `cbor:"5,keyasint,omitempty"`
	LastIndex    uint64            `cbor:"6,keyasint,omitempty"`  // in a hello: the sender's last entry; not read
	Bootstrapped bool              `cbor:"7,keyasint,omitempty"`  // the sender's store knows its voters
	Progress     PeerProgress      `cbor:"8,keyasint,omitempty"`  // of the receiver, as the sender has seen it
	Match        map[uint64]uint64 `cbor:"9,keyasint,omitempty"`  // from a leader: last acknowledged index by voter
	Voters       map[uint64]string `cbor:"10,keyasint,omitempty"` // in a bootstrap: names of the voters by id
	TokenBase    uint64            `cbor:"11,keyasint,omitempty"` // in a bootstrap: last token of the sender's table
	Waiting      bool              `cbor:"12,keyasint,omitempty"` // in a progress: the sender is Waiting; not read
}

// Message is an encoded envelope to a voter.
type Message struct {
	To   string // name of the voter
	Data []byte
}

// strictDecoding limits the CBOR that is accepted from other processes, which is untrusted input. The bounds are far
// above what a valid message needs, because the maps of an envelope have one pair for each voter.
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
