package instances

import (
	"cmp"
	"slices"
	"sync"

	"github.com/deckarep/golang-set/v2"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/storage"
)

const (
	maxFlushed    = 4096 // instances that go to the disk in one batch
	maxHeartbeats = 2048 // heartbeats in one update of another control node
	overheadBytes = 64   // of an instance in a frame, beside its strings
)

// Registry is the server instances known to this node, with the failure detector (a registry.Registry) that judges
// them. The store holds of each instance what the detector holds; only differences are written to it.
type Registry struct {
	store *replication.Store
	now   func() registry.Seconds // since the process started

	mu                sync.Mutex // guards the fields below
	detector          *registry.Registry
	acknowledgedPhase map[string]registry.Phase // by id: the phase that is known to be on enough disks
	persisted         mapset.Set[string]        // ids that are on this node's disk, or queued for it
	dirty             map[string]struct{}       // ids of instances changed since they were last queued for the disk
}

// New makes an empty registry. HeartbeatInterval is that of the servers, in seconds; now is the seconds since
// the process started.
func New(store *replication.Store, heartbeatInterval float64, now func() float64) *Registry {
	return &Registry{
		store:             store,
		now:               now,
		detector:          registry.New(heartbeatInterval),
		acknowledgedPhase: map[string]registry.Phase{},
		persisted:         mapset.NewThreadUnsafeSet[string](),
		dirty:             map[string]struct{}{},
	}
}

// publish hands changed instances to the store, and marks them for the disk. r.mu is held.
func (r *Registry) publish(changed ...registry.Instance) {
	r.store.MergeInstances(changed)
	for _, instance := range changed {
		r.dirty[instance.ID] = struct{}{}
	}
}

// Flush queues changed instances for the disk, without waiting: a node that restarts then knows the servers
// before their next heartbeats. A nil store is ignored.
func (r *Registry) Flush(disk *storage.Store) {
	if disk == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch storage.Batch
	for id := range r.dirty {
		if instance, ok := r.detector.Get(id); ok {
			batch.Instances = append(batch.Instances, instance)
			r.persisted.Add(id)
		}
		delete(r.dirty, id)
		if len(batch.Instances) == maxFlushed {
			break
		}
	}
	if batch.Instances != nil {
		disk.Put(batch)
	}
}

// Heartbeat records a call of a server, and returns the instance as it stands now, and whether its phase is
// acknowledged: known to be on enough disks.
func (r *Registry) Heartbeat(instance registry.Instance) (merged registry.Instance, acknowledged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.detector.Get(instance.ID); ok && instance.Address == "" {
		instance.Service = old.Service
		instance.Address = old.Address
		instance.Zone = old.Zone
		instance.Generation = old.Generation
		instance.Capacity = old.Capacity
	}
	merged, changed := r.detector.RecordHeartbeat(r.now(), instance)
	if changed {
		r.publish(merged)
	}
	phase, known := r.acknowledgedPhase[instance.ID]
	return merged, known && phase >= instance.Phase
}

// Depart records a server's call that it has ended, and returns as Heartbeat does.
func (r *Registry) Depart(id string) (merged registry.Instance, acknowledged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged, changed := r.detector.RecordDeparture(r.now(), id)
	if changed {
		r.publish(merged)
	}
	return merged, r.acknowledgedPhase[id] == registry.Gone
}

// Acknowledge records that an instance is on enough disks in its phase.
func (r *Registry) Acknowledge(instance registry.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.detector.Get(instance.ID); ok {
		r.acknowledgedPhase[instance.ID] = max(r.acknowledgedPhase[instance.ID], instance.Phase)
	}
}

// PersistDepartures queues those of the instances for the disk that drain or are gone, as they stand here. It
// returns nil if there is none.
func (r *Registry) PersistDepartures(disk *storage.Store, ids ...string) *storage.Future {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch storage.Batch
	for _, id := range ids {
		if instance, ok := r.detector.Get(id); ok && instance.Phase >= registry.Draining {
			batch.Instances = append(batch.Instances, instance)
			r.persisted.Add(id)
		}
	}
	if batch.Instances == nil {
		return nil
	}
	return disk.Put(batch)
}

// Merge merges instances that another process knows.
func (r *Registry) Merge(instances []registry.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.detector.Merge(r.now(), instances)...)
}

// MergeRemoteHeartbeats merges heartbeats that another control node received.
func (r *Registry) MergeRemoteHeartbeats(heartbeats []transport.Heartbeat) {
	if len(heartbeats) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range heartbeats {
		if instance, changed := r.detector.RecordRemoteHeartbeat(r.now(), h.ID, h.Seq); changed {
			r.publish(instance)
		}
	}
}

// Restore merges the instances that were found on disk.
func (r *Registry) Restore(instances []registry.Instance) {
	r.Merge(instances)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range instances {
		r.persisted.Add(instance.ID)
		delete(r.dirty, instance.ID)
	}
}

// PersistedAfter returns a page of the departing instances on disk, as they stand now, in order of their ids:
// those with ids above after, about maxBytes of them in a frame and at least one. More: others follow.
func (r *Registry) PersistedAfter(after string, maxBytes int) (page []registry.Instance, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.persisted.Iter() {
		if id <= after {
			continue
		}
		if instance, ok := r.detector.Get(id); ok && instance.Phase >= registry.Draining {
			page = append(page, instance)
		}
	}
	slices.SortFunc(page, func(a, b registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
	left := maxBytes
	for n, instance := range page {
		if left -= frameBytes(instance); left < 0 && n > 0 {
			return page[:n], true
		}
	}
	return page, false
}

// frameBytes is about the size of an instance in a frame, and not less.
func frameBytes(i registry.Instance) int {
	return overheadBytes + len(i.ID) + len(i.Service) + len(i.Address) + len(i.Zone) + len(i.Generation)
}

// HeartbeatsSince returns the heartbeats received here after a sequence number, for other control nodes.
func (r *Registry) HeartbeatsSince(since uint64) ([]transport.Heartbeat, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.HeartbeatsSince(since, maxHeartbeats)
}

// QuorumLost records that contact with a majority was lost, though it may be back: silence until now is no evidence.
func (r *Registry) QuorumLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.SetQuorum(r.now(), false)
}

// DetectSilent returns the instances that have become silent or gone by now.
func (r *Registry) DetectSilent(quorum bool) []registry.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.detector.SetQuorum(now, quorum)
	changed := r.detector.DetectSilent(now)
	r.publish(changed...)
	return changed
}

// Expire drops instances that have been gone for long, here and from the disk; nil: no disk.
func (r *Registry) Expire(disk *storage.Store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := r.detector.Expire(r.now())
	if len(expired) == 0 {
		return
	}
	r.store.ForgetInstances(expired)
	var batch storage.Batch
	for _, id := range expired {
		delete(r.dirty, id)
		delete(r.acknowledgedPhase, id)
		if r.persisted.Contains(id) && disk != nil {
			r.persisted.Remove(id)
			batch.DeleteInstances = append(batch.DeleteInstances, id)
		}
	}
	if batch.DeleteInstances != nil {
		batch.NoSync = true
		disk.Put(batch)
	}
}

// IDs returns the ids of instances.
func IDs(instances []registry.Instance) []string {
	ids := make([]string, len(instances))
	for n, instance := range instances {
		ids[n] = instance.ID
	}
	return ids
}
