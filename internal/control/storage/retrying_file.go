package storage

import "github.com/cockroachdb/pebble/v2/vfs"

// maxRetainedBytes is the capacity up to which a file's buffer of unsynced bytes is kept after a sync.
const maxRetainedBytes = 64 << 10

// retryingFile is a file of retryingFS. One goroutine at a time writes and syncs it.
type retryingFile struct {
	vfs.File
	fs         *retryingFS
	unsyncedIn string // folder in which its name may not be on disk yet; empty: none
	synced     int64  // bytes on disk
	unsynced   []byte // written behind them
}

// Write appends to the file.
func (f *retryingFile) Write(b []byte) (int, error) {
	written := 0
	err := f.fs.retry(func() error {
		n, err := f.File.Write(b[written:])
		written += n
		return err
	})
	f.unsynced = append(f.unsynced, b[:written]...)
	return written, err
}

// Sync has all that was written, and the file's name, on disk.
func (f *retryingFile) Sync() error { return f.syncWith(f.File.Sync) }

// SyncData is Sync without the file's metadata.
func (f *retryingFile) SyncData() error { return f.syncWith(f.File.SyncData) }

// syncWith syncs, and writes the unsynced bytes again before each further attempt.
func (f *retryingFile) syncWith(sync func() error) error {
	failed := false
	err := f.fs.retry(func() error {
		if failed && len(f.unsynced) > 0 {
			if _, err := f.WriteAt(f.unsynced, f.synced); err != nil {
				return err
			}
		}
		failed = true
		return sync()
	})
	if err != nil {
		return err
	}
	if f.unsyncedIn != "" {
		if err := f.fs.syncNames(f.unsyncedIn); err != nil {
			return err
		}
		f.unsyncedIn = ""
	}
	f.synced += int64(len(f.unsynced))
	if f.unsynced = f.unsynced[:0]; cap(f.unsynced) > maxRetainedBytes {
		f.unsynced = nil
	}
	return nil
}

// SyncTo syncs nothing: the database then calls SyncData.
func (f *retryingFile) SyncTo(int64) (bool, error) { return false, nil }

// Preallocate does nothing.
func (f *retryingFile) Preallocate(int64, int64) error { return nil }

// Prefetch does nothing.
func (f *retryingFile) Prefetch(int64, int64) error { return nil }

// retryingFolder is an open folder of retryingFS, which several goroutines may sync at a time.
type retryingFolder struct {
	vfs.File
	fs   *retryingFS
	name string
}

// Sync has the names that were created in the folder on disk; one that is created meanwhile may be left out.
func (f *retryingFolder) Sync() error {
	before := f.fs.names(f.name)
	if err := f.fs.retry(f.File.Sync); err != nil {
		return err
	}
	f.fs.setNamesSynced(f.name, before.created)
	return nil
}

// SyncData is Sync.
func (f *retryingFolder) SyncData() error { return f.Sync() }
