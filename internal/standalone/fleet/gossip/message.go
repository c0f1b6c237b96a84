package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// messageKind is the kind of a message between members. Its numbers are on the wire.
type messageKind uint8

const (
	probeMessage  messageKind = 1 // a probe or its acknowledgement: membership.Message
	linksRequest  messageKind = 2 // asks for the state of the receiver's links
	linksResponse messageKind = 3
	payload       messageKind = 4 // data of a package that builds on membership
)

// Bounds of messages.
const (
	maxMessageBytes    = 4 << 20 // bytes; large enough for a batch of usage and a snapshot of the voters' lease table
	maxDatagramPayload = 1000    // bytes, which fit a datagram with its headers; a longer payload is sent by a stream
	maxStreams         = 64      // payloads being sent by streams at a time
	maxNameBytes       = 64      // bytes of the sender's name
	maxNestedLevels    = 4       // nesting of CBOR items, see decodeMode
	maxArrayElements   = 16      // elements of a CBOR array, see decodeMode
)

// message is a message of this package between members. memberlist carries it as a user message, in a frame that has
// the fleet's name as its label and is encrypted with the fleet's key. Unknown fields are ignored.
type message struct {
	Kind             messageKind                `cbor:"1,keyasint"`
	From             string                     `cbor:"2,keyasint"`
	Addr             string                     `cbor:"3,keyasint,omitempty"`
	Incarnation      [2]uint64                  `cbor:"4,keyasint,omitempty"`
	Seq              uint64                     `cbor:"5,keyasint,omitempty"`
	AckedSeq         uint64                     `cbor:"6,keyasint,omitempty"`
	KnownIncarnation [2]uint64                  `cbor:"7,keyasint,omitempty"`
	QueryID          uint64                     `cbor:"8,keyasint,omitempty"` // of a links request and its responses
	Links            map[string]membership.Link `cbor:"9,keyasint,omitempty"`
	Topic            Topic                      `cbor:"10,keyasint,omitempty"`
	Data             []byte                     `cbor:"11,keyasint,omitempty"`
}

// metadata is the description of itself that a member publishes in the SWIM protocol.
type metadata struct {
	Incarnation [2]uint64        `cbor:"1,keyasint"`
	Zone        string           `cbor:"2,keyasint,omitempty"`
	Version     string           `cbor:"3,keyasint,omitempty"`
	Phase       membership.Phase `cbor:"4,keyasint,omitempty"`
	Number      int              `cbor:"5,keyasint,omitempty"`
}

// decodeMode limits the CBOR that is accepted from other processes, which is untrusted input.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      membership.MaxMembers + 1,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the package's own types can be encoded
	}
	return b
}

func decode(b []byte, v any) error {
	if len(b) > maxMessageBytes {
		return fmt.Errorf("gossip: decode: %w: %d bytes", errTooLong, len(b))
	}
	if err := decodeMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("gossip: decode: %w", err)
	}
	return nil
}

// membershipMessage returns the probe or acknowledgement in a message.
func (m *message) membershipMessage() membership.Message {
	return membership.Message{
		From:             m.From,
		Addr:             m.Addr,
		Incarnation:      membership.IncarnationFromPair(m.Incarnation),
		Seq:              m.Seq,
		AckedSeq:         m.AckedSeq,
		KnownIncarnation: membership.IncarnationFromPair(m.KnownIncarnation),
	}
}

// newProbeMessage returns a message that carries a probe or an acknowledgement.
func newProbeMessage(m membership.Message) *message {
	return &message{
		Kind:             probeMessage,
		From:             m.From,
		Addr:             m.Addr,
		Incarnation:      m.Incarnation.Pair(),
		Seq:              m.Seq,
		AckedSeq:         m.AckedSeq,
		KnownIncarnation: m.KnownIncarnation.Pair(),
	}
}
