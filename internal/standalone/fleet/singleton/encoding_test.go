package singleton

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/goldentest"
)

// TestEncodingOfLandedVersion checks that the wire and disk formats stay compatible with those of an earlier version.
// Its files under testdata/landed were written by commit 76a3bb5, before the types and fields were renamed.
func TestEncodingOfLandedVersion(t *testing.T) {
	holder := Identity{Name: "n1", Boot: 3, Nonce: 0x1122334455667788}
	former := Identity{Name: "n2", Boot: 1, Nonce: 2}
	tests := []struct {
		file  string
		value any
	}{
		{"acquire_request", AcquireRequest{From: holder, ID: 9, Zone: "a", Load: 0.25, Roles: []RoleRequest{
			{Role: "catalogue", Token: 7, PreferredZone: "b"},
			{Role: "export", Release: true},
		}}},
		{"acquire_request_minimal", AcquireRequest{From: holder, ID: 1, Roles: []RoleRequest{{Role: "export"}}}},
		{"acquire_response", AcquireResponse{ID: 9, Statuses: []RoleStatus{
			{Role: "export", Token: 8, Confirmed: true, StepDown: true, Holder: "n1", IsHolder: true},
			{Role: "catalogue"},
		}}},
		{"command_expire", Command{Kind: Expire, Role: "export", To: holder, Token: 5, RenewedIndex: 77}},
		{"command_grant", Command{Kind: Grant, Role: "export", To: holder, Token: 5}},
		{"table", LeaseTable{
			LastToken: 12,
			Leases:    map[string]Lease{"export": {Holder: holder, Token: 12, RenewedIndex: 44}},
			History: []Tenure{
				{Role: "export", Token: 11, Holder: former, Index: 30},
				{Role: "export", Token: 12, Holder: holder, Index: 40},
			},
		}},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			goldentest.CheckEncoding(t, "landed/"+test.file+".cbor", test.value, cbor.Marshal, cbor.Unmarshal)
		})
	}
}
