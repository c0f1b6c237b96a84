package vfs

import (
	"io/fs"
	"sync"
	"syscall"
)

// Op is an operation that can be made to fail. Its values are part of the format of the fault tests' files.
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

	mu     sync.Mutex // guards the fields below
	faults map[Op]pendingFault
	counts map[Op]int // number of operations so far
}

// pendingFault describes how operations of one kind fail.
type pendingFault struct {
	from int // the first operation that fails, counted from 1
	err  error
	torn bool // half of a write takes effect, or a rename takes effect but is reported as failed
}

// FailFrom makes operations of one kind fail with an error from the n-th on, counted since the file system was
// created. If torn is set, half of a write takes effect, and a rename takes effect completely. A nil error ends
// the fault.
func (f *Faulty) FailFrom(op Op, n int, err error, torn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults == nil {
		f.faults = map[Op]pendingFault{}
	}
	f.faults[op] = pendingFault{from: n, err: err, torn: torn}
}

// Fault describes how operations of one kind fail, in the format of the fault tests' files.
type Fault struct {
	Err  string `json:"err"`  // ENOSPC or EIO; any other text counts as EIO
	Torn bool   `json:"torn"` // see FailFrom
}

// SetFaults replaces all faults. The new ones apply from the next operation on.
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

// Check counts an operation that is done outside this file system, and returns the error with which it must
// fail, or nil.
func (f *Faulty) Check(op Op) error {
	if fault, fails := f.nextFault(op); fails {
		return fault.err
	}
	return nil
}

// Count returns the number of operations of one kind so far.
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

// Rename implements FS. It may fail without effect, or take effect and be reported as failed.
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
