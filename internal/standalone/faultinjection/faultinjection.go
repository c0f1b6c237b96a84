package faultinjection

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"mulleinrouter/internal/standalone/fleet/quorum"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/vfs"
)

// pollInterval is the time between two readings of the file.
const pollInterval = 50 * time.Millisecond

// Plan is the content of the file.
type Plan struct {
	ClockRate float64              `json:"clock"` // clock seconds per second, read at the process's start; 0 means 1
	Faults    map[vfs.Op]vfs.Fault `json:"fail"`  // faults of file operations, which replace those of the last reading
}

// Faults are the faults that are injected into this process. Nil injects none. They are safe for concurrent use.
type Faults struct {
	clockRate float64
	fs        *vfs.Faulty
}

// Follow reads a file, and reads it again every pollInterval until the process ends. A later reading that fails,
// because the file is being written, changes nothing.
func Follow(path string) (*Faults, error) {
	plan, err := readPlan(path)
	if err != nil {
		return nil, err
	}
	f := &Faults{clockRate: plan.ClockRate, fs: &vfs.Faulty{FS: vfs.OS{}}}
	f.fs.SetFaults(plan.Faults)
	go func() {
		for range time.Tick(pollInterval) {
			if plan, err := readPlan(path); err == nil {
				f.fs.SetFaults(plan.Faults)
			}
		}
	}()
	return f, nil
}

func readPlan(path string) (plan Plan, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return plan, fmt.Errorf("fault injection: read the plan: %w", err)
	}
	if err := jsontext.Decode(text, &plan); err != nil {
		return plan, fmt.Errorf("fault injection: read the plan: %s: %w", path, err)
	}
	return plan, nil
}

// ClockRate returns how many seconds this process's clock advances per second.
func (f *Faults) ClockRate() float64 {
	if f == nil || f.clockRate == 0 {
		return 1
	}
	return f.clockRate
}

// FS returns the file system for the stores that replace complete files.
func (f *Faults) FS() vfs.FS {
	if f == nil {
		return vfs.OS{}
	}
	return f.fs
}

// WrapVoteStore wraps a voter's store so that its operations fail with the faults of the file system, because the store
// does not use FS. After a failed write nothing is stored. After a failed sync the batch is stored, although the caller
// gets an error.
func (f *Faults) WrapVoteStore(s quorum.Store) quorum.Store {
	if f == nil {
		return s
	}
	return &faultyVoteStore{Store: s, fs: f.fs}
}

type faultyVoteStore struct {
	quorum.Store
	fs *vfs.Faulty
}

func (f *faultyVoteStore) Open() (*quorum.Durable, error) {
	if err := f.fs.Check(vfs.Write); err != nil {
		return nil, asStoreError(err)
	}
	return f.Store.Open()
}

func (f *faultyVoteStore) Save(b quorum.Batch) error {
	if err := f.fs.Check(vfs.Write); err != nil {
		return asStoreError(err)
	}
	if err := f.Store.Save(b); err != nil {
		return err
	}
	return f.fs.Check(vfs.Sync)
}

// asStoreError converts an error of the file system to the error that a store returns for it.
func asStoreError(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", quorum.ErrNoSpace, err)
	}
	return err
}
