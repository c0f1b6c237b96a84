package replication

import (
	"context"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// initialSyncIdle is the time without an update after which a source is no longer the first.
	initialSyncIdle = 250 * time.Millisecond
	// initialSyncMaxWait bounds the wait of a session: a source closes a connection on which nothing comes for
	// transport.IdleTimeout.
	initialSyncMaxWait = 1500 * time.Millisecond
)

// InitialSync has one of several clients of one store that is still empty take the snapshot before the others
// subscribe, who then need only what differs (Store.Digests): that of the source that was connected first, the nearest.
// The zero value is ready for use, by one store's clients.
type InitialSync struct {
	mu        sync.Mutex    // guards the fields below
	first     *session      // the one that takes the snapshot; nil: none does
	updatedAt time.Time     // when the source of first last sent an update
	released  chan struct{} // closed when first has the snapshot, or has ended
	complete  bool          // a session has the snapshot
}

// await returns when a session may subscribe. Where the source that is first is quiet, the next session takes its
// place.
func (is *InitialSync) await(ctx context.Context, s *session) {
	for began := time.Now(); ; {
		is.mu.Lock()
		if is.first != nil && time.Since(is.updatedAt) >= initialSyncIdle {
			is.release()
		}
		if is.first == nil && !is.complete {
			is.first, is.updatedAt, is.released = s, time.Now(), make(chan struct{})
			is.mu.Unlock()
			return
		}
		complete, released := is.complete, is.released
		left := min(initialSyncIdle-time.Since(is.updatedAt), initialSyncMaxWait-time.Since(began))
		is.mu.Unlock()
		if complete || left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// observe notes an update of a session's source.
func (is *InitialSync) observe(s *session, update *transport.Update) {
	is.mu.Lock()
	defer is.mu.Unlock()
	if is.first != s {
		return
	}
	is.updatedAt = time.Now()
	if update.Complete {
		is.complete = true
		is.release()
	}
}

// end notes that a session has ended.
func (is *InitialSync) end(s *session) {
	is.mu.Lock()
	defer is.mu.Unlock()
	if is.first == s {
		is.release()
	}
}

// release lets the others subscribe, or one of them be the first. The mutex is held.
func (is *InitialSync) release() {
	is.first = nil
	close(is.released)
}
