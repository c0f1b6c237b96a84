package vault

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// steady is a file system on a disk that may refuse: what it refuses is tried again until the disk takes it, as if it had been slow,
// so that a write that is late fails those who wait for it and nothing else. What was written since a file's last sync is
// kept in memory, because a sync that failed may have dropped it. It asks for nothing but plain files: no links, no room
// set aside, no partial syncs, no reading ahead.
type steady struct {
	vfs.FS
	every   time.Duration
	stop    chan struct{}
	trouble func(error) // with nil once the disk works again

	mu      sync.Mutex
	failing bool
}

var refusals = []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS, syscall.EDQUOT, syscall.EBUSY, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT}

// until tries until the disk takes it, or fails otherwise, or the vault is closed.
func (s *steady) until(try func() error) error {
	for {
		err := try()
		refused := err != nil && errors.IsAny(err, refusals...)
		s.note(refused, err)
		if !refused {
			return err
		}
		t := time.NewTimer(s.every)
		select {
		case <-t.C:
		case <-s.stop:
			t.Stop()
			return err
		}
	}
}

func (s *steady) note(refused bool, err error) {
	s.mu.Lock()
	changed := s.failing != refused
	s.failing = refused
	s.mu.Unlock()
	if changed && refused {
		s.trouble(err)
	} else if changed {
		s.trouble(nil)
	}
}

func (s *steady) file(open func() (vfs.File, error)) (vfs.File, error) {
	f := &file{fs: s}
	err := s.until(func() (err error) {
		f.File, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (s *steady) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return s.file(func() (vfs.File, error) { return s.FS.Create(name, c) })
}

func (s *steady) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return s.file(func() (vfs.File, error) { return s.FS.OpenReadWrite(name, c, opts...) })
}

// ReuseForWrite starts a new file: an old one's bytes behind the new ones would only have to be told apart after a loss of power.
func (s *steady) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := s.Remove(old); err != nil {
		return nil, err
	}
	return s.Create(name, c)
}

func (s *steady) OpenDir(name string) (vfs.File, error) {
	return s.file(func() (vfs.File, error) { return s.FS.OpenDir(name) })
}

func (s *steady) Remove(name string) error { return s.until(func() error { return s.FS.Remove(name) }) }

func (s *steady) Rename(old, name string) error {
	return s.until(func() error { return s.FS.Rename(old, name) })
}

func (s *steady) Link(old, name string) error { return vfs.Copy(s, old, name) }

// GetDiskUsage is asked after each file that goes; nothing here depends on it.
func (s *steady) GetDiskUsage(string) (vfs.DiskUsage, error) { return vfs.DiskUsage{}, nil }

func (s *steady) Unwrap() vfs.FS { return s.FS }

// file is one that is written from its start to its end.
type file struct {
	vfs.File
	fs     *steady
	synced int64
	since  []byte // written behind synced
}

func (f *file) Write(b []byte) (int, error) {
	done := 0
	err := f.fs.until(func() error {
		n, err := f.File.Write(b[done:])
		done += n
		return err
	})
	f.since = append(f.since, b[:done]...)
	return done, err
}

func (f *file) Sync() error     { return f.sync(f.File.Sync) }
func (f *file) SyncData() error { return f.sync(f.File.SyncData) }

func (f *file) sync(sync func() error) error {
	again := false
	err := f.fs.until(func() error {
		if again && len(f.since) > 0 {
			if _, err := f.File.WriteAt(f.since, f.synced); err != nil {
				return err
			}
		}
		again = true
		return sync()
	})
	if err != nil {
		return err
	}
	f.synced += int64(len(f.since))
	if f.since = f.since[:0]; cap(f.since) > 64<<10 {
		f.since = nil
	}
	return nil
}

func (f *file) SyncTo(int64) (bool, error)     { return false, nil }
func (f *file) Preallocate(int64, int64) error { return nil }
func (f *file) Prefetch(int64, int64) error    { return nil }
