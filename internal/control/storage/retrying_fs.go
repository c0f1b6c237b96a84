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

// retryingFS is a file system on a disk that may fail for a while. What the disk rejects is attempted again until the
// disk takes it, as if the disk had been slow: a late write fails those who wait for it and nothing else. What was
// written since a file's last sync is kept in memory, because a sync that failed may have dropped it. It uses nothing
// but plain files: no links, no preallocation, no partial syncs, no reading ahead.
//
// After a loss of power, each name that was created, renamed or removed since its folder was last synced may be kept
// or lost, independently of the others. So a name that is created is on disk before its file's first sync returns,
// and before any other name of the folder is removed or renamed: the database creates the marker of a new manifest
// and removes the old one with no sync between, and could find neither.
type retryingFS struct {
	vfs.FS
	retryEvery time.Duration
	stop       chan struct{} // closed: nothing is attempted again
	// onStateChange is called with the first error when the disk begins to fail, with nil when it works again.
	onStateChange func(error)

	mu      sync.Mutex // guards the fields below
	failing bool
	folders map[string]*folderNames
}

// folderNames counts the names that were created in a folder.
type folderNames struct {
	created uint64 // in all
	synced  uint64 // that are on disk for certain
}

// transientErrors are the errors of a disk that may work again.
var transientErrors = []error{
	syscall.EIO, syscall.ENOSPC, syscall.EROFS, syscall.EDQUOT,
	syscall.EBUSY, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT,
}

// retry attempts an operation until it succeeds, fails with an error that isn't transient, or the store is closed.
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

// setFailing reports the state of the disk where it differs from that before.
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

// names is the count of names that were created in a folder.
func (r *retryingFS) names(folder string) folderNames {
	r.mu.Lock()
	defer r.mu.Unlock()
	if names := r.folders[folder]; names != nil {
		return *names
	}
	return folderNames{}
}

// setNamesSynced records that as many of the names created in a folder are on disk.
func (r *retryingFS) setNamesSynced(folder string, count uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if names := r.folders[folder]; names != nil {
		names.synced = max(names.synced, count)
	}
}

// syncNames has the names that were created in a folder on disk.
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

// Create creates a file, which is written from its start to its end.
func (r *retryingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := r.openFile(func() (vfs.File, error) { return r.FS.Create(name, category) })
	if err != nil {
		return nil, err
	}
	file.unsyncedIn = r.PathDir(name)
	r.addName(file.unsyncedIn)
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

// ReuseForWrite creates a new file: after a loss of power, bytes of an old one behind the new ones could not be
// distinguished from them.
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

// Remove removes a file, once the names created in its folder are on disk.
func (r *retryingFS) Remove(name string) error {
	if err := r.syncNames(r.PathDir(name)); err != nil {
		return err
	}
	return r.retry(func() error { return r.FS.Remove(name) })
}

// Rename renames a file, once the names created in its folder are on disk.
func (r *retryingFS) Rename(old, name string) error {
	if err := r.syncNames(r.PathDir(old)); err != nil {
		return err
	}
	defer r.addName(r.PathDir(name))
	return r.retry(func() error { return r.FS.Rename(old, name) })
}

// Link copies the file.
func (r *retryingFS) Link(old, name string) error { return vfs.Copy(r, old, name) }

// GetDiskUsage is called after each removal; nothing here depends on its result.
func (r *retryingFS) GetDiskUsage(string) (vfs.DiskUsage, error) { return vfs.DiskUsage{}, nil }

// Unwrap returns the file system below.
func (r *retryingFS) Unwrap() vfs.FS { return r.FS }
