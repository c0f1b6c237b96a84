package usagesegment

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/usage"
)

// maxLateRecords is the largest number of ends of requests that are kept in memory while the disk is full. Further ones
// are lost, and their requests are billed with an unknown arrival.
const maxLateRecords = 1 << 16

// Writer writes the records of one run of an ingress. It is safe for concurrent use.
type Writer struct {
	dir      string
	rotate   time.Duration // greatest age of a segment with records
	log      log.Logger
	now      func() time.Time
	allocate allocator
	lock     *os.File      // lock file of the folder
	source   string        // name of the folder's records
	run      uint64        // random number of this run
	wake     chan struct{} // wakes Run when a segment is full, or the next one should be preallocated

	mu         sync.Mutex // guards the fields below
	seq        uint64     // sequence number of the last request
	lastNumber uint64     // number of the newest segment
	current    *segmentFile
	spare      *segmentFile   // preallocated segment; nil if there is none
	filled     []*segmentFile // full or old segments to be sealed
	missed     usage.Sum      // requests not recorded since the disk became full
	late       []usage.Record // ends of recorded requests since then, to be written once there is space
	closed     bool
	buffer     []byte // the encoded record, reused by append
}

// Open locks a folder, which it creates if needed, and closes the segments that an earlier run left open. The
// writer closes a segment with records once it is older than rotate. The error is ErrLocked or one of the file
// system.
func Open(dir string, rotate time.Duration, logger log.Logger) (*Writer, error) {
	return open(dir, rotate, logger, time.Now, allocate)
}

func open(
	dir string, rotate time.Duration, logger log.Logger, now func() time.Time, allocate allocator,
) (*Writer, error) {
	w := &Writer{
		dir:      dir,
		rotate:   rotate,
		log:      logger,
		now:      now,
		allocate: allocate,
		wake:     make(chan struct{}, 1),
	}
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("usage: %s: %w", dir, ErrLocked)
	}
	w.lock = lock
	if err := w.start(); err != nil {
		lock.Close()
		return nil, fmt.Errorf("usage: %w", err)
	}
	return w, nil
}

// start closes the segments that an earlier run left open, and begins the first segment.
func (w *Writer) start() (err error) {
	if w.source, err = Source(w.dir); err != nil {
		return err
	}
	var b [8]byte
	rand.Read(b[:])
	w.run = binary.LittleEndian.Uint64(b[:])
	segments, err := List(w.dir)
	if err != nil {
		return err
	}
	for _, s := range segments {
		w.lastNumber = max(w.lastNumber, s.Number)
		if !s.Open {
			continue
		}
		if err := closeLeftOpen(s.Path, w.now()); err != nil {
			level.Error(w.log).Log("msg", "cannot close a segment that an earlier run left open; it stays as it is",
				"code", "usage-bad-segment", "file", s.Path, "error", err,
			)
		}
	}
	spares, _ := filepath.Glob(filepath.Join(w.dir, "*"+spareSuffix)) // the only possible error is a malformed pattern
	for _, path := range spares {
		os.Remove(path)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beginSegment()
	return nil
}

// beginSegment begins a new segment. If it cannot, usually because the disk is full, recording stops until Run retries.
// The caller holds the mutex.
func (w *Writer) beginSegment() {
	next, err := w.nextSegment()
	if err != nil {
		w.current = nil
		if w.missed.Requests == 0 {
			level.Error(w.log).Log("msg", "no space to record usage; requests are served, unrecorded usage is counted",
				"code", "usage-full", "error", err,
			)
		}
		return
	}
	w.current = next
	if w.missed.Requests > 0 {
		level.Warn(w.logMissed("usage-resumed")).Log("msg", "usage is recorded again; some requests were not recorded")
		w.append(&usage.Record{Kind: usage.Unmetered, Unmetered: w.missed})
		w.missed = usage.Sum{}
	}
	late := w.late
	w.late = nil
	for i := range late {
		w.append(&late[i])
	}
}

// nextSegment returns a segment with a header and the next number. The caller holds the mutex.
func (w *Writer) nextSegment() (next *segmentFile, err error) {
	next = w.spare
	w.spare = nil
	if next == nil {
		if next, err = preallocate(w.dir, w.allocate); err != nil {
			return nil, err
		}
	}
	number := w.lastNumber + 1
	header := usage.AppendHeader(nil, usage.Header{Number: number, Writer: w.run, StartedAt: w.now().UnixMilli()})
	copy(next.data, header)
	path := filepath.Join(w.dir, segmentName(number, openSuffix))
	if err := os.Rename(next.path, path); err != nil {
		next.discard()
		return nil, err
	}
	w.lastNumber = number
	next.path = path
	next.used = len(header)
	next.startedAt = w.now()
	return next, nil
}

// append writes a record to the current segment, or to a new one if it does not fit. It reports whether the record was
// written. The caller holds the mutex.
func (w *Writer) append(r *usage.Record) bool {
	w.buffer = usage.AppendRecord(w.buffer[:0], r)
	if w.current != nil && !w.current.fits(w.buffer) {
		w.filled = append(w.filled, w.current)
		w.beginSegment()
		w.wakeUp()
	}
	if w.current == nil || len(w.buffer) > usage.MaxPayload {
		return false
	}
	if w.current.append(w.buffer) {
		w.wakeUp()
	}
	return true
}

func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Sent records that the first attempt of a request is about to be sent. It returns a number that identifies the
// request for Ended, or 0 if the request could not be recorded.
func (w *Writer) Sent(request usage.Request) (seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	if !w.append(&usage.Record{Kind: usage.Sent, Seq: w.seq, Request: request}) {
		w.missed = w.missed.Add(usage.Sum{Requests: 1, Units: request.Units})
		return 0
	}
	return w.seq
}

// Ended records whether a request arrived, as far as that is known, once the request has ended.
func (w *Writer) Ended(seq uint64, a usage.Arrival) {
	if seq == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := usage.Record{Kind: usage.Ended, Seq: seq, Arrival: a}
	if !w.append(&r) && len(w.late) < maxLateRecords {
		w.late = append(w.late, r)
	}
}

// Missed returns the sum of the requests that could not be recorded since the disk became full. It is zero while
// recording works.
func (w *Writer) Missed() usage.Sum {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.missed
}

// logMissed returns a logger whose lines include the sum of what was not recorded. The caller holds the mutex.
func (w *Writer) logMissed(code string) log.Logger {
	return log.With(w.log, "code", code, "tries", w.missed.Requests, "units", w.missed.InUnits())
}

// Close closes the current segment and unlocks the folder. Later records are counted as missed, and lost.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	if w.missed.Requests > 0 {
		level.Error(w.logMissed("usage-unmetered")).Log(
			"msg", "some usage was not recorded, and is reported in this line only",
		)
	}
	if w.current != nil {
		w.filled = append(w.filled, w.current)
		w.current = nil
	}
	var err error
	for _, f := range w.filled {
		err = errors.Join(err, f.seal(w.now()))
	}
	w.filled = nil
	if w.spare != nil {
		w.spare.discard()
		w.spare = nil
	}
	return errors.Join(err, w.lock.Close())
}
