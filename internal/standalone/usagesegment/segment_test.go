package usagesegment

import (
	"bufio"
	"bytes"
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
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"mulleinrouter/internal/dataplane/usage"
)

func try(units float64) usage.Request {
	return usage.Request{Member: "00000000000000aa", Plan: "basic", Class: "quote-read", Revision: 1, Units: usage.ToMicro(units), Minute: 29_000_000}
}

type clock struct {
	sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time {
	c.Lock()
	defer c.Unlock()
	return c.at
}

func (c *clock) pass(d time.Duration) {
	c.Lock()
	defer c.Unlock()
	c.at = c.at.Add(d)
}

func logger() (*logrus.Logger, *bytes.Buffer) {
	b := &bytes.Buffer{}
	l := logrus.New()
	l.SetOutput(b)
	return l, b
}

// total replays all segments of a folder.
func total(t *testing.T, dir string) (known, unknown usage.Sum, out int, missed usage.Sum) {
	t.Helper()
	list, err := List(dir)
	if err != nil {
		t.Fatal(err)
	}
	var ledger usage.Replayer
	all := usage.Tally{}
	for i, s := range list {
		h, data, err := Read(s.Path)
		if err != nil || h.Number != uint64(i+1) {
			t.Fatalf("segment %d is number %d, %v", i+1, h.Number, err)
		}
		tally, report, err := ledger.Replay(h, data)
		if err != nil || report.Damaged+report.Lost > 0 {
			t.Fatalf("%s: %+v %v", s.Path, report, err)
		}
		all.Merge(tally)
		missed.Requests += report.Unmetered.Requests
		missed.Units += report.Unmetered.Units
	}
	known, unknown = all.Total()
	return known, unknown, len(ledger.Pending), missed
}

func TestSegmentsHoldWhatWasWritten(t *testing.T) {
	dir, c := t.TempDir(), &clock{at: time.Unix(1_740_000_000, 0)}
	log, lines := logger()
	w, err := open(dir, time.Minute, log, c.now, allocate)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, time.Minute, log); !errors.Is(err, ErrTaken) {
		t.Errorf("a second writer: %v", err)
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 30_000 {
				w.Ended(w.Sent(try(1.5)), usage.Arrival(i%3))
			}
		}()
	}
	wg.Wait()
	w.Sent(try(1)) // out when it ends
	c.pass(2 * time.Minute)
	w.look(false) // closes what is full, and what is old
	c.pass(2 * time.Minute)
	w.look(false) // nothing in it: stays
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	known, unknown, out, _ := total(t, dir)
	if known != (usage.Sum{Requests: 40_000, Units: 60_000 * usage.Micro}) || unknown.Requests != 40_000 || out != 1 {
		t.Errorf("known %+v, unknown %+v, %d out", known, unknown, out)
	}
	list, _ := List(dir)
	if len(list) < 3 {
		t.Errorf("%d segments of %d bytes at most", len(list), size)
	}
	for _, s := range list {
		if info, err := os.Stat(s.Path); err != nil || s.Open || info.Size() > size {
			t.Errorf("%+v %v %v", s, info.Size(), err)
		}
	}
	left, _ := filepath.Glob(filepath.Join(dir, "*"))
	if len(left) != len(list)+2 || lines.Len() > 0 { // the lock and the source
		t.Errorf("left behind: %v, log %s", left, lines)
	}
	// The next run goes on behind them, under the same name and another number of its own.
	source, run := w.source, w.run
	if w, err = open(dir, time.Minute, log, c.now, allocate); err != nil || w.source != source || w.run == run || w.number != uint64(len(list)+1) {
		t.Errorf("source %s, segment %d: %v", w.source, w.number, err)
	}
	w.Close()
}

func TestFullDiskStopsMeteringAndNothingElse(t *testing.T) {
	dir, c, full := t.TempDir(), &clock{at: time.Unix(1_740_000_000, 0)}, false
	log, lines := logger()
	room := func(f *os.File, n int64) error {
		if full {
			return syscall.ENOSPC
		}
		return allocate(f, n)
	}
	w, err := open(dir, time.Minute, log, c.now, room)
	if err != nil {
		t.Fatal(err)
	}
	before := w.Sent(try(1))
	full = true
	c.pass(2 * time.Minute)
	w.look(false)
	for range 10 {
		if seq := w.Sent(try(2)); seq != 0 {
			t.Fatalf("try %d recorded on a full disk", seq)
		}
		w.Ended(0, usage.Arrived)
	}
	w.Ended(before, usage.Arrived) // its end waits for room
	w.look(true)                   // still full
	if m := w.Missed(); m != (usage.Sum{Requests: 10, Units: 20 * usage.Micro}) {
		t.Errorf("missed %+v", m)
	}
	full = false
	w.look(true)
	w.Ended(w.Sent(try(3)), usage.Arrived)
	c.pass(20 * time.Minute)
	w.look(false)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	known, unknown, out, missed := total(t, dir)
	if known.Units != 4*usage.Micro || unknown.Units != 0 || out != 0 || missed != (usage.Sum{Requests: 10, Units: 20 * usage.Micro}) {
		t.Errorf("known %+v, unknown %+v, %d out, missed %+v", known, unknown, out, missed)
	}
	if n := strings.Count(lines.String(), "usage-full"); n != 1 || strings.Count(lines.String(), "usage-resumed") != 1 {
		t.Errorf("log:\n%s", lines)
	}
}

