//go:build !race

package gossip

import (
	"io/fs"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/standalone/fleet/membership"
)

// memoryStore is a Store in memory that can simulate a full disk.
type memoryStore struct {
	mu     sync.Mutex // guards the fields below
	record *Record    // nil: no record is stored
	full   bool
}

func (m *memoryStore) Read(v any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.record == nil {
		return fs.ErrNotExist
	}
	*v.(*Record) = *m.record
	return nil
}

func (m *memoryStore) Write(v any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.full {
		return syscall.ENOSPC
	}
	r := v.(Record)
	m.record = &r
	return nil
}

func (m *memoryStore) setFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

func (m *memoryStore) setRecord(r *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record = r
}

// boot returns the stored boot count; 0 if no record is stored.
func (m *memoryStore) boot() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.record == nil {
		return 0
	}
	return m.record.Boot
}

// TestIncarnationIsStoredBeforeUse checks that a member with a full disk does not join the fleet until the disk has
// space, because its boot count must be on disk before it is announced. It also checks that a boot count that is too
// low, because the folder was lost or restored from an old copy, is raised above the count that the other members know.
func TestIncarnationIsStoredBeforeUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := startTestFleet(2, 5)
		defer tf.stop()
		const joining = 2
		tf.addrs = append(tf.addrs, tf.network.Addr())
		tf.members = append(tf.members, nil)
		store := &memoryStore{full: true}
		start := func() {
			tf.start(joining, membership.Serving, func(o *Options) { o.Store = store })
		}
		// seenBoot returns the boot count under which member 0 sees the joining member; 0 if it doesn't see it alive.
		seenBoot := func() (boot uint64) {
			for _, m := range tf.members[0].Report(0).Members {
				if m.Name == memberName(joining) && m.State == "alive" {
					boot = m.Boot
				}
			}
			return boot
		}
		start()
		time.Sleep(20 * time.Second)
		if seenBoot() != 0 || store.boot() != 0 {
			t.Fatalf("with a full disk: seen with boot %d, stored %d; want 0, 0", seenBoot(), store.boot())
		}
		store.setFull(false)
		if _, ok := waitUntil(10*time.Second, func() bool { return seenBoot() == 1 }); !ok {
			t.Fatalf("with space: seen with boot %d, want 1", seenBoot())
		}
		for _, tc := range []struct {
			name   string
			stored *Record
			want   uint64
		}{
			{"as it was", &Record{Boot: 41}, 42},
			{"restored from an old state", &Record{Boot: 7}, 43},
			{"lost", nil, 44},
		} {
			tf.kill(joining)
			time.Sleep(20 * time.Second)
			store.setRecord(tc.stored)
			start()
			_, ok := waitUntil(15*time.Second, func() bool { return seenBoot() == tc.want })
			if !ok || store.boot() != tc.want {
				t.Errorf("folder %s: seen with boot %d, stored %d, want %d", tc.name, seenBoot(), store.boot(), tc.want)
			}
		}
	})
}
