package usagesegment

import (
	"encoding/binary"
	"errors"
	"os"
	"strings"
	"syscall"
	"time"

	"mulleinrouter/internal/dataplane/usage"
)

const (
	segmentSize   = 4 << 20         // bytes of a segment, enough for about seven minutes at 140 requests a second
	preallocateAt = segmentSize / 2 // used bytes from which on the next segment is preallocated

	frameSize    = 8        // bytes before a record's payload
	sealedOffset = 40       // offset in the header, in bytes, of the time when the segment was closed
	zerosSize    = 64 << 10 // bytes of zeros in one write of allocate
)

// segmentFile is a segment that is being written, or a preallocated one.
type segmentFile struct {
	*os.File
	data      []byte // the memory-mapped file
	used      int    // used bytes, including the header
	startedAt time.Time
	path      string
}

// preallocate creates an empty segment, which has no number yet.
func preallocate(dir string, allocate allocator) (*segmentFile, error) {
	f, err := os.CreateTemp(dir, "*"+spareSuffix)
	if err != nil {
		return nil, err
	}
	if err = allocate(f, segmentSize); err == nil {
		var data []byte
		data, err = syscall.Mmap(int(f.Fd()), 0, segmentSize, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
		if err == nil {
			return &segmentFile{File: f, data: data, path: f.Name()}, nil
		}
	}
	f.Close()
	os.Remove(f.Name())
	return nil, err
}

// allocator allocates disk space for the complete size of a file.
type allocator func(f *os.File, bytes int64) error

// allocate is the allocator outside tests. If the file system can't allocate space without a write, it writes zeros.
func allocate(f *os.File, bytes int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, bytes)
	if !errors.Is(err, syscall.EOPNOTSUPP) {
		return err
	}
	zeros := make([]byte, zerosSize)
	for written := int64(0); written < bytes; written += int64(len(zeros)) {
		if _, err := f.Write(zeros); err != nil {
			return err
		}
	}
	return nil
}

// append writes a record. It writes the frame last and in one store, because a reader ignores a record without a frame,
// and thus never reads a part of one. It reports whether the next segment should be preallocated now.
func (s *segmentFile) append(payload []byte) (preallocateNext bool) {
	copy(s.data[s.used+frameSize:], payload)
	binary.LittleEndian.PutUint64(s.data[s.used:], usage.Frame(payload))
	before := s.used
	s.used += frameSize + len(payload)
	return before < preallocateAt && s.used >= preallocateAt
}

// fits reports whether there is space for a record.
func (s *segmentFile) fits(payload []byte) bool {
	return s.used+frameSize+len(payload) <= segmentSize
}

// seal closes a segment and renames it to its final name.
func (s *segmentFile) seal(now time.Time) error {
	binary.LittleEndian.PutUint64(s.data[sealedOffset:], uint64(now.UnixMilli()))
	return errors.Join(syscall.Munmap(s.data), finalize(s.File, s.path, s.used))
}

// discard removes a segment that was not used.
func (s *segmentFile) discard() {
	syscall.Munmap(s.data)
	s.Close()
	os.Remove(s.path)
}

// finalize truncates a segment's file after its last record, and renames it to its final name once all of it is on
// disk.
func finalize(f *os.File, path string, used int) error {
	if err := errors.Join(f.Truncate(int64(used)), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(path, strings.TrimSuffix(path, openSuffix)+sealedSuffix)
}

// closeLeftOpen closes a segment that an earlier run left open. It removes the bytes after the last valid record. The
// time of closing is that of the file's last write, or now if the file system doesn't provide it.
func closeLeftOpen(path string, now time.Time) error {
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
	closedAt := now
	if info, err := f.Stat(); err == nil {
		closedAt = info.ModTime()
	}
	var sealed [8]byte
	binary.LittleEndian.PutUint64(sealed[:], uint64(closedAt.UnixMilli()))
	if _, err = f.WriteAt(sealed[:], sealedOffset); err != nil {
		return errors.Join(err, f.Close())
	}
	return finalize(f, path, report.End)
}
