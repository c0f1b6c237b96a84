// Package usagesegment keeps an ingress's records of use in files of a folder that lasts.
//
// A segment is allocated whole, mapped, and filled by stores to memory: what has been written is in the page
// cache at once, so a killed process loses nothing, and a record costs no system call on the way of a request.
// Twice a second it is synced: a power loss costs at most that span and the record that was being written. Space is
// allocated before it is used, so a full disk shows when a segment begins and never as a fault within one.
package usagesegment

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/usage"
)

const (
	size       = 4 << 20                // of a segment: half an hour at 140 tries a second
	syncEvery  = 500 * time.Millisecond // the span that a power loss may cost
	mostLate   = 1 << 16                // ends that wait for room; tries beyond are listed as not known
	retryEvery = 5 * time.Second        // a full disk is looked at again
	spareAt    = size / 2               // used: then the next one is allocated ahead

	openEnd, sealedEnd = ".open", ".seg"
)

// ErrTaken tells that another process writes to the folder.
var ErrTaken = errors.New("another process writes its use there")

// Writer writes the records of one run of an ingress. Its methods may be called from several goroutines.
type Writer struct {
	dir    string
	rotate time.Duration
	log    *logrus.Logger
	now    func() time.Time
	room   func(f *os.File, bytes int64) error // allocates; replaced by tests

	lock   *os.File
	source string
	run    uint64

	sync.Mutex
	seq    uint64
	number uint64 // of the newest segment
	in     *file  // nil: the disk is full, or the writer is closed
	spare  *file  // allocated ahead, without a number yet
	full   []*file
	missed usage.Sum      // while the disk is full
	late   []usage.Record // ends of recorded tries, from then: they are written once there is room
	closed bool
	buf    []byte
	wake   chan struct{} // something is full, or to be allocated ahead
}

// file is one segment that is written.
type file struct {
	*os.File
	data  []byte
	used  int
	begun time.Time
	path  string
}

// Open takes a folder, which is made if it is not there, and closes what an earlier run left open. A segment is
// closed after rotate at the latest, if it has any record.
func Open(dir string, rotate time.Duration, log *logrus.Logger) (*Writer, error) {
	return open(dir, rotate, log, time.Now, allocate)
}

func open(dir string, rotate time.Duration, log *logrus.Logger, now func() time.Time, room func(*os.File, int64) error) (*Writer, error) {
	w := &Writer{dir: dir, rotate: rotate, log: log, now: now, room: room, wake: make(chan struct{}, 1)}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("usage: %s: %w", dir, ErrTaken)
	}
	w.lock = lock
	if err := w.prepare(); err != nil {
		lock.Close()
		return nil, fmt.Errorf("usage: %w", err)
	}
	return w, nil
}

func (w *Writer) prepare() (err error) {
	if w.source, err = Source(w.dir); err != nil {
		return err
	}
	var b [8]byte
	rand.Read(b[:])
	w.run = binary.LittleEndian.Uint64(b[:])
	list, err := List(w.dir)
	if err != nil {
		return err
	}
	for _, s := range list {
		w.number = max(w.number, s.Number)
		if !s.Open {
			continue
		}
		if err := reclose(s.Path, w.now()); err != nil {
			w.log.WithFields(logrus.Fields{"code": "usage-bad-segment", "file": s.Path}).WithError(err).Error("a segment left open by an earlier run cannot be closed; it stays as it is")
		}
	}
	left, _ := filepath.Glob(filepath.Join(w.dir, "*.spare"))
	for _, path := range left {
		os.Remove(path)
	}
	w.begin()
	return nil
}

// Source is the name of a folder's records: made by chance at its beginning, the same ever after.
func Source(dir string) (string, error) {
	path := filepath.Join(dir, "source")
	if text, err := os.ReadFile(path); err == nil && len(strings.TrimSpace(string(text))) == 16 {
		return strings.TrimSpace(string(text)), nil
	} else if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	var b [8]byte
	rand.Read(b[:])
	name := hex.EncodeToString(b[:])
	if err := os.WriteFile(path+".new", []byte(name+"\n"), 0o644); err != nil {
		return "", err
	}
	return name, os.Rename(path+".new", path)
}

// allocate gives a file its whole size on the disk. Where the file system cannot do so at once, zeros are written.
func allocate(f *os.File, bytes int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, bytes)
	if !errors.Is(err, syscall.EOPNOTSUPP) {
		return err
	}
	zeros := make([]byte, 64<<10)
	for n := int64(0); n < bytes; n += int64(len(zeros)) {
		if _, err := f.Write(zeros); err != nil {
			return err
		}
	}
	return nil
}

