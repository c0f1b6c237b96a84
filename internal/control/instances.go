package control

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

// instanceRegistry is what this node knows of the servers. The registry judges; the store, from which agents are fed, has of each instance only what
// differs, and only as the registry has it. Instances of servers that leave are kept on disk too. Times of the registry are of this process alone:
// the common clock may be moved on.
type instanceRegistry struct {
	store *replication.Store
	now   func() registry.Seconds // since the process started

	mu                sync.Mutex
	registry          *registry.Registry
	acknowledgedPhase map[string]registry.Phase // acknowledged, on enough disks
	persisted         mapset.Set[string]        // ids that are on this node's disk, or on the way there
	dirty             map[string]struct{}       // ids of instances that changed since they were last on their way to the disk
}

// publish has the store, and in a while the disk, have instances that changed. The mutex is held.
func (r *instanceRegistry) publish(ls ...registry.Instance) {
	r.store.MergeInstances(ls)
	for _, l := range ls {
		r.dirty[l.ID] = struct{}{}
	}
}

// flush puts what changed on its way to the disk: a node that comes back knows the servers at once, though they call only once in a heartbeat.
// Nobody waits for it.
func (r *instanceRegistry) flush(to *storage.Store) {
	if to == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var b storage.Batch
	for id := range r.dirty {
		if l, ok := r.registry.Get(id); ok {
			b.Instances = append(b.Instances, l)
			r.persisted.Add(id)
		}
		delete(r.dirty, id)
		if len(b.Instances) == maxFlushed {
			break
		}
	}
	if b.Instances != nil {
		to.Put(b)
	}
}

// maxFlushed bounds the instances that go to the disk at once.
const maxFlushed = 4096

func newInstanceRegistry(store *replication.Store, beat float64, now func() float64) *instanceRegistry {
	return &instanceRegistry{store: store, now: now, registry: registry.New(beat), acknowledgedPhase: map[string]registry.Phase{}, persisted: mapset.NewThreadUnsafeSet[string](),
		dirty: map[string]struct{}{}}
}

// heartbeat takes a call of a server, and returns the instance as it stands now and whether its leaving is acknowledged already.
func (r *instanceRegistry) heartbeat(l registry.Instance) (merged registry.Instance, sure bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.registry.Get(l.ID); ok && l.Address == "" {
		l.Service, l.Address, l.Zone, l.Generation, l.Capacity = old.Service, old.Address, old.Zone, old.Generation, old.Capacity
	}
	merged, news := r.registry.RecordHeartbeat(r.now(), l)
	if news {
		r.publish(merged)
	}
	at, kept := r.acknowledgedPhase[l.ID]
	return merged, kept && at >= l.Phase
}

// departed takes a server's word that it has ended.
func (r *instanceRegistry) departed(id string) (merged registry.Instance, sure bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged, news := r.registry.RecordDeparture(r.now(), id)
	if news {
		r.publish(merged)
	}
	return merged, r.acknowledgedPhase[id] == registry.Gone
}

// acknowledged notes that an instance is on enough disks.
func (r *instanceRegistry) acknowledged(l registry.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.registry.Get(l.ID); ok {
		r.acknowledgedPhase[l.ID] = max(r.acknowledgedPhase[l.ID], l.Phase)
	}
}

// persistDepartures puts those instances that leave, as they stand here, on their way to the disk. Nil: there is nothing to keep.
func (r *instanceRegistry) persistDepartures(to *storage.Store, ids ...string) *storage.Future {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b storage.Batch
	for _, id := range ids {
		if l, ok := r.registry.Get(id); ok && l.Phase >= registry.Draining {
			b.Instances = append(b.Instances, l)
			r.persisted.Add(id)
		}
	}
	if b.Instances == nil {
		return nil
	}
	return to.Put(b)
}

// merge takes instances that another process knows.
func (r *instanceRegistry) merge(ls []registry.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.registry.Merge(r.now(), ls)...)
}

// remoteHeartbeats takes heartbeats that another control node took.
func (r *instanceRegistry) remoteHeartbeats(beats []transport.Heartbeat) {
	if len(beats) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range beats {
		if l, news := r.registry.RecordRemoteHeartbeat(r.now(), h.ID, h.Seq); news {
			r.publish(l)
		}
	}
}

// restore takes the instances that were found on disk.
func (r *instanceRegistry) restore(ls []registry.Instance) {
	r.merge(ls)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range ls {
		r.persisted.Add(l.ID)
		delete(r.dirty, l.ID)
	}
}

// persistedAfter is the instances that are on disk, as they stand now, in order of their ids: those behind one id, and no more than so many bytes,
// about. More: others are behind them.
func (r *instanceRegistry) persistedAfter(behind string, most int) (page []registry.Instance, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.persisted.Iter() {
		if id > behind {
			if l, ok := r.registry.Get(id); ok && l.Phase >= registry.Draining {
				page = append(page, l)
			}
		}
	}
	slices.SortFunc(page, func(a, b registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for n, l := range page {
		if most -= instanceBytes + len(l.ID) + len(l.Service) + len(l.Address) + len(l.Zone) + len(l.Generation); most < 0 && n > 0 {
			return page[:n], true
		}
	}
	return page, false
}

// heartbeatsSince is the heartbeats taken here, for other control nodes.
func (r *instanceRegistry) heartbeatsSince(since uint64) ([]transport.Heartbeat, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.HeartbeatsSince(since, maxHeartbeats)
}

// contactLost notes that contact has been lost meanwhile.
func (r *instanceRegistry) contactLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.SetQuorum(r.now(), false)
}

// detectSilent returns the instances that have become silent or gone by now.
func (r *instanceRegistry) detectSilent(quorum bool) []registry.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.registry.SetQuorum(now, quorum)
	due := r.registry.DetectSilent(now)
	r.publish(due...)
	return due
}

// expire drops the instances of long ago, here and from the disk.
func (r *instanceRegistry) expire(disk *storage.Store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	over := r.registry.Expire(r.now())
	if len(over) == 0 {
		return
	}
	r.store.ForgetInstances(over)
	var b storage.Batch
	for _, id := range over {
		delete(r.dirty, id)
		delete(r.acknowledgedPhase, id)
		if r.persisted.Contains(id) && disk != nil {
			r.persisted.Remove(id)
			b.DeleteInstances = append(b.DeleteInstances, id)
		}
	}
	if b.DeleteInstances != nil {
		b.NoSync = true
		disk.Put(b)
	}
}

const maxHeartbeats = 2048 // heartbeats told at once
