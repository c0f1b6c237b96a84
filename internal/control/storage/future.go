package storage

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Future is the pending commit of one or more batches.
type Future struct {
	// batches are kept until the commit; guarded by Store.mu while it is the store's open one, then the writing
	// goroutine's.
	batches []Batch
	sync    bool // one of them is to be synced
	done    chan struct{}
	err     error // once done is closed
}

func newFuture() *Future { return &Future{done: make(chan struct{})} }

// Wait waits until the batches are on disk, synced unless all of them are NoSync. When the context ends first, Wait
// returns its error and the batches may still be written.
func (f *Future) Wait(ctx context.Context) error {
	select {
	case <-f.done: // takes precedence over a context that has ended
		return f.err
	default:
	}
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the disk is late")
	}
}

// Done is closed when the commit has ended. From then on Wait returns at once.
func (f *Future) Done() <-chan struct{} { return f.done }

// resolve ends the commit.
func (f *Future) resolve(err error) {
	f.err, f.batches = err, nil
	close(f.done)
}
