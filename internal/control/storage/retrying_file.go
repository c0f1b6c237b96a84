package storage

import "github.com/cockroachdb/pebble/v2/vfs"

// maxRetainedBytes is the capacity up to which a file's buffer of unsynced bytes is kept for reuse after a sync. Larger
// buffers are released.
const maxRetainedBytes = 64 << 10

// retryingFile is a file of retryingFS. One goroutine at a time writes and syncs it.
type retryingFile struct {
	vfs.File
	fs          *retryingFS
	unsyncedDir string // folder in which its name may not be on disk yet; empty if the name is synced
	synced      int64  // number of bytes on disk
	unsynced    []byte // bytes written after those
}

// Write appends to the file.
func (rf *retryingFile) Write(b []byte) (int, error) {
	written := 0
	err := rf.fs.retry(func() error {
		n, err := rf.File.Write(b[written:])
		written += n
		return err
	})
	rf.unsynced = append(rf.unsynced, b[:written]...)
	return written, err
}

// Sync syncs all written bytes, and the file's name in its folder.
func (rf *retryingFile) Sync() error { return rf.syncWith(rf.File.Sync) }

// SyncData is Sync without the file's metadata.
func (rf *retryingFile) SyncData() error { return rf.syncWith(rf.File.SyncData) }

// syncWith syncs, and writes the unsynced bytes again before each further attempt.
func (rf *retryingFile) syncWith(sync func() error) error {
	failed := false
	err := rf.fs.retry(func() error {
		if failed && len(rf.unsynced) > 0 {
			if _, err := rf.WriteAt(rf.unsynced, rf.synced); err != nil {
				return err
			}
		}
		failed = true
		return sync()
	})
	if err != nil {
		return err
	}
	if rf.unsyncedDir != "" {
		if err := rf.fs.syncNames(rf.unsyncedDir); err != nil {
			return err
		}
		rf.unsyncedDir = ""
	}
	rf.synced += int64(len(rf.unsynced))
	if rf.unsynced = rf.unsynced[:0]; cap(rf.unsynced) > maxRetainedBytes {
		rf.unsynced = nil
	}
	return nil
}

// SyncTo syncs nothing and returns false, after which the database calls SyncData.
func (rf *retryingFile) SyncTo(int64) (bool, error) { return false, nil }

// Preallocate does nothing.
func (rf *retryingFile) Preallocate(int64, int64) error { return nil }

// Prefetch does nothing.
func (rf *retryingFile) Prefetch(int64, int64) error { return nil }

// retryingFolder is an open folder of retryingFS. Several goroutines may sync it at the same time.
type retryingFolder struct {
	vfs.File
	fs   *retryingFS
	name string
}

// Sync syncs the names that were created in the folder. A name that is created during the sync may be left out.
func (rf *retryingFolder) Sync() error {
	before := rf.fs.names(rf.name)
	if err := rf.fs.retry(rf.File.Sync); err != nil {
		return err
	}
	rf.fs.setNamesSynced(rf.name, before.created)
	return nil
}

// SyncData is Sync.
func (rf *retryingFolder) SyncData() error { return rf.Sync() }
