package usagesegment

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/usage"
)

const (
	syncInterval  = 500 * time.Millisecond // between syncs; a power loss may cost the records of this time
	retryInterval = 5 * time.Second        // between attempts to begin a segment on a full disk
)

// Run syncs the current segment, closes segments that are full or old, and retries after a full disk, until the context
// ends.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	lastRetry := w.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-ticker.C:
		}
		retry := w.now().Sub(lastRetry) >= retryInterval
		if retry {
			lastRetry = w.now()
		}
		w.maintain(retry)
	}
}

// maintain is one iteration of Run. It does not hold the mutex while it syncs and closes files.
func (w *Writer) maintain(retry bool) {
	filled, current, needsSpare, closed := w.rotateSegments(retry)
	if closed {
		return
	}
	for _, f := range filled {
		if err := f.seal(w.now()); err != nil {
			level.Error(w.log).Log("msg", "cannot close a segment; the next start retries",
				"code", "usage-bad-segment", "file", f.path, "error", err,
			)
		}
	}
	if needsSpare {
		w.addSpare()
	}
	if current == nil || len(filled) > 0 {
		return // a segment that has just begun is synced from the next iteration on
	}
	// Close doesn't wait for this sync and may have closed the file. That error is ignored, because Close syncs the
	// file itself.
	if err := current.Sync(); err != nil && !errors.Is(err, os.ErrClosed) {
		level.Error(w.log).Log("msg", "cannot sync usage records; a power loss may lose them",
			"code", "usage-sync-failed", "error", err,
		)
	}
}

// rotateSegments begins a new segment if the current one has records and is old, or if there is none and retry is set.
// It returns the segments to be sealed, the current one, whether a spare segment is needed, and whether the writer is
// closed.
func (w *Writer) rotateSegments(retry bool) (filled []*segmentFile, current *segmentFile, needsSpare, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, nil, false, true
	}
	if w.current == nil && retry {
		w.beginSegment()
	}
	if w.current != nil && w.current.used > usage.HeaderSize && w.now().Sub(w.current.startedAt) >= w.rotate {
		w.filled = append(w.filled, w.current)
		w.beginSegment()
	}
	filled = w.filled
	w.filled = nil
	needsSpare = w.current != nil && w.current.used >= preallocateAt && w.spare == nil
	return filled, w.current, needsSpare, false
}

// addSpare preallocates the next segment. It ignores a failure, because beginSegment then tries again and reports the
// error.
func (w *Writer) addSpare() {
	spare, err := preallocate(w.dir, w.allocate)
	if err != nil {
		return
	}
	w.mu.Lock()
	needed := w.spare == nil && !w.closed
	if needed {
		w.spare = spare
	}
	w.mu.Unlock()
	if !needed {
		spare.discard()
	}
}
