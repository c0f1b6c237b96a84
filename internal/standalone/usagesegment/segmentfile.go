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
	segmentSize   = 4 << 20         // bytes: half an hour at 140 requests a second
	preallocateAt = segmentSize / 2 // used bytes at which the next segment is preallocated

	frameSize    = 8  // bytes before a record's payload
	sealedOffset = 40 // of the time in the header when a segment was closed
	zerosSize    = 64 << 10
)

// segmentFile is a segment that is written.
type segmentFile struct {
	*os.File
	data      []byte // the mapped file
	used      int    // bytes
	startedAt time.Time
	path      string
}

// preallocate returns an empty segment without a number.
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

// allocator allocates a file's complete size on disk.
type allocator func(f *os.File, bytes int64) error

// allocate is the allocator of the machine. Where the file system can't allocate without writing, zeros are written.
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

// append writes a record. The frame is written last and at once: until then the record is not there. It reports whether
// the next segment is to be preallocated now.
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

// seal closes a segment and gives it its final name.
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

// finalize truncates a segment's file after its last record, and gives it its final name once all of it is on disk.
func finalize(f *os.File, path string, used int) error {
	if err := errors.Join(f.Truncate(int64(used)), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(path, strings.TrimSuffix(path, openSuffix)+sealedSuffix)
}

// closeLeftOpen closes a segment that an earlier run left open. What follows its last valid record is removed. The time
// of closing is that of the last write, or now if the file system doesn't tell.
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
