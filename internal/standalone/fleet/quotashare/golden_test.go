package quotashare

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/standalone/goldentest"
)

// TestGoldenMessages reads the messages of an earlier version and writes the same bytes.
func TestGoldenMessages(t *testing.T) {
	full := Word{
		Claim: [2]uint64{12, 1<<63 - 3},
		Seq:   300,
		Echo:  299,
		Of:    [2]uint64{3, 99},
		Sound: true,
		Zone:  "a",
		Bad:   []string{"s1", "s2"},
		Size:  9,
		Lines: []Line{
			{Member: "m1", Rate: 12.5, Lent: 3.25, Sums: []Sum{{"m1/17", 40.125}, {"m1/18", 2}}, Loans: true},
			{Member: "m2"},
		},
	}
	for _, tc := range []struct {
		file string
		want Word
	}{
		{"full.cbor", full},
		{"empty.cbor", Word{}},
	} {
		t.Run(tc.file, func(t *testing.T) {
			golden := goldentest.Read(t, tc.file)
			var got Word
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
