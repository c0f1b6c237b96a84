package gossip

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/goldentest"
)

// TestGoldenMessages checks that messages of an earlier version are decoded to the same values and, unless they contain
// a map, whose encoding has no fixed order, are encoded to the same bytes.
func TestGoldenMessages(t *testing.T) {
	self := membership.Incarnation{Boot: 12, Nonce: 1<<63 - 3}
	other := membership.Incarnation{Boot: 3, Nonce: 99}
	for _, tc := range []struct {
		file        string
		want        *message
		unspecified bool // the encoded bytes have no specified order
	}{
		{"ping.cbor", newProbeMessage(membership.Message{
			From: "n1", Addr: "10.0.0.4:7946", Incarnation: self, Seq: 300, AckedSeq: 299, KnownIncarnation: other,
		}), false},
		{"links-request.cbor", &message{Kind: linksRequest, From: "n1", QueryID: 70000}, false},
		{"links-response.cbor", &message{
			Kind:    linksResponse,
			From:    "n2",
			QueryID: 70000,
			Links: map[string]membership.Link{
				"n1": membership.LinkInboundOnly,
				"n3": membership.LinkDown,
				"n4": membership.LinkBidirectional,
				"n5": membership.LinkUnknown,
			},
		}, true},
		{"payload.cbor", &message{Kind: payload, From: "n1", Topic: 10, Data: []byte{1, 2, 3, 255}}, false},
	} {
		t.Run(tc.file, func(t *testing.T) {
			golden := goldentest.Read(t, tc.file)
			got := &message{}
			if err := decode(golden, got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
			if written := encode(tc.want); !tc.unspecified && !bytes.Equal(written, golden) {
				t.Errorf("written: got %x, want %x", written, golden)
			}
		})
	}
}

// TestGoldenMetadata checks that metadata of an earlier version, which members publish in the SWIM protocol, is decoded
// to the same values and encoded to the same bytes.
func TestGoldenMetadata(t *testing.T) {
	for _, tc := range []struct {
		file string
		want metadata
	}{
		{"meta.cbor", metadata{
			Incarnation: [2]uint64{12, 1<<63 - 3}, Zone: "a", Version: "v1", Phase: membership.Leaving, Number: 5,
		}},
		{"meta-empty.cbor", metadata{}},
	} {
		t.Run(tc.file, func(t *testing.T) {
			golden := goldentest.Read(t, tc.file)
			var got metadata
			if err := decode(golden, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
			if written := encode(tc.want); !bytes.Equal(written, golden) {
				t.Errorf("written: got %x, want %x", written, golden)
			}
		})
	}
}
