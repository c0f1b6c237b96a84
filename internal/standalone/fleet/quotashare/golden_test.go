package quotashare

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/goldentest"
)

// TestGoldenMessages checks that messages written by an earlier version are read, and are written as the same bytes.
func TestGoldenMessages(t *testing.T) {
	full := Message{
		Incarnation:      [2]uint64{12, 1<<63 - 3},
		Seq:              300,
		AckSeq:           299,
		AckIncarnation:   [2]uint64{3, 99},
		CounterTrusted:   true,
		Zone:             "a",
		UnhealthyServers: []string{"s1", "s2"},
		ServerCount:      9,
		Customers: []CustomerReport{
			{
				Customer:   "m1",
				Rate:       12.5,
				Lent:       3.25,
				Totals:     []CounterTotal{{"m1/17", 40.125}, {"m1/18", 2}},
				UsesGrants: true,
			},
			{Customer: "m2"},
		},
	}
	for _, tc := range []struct {
		file string
		want Message
	}{
		{"full.cbor", full},
		{"empty.cbor", Message{}},
	} {
		t.Run(tc.file, func(t *testing.T) {
			golden := goldentest.Read(t, tc.file)
			var got Message
			if err := cbor.Unmarshal(golden, &got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
			written, err := cbor.Marshal(tc.want)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(written, golden) {
				t.Errorf("written: got %x, want %x", written, golden)
			}
		})
	}
}
