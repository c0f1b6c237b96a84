package usagesegment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/goldentest"
)

const (
	goldenStartedAt   = 1_740_000_000_123 // Unix ms, when the first segment began
	goldenLastWriteAt = 1_740_000_200_500 // Unix ms, time of the last write to the open segments
	goldenRun         = 0x1122334455667788
)

// writeGolden writes the content of the golden files: a sealed segment with four requests, one of them without an
// end, and an open segment with three.
func writeGolden(t *testing.T, dir string) (sealedData, openData []byte) {
	t.Helper()
	c := &fakeClock{at: time.UnixMilli(goldenStartedAt)}
	logger := logtest.Discard()
	if err := os.WriteFile(filepath.Join(dir, "source"), []byte("0123456789abcdef\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	w, err := open(dir, time.Minute, logger, c.now, allocate)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	w.run = goldenRun // open chooses a random number; the golden files have this one
	copy(w.current.data, usage.AppendHeader(nil, usage.Header{Number: 1, Writer: w.run, StartedAt: goldenStartedAt}))
	var next int64
	for i := range 4 {
		var x usage.Request
		goldentest.Fill(&x, &next)
		if seq := w.Sent(x); i < 3 {
			w.Ended(seq, usage.Arrival(i))
		}
	}
	c.advance(2 * time.Minute)
	w.maintain(false)
	for range 3 {
		var x usage.Request
		goldentest.Fill(&x, &next)
		w.Ended(w.Sent(x), usage.Arrived)
	}
	if sealedData, err = os.ReadFile(filepath.Join(dir, segmentName(1, sealedSuffix))); err != nil {
		t.Fatal(err)
	}
	if openData, err = os.ReadFile(filepath.Join(dir, segmentName(2, openSuffix))); err != nil {
		t.Fatal(err)
	}
	return sealedData, openData
}

// TestGoldenSegmentsWritten checks that the same bytes are written as by an earlier version.
func TestGoldenSegmentsWritten(t *testing.T) {
	sealed, open := writeGolden(t, t.TempDir())
	if want := goldentest.Read(t, "sealed.seg.gz"); !bytes.Equal(sealed, want) {
		t.Errorf("sealed segment: got %x, want %x", sealed, want)
	}
	if want := goldentest.Read(t, "open.open.gz"); !bytes.Equal(open, want) {
		t.Errorf("open segment: got %x..., want %x...", open[:512], want[:512])
	}
}

// TestGoldenSegmentsRead checks that the segments of an earlier version can be read.
func TestGoldenSegmentsRead(t *testing.T) {
	const secondBegun = goldenStartedAt + 120_000 // Unix ms
	sealed := usage.Header{Number: 1, Writer: goldenRun, StartedAt: goldenStartedAt, SealedAt: secondBegun}
	open := usage.Header{Number: 2, Writer: goldenRun, StartedAt: secondBegun}
	for _, tc := range []struct {
		file    string
		header  usage.Header
		records int
		damaged int
		lost    int
	}{
		{"sealed.seg.gz", sealed, 7, 0, 0},
		{"open.open.gz", open, 6, 0, 0},
		{"damaged.open.gz", open, 5, 1, 9},
	} {
		t.Run(tc.file, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "segment")
			if err := os.WriteFile(path, goldentest.Read(t, tc.file), 0o644); err != nil {
				t.Fatal(err)
			}
			header, data, err := Read(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.header, header); diff != "" {
				t.Errorf("header (-want +got):\n%s", diff)
			}
			report, err := usage.Scan(data, func(usage.Record) {})
			if err != nil || report.Records != tc.records || report.Damaged != tc.damaged || report.Lost != tc.lost {
				t.Errorf("got %+v, %v; want %d records, %d damaged, %d bytes lost",
					report, err, tc.records, tc.damaged, tc.lost)
			}
		})
	}
}

// TestGoldenSegmentsReclosed checks that closing the open segments of an earlier version gives the same bytes as that
// version gave.
func TestGoldenSegmentsReclosed(t *testing.T) {
	for _, tc := range []struct{ open, closed string }{
		{"open.open.gz", "open-closed.seg.gz"},
		{"damaged.open.gz", "damaged-closed.seg.gz"},
	} {
		t.Run(tc.open, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, segmentName(2, openSuffix))
			if err := os.WriteFile(path, goldentest.Read(t, tc.open), 0o644); err != nil {
				t.Fatal(err)
			}
			modified := time.UnixMilli(goldenLastWriteAt)
			if err := os.Chtimes(path, modified, modified); err != nil {
				t.Fatal(err)
			}
			if err := closeLeftOpen(path, modified); err != nil {
				t.Fatal(err)
			}
			got, err := os.ReadFile(filepath.Join(dir, segmentName(2, sealedSuffix)))
			if err != nil {
				t.Fatal(err)
			}
			if want := goldentest.Read(t, tc.closed); !bytes.Equal(got, want) {
				t.Errorf("got %x, want %x", got, want)
			}
		})
	}
}
