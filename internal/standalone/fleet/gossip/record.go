package gossip

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// writeResult is the outcome of writing a record.
type writeResult struct {
	boot uint64 // requested boot count
	err  error
}

// readRecord reads the stored record. If the record can't be read, the process starts without it and learns its boot
// count from peers, which know it.
func (f *Fleet) readRecord() (r Record) {
	if f.options.Store == nil {
		// Without a store no start is counted, so the boot count is the Unix time in seconds. If the clock was set
		// back, peers report the later incarnation and the count is raised.
		return Record{Boot: uint64(time.Now().Unix())}
	}
	if err := f.options.Store.Read(&r); err != nil && !errors.Is(err, fs.ErrNotExist) {
		level.Warn(f.log).Log("msg", "the membership record cannot be read; peers are asked for the boot count",
			"code", "fleet-record-unusable", "error", err,
		)
		return Record{}
	}
	return r
}

// writeRecords writes records one after another until the context ends. It runs in a separate goroutine, because a slow
// disk must not delay ticks.
func (f *Fleet) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.records:
			result := writeResult{boot: r.Boot}
			var stored Record
			if f.options.Store.Read(&stored) == nil {
				r.Boot = max(r.Boot, stored.Boot) // a newer process of this ingress may have raised the count
			}
			result.err = f.options.Store.Write(r)
			select {
			case f.written <- result:
			case <-ctx.Done():
				return
			}
		}
	}
}

// storeBoot schedules a boot count to be written at the next tick. The count is announced once it is on disk.
func (r *runner) storeBoot(boot uint64) {
	r.pendingBoot = &boot
	r.nextWriteAt = time.Time{}
}

// writeRecord starts writing the record if a write is due.
func (r *runner) writeRecord() {
	if r.writing || !time.Now().After(r.nextWriteAt) {
		return
	}
	r.nextWriteAt = time.Now().Add(minWriteInterval)
	f := r.fleet
	var boot uint64
	switch {
	case r.pendingBoot != nil:
		boot = *r.pendingBoot
	case r.viewDirty && f.options.Store != nil:
		r.viewDirty = false
		boot = f.Self().Boot
	default:
		return
	}
	f.mu.Lock()
	record := Record{Boot: boot, Members: f.view.AgreedMembers()}
	f.mu.Unlock()
	f.records <- record
	r.writing = true
}

// recordWritten handles the outcome of a write of the record.
func (r *runner) recordWritten(result writeResult) {
	logger := r.fleet.log
	r.writing = false
	if result.err != nil {
		if !r.writeFailed {
			level.Error(logger).Log(
				"msg", "the membership record cannot be written; an incarnation that is not on disk is not announced",
				"code", "fleet-disk", "error", result.err,
			)
		}
		r.writeFailed = true
		return
	}
	if r.writeFailed {
		level.Info(logger).Log("msg", "the membership record can be written again", "code", "fleet-disk-usable")
	}
	r.writeFailed = false
	if r.pendingBoot != nil && result.boot == *r.pendingBoot {
		r.pendingBoot = nil
		r.activateIncarnation(result.boot)
	}
}

// activateIncarnation sets and announces an incarnation whose boot count is on disk.
func (r *runner) activateIncarnation(boot uint64) {
	f := r.fleet
	f.mu.Lock()
	if f.view.Self().Boot != boot {
		f.view.SetIncarnation(membership.Incarnation{Boot: boot, Nonce: f.nonce})
	}
	f.updateMetadata()
	f.mu.Unlock()
	r.incarnationStored = true
	f.broadcastMetadata()
}
