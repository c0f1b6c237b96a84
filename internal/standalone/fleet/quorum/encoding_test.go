package quorum

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/singleton"
	"mulleinrouter/internal/standalone/goldentest"
)

// TestEncodingOfLandedVersion checks that the format of messages between voters and of snapshots has not changed. The
// files under testdata/landed were written by commit 76a3bb5, before the types and fields were renamed.
func TestEncodingOfLandedVersion(t *testing.T) {
	holder := singleton.Identity{Name: "n1", Boot: 3, Nonce: 4}
	tests := []struct {
		file  string
		value any
	}{
		{"envelope_raft", envelope{
			Kind:        kindRaft,
			From:        11,
			Name:        "n1",
			Boot:        2,
			RaftMessage: []byte{1, 2, 3},
			Match:       map[uint64]uint64{12: 34},
		}},
		{"envelope_hello", envelope{Kind: kindHello, From: 11, Name: "n1", Boot: 2, LastIndex: 5, Bootstrapped: true}},
		{"envelope_known", envelope{
			Kind:         kindProgress,
			From:         11,
			Name:         "n1",
			Boot:         2,
			Progress:     PeerProgress{Boot: 3, Index: 4},
			Bootstrapped: true,
			Waiting:      true,
		}},
		{"envelope_form", envelope{
			Kind:      kindBootstrap,
			From:      11,
			Name:      "n1",
			Boot:      2,
			Voters:    map[uint64]string{11: "n1"},
			TokenBase: 1 << 40,
		}},
		{"snapshot", snapshot{
			Table: &singleton.LeaseTable{
				LastToken: 12,
				Leases:    map[string]singleton.Lease{"export": {Holder: holder, Token: 12, RenewedIndex: 44}},
				History:   []singleton.Tenure{{Role: "export", Token: 12, Holder: holder, Index: 40}},
			},
			VoterNames: map[uint64]string{11: "n1"},
		}},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			goldentest.CheckEncoding(t, "landed/"+test.file+".cbor", test.value, cbor.Marshal, strictDecoding.Unmarshal)
		})
	}
}
