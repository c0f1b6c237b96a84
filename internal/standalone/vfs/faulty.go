package vfs

import (
	"io/fs"
	"sync"
	"syscall"
)

// Op is an operation that can be made to fail. Its values stand in the files of fault tests.
type Op string

// The operations.
const (
	Write  Op = "write"
	Sync   Op = "sync"
	Rename Op = "rename"
)

// Faulty is a file system that fails on demand. It is safe for concurrent use.
type Faulty struct {
	FS

	mu     sync.Mutex // guards what follows
	faults map[Op]pendingFault
	counts map[Op]int // of operations so far
}

// pendingFault is how operations of a kind fail.
type pendingFault struct {
	from int // the first operation that fails, counted from 1
	err  error
	torn bool // half of a write takes effect; a rename takes effect and is reported as failed
}

// FailFrom has operations of a kind fail with an error from the n-th on, counted from the first one of the
// file system. If torn, half of a write takes effect, and a rename takes effect completely. Without an error
// none fails any more.
func (f *Faulty) FailFrom(op Op, n int, err error, torn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults == nil {
		f.faults = map[Op]pendingFault{}
	}
	f.faults[op] = pendingFault{from: n, err: err, torn: torn}
}

// Fault is how operations of a kind fail, as the files of fault tests say it.
type Fault struct {
	Err  string `json:"err"`  // ENOSPC or EIO
	Torn bool   `json:"torn"` // see FailFrom
}

// SetFaults replaces all faults, from the next operation on.
func (f *Faulty) SetFaults(all map[Op]Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = map[Op]pendingFault{}
	for op, fault := range all {
		err := syscall.EIO
		if fault.Err == "ENOSPC" {
			err = syscall.ENOSPC
		}
		f.faults[op] = pendingFault{err: err, torn: fault.Torn}
	}
}

// Check counts an operation of a kind that is done elsewhere, and returns the error with which it is to fail;
// nil: none.
func (f *Faulty) Check(op Op) error {
	if fault, fails := f.nextFault(op); fails {
		return fault.err
	}
	return nil
}

// Count returns how many operations of a kind there were.
func (f *Faulty) Count(op Op) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[op]
}

// nextFault counts an operation and returns how it fails, if it does.
func (f *Faulty) nextFault(op Op) (fault pendingFault, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[Op]int{}
	}
	f.counts[op]++
	fault = f.faults[op]
	return fault, fault.err != nil && f.counts[op] >= fault.from
}

// Create implements FS. Writes and syncs of the file may fail.
func (f *Faulty) Create(dir, pattern string, perm fs.FileMode) (File, error) {
	file, err := f.FS.Create(dir, pattern, perm)
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, faulty: f}, nil
}

// Rename implements FS. It may fail before or after its effect.
func (f *Faulty) Rename(from, to string) error {
	fault, fails := f.nextFault(Rename)
	if fails && !fault.torn {
		return fault.err
	}
	if err := f.FS.Rename(from, to); err != nil || !fails {
		return err
	}
	return fault.err
}

// faultyFile is a file whose writes and syncs may fail.
type faultyFile struct {
	File
	faulty *Faulty
}

func (f *faultyFile) Write(p []byte) (int, error) {
	fault, fails := f.faulty.nextFault(Write)
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
	if fault, fails := f.faulty.nextFault(Sync); fails {
		return fault.err
	}
	return f.File.Sync()
}
