// Package faultinjection is what a rehearsal does inside a process: a disk below its stores that fails as a file says, and a clock that
// runs faster or slower than others'. A process has it only when it was started for a rehearsal, by a flag that no help shows.
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

const lookEvery = 50 * time.Millisecond

// Plan is what the file says. It is replaced whole.
type Plan struct {
	Clock float64            `json:"clock"` // seconds of this process's clock a second, read at its start; 0: 1
	Fail  map[vfs.Op]vfs.Bad `json:"fail"`  // operations that fail from now on
}

// Faults are those of this process. A nil one does nothing.
type Faults struct {
	clock float64
	disk  *vfs.Faulty
}

// Follow goes by a file, for as long as the process runs.
func Follow(path string) (*Faults, error) {
	p, err := read(path)
	if err != nil {
		return nil, err
	}
	f := &Faults{clock: p.Clock, disk: &vfs.Faulty{FS: vfs.OS{}}}
	f.disk.Set(p.Fail)
	go func() {
		for range time.Tick(lookEvery) {
			if p, err := read(path); err == nil { // half a file: the next look sees it whole
				f.disk.Set(p.Fail)
			}
		}
	}()
	return f, nil
}

func read(path string) (p Plan, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("rehearsed: %w", err)
	}
	if err := jsontext.Decode(text, &p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Clock is how many seconds this process's clock runs in one.
func (f *Faults) Clock() float64 {
	if f == nil || f.clock == 0 {
		return 1
	}
	return f.clock
}

// Disk is what lies below the stores that replace whole files.
func (f *Faults) Disk() vfs.FS {
	if f == nil {
		return vfs.OS{}
	}
	return f.disk
}

// Votes has a store of votes fail as the disk does: a full one keeps nothing, and what a failed sync leaves nobody knows.
func (f *Faults) Votes(s quorum.Store) quorum.Store {
	if f == nil {
		return s
	}
	return &votes{s, f.disk}
}

type votes struct {
	quorum.Store
	disk *vfs.Faulty
}

func (v *votes) Open() (*quorum.Durable, error) {
	if err := v.disk.Now(vfs.Write); err != nil {
		return nil, full(err)
	}
	return v.Store.Open()
}

func (v *votes) Save(b quorum.Batch) error {
	if err := v.disk.Now(vfs.Write); err != nil {
		return full(err)
	}
	if err := v.Store.Save(b); err != nil {
		return err
	}
	return v.disk.Now(vfs.Sync)
}

func full(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("%w: %w", quorum.ErrNoSpace, err)
	}
	return err
}
