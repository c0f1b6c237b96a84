package storage

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Future is the pending commit of one or more batches.
type Future struct {
	// batches are kept until the commit. Store.mu guards them while this is Store.queued. Afterwards only the writing
	// goroutine uses them.
	batches []Batch
	sync    bool // whether one of the batches must be synced
	done    chan struct{}
	err     error // result, set before done is closed
}

func newFuture() *Future { return &Future{done: make(chan struct{})} }

// closedFuture returns the future of a batch that is not written, because it was put after Close. It is no other
// batch's future, since earlier batches may still be queued and will be committed.
func closedFuture() *Future {
	f := newFuture()
	f.resolve(ErrClosed)
	return f
}

// Wait waits until the batches are on disk. They are synced unless all of them are NoSync. If the context ends first,
// Wait returns its error and the batches may still be written.
func (f *Future) Wait(ctx context.Context) error {
	select {
	case <-f.done: // checked first, so that the result takes precedence over an ended context
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

// Done returns a channel that is closed when the commit has ended. From then on Wait returns at once.
func (f *Future) Done() <-chan struct{} { return f.done }

// resolve ends the commit with its result.
func (f *Future) resolve(err error) {
	f.err, f.batches = err, nil
	close(f.done)
}