// ahead allocates a segment that nobody writes to yet.
func (w *Writer) ahead() (*file, error) {
	f, err := os.CreateTemp(w.dir, "*.spare")
	if err != nil {
		return nil, err
	}
	if err = w.room(f, size); err == nil {
		var data []byte
		if data, err = syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED); err == nil {
			return &file{File: f, data: data, path: f.Name()}, nil
		}
	}
	f.Close()
	os.Remove(f.Name())
	return nil, err
}

// begin goes on in a new segment, the mutex held or not yet needed. Where there is no room, metering stops.
func (w *Writer) begin() {
	next := w.spare
	w.spare = nil
	var err error
	if next == nil {
		next, err = w.ahead()
	}
	if err == nil {
		path := filepath.Join(w.dir, name(w.number+1, openEnd))
		head := usage.AppendHeader(nil, usage.Header{Number: w.number + 1, Writer: w.run, StartedAt: w.now().UnixMilli()})
		copy(next.data, head)
		if err = os.Rename(next.path, path); err == nil {
			w.number++
			next.path, next.used, next.begun = path, len(head), w.now()
			w.in = next
			if w.missed.Requests > 0 {
				w.log.WithFields(logrus.Fields{"code": "usage-resumed", "tries": w.missed.Requests, "units": w.missed.InUnits()}).Warn("use is recorded again; so much was not")
				w.append(&usage.Record{Kind: usage.Unmetered, Unmetered: w.missed})
				w.missed = usage.Sum{}
			}
			late := w.late
			w.late = nil
			for i := range late {
				w.append(&late[i])
			}
			return
		}
		syscall.Munmap(next.data)
		next.Close()
		os.Remove(next.path)
	}
	if w.in = nil; w.missed.Requests == 0 {
		w.log.WithField("code", "usage-full").WithError(err).Error("no room to record use; service goes on, what is not recorded is counted")
	}
}

// append writes a record to the segment, or to the next one. It tells whether there was one.
func (w *Writer) append(r *usage.Record) bool {
	w.buf = usage.AppendRecord(w.buf[:0], r)
	need := 8 + len(w.buf)
	if w.in != nil && w.in.used+need > size {
		w.full = append(w.full, w.in)
		w.begin()
		w.poke()
	}
	f := w.in
	if f == nil || len(w.buf) > usage.MaxPayload {
		return false
	}
	copy(f.data[f.used+8:], w.buf)
	// The frame comes last and whole: until then the record is not there.
	binary.LittleEndian.PutUint64(f.data[f.used:], usage.Frame(w.buf))
	before := f.used
	f.used += need
	if before < spareAt && f.used >= spareAt {
		w.poke()
	}
	return true
}

func (w *Writer) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Sent records that a try's first attempt is about to go out. The number names the try to Ended; 0: it could not
// be recorded.
func (w *Writer) Sent(try usage.Request) (seq uint64) {
	w.Lock()
	defer w.Unlock()
	w.seq++
	if !w.append(&usage.Record{Kind: usage.Sent, Seq: w.seq, Request: try}) {
		w.missed = w.missed.Add(usage.Sum{Requests: 1, Units: try.Units})
		return 0
	}
	return w.seq
}

// Ended records what is known of a try's arrival once it is over.
func (w *Writer) Ended(seq uint64, a usage.Arrival) {
	if seq == 0 {
		return
	}
	w.Lock()
	defer w.Unlock()
	r := usage.Record{Kind: usage.Ended, Seq: seq, Arrival: a}
	if !w.append(&r) && len(w.late) < mostLate {
		w.late = append(w.late, r)
	}
}

// Run syncs, closes segments in time and looks for room again, until the context ends.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(syncEvery)
	defer ticker.Stop()
	looked := w.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-ticker.C:
		}
		retry := w.now().Sub(looked) >= retryEvery
		if retry {
			looked = w.now()
		}
		w.look(retry)
	}
}

