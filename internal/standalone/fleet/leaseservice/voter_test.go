package leaseservice

import (
	"sync"
	"testing"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

// hangingStore is a store whose Save can be made to hang.
type hangingStore struct {
	quorum.Store
	saving chan struct{} // receives when a Save hangs

	mu      sync.Mutex    // guards release
	release chan struct{} // if not nil, Save hangs until the channel is closed
}

func (hs *hangingStore) Save(b quorum.Batch) error {
	hs.mu.Lock()
	release := hs.release
	hs.mu.Unlock()
	if release != nil {
		select {
		case hs.saving <- struct{}{}:
		default:
		}
		<-release
	}
	return hs.Store.Save(b)
}

// hang makes Save hang until resume is called. resume may be called more than once.
func (hs *hangingStore) hang() (resume func()) {
	release := make(chan struct{})
	hs.mu.Lock()
	hs.release = release
	hs.mu.Unlock()
	return sync.OnceFunc(func() {
		hs.mu.Lock()
		hs.release = nil
		hs.mu.Unlock()
		close(release)
	})
}

// TestVoterDiskHangs checks that while the voter's disk hangs, tokens are checked without waiting for the disk, and the
// lease ends in time because it is not renewed. The role is gained again once the disk works.
func TestVoterDiskHangs(t *testing.T) {
	t.Parallel()
	store := &hangingStore{saving: make(chan struct{}, 1)}
	s := startService(t, func(o *Options) {
		o.WrapStore = func(inner quorum.Store) quorum.Store {
			store.Store = inner
			return store
		}
	})
	work := newRecordedWork()
	s.AddRole("role", "", work.run)
	first := receive(t, "work started", work.started)

	resume := store.hang()
	t.Cleanup(resume)
	other := newRecordedWork()
	s.AddRole("other", "", other.run) // the voter must store its grant
	receive(t, "store hangs", store.saving)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if token, ok := s.FencingToken("role"); ok && token != first {
			t.Errorf("got token %d while the disk hangs, want %d or none", token, first)
		}
		s.RoleHolder("role")
	}()
	receive(t, "token checked", checked)
	receive(t, "work ended", work.ended)
	if token, ok := s.FencingToken("role"); ok {
		t.Errorf("may act under token %d after the end of the lease", token)
	}

	resume()
	if second := receive(t, "work started again", work.started); second < first {
		t.Errorf("got token %d after %d, want none older", second, first)
	}
	receive(t, "other work started", other.started)
}

// TestStopHandlesWaitingSteps checks that Stop executes the queued steps of the voter before the voter ends.
func TestStopHandlesWaitingSteps(t *testing.T) {
	t.Parallel()
	s := startService(t, nil)
	handled := s.voterCaughtUp()
	s.Stop()
	select {
	case <-handled:
	default:
		t.Error("a step of the voter that waited at Stop was not executed")
	}
}
