package gossip

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// kind is what a message between members is.
type kind uint8

const (
	word   kind = 1 // a question or an answer: membership.Word
	rowAsk kind = 2 // an operator asks who hears whom
	row    kind = 3 // the answer
	load   kind = 4 // of those who build on membership
)

// message is one between members, beside those of the protocol. It travels inside the protocol's frame: labelled with the
// fleet's name and sealed with its key. Fields that are not known are passed over.
type message struct {
	Kind  kind                       `cbor:"1,keyasint"`
	From  string                     `cbor:"2,keyasint"`
	Addr  string                     `cbor:"3,keyasint,omitempty"`
	Claim [2]uint64                  `cbor:"4,keyasint,omitempty"`
	Seq   uint64                     `cbor:"5,keyasint,omitempty"`
	Echo  uint64                     `cbor:"6,keyasint,omitempty"`
	Yours [2]uint64                  `cbor:"7,keyasint,omitempty"`
	Ask   uint64                     `cbor:"8,keyasint,omitempty"` // of a row, and of its answer
	Row   map[string]membership.Link `cbor:"9,keyasint,omitempty"`
	Topic Topic                      `cbor:"10,keyasint,omitempty"`
	Data  []byte                     `cbor:"11,keyasint,omitempty"`
}

// about is what a member tells of itself within the protocol.
type about struct {
	Claim   [2]uint64        `cbor:"1,keyasint"`
	Zone    string           `cbor:"2,keyasint,omitempty"`
	Version string           `cbor:"3,keyasint,omitempty"`
	Phase   membership.Phase `cbor:"4,keyasint,omitempty"`
	Number  int              `cbor:"5,keyasint,omitempty"`
}

// Topic tells what a message of those who build on membership is for.
type Topic uint8

const (
	mostMessage  = 4 << 20 // bytes: a batch of use and a snapshot of the voters' register fit
	mostDatagram = 1000    // bytes of a payload; a longer one goes by a stream
	mostStreams  = 64      // payloads on their way by streams
)

var errLong = errors.New("too long")

// decoding is strict: what another process says is input.
var decoding = func() cbor.DecMode {
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
	if len(b) > mostMessage {
		return fmt.Errorf("gossip: %w: %d bytes", errLong, len(b))
	}
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	return nil
}

func pairOf(c membership.Incarnation) [2]uint64  { return [2]uint64{c.Boot, c.Nonce} }
func claimOf(p [2]uint64) membership.Incarnation { return membership.Incarnation{Boot: p[0], Nonce: p[1]} }

// wordOf is a message's word.
func (m *message) wordOf() membership.Message {
	return membership.Message{From: m.From, Addr: m.Addr, Incarnation: claimOf(m.Claim), Seq: m.Seq, AckedSeq: m.Echo, KnownIncarnation: claimOf(m.Yours)}
}

func messageOf(w membership.Message) *message {
	return &message{Kind: word, From: w.From, Addr: w.Addr, Claim: pairOf(w.Incarnation), Seq: w.Seq, Echo: w.AckedSeq, Yours: pairOf(w.KnownIncarnation)}
}