// TestWriterThatIsKilled kills a process in the middle of writing, again and again: each record that it had
// written is there, also those of the segment that was open.
func TestWriterThatIsKilled(t *testing.T) {
	if dir := os.Getenv("SEGMENT_TEST_DIR"); dir != "" {
		write(dir)
		return
	}
	dir := t.TempDir()
	seen := int64(0)
	rounds := 12
	for round := range rounds {
		cmd := exec.Command(os.Args[0], "-test.run=^TestWriterThatIsKilled$")
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
	log, lines := logger()
	w, err := Open(dir, time.Minute, log)
	if err != nil {
		t.Fatal(err)
	}
	w.Close()
	known, unknown, out, _ := total(t, dir)
	if known.Requests < seen || known.Requests == 0 || seen == 0 || lines.Len() > 0 {
		t.Errorf("%d tries were written, %d are there; %d unknown, %d out; log %s", seen, known.Requests, unknown.Requests, out, lines)
	}
	if most := int64(rounds); unknown.Requests+int64(out) > most {
		t.Errorf("%d tries without an end, each run had one out at the most", unknown.Requests+int64(out))
	}
}

// write tells each try once it has been written whole, until it is killed.
func write(dir string) {
	log, _ := logger()
	w, err := Open(dir, time.Minute, log)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for n := 1; n < 1_000_000; n++ {
		w.Ended(w.Sent(try(1)), usage.Arrived)
		os.Stdout.WriteString(strconv.Itoa(n) + "\n")
	}
}

func TestSegmentLeftOpenWithHalfARecord(t *testing.T) {
	dir := t.TempDir()
	log, lines := logger()
	w, err := Open(dir, time.Minute, log)
	if err != nil {
		t.Fatal(err)
	}
	w.Ended(w.Sent(try(1)), usage.Arrived)
	w.Sent(try(2))
	// What a power loss may leave: a frame without its payload, at the place of the next record.
	copy(w.in.data[w.in.used:], []byte{40, 0, 0, 0, 1, 2, 3, 4})
	w.lock.Close() // as when it is killed
	if w, err = Open(dir, time.Minute, log); err != nil {
		t.Fatal(err)
	}
	w.Close()
	known, unknown, out, _ := total(t, dir)
	if diff := cmp.Diff([]int64{1, 1, 0}, []int64{known.Requests, unknown.Requests, int64(out)}); diff != "" || lines.Len() > 0 {
		t.Errorf("%s\n%s", diff, lines)
	}
}

func BenchmarkSent(b *testing.B) { // a try as it is metered: Sent and Ended
	log, _ := logger()
	parallel := func(b *testing.B, f func()) {
		b.SetParallelism(1) // times GOMAXPROCS: four goroutines on four cores
		b.ReportAllocs()
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				f()
			}
		})
	}
	b.Run("mapped", func(b *testing.B) {
		w, err := Open(b.TempDir(), time.Minute, log)
		if err != nil {
			b.Fatal(err)
		}
		defer w.Close()
		stop := make(chan struct{})
		defer close(stop)
		go func() { // as Run does, without its ticks
			for {
				select {
				case <-stop:
					return
				case <-w.wake:
					w.look(false)
				}
			}
		}()
		t := try(1)
		parallel(b, func() { w.Ended(w.Sent(t), usage.Arrived) })
	})
	b.Run("write", func(b *testing.B) { // an append-only file with one write a record
		f, err := os.Create(filepath.Join(b.TempDir(), "log"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		var mu sync.Mutex
		var buf []byte
		t := try(1)
		parallel(b, func() {
			mu.Lock()
			defer mu.Unlock()
			buf = usage.AppendRecord(append(buf[:0], 0, 0, 0, 0, 0, 0, 0, 0), &usage.Record{Kind: usage.Sent, Seq: 1, Request: t})
			f.Write(buf)
			buf = usage.AppendRecord(append(buf[:0], 0, 0, 0, 0, 0, 0, 0, 0), &usage.Record{Kind: usage.Ended, Seq: 1, Arrival: usage.Arrived})
			f.Write(buf)
		})
	})
	b.Run("bbolt", func(b *testing.B) { // a transaction a record, gathered, without a sync: what a kill spares
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o644, &bbolt.Options{NoSync: true})
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("u")); return err })
		t := try(1)
		put := func(r *usage.Record) {
			db.Batch(func(tx *bbolt.Tx) error {
				u := tx.Bucket([]byte("u"))
				n, _ := u.NextSequence()
				return u.Put([]byte(fmt.Sprintf("%016x", n)), usage.AppendRecord(nil, r))
			})
		}
		parallel(b, func() {
			put(&usage.Record{Kind: usage.Sent, Seq: 1, Request: t})
			put(&usage.Record{Kind: usage.Ended, Seq: 1, Arrival: usage.Arrived})
		})
	})
}
