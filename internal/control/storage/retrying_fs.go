package storage

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"mulleinrouter/internal/cluster/retry"
	"mulleinrouter/internal/mutants"
)

// retryingFS is a file system on a disk that may fail temporarily. An operation that the disk rejects is retried until
// it succeeds, as if the disk were slow, so that only the callers that wait for the write fail. Bytes that were written
// since a file's last sync are kept in memory, because a failed sync may have dropped them. retryingFS uses only plain
// files, without links, preallocation, partial syncs or read-ahead.
//
// After a power loss, each name that was created, renamed or removed since its folder was last synced may be kept or
// lost, independently of the others. Therefore a created name is on disk before its file's first sync returns, and
// before any other name of the folder is removed or renamed. Otherwise both markers of a manifest might be lost,
// because the database creates the marker of a new manifest and removes the old one without a sync between.
type retryingFS struct {
	vfs.FS
	retryEvery time.Duration // interval between attempts
	stop       chan struct{} // closed when nothing must be retried any more
	// onStateChange is called with the first error when the disk begins to fail, and with nil when it works again.
	onStateChange func(error)

	mu      sync.Mutex // guards the fields below
	failing bool
	folders map[string]*folderNames
}

// folderNames counts the names that were created in a folder.
type folderNames struct {
	created uint64 // total number of names created
	synced  uint64 // number of them that are certain to be on disk
}

// transientErrors are errors of a disk after which it may work again.
var transientErrors = []error{
	syscall.EIO, syscall.ENOSPC, syscall.EROFS, syscall.EDQUOT,
	syscall.EBUSY, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT,
}

// retry repeats an operation until it succeeds, it fails with an error that isn't transient, or r.stop is closed.
func (r *retryingFS) retry(attempt func() error) error {
	for {
		err := attempt()
		transient := err != nil && errors.IsAny(err, transientErrors...)
		r.setFailing(transient, err)
		if !transient {
			return err
		}
		if retry.AwaitClosed(r.stop, r.retryEvery) {
			return err
		}
	}
}

// setFailing records whether the disk fails, and calls onStateChange if that has changed.
func (r *retryingFS) setFailing(failing bool, err error) {
	r.mu.Lock()
	changed := r.failing != failing
	r.failing = failing
	r.mu.Unlock()
	if changed && failing {
		r.onStateChange(err)
	} else if changed {
		r.onStateChange(nil)
	}
}

// addName counts a name that was created in a folder.
func (r *retryingFS) addName(folder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.folders == nil {
		r.folders = map[string]*folderNames{}
	}
	if r.folders[folder] == nil {
		r.folders[folder] = new(folderNames)
	}
	r.folders[folder].created++
}

// names returns the counts of names that were created in a folder.
func (r *retryingFS) names(folder string) folderNames {
	r.mu.Lock()
	defer r.mu.Unlock()
	if names := r.folders[folder]; names != nil {
		return *names
	}
	return folderNames{}
}

// setNamesSynced records that the first count names created in a folder are on disk.
func (r *retryingFS) setNamesSynced(folder string, count uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if names := r.folders[folder]; names != nil {
		names.synced = max(names.synced, count)
	}
}

// syncNames syncs the names that were created in a folder, if any is not on disk.
func (r *retryingFS) syncNames(folder string) error {
	if names := r.names(folder); names.created == names.synced || mutants.On("storage/folder-unsynced") {
		return nil
	}
	dir, err := r.OpenDir(folder)
	if err != nil {
		return err
	}
	return errors.CombineErrors(dir.Sync(), dir.Close())
}

func (r *retryingFS) openFile(open func() (vfs.File, error)) (*retryingFile, error) {
	file := &retryingFile{fs: r}
	err := r.retry(func() (err error) {
		file.File, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Create creates a file, which may only be appended to.
func (r *retryingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := r.openFile(func() (vfs.File, error) { return r.FS.Create(name, category) })
	if err != nil {
		return nil, err
	}
	file.unsyncedDir = r.PathDir(name)
	r.addName(file.unsyncedDir)
	return file, nil
}

// OpenReadWrite opens a file.
func (r *retryingFS) OpenReadWrite(
	name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption,
) (vfs.File, error) {
	file, err := r.openFile(func() (vfs.File, error) { return r.FS.OpenReadWrite(name, category, options...) })
	if err != nil {
		return nil, err
	}
	return file, nil
}

// ReuseForWrite removes the old file and creates a new one. If the old file were overwritten, its remaining bytes could
// not be distinguished from new ones after a power loss.
func (r *retryingFS) ReuseForWrite(old, name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := r.Remove(old); err != nil {
		return nil, err
	}
	return r.Create(name, category)
}

// OpenDir opens a folder.
func (r *retryingFS) OpenDir(name string) (vfs.File, error) {
	folder := &retryingFolder{fs: r, name: r.PathJoin(name)}
	err := r.retry(func() (err error) {
		folder.File, err = r.FS.OpenDir(name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return folder, nil
}

// Remove removes a file after the names created in its folder are on disk.
func (r *retryingFS) Remove(name string) error {
	if err := r.syncNames(r.PathDir(name)); err != nil {
		return err
	}
	return r.retry(func() error { return r.FS.Remove(name) })
}

// Rename renames a file after the names created in its folder are on disk.
func (r *retryingFS) Rename(old, name string) error {
	if err := r.syncNames(r.PathDir(old)); err != nil {
		return err
	}
	defer r.addName(r.PathDir(name))
	return r.retry(func() error { return r.FS.Rename(old, name) })
}

// Link copies the file, because retryingFS does not use links.
func (r *retryingFS) Link(old, name string) error { return vfs.Copy(r, old, name) }

// GetDiskUsage is called after each removal; nothing here depends on its result.
func (r *retryingFS) GetDiskUsage(string) (vfs.DiskUsage, error) { return vfs.DiskUsage{}, nil }

// Unwrap returns the file system below.
func (r *retryingFS) Unwrap() vfs.FS { return r.FS }
