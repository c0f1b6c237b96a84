package leaseservice

import (
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/standalone/fleet/revisionlog"
	"mulleinrouter/internal/standalone/goldentest"
	"mulleinrouter/internal/standalone/jsontext"
)

// TestEncodingOfLandedVersion checks that the messages between ingresses, the replies of the mgmt interface and the
// records on disk stay compatible with those of an earlier version. Its files under testdata/landed were written by
// commit 76a3bb5, before the types and fields were renamed.
func TestEncodingOfLandedVersion(t *testing.T) {
	status := Status{
		Error:  "e",
		Leader: "n1",
		Term:   4,
		Voters: []string{"n1", "n2"},
		Roles: []RoleStatus{
			{Role: "export", Holder: "n1", Token: 12, Candidates: []string{"n2", "n3"}},
			{Role: "catalogue"},
		},
		History: []Tenure{{Role: "export", Token: 12, Holder: "n1", Boot: 3}},
	}
	brief := revisionlog.Entry{Number: 3, Token: 12, Digest: "d3"}
	full := brief
	full.Text = []byte("text")
	tests := []struct {
		file  string
		value any
	}{
		{"call_status.cbor", callRequest{Command: commandStatus}},
		{"call_give.cbor", callRequest{Command: commandTransfer, Role: "export", Name: "n2"}},
		{"told.cbor", status},
		{"told.json", status},
		{"posting.cbor", exportRequest{
			Header: map[string][]string{"Content-Type": {"application/json"}},
			Body:   []byte("batch"),
		}},
		{"posted.cbor", exportResponse{Status: 200, Header: map[string][]string{"X-A": {"b"}}, Body: []byte("ok")}},
		{"message_tell.cbor", revisionlog.Message{
			Kind:    revisionlog.Announce,
			Token:   12,
			Entries: []revisionlog.Entry{full},
		}},
		{"message_have.cbor", revisionlog.Message{
			Kind:    revisionlog.Inventory,
			Token:   12,
			Entries: []revisionlog.Entry{brief},
		}},
		{"message_ask.cbor", revisionlog.Message{Kind: revisionlog.Query, Token: 12}},
		{"announced.json", AnnouncerStatus{
			LastToken: 12,
			Holder:    "n1",
			Rejected:  2,
			Entries:   []revisionlog.Entry{brief},
		}},
		{"record.json", revisionlog.Record{LastToken: 12, Entries: []revisionlog.Entry{full}}},
		{"duty_record.json", Record{Name: "n1", Boot: 3, Tokens: map[string]uint64{"export": 12}}},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			encode, decode := cbor.Marshal, cbor.Unmarshal
			if filepath.Ext(test.file) == ".json" {
				encode, decode = jsontext.Encode, jsontext.Decode
			}
			goldentest.CheckEncoding(t, "landed/"+test.file, test.value, encode, decode)
		})
	}
}
