package replication

import (
	"sync"
	"sync/atomic"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// maxInternedNames bounds the names of services, zones and generations that are kept once for all instances.
const maxInternedNames = 1 << 14

// Store is what a process knows: the items of the configuration, the instances of the servers, and the order in which
// they last changed. Each change has the next number of a sequence that belongs to the incarnation of the process. Safe
// for concurrent use.
type Store struct {
	incarnation uint64
	snapshot    atomic.Pointer[configuration.Snapshot]
	epoch       atomic.Uint64

	mu         sync.Mutex // guards the fields below; snapshot and epoch are written with it held
	seq        uint64
	slots      []slot  // all entries, in no order
	free       []int32 // slots that are not in use
	items      map[configuration.Key]int32
	instances  map[string]int32
	log        []change // changes in order; that of a slot which has changed again since is void
	changed    chan struct{}
	subscribed bool // somebody waits for changed
	names      map[string]string
	digests    digests
}

// NewStore makes an empty store of a process with that incarnation: a number that no other process has had, not 0.
func NewStore(incarnation uint64) *Store {
	s := &Store{
		incarnation: incarnation,
		items:       map[configuration.Key]int32{},
		instances:   map[string]int32{},
		changed:     make(chan struct{}),
		names:       map[string]string{},
	}
	s.snapshot.Store(new(configuration.Snapshot))
	return s
}

// Incarnation returns the incarnation that the sequence belongs to.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// Snapshot returns the items as they are now; a snapshot never changes.
func (s *Store) Snapshot() *configuration.Snapshot { return s.snapshot.Load() }

// Epoch returns the newest epoch of the configuration that is complete here; 0: none.
func (s *Store) Epoch() uint64 { return s.epoch.Load() }

// SetEpoch notes that the configuration of an epoch is complete here. It never goes back.
func (s *Store) SetEpoch(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch > s.epoch.Load() {
		s.epoch.Store(epoch)
		s.wake()
	}
}

// Seq returns the number of the last change.
func (s *Store) Seq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq
}

// Changed returns a channel that is closed at the next change. Take it before reading the store.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribed = true
	return s.changed
}

// NotifySubscribers has subscribers be sent at once what is not in the store: that this process is ready, or has a
// quorum.
func (s *Store) NotifySubscribers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake wakes all that wait for a change. The mutex is held.
func (s *Store) wake() {
	if s.subscribed {
		close(s.changed)
		s.changed, s.subscribed = make(chan struct{}), false
	}
}

// MergeItems merges items, and returns those that are new here. Where an item is older than the one here, this one
// counts as changed again, so that the sender of the older one gets it.
func (s *Store) MergeItems(items []configuration.Item) (changed []configuration.Item) {
	if len(items) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next, changed := s.snapshot.Load().Merge(items)
	s.snapshot.Store(next)
	for _, item := range changed {
		s.recordChange(s.itemSlot(item.Key))
	}
	if len(changed) < len(items) {
		for _, item := range items {
			if known, ok := next.Get(item.Key); ok && known.NewerThan(item) {
				s.recordChange(s.itemSlot(item.Key))
			}
		}
	}
	return changed
}

// MergeInstances merges instances, and returns those that differ from what was known here. A later call of a server
// that says the same is only noted. Where an instance is out of date, the one here counts as changed again, so that the
// sender gets it.
func (s *Store) MergeInstances(instances []registry.Instance) (changed []registry.Instance) {
	if len(instances) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range instances {
		if instance.Valid() && s.mergeInstance(instance) {
			changed = append(changed, instance)
		}
	}
	return changed
}

// mergeInstance merges one valid instance, and reports whether it differs from what was known. The mutex is held.
func (s *Store) mergeInstance(instance registry.Instance) (changed bool) {
	index, known := s.instances[instance.ID]
	if !known {
		index = s.newSlot()
		s.instances[instance.ID] = index
		s.storeInstance(index, instance)
		s.recordChange(index)
		return true
	}
	old := s.slots[index].instance
	switch supersedes, differs := instance.Supersedes(old), instance.DiffersFrom(old); {
	case supersedes && differs:
		s.storeInstance(index, instance)
		s.recordChange(index)
		return true
	case supersedes:
		s.storeInstance(index, instance)
	case differs && old.Supersedes(instance):
		s.recordChange(index)
	}
	return false
}

// storeInstance keeps an instance in its slot. The few names that instances share are kept once. The mutex is held.
func (s *Store) storeInstance(index int32, instance registry.Instance) {
	for _, name := range [...]*string{&instance.Service, &instance.Zone, &instance.Generation} {
		if interned, ok := s.names[*name]; ok {
			*name = interned
		} else if len(s.names) < maxInternedNames {
			s.names[*name] = *name
		}
	}
	if old := &s.slots[index].instance; old.ID == instance.ID {
		instance.ID = old.ID
		if old.Address == instance.Address {
			instance.Address = old.Address
		}
	}
	s.slots[index].instance = instance
}

// ForgetInstances drops instances without a change: those that ended long ago, and silent ones that are not expected
// back.
func (s *Store) ForgetInstances(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if index, ok := s.instances[id]; ok {
			s.removeInstance(index)
		}
	}
}

// ForgetInactive drops the gone and the silent instances that last changed at or before a sequence number. A process
// without a registry.Registry calls it now and then with the Seq of some minutes ago. It goes through all instances.
func (s *Store) ForgetInactive(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, index := range s.instances {
		entry := &s.slots[index]
		inactive := entry.instance.Phase == registry.Gone || entry.instance.Phase == registry.Silent
		if entry.seq <= seq && inactive {
			s.removeInstance(index)
		}
	}
}

// Instance returns the instance with that ID.
func (s *Store) Instance(id string) (registry.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, ok := s.instances[id]
	if !ok {
		return registry.Instance{}, false
	}
	return s.slots[index].instance, true
}

// Instances returns a copy of all instances, in no order. It is for a start; ChangesSince returns what changes.
func (s *Store) Instances() []registry.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]registry.Instance, 0, len(s.instances))
	for i := range s.slots {
		if instance := &s.slots[i].instance; instance.ID != "" {
			all = append(all, *instance)
		}
	}
	return all
}
