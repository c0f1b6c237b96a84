package singleton

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// TestEncodingOfLandedVersion holds the wire and disk formats still: the files under testdata/landed were written by
// commit 76a3bb5, before the types and fields were renamed.
func TestEncodingOfLandedVersion(t *testing.T) {
	holder := Claimant{Name: "n1", Boot: 3, Nonce: 0x1122334455667788}
	former := Claimant{Name: "n2", Boot: 1, Nonce: 2}
	tests := []struct {
		file  string
		value any
	}{
		{"acquire_request", Ask{From: holder, ID: 9, Zone: "a", Load: 0.25, Wants: []Want{
			{Duty: "catalogue", Token: 7, Zone: "b"},
			{Duty: "export", Leave: true},
		}}},
		{"acquire_request_minimal", Ask{From: holder, ID: 1, Wants: []Want{{Duty: "export"}}}},
		{"acquire_response", Answer{ID: 9, Grants: []Grown{
			{Duty: "export", Token: 8, Held: true, Yield: true, Holder: "n1", Mine: true},
			{Duty: "catalogue"},
		}}},
		{"command_expire", Command{Kind: Expire, Duty: "export", To: holder, Token: 5, Seen: 77}},
		{"command_grant", Command{Kind: Grant, Duty: "export", To: holder, Token: 5}},
		{"table", Register{
			Last:   12,
			Duties: map[string]Entry{"export": {Holder: holder, Token: 12, Seen: 44}},
			History: []Term{
				{Duty: "export", Token: 11, To: former, Index: 30},
				{Duty: "export", Token: 12, To: holder, Index: 40},
			},
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
			if err := cbor.Unmarshal(landed, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.value, decoded.Elem().Interface()); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
		})
	}
}