// look does once what Run does again and again.
func (w *Writer) look(retry bool) {
	w.Lock()
	if w.closed {
		w.Unlock()
		return
	}
	if w.in == nil && retry {
		w.begin()
	}
	if w.in != nil && w.in.used > usage.HeaderSize && w.now().Sub(w.in.begun) >= w.rotate {
		w.full = append(w.full, w.in)
		w.begin()
	}
	full, in, wants := w.full, w.in, w.in != nil && w.in.used >= spareAt && w.spare == nil
	w.full = nil
	w.Unlock()
	for _, f := range full {
		if err := w.seal(f); err != nil {
			w.log.WithFields(logrus.Fields{"code": "usage-bad-segment", "file": f.path}).WithError(err).Error("a segment cannot be closed; the next start tries again")
		}
	}
	if wants {
		if spare, err := w.ahead(); err == nil { // if not, begin says so when it matters
			w.Lock()
			if w.spare == nil && !w.closed {
				w.spare, spare = spare, nil
			}
			w.Unlock()
			w.drop(spare)
		}
	}
	if in != nil && len(full) == 0 {
		// Only this goroutine and Close unmap it, and Close waits for neither: a closed file is an error here, no fault.
		if err := in.Sync(); err != nil && !errors.Is(err, os.ErrClosed) {
			w.log.WithField("code", "usage-sync-failed").WithError(err).Error("records of use may not outlast a power loss")
		}
	}
}

func (w *Writer) drop(f *file) {
	if f != nil {
		syscall.Munmap(f.data)
		f.Close()
		os.Remove(f.path)
	}
}

// seal closes a segment that nobody writes to any more, and gives it its lasting name.
func (w *Writer) seal(f *file) error {
	binary.LittleEndian.PutUint64(f.data[40:], uint64(w.now().UnixMilli()))
	return errors.Join(syscall.Munmap(f.data), lasting(f.File, f.path, f.used))
}

// lasting ends a segment's file behind its last record, and gives it its lasting name once all of it is on the disk.
func lasting(f *os.File, path string, used int) error {
	err := errors.Join(f.Truncate(int64(used)), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(path, strings.TrimSuffix(path, openEnd)+sealedEnd)
	}
	return err
}

// reclose closes a segment that a run left open: what comes after its last sound record goes.
func reclose(path string, now time.Time) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	report, err := usage.Scan(data, func(usage.Record) {})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	at := now // of the last writing, as far as the file tells: it was closed then by whatever ended the run
	if info, err := f.Stat(); err == nil {
		at = info.ModTime()
	}
	var sealed [8]byte
	binary.LittleEndian.PutUint64(sealed[:], uint64(at.UnixMilli()))
	if _, err = f.WriteAt(sealed[:], 40); err != nil {
		return errors.Join(err, f.Close())
	}
	return lasting(f, path, report.End)
}

// Close closes the segment that is written, and the folder for others to write to. Records that come later are
// counted as missed, and lost.
func (w *Writer) Close() error {
	w.Lock()
	defer w.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	if w.missed.Requests > 0 {
		w.log.WithFields(logrus.Fields{"code": "usage-unmetered", "tries": w.missed.Requests, "units": w.missed.InUnits()}).Error("so much use was sent on and is recorded nowhere but here")
	}
	if w.in != nil {
		w.full = append(w.full, w.in)
		w.in = nil
	}
	var err error
	for _, f := range w.full {
		err = errors.Join(err, w.seal(f))
	}
	w.full = nil
	w.drop(w.spare)
	w.spare = nil
	return errors.Join(err, w.lock.Close())
}

// Missed tells what could not be recorded since the disk was last full; zero while it is not.
func (w *Writer) Missed() usage.Sum {
	w.Lock()
	defer w.Unlock()
	return w.missed
}

// Info names a segment of a folder.
type Info struct {
	Number uint64
	Path   string
	Open   bool // it is written to, or was left so
}

// List names the segments of a folder, in order.
func List(dir string) ([]Info, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var all []Info
	for _, e := range entries {
		base, open := strings.CutSuffix(e.Name(), openEnd)
		base, sealed := strings.CutSuffix(base, sealedEnd)
		number, found := strings.CutPrefix(base, "usage-")
		if n, err := strconv.ParseUint(number, 10, 64); err == nil && found && open != sealed {
			all = append(all, Info{n, filepath.Join(dir, e.Name()), open})
		}
	}
	slices.SortFunc(all, func(a, b Info) int { return int(int64(a.Number) - int64(b.Number)) })
	return all, nil
}

func name(number uint64, end string) string { return fmt.Sprintf("usage-%016d%s", number, end) }

// Read reads a segment whole.
func Read(path string) (usage.Header, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return usage.Header{}, nil, err
	}
	h, err := usage.ParseHeader(data)
	if err != nil {
		return h, nil, fmt.Errorf("%s: %w", path, err)
	}
	return h, data, nil
}
