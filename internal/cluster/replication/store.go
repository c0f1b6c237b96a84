package replication

import (
	"sync"
	"sync/atomic"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// maxInternedNames bounds the interned names of services, zones and generations, which instances share in memory.
const maxInternedNames = 1 << 14

// Store has the items of the configuration and the instances of the servers that a process knows, and the order in
// which they last changed. Each change gets the next sequence number. Sequence numbers belong to the incarnation of the
// process. A Store is safe for concurrent use.
type Store struct {
	incarnation uint64
	snapshot    atomic.Pointer[configuration.Snapshot]
	epoch       atomic.Uint64

	mu         sync.Mutex // guards the fields below; snapshot and epoch are written with it held
	seq        uint64
	slots      []slot                      // all entries, in no particular order
	free       []int32                     // indexes of slots that are not in use
	items      map[configuration.Key]int32 // index of the slot by key
	instances  map[string]int32            // index of the slot by instance ID
	log        []change                    // changes in order; superseded if their slot has changed again since
	changed    chan struct{}               // closed at the next change
	subscribed bool                        // Changed was called since the last change, so there may be receivers
	names      map[string]string           // interned names
	digests    digests
}

// NewStore returns an empty store of a process. The incarnation must not be 0, and must be a number that no other
// process uses or has used.
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

// Epoch returns the newest epoch for which the store has the complete configuration; 0 means none.
func (s *Store) Epoch() uint64 { return s.epoch.Load() }

// SetEpoch records that the store has the complete configuration of an epoch. Lower epochs than the recorded one are
// ignored.
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

// NotifySubscribers wakes the subscriptions, so that they send an update at once. It is for changes of the status that
// are not in the store, such as that this process is ready or has a quorum.
func (s *Store) NotifySubscribers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake closes the channel that Changed returned, if there is one. The mutex must be held.
func (s *Store) wake() {
	if s.subscribed {
		close(s.changed)
		s.changed, s.subscribed = make(chan struct{}), false
	}
}

// MergeItems merges items, and returns those that changed the store. If an item is older than the stored one, the
// stored one counts as changed again, so that the sender of the older one receives it.
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

// MergeInstances merges instances, and returns those that differ from the stored ones. A newer instance with the same
// content, from a later call of a server, is stored without counting as a change. If an instance is out of date, the
// stored one counts as changed again, so that the sender receives it.
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

// mergeInstance merges one valid instance, and reports whether it changed the store. The mutex must be held.
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

// storeInstance stores an instance in its slot. Strings that are equal to stored ones share their memory: the few names
// of services, zones and generations are interned. The mutex must be held.
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

// ForgetInstances drops instances without recording a change. It is for instances that ended long ago, and for silent
// ones that are not expected to return.
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
// without a registry.Registry calls it periodically with the Seq of some minutes ago. It iterates over all instances.
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

// Instances returns a copy of all instances, in no particular order. To follow changes afterwards, use ChangesSince.
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
