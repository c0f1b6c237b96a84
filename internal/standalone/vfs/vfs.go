package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// File is a file that is being written.
type File interface {
	Name() string
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FS has the operations of a file system that stores need.
type FS interface {
	// Create creates a file with an unused name, as os.CreateTemp does, and with the given permissions.
	Create(dir, pattern string, perm fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
}

// OS is the machine's file system.
type OS struct{}

// Create implements FS.
func (OS) Create(dir, pattern string, perm fs.FileMode) (File, error) {
	f, err := os.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err
	}
	if err := f.Chmod(perm); err != nil {
		return nil, errors.Join(err, f.Close(), os.Remove(f.Name()))
	}
	return f, nil
}

// Rename implements FS: it replaces a file atomically.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// Replace replaces a file atomically, so that a reader sees either the old content or the new one. If it returns
// nil, the new content is on disk. It does not sync the folder, so after a power loss the file may have its old content
// again. After an error the file has its old content, unless the rename took effect and was reported as failed.
func Replace(fsys FS, path string, data []byte, perm fs.FileMode) (err error) {
	f, err := fsys.Create(filepath.Dir(path), "."+filepath.Base(path)+"-*", perm)
	if err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	defer func() {
		if err != nil {
			fsys.Remove(f.Name())
			err = fmt.Errorf("replace %s: %w", path, err)
		}
	}()
	if _, err := f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	return fsys.Rename(f.Name(), path)
}
