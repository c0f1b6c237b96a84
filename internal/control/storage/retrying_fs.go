package storage

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/mutants"
)

// retryingFS is a file system on a disk that may refuse: what it refuses is tried again until the disk takes it, as if it had been slow,
// so that a write that is late fails those who wait for it and nothing else. What was written since a file's last sync is
// kept in memory, because a sync that failed may have dropped it. It asks for nothing but plain files: no links, no room
// set aside, no partial syncs, no reading ahead.
//
// After a loss of power, a name that was made, renamed or removed since the folder was last synced may be kept or lost by itself. So
// a name that is made is on disk before its file's first sync returns, and before any other name goes: the store makes
// the marker of a new manifest and removes the old one with no sync between, and would find neither.
type retryingFS struct {
	vfs.FS
	every     time.Duration
	stop      chan struct{}
	onTrouble func(error) // with nil once the disk works again

	mu      sync.Mutex
	failing bool
	folders map[string]*folder
}

// folder is one with names that may not be on disk yet.
type folder struct{ made, synced uint64 } // counts of names that were made: in all, and when the last sync that has ended began

// made notes that a folder has a new name.
func (s *retryingFS) made(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.folders == nil {
		s.folders = map[string]*folder{}
	}
	if s.folders[name] == nil {
		s.folders[name] = new(folder)
	}
	s.folders[name].made++
}

// count is how many names were made in a folder, and how many of them are surely on disk.
func (s *retryingFS) count(name string) folder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.folders[name]; f != nil {
		return *f
	}
	return folder{}
}

// settle has the names made in a folder on disk.
func (s *retryingFS) settle(name string) error {
	if c := s.count(name); c.made == c.synced || mutants.On("storage/folder-unsynced") {
		return nil
	}
	d, err := s.OpenDir(name)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

var refusals = []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS, syscall.EDQUOT, syscall.EBUSY, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT}

// retry tries until the disk takes it, or fails otherwise, or the store is closed.
func (s *retryingFS) retry(try func() error) error {
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

func (s *retryingFS) note(refused bool, err error) {
	s.mu.Lock()
	changed := s.failing != refused
	s.failing = refused
	s.mu.Unlock()
	if changed && refused {
		s.onTrouble(err)
	} else if changed {
		s.onTrouble(nil)
	}
}

func (s *retryingFS) file(open func() (vfs.File, error)) (*file, error) {
	f := &file{fs: s}
	err := s.retry(func() (err error) {
		f.File, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (s *retryingFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := s.file(func() (vfs.File, error) { return s.FS.Create(name, c) })
	if err != nil {
		return nil, err
	}
	f.in = s.FS.PathDir(name)
	s.made(f.in)
	return f, nil
}

func (s *retryingFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	f, err := s.file(func() (vfs.File, error) { return s.FS.OpenReadWrite(name, c, opts...) })
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReuseForWrite starts a new file: an old one's bytes behind the new ones would only have to be told apart after a loss of power.
func (s *retryingFS) ReuseForWrite(old, name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	if err := s.Remove(old); err != nil {
		return nil, err
	}
	return s.Create(name, c)
}

func (s *retryingFS) OpenDir(name string) (vfs.File, error) {
	d := &folderFile{fs: s, name: s.FS.PathJoin(name)}
	err := s.retry(func() (err error) {
		d.File, err = s.FS.OpenDir(name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// folderFile is an open folder, which several goroutines may sync at a time.
type folderFile struct {
	vfs.File
	fs   *retryingFS
	name string
}

func (d *folderFile) Sync() error {
	before := d.fs.count(d.name) // a name that is made meanwhile may be missed
	if err := d.fs.retry(d.File.Sync); err != nil {
		return err
	}
	d.fs.mu.Lock()
	defer d.fs.mu.Unlock()
	if x := d.fs.folders[d.name]; x != nil {
		x.synced = max(x.synced, before.made)
	}
	return nil
}

func (d *folderFile) SyncData() error { return d.Sync() }

func (s *retryingFS) Remove(name string) error {
	if err := s.settle(s.FS.PathDir(name)); err != nil {
		return err
	}
	return s.retry(func() error { return s.FS.Remove(name) })
}

func (s *retryingFS) Rename(old, name string) error {
	if err := s.settle(s.FS.PathDir(old)); err != nil {
		return err
	}
	defer s.made(s.FS.PathDir(name))
	return s.retry(func() error { return s.FS.Rename(old, name) })
}

func (s *retryingFS) Link(old, name string) error { return vfs.Copy(s, old, name) }

// GetDiskUsage is asked after each file that goes; nothing here depends on it.
func (s *retryingFS) GetDiskUsage(string) (vfs.DiskUsage, error) { return vfs.DiskUsage{}, nil }

func (s *retryingFS) Unwrap() vfs.FS { return s.FS }

// file is one that is written from its start to its end.
type file struct {
	vfs.File
	fs     *retryingFS
	in     string // its folder, where it is new
	synced int64
	since  []byte // written behind synced
}

func (f *file) Write(b []byte) (int, error) {
	done := 0
	err := f.fs.retry(func() error {
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
	err := f.fs.retry(func() error {
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
	if f.in != "" {
		if err := f.fs.settle(f.in); err != nil {
			return err
		}
		f.in = ""
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
