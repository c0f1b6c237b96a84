package gossip

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// messageKind is what a message between members is.
type messageKind uint8

const (
	probeMessage  messageKind = 1 // a question or an answer: membership.Word
	linksRequest  messageKind = 2 // an operator asks who hears whom
	linksResponse messageKind = 3 // the answer
	payload       messageKind = 4 // of those who build on membership
)

// message is one between members, beside those of the protocol. It travels inside the protocol's frame: labelled with the
// fleet's name and sealed with its key. Fields that are not known are passed over.
type message struct {
	Kind             messageKind                `cbor:"1,keyasint"`
	From             string                     `cbor:"2,keyasint"`
	Addr             string                     `cbor:"3,keyasint,omitempty"`
	Incarnation      [2]uint64                  `cbor:"4,keyasint,omitempty"`
	Seq              uint64                     `cbor:"5,keyasint,omitempty"`
	AckedSeq         uint64                     `cbor:"6,keyasint,omitempty"`
	KnownIncarnation [2]uint64                  `cbor:"7,keyasint,omitempty"`
	QueryID          uint64                     `cbor:"8,keyasint,omitempty"` // of a row, and of its answer
	Links            map[string]membership.Link `cbor:"9,keyasint,omitempty"`
	Topic            Topic                      `cbor:"10,keyasint,omitempty"`
	Data             []byte                     `cbor:"11,keyasint,omitempty"`
}

// metadata is what a member tells of itself within the protocol.
type metadata struct {
	Incarnation [2]uint64        `cbor:"1,keyasint"`
	Zone        string           `cbor:"2,keyasint,omitempty"`
	Version     string           `cbor:"3,keyasint,omitempty"`
	Phase       membership.Phase `cbor:"4,keyasint,omitempty"`
	Number      int              `cbor:"5,keyasint,omitempty"`
}

// Topic tells what a message of those who build on membership is for.
type Topic uint8

const (
	maxMessageBytes    = 4 << 20 // bytes: a batch of use and a snapshot of the voters' register fit
	maxDatagramPayload = 1000    // bytes of a payload; a longer one goes by a stream
	maxStreams         = 64      // payloads on their way by streams
)

var errTooLong = errors.New("too long")

// decodeMode is strict: what another process says is input.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxArrayElements: 16,
		MaxMapPairs: membership.MaxMembers + 1, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types are ours, and all can be encoded
	}
	return b
}

func decode(b []byte, v any) error {
	if len(b) > maxMessageBytes {
		return fmt.Errorf("gossip: %w: %d bytes", errTooLong, len(b))
	}
	if err := decodeMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	return nil
}

func incarnationPair(c membership.Incarnation) [2]uint64 { return [2]uint64{c.Boot, c.Nonce} }
func incarnationFromPair(p [2]uint64) membership.Incarnation {
	return membership.Incarnation{Boot: p[0], Nonce: p[1]}
}

// membershipMessage is a message's word.
func (m *message) membershipMessage() membership.Message {
	return membership.Message{From: m.From, Addr: m.Addr, Incarnation: incarnationFromPair(m.Incarnation), Seq: m.Seq, AckedSeq: m.AckedSeq, KnownIncarnation: incarnationFromPair(m.KnownIncarnation)}
}

func encodeMembershipMessage(w membership.Message) *message {
	return &message{Kind: probeMessage, From: w.From, Addr: w.Addr, Incarnation: incarnationPair(w.Incarnation), Seq: w.Seq, AckedSeq: w.AckedSeq, KnownIncarnation: incarnationPair(w.KnownIncarnation)}
}
