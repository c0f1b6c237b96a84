package usagesegment

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/logging/logtest"
)

func newRequest(units float64) usage.Request {
	return usage.Request{
		Member:   "00000000000000aa",
		Plan:     "basic",
		Class:    "quote-read",
		Revision: 1,
		Units:    usage.ToMicroUnits(units),
		Minute:   29_000_000,
	}
}

type fakeClock struct {
	sync.Mutex
	at time.Time
}

func (fc *fakeClock) now() time.Time {
	fc.Lock()
	defer fc.Unlock()
	return fc.at
}

func (fc *fakeClock) advance(d time.Duration) {
	fc.Lock()
	defer fc.Unlock()
	fc.at = fc.at.Add(d)
}

// replay reads all segments of a folder. It returns the sums of the requests with known and unknown arrival, the number
// of requests in flight, and the sum of the requests that were not recorded.
func replay(t *testing.T, dir string) (known, unknown usage.Sum, inFlight int, missed usage.Sum) {
	t.Helper()
	list, err := List(dir)
	if err != nil {
		t.Fatal(err)
	}
	var replayer usage.Replayer
	all := usage.Tally{}
	for i, s := range list {
		h, data, err := Read(s.Path)
		if err != nil || h.Number != uint64(i+1) {
			t.Fatalf("segment %d is number %d, %v", i+1, h.Number, err)
		}
		tally, report, err := replayer.Replay(h, data)
		if err != nil || report.Damaged+report.Lost > 0 {
			t.Fatalf("%s: %+v %v", s.Path, report, err)
		}
		all.Merge(tally)
		missed.Requests += report.Unmetered.Requests
		missed.Units += report.Unmetered.Units
	}
	known, unknown = all.Total()
	return known, unknown, len(replayer.Pending), missed
}

// TestSegmentsHoldAllRecords writes from several goroutines beyond the size of a segment. No record may be lost or
// counted twice where a segment is full, old or closed.
func TestSegmentsHoldAllRecords(t *testing.T) {
	dir, c := t.TempDir(), &fakeClock{at: time.Unix(1_740_000_000, 0)}
	logger, lines := logtest.Record()
	w, err := open(dir, time.Minute, logger, c.now, allocate)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, time.Minute, logger); !errors.Is(err, ErrLocked) {
		t.Errorf("a second writer: got %v, want %v", err, ErrLocked)
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 30_000 {
				w.Ended(w.Sent(newRequest(1.5)), usage.Arrival(i%3))
			}
		}()
	}
	wg.Wait()
	w.Sent(newRequest(1)) // in flight when the run ends
	c.advance(2 * time.Minute)
	w.maintain(false) // seals the full segments and the old one
	c.advance(2 * time.Minute)
	w.maintain(false) // keeps the current segment, which has no records
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	known, unknown, out, _ := replay(t, dir)
	if known != (usage.Sum{Requests: 40_000, Units: 60_000 * usage.MicroPerUnit}) ||
		unknown.Requests != 40_000 || out != 1 {
		t.Errorf("got known %+v, unknown %+v, %d in flight; want 40000 requests of 60000 units, 40000, 1",
			known, unknown, out)
	}
	list, _ := List(dir)
	if len(list) < 3 {
		t.Errorf("got %d segments of %d bytes at most, want 3 or more", len(list), segmentSize)
	}
	for _, s := range list {
		if info, err := os.Stat(s.Path); err != nil || s.Open || info.Size() > segmentSize {
			t.Errorf("segment %+v: %d bytes, error %v; want a closed one of segmentSize at most", s, info.Size(), err)
		}
	}
	left, _ := filepath.Glob(filepath.Join(dir, "*"))
	if len(left) != len(list)+2 || lines.Len() > 0 { // two more: the lock and the source
		t.Errorf("got %v in the folder, log %s; want %d segments, lock and source", left, lines, len(list))
	}
	// The next run continues after these segments, with the same source and another run number.
	source, run := w.source, w.run
	w, err = open(dir, time.Minute, logger, c.now, allocate)
	if err != nil || w.source != source || w.run == run || w.lastNumber != uint64(len(list)+1) {
		t.Errorf("next run: source %s, segment %d, error %v; want the same source, another run and the next segment",
			w.source, w.lastNumber, err)
	}
	w.Close()
}

