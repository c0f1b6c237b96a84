package quorum

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// TestEncodingOfLandedVersion holds the format of messages between voters and of snapshots still: the files under
// testdata/landed were written by commit 76a3bb5, before the types and fields were renamed.
func TestEncodingOfLandedVersion(t *testing.T) {
	holder := singleton.Identity{Name: "n1", Boot: 3, Nonce: 4}
	tests := []struct {
		file  string
		value any
	}{
		{"envelope_raft", envelope{Kind: kindRaft, From: 11, Name: "n1", Boot: 2, RaftMessage: []byte{1, 2, 3},
			Match: map[uint64]uint64{12: 34}}},
		{"envelope_hello", envelope{Kind: kindHello, From: 11, Name: "n1", Boot: 2, LastIndex: 5, Bootstrapped: true}},
		{"envelope_known", envelope{Kind: kindProgress, From: 11, Name: "n1", Boot: 2,
			Progress: PeerProgress{Boot: 3, Index: 4}, Bootstrapped: true, Waiting: true}},
		{"envelope_form", envelope{Kind: kindBootstrap, From: 11, Name: "n1", Boot: 2, Voters: map[uint64]string{11: "n1"},
			TokenBase: 1 << 40}},
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
			landed, err := os.ReadFile(filepath.Join("testdata", "landed", test.file+".cbor"))
			if err != nil {
				t.Fatal(err)
			}
			written, err := cbor.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(written, landed) {
				t.Errorf("encoded %x, want %x", written, landed)
			}
			decoded := reflect.New(reflect.TypeOf(test.value))
			if err := strictDecoding.Unmarshal(landed, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.value, decoded.Elem().Interface()); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
		})
	}
}
