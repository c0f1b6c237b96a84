// Package vfs is the seam below the stores that replace whole files: a few operations, the machine's own (OS), and the same
// failing on demand (Faulty), so that a test has any write, sync or rename go wrong, torn or whole.
package vfs

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// File is one that is being written.
type File interface {
	Name() string
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FS is what stores need of a disk.
type FS interface {
	// Create makes a file that nobody else has, in a folder, with rights of its own.
	Create(dir, pattern string, perm fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
}

// OS is the machine's disk.
type OS struct{}

// Create makes a temporary file.
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

// Rename replaces a file by another, at once.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove takes a file away.
func (OS) Remove(path string) error { return os.Remove(path) }

// Replace replaces a file whole: a reader sees the old one or the new one, and where it returns nil the new one is on the disk.
// After an error the old one stands, and what was begun is taken away.
func Replace(d FS, path string, data []byte, perm fs.FileMode) (err error) {
	f, err := d.Create(filepath.Dir(path), "."+filepath.Base(path)+"-*", perm)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer func() {
		if err != nil {
			d.Remove(f.Name())
			err = fmt.Errorf("disk: %w", err)
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
	return d.Rename(f.Name(), path)
}

// Op is an operation that may be had fail.
type Op string

// The operations.
const (
	Write  Op = "write"
	Sync   Op = "sync"
	Rename Op = "rename"
)

// Faulty is a disk that fails on demand. It is safe for use by several goroutines.
type Faulty struct {
	FS

	mu    sync.Mutex
	fault map[Op]fault
	done  map[Op]int
}

type fault struct {
	from int // the first operation of its kind that fails, from 1
	err  error
	torn bool // of a write half gets through; a rename is done, and told as failed
}

// Fail has operations of a kind fail from the n-th on, counted from the first ever; err nil: none any more.
func (d *Faulty) Fail(op Op, n int, err error, torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == nil {
		d.fault = map[Op]fault{}
	}
	d.fault[op] = fault{n, err, torn}
}

// Bad is how operations of a kind fail: with an error by its name, and of a write whether half of it gets through.
type Bad struct {
	Err  string `json:"err"` // ENOSPC or EIO
	Torn bool   `json:"torn"`
}

// Set has operations fail as told from now on, and all others work.
func (d *Faulty) Set(all map[Op]Bad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = map[Op]fault{}
	for op, b := range all {
		err := syscall.EIO
		if b.Err == "ENOSPC" {
			err = syscall.ENOSPC
		}
		d.fault[op] = fault{err: err, torn: b.Torn}
	}
}

// Now is the error with which an operation of a kind would fail now; nil: it would work.
func (d *Faulty) Now(op Op) error {
	if f, fails := d.next(op); fails {
		return f.err
	}
	return nil
}

// Done is how many operations of a kind there were.
func (d *Faulty) Done(op Op) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done[op]
}

func (d *Faulty) next(op Op) (f fault, fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil {
		d.done = map[Op]int{}
	}
	d.done[op]++
	f = d.fault[op]
	return f, f.err != nil && d.done[op] >= f.from
}

// Create makes a file whose writes and syncs may fail.
func (d *Faulty) Create(dir, pattern string, perm fs.FileMode) (File, error) {
	f, err := d.FS.Create(dir, pattern, perm)
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, d}, nil
}

// Rename may fail, before or behind its effect.
func (d *Faulty) Rename(from, to string) error {
	f, fails := d.next(Rename)
	if fails && !f.torn {
		return f.err
	}
	if err := d.FS.Rename(from, to); err != nil || !fails {
		return err
	}
	return f.err
}

type faultyFile struct {
	File
	disk *Faulty
}

func (f *faultyFile) Write(p []byte) (int, error) {
	fault, fails := f.disk.next(Write)
	if !fails {
		return f.File.Write(p)
	}
	n := 0
	if fault.torn {
		n, _ = f.File.Write(p[:len(p)/2])
	}
	return n, fault.err
}

func (f *faultyFile) Sync() error {
	if fault, fails := f.disk.next(Sync); fails {
		return fault.err
	}
	return f.File.Sync()
}
