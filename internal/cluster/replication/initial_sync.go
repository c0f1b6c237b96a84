package replication

import (
	"context"
	"sync"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

const (
	// initialSyncIdle is the time without an update after which another session replaces the first one.
	initialSyncIdle = 250 * time.Millisecond
	// initialSyncMaxWait bounds the wait of a session. It is less than transport.IdleTimeout, because a source closes a
	// connection on which it receives nothing for that time.
	initialSyncMaxWait = 1500 * time.Millisecond
)

// InitialSync orders the clients that fill the same empty store from several sources. The first client to connect,
// normally that of the nearest source, receives the snapshot before the others subscribe. The others then receive only
// the differences (Store.Digests). The zero value is ready for use by the clients of a store.
type InitialSync struct {
	mu        sync.Mutex    // guards the fields below
	first     *session      // the session that receives the snapshot; nil means none
	updatedAt time.Time     // time of the last update from the source of first, or of the start of first
	released  chan struct{} // closed when first has the snapshot, has ended, or is replaced
	complete  bool          // a session has the snapshot
}

// await returns when a session may subscribe. If the source of the first session sends no updates for initialSyncIdle,
// the next session replaces it. No session waits for longer than initialSyncMaxWait.
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

// observe records an update from a session's source.
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

// end records that a session has ended.
func (is *InitialSync) end(s *session) {
	is.mu.Lock()
	defer is.mu.Unlock()
	if is.first == s {
		is.release()
	}
}

// release wakes the waiting sessions. They subscribe or, if none has received the snapshot yet, one of them becomes the
// first. The mutex must be held.
func (is *InitialSync) release() {
	is.first = nil
	close(is.released)
}