// TestFullDiskStopsMeteringOnly checks that on a full disk Sent does not fail, but counts the request as missed. Once
// there is space, the sum of the missed requests and the ends that came meanwhile must be recorded.
func TestFullDiskStopsMeteringOnly(t *testing.T) {
	dir, c, full := t.TempDir(), &fakeClock{at: time.Unix(1_740_000_000, 0)}, false
	logger, lines := logtest.Record()
	allocateUnlessFull := func(f *os.File, n int64) error {
		if full {
			return syscall.ENOSPC
		}
		return allocate(f, n)
	}
	w, err := open(dir, time.Minute, logger, c.now, allocateUnlessFull)
	if err != nil {
		t.Fatal(err)
	}
	before := w.Sent(newRequest(1))
	full = true
	c.advance(2 * time.Minute)
	w.maintain(false)
	for range 10 {
		if seq := w.Sent(newRequest(2)); seq != 0 {
			t.Fatalf("request %d was recorded on a full disk", seq)
		}
		w.Ended(0, usage.Arrived)
	}
	w.Ended(before, usage.Arrived) // this record is kept until there is space
	w.maintain(true)               // the disk is still full
	if m := w.Missed(); m != (usage.Sum{Requests: 10, Units: 20 * usage.MicroPerUnit}) {
		t.Errorf("got missed %+v, want 10 requests of 2 units", m)
	}
	full = false
	w.maintain(true)
	w.Ended(w.Sent(newRequest(3)), usage.Arrived)
	c.advance(20 * time.Minute)
	w.maintain(false)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	known, unknown, out, missed := replay(t, dir)
	wantMissed := usage.Sum{Requests: 10, Units: 20 * usage.MicroPerUnit}
	if known.Units != 4*usage.MicroPerUnit || unknown.Units != 0 || out != 0 || missed != wantMissed {
		t.Errorf("got known %+v, unknown %+v, %d in flight, missed %+v; want 4 units, none, 0, 10 requests of 2 units",
			known, unknown, out, missed)
	}
	if n := strings.Count(lines.String(), "usage-full"); n != 1 || strings.Count(lines.String(), "usage-resumed") != 1 {
		t.Errorf("want usage-full and usage-resumed once each in the log:\n%s", lines)
	}
}

// TestKilledWriterLosesNoRecord kills a writing process several times. Each record that it had written must be there,
// including those of the segment that was open.
func TestKilledWriterLosesNoRecord(t *testing.T) {
	if dir := os.Getenv("SEGMENT_TEST_DIR"); dir != "" {
		writeUntilKilled(dir)
		return
	}
	dir := t.TempDir()
	seen := int64(0)
	rounds := 12
	for round := range rounds {
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilledWriterLosesNoRecord$")
		cmd.Env = append(os.Environ(), "SEGMENT_TEST_DIR="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines, last := bufio.NewScanner(out), int64(0)
		for lines.Scan() {
			if n, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil {
				if last = n; n >= int64(200+round*37) {
					cmd.Process.Kill()
				}
			}
		}
		cmd.Wait()
		seen += last
	}
	logger, lines := logtest.Record()
	w, err := Open(dir, time.Minute, logger)
	if err != nil {
		t.Fatal(err)
	}
	w.Close()
	known, unknown, out, _ := replay(t, dir)
	if known.Requests < seen || known.Requests == 0 || seen == 0 || lines.Len() > 0 {
		t.Errorf("%d requests were written, %d are there; %d unknown, %d in flight; log %s",
			seen, known.Requests, unknown.Requests, out, lines)
	}
	if maxWithoutEnd := int64(rounds); unknown.Requests+int64(out) > maxWithoutEnd {
		t.Errorf("got %d requests without an end, want at most one a run (%d)",
			unknown.Requests+int64(out), maxWithoutEnd)
	}
}

// writeUntilKilled prints the number of each request once its records are written, until the process is killed.
func writeUntilKilled(dir string) {
	logger := logtest.Discard()
	w, err := Open(dir, time.Minute, logger)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for n := 1; n < 1_000_000; n++ {
		w.Ended(w.Sent(newRequest(1)), usage.Arrived)
		os.Stdout.WriteString(strconv.Itoa(n) + "\n")
	}
}

// TestPartialRecordIsTruncated checks that the next start cuts off a record that a power loss left incomplete, and
// keeps the records before it.
func TestPartialRecordIsTruncated(t *testing.T) {
	dir := t.TempDir()
	logger, lines := logtest.Record()
	w, err := Open(dir, time.Minute, logger)
	if err != nil {
		t.Fatal(err)
	}
	w.Ended(w.Sent(newRequest(1)), usage.Arrived)
	w.Sent(newRequest(2))
	// Writes a frame without its payload at the offset of the next record, which a power loss may leave there.
	copy(w.current.data[w.current.used:], []byte{40, 0, 0, 0, 1, 2, 3, 4})
	w.lock.Close() // as if the process were killed
	if w, err = Open(dir, time.Minute, logger); err != nil {
		t.Fatal(err)
	}
	w.Close()
	known, unknown, out, _ := replay(t, dir)
	got := []int64{known.Requests, unknown.Requests, int64(out)}
	if diff := cmp.Diff([]int64{1, 1, 0}, got); diff != "" || lines.Len() > 0 {
		t.Errorf("known, unknown and in flight (-want +got):\n%s\nwant an empty log:\n%s", diff, lines)
	}
}
