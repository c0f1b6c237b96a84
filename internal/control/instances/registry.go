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
	maxFlushed    = 4096 // instances written to the disk in one batch; the others are written at the next flush
	maxHeartbeats = 2048 // heartbeats in one update for another control node, which bounds its size
	overheadBytes = 64   // upper bound of an encoded instance's size in a frame, without its strings
)

// Registry contains the server instances known to this node, and the failure detector (a registry.Registry) that
// decides on their phases. The store has the same state of each instance as the detector; only changes are written to
// it.
type Registry struct {
	store *replication.Store
	now   func() registry.Seconds // seconds since the process started

	mu                sync.Mutex // guards the fields below
	detector          *registry.Registry
	acknowledgedPhase map[string]registry.Phase // latest phase that is known to be on enough disks, by id
	persisted         mapset.Set[string]        // ids of instances that are on this node's disk or queued for it
	dirty             map[string]struct{}       // ids of instances changed since they were last queued for the disk
}

// New makes an empty registry. heartbeatInterval is the time between two heartbeats of a server, in seconds; now
// returns the seconds since the process started.
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

// publish merges changed instances into the store, and marks them to be written to the disk. The caller holds r.mu.
func (r *Registry) publish(changed ...registry.Instance) {
	r.store.MergeInstances(changed)
	for _, instance := range changed {
		r.dirty[instance.ID] = struct{}{}
	}
}

// Flush queues changed instances for the disk without waiting for the write. A node that restarts thereby knows the
// servers before their next heartbeats. Flush does nothing if disk is nil.
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

// Heartbeat records a server's heartbeat. It returns the merged state of the instance, and whether the phase in the
// heartbeat is acknowledged, which means that it is known to be on enough disks.
func (r *Registry) Heartbeat(instance registry.Instance) (merged registry.Instance, acknowledged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The heartbeat of a draining server may leave out the server's description.
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

// Depart records that a server has reported its end. It returns the merged state of the instance, and whether its
// departure is acknowledged, as Heartbeat does.
func (r *Registry) Depart(id string) (merged registry.Instance, acknowledged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged, changed := r.detector.RecordDeparture(r.now(), id)
	if changed {
		r.publish(merged)
	}
	return merged, r.acknowledgedPhase[id] == registry.Gone
}

// Acknowledge records that the phase of an instance is on enough disks.
func (r *Registry) Acknowledge(instance registry.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.detector.Get(instance.ID); ok {
		r.acknowledgedPhase[instance.ID] = max(r.acknowledgedPhase[instance.ID], instance.Phase)
	}
}

// PersistDepartures queues for the disk the current state of those of the given instances that are draining or gone. It
// returns nil if there are none.
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

// Merge merges instances that were received from another process.
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

// Restore merges the instances that were read from this node's disk.
func (r *Registry) Restore(instances []registry.Instance) {
	r.Merge(instances)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range instances {
		r.persisted.Add(instance.ID)
		delete(r.dirty, instance.ID)
	}
}

// PersistedAfter returns a page of the current state of the departing instances on disk, sorted by id. The page begins
// with the first id above after, and contains as many instances as fit into maxBytes of a frame, but at least one. more
// reports whether further instances follow.
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

// frameBytes returns an upper bound of the size of an instance in a frame.
func frameBytes(i registry.Instance) int {
	return overheadBytes + len(i.ID) + len(i.Service) + len(i.Address) + len(i.Zone) + len(i.Generation)
}

// HeartbeatsSince returns the heartbeats that this node has received after the given sequence number, to be sent to
// other control nodes, and the sequence number to continue from.
func (r *Registry) HeartbeatsSince(since uint64) ([]transport.Heartbeat, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.HeartbeatsSince(since, maxHeartbeats)
}

// QuorumLost records that contact with a majority was lost, even if it has been restored since. Missing heartbeats from
// before this moment then do not make an instance silent, because they may be due to the loss of contact.
func (r *Registry) QuorumLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.SetQuorum(r.now(), false)
}

// DetectSilent evaluates the failure detector, and returns the instances that have become silent or gone. quorum is
// whether this node is in contact with a majority.
func (r *Registry) DetectSilent(quorum bool) []registry.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.detector.SetQuorum(now, quorum)
	changed := r.detector.DetectSilent(now)
	r.publish(changed...)
	return changed
}

// Expire removes instances that have been gone or silent for their retention time from this registry, the store and the
// disk. disk may be nil.
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

// IDs returns the ids of the given instances, in the same order.
func IDs(instances []registry.Instance) []string {
	ids := make([]string, len(instances))
	for n, instance := range instances {
		ids[n] = instance.ID
	}
	return ids
}
