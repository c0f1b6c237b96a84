package replication

import (
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

const (
	// repairDelay is the time from the complete update of a new incarnation of a source until it is sent what it still
	// lacks: two calls of a server.
	repairDelay        = 3 * time.Second
	repairAfterAbsence = time.Minute // without an update of a source: it may have forgotten what changed
	maxRepairInstances = 2048        // instances sent to one source at once
	repairBatch        = 256         // instances in one frame
)

// sourceRepair tracks which instances a source has shown to know since its new incarnation began. The zero value is not
// active.
type sourceRepair struct {
	known      map[string]struct{} // by instance ID; nil: no repair is pending
	completeAt time.Time           // when the source had sent all that it knows; zero: not yet
}

// start begins a repair anew.
func (sr *sourceRepair) start() {
	sr.known, sr.completeAt = map[string]struct{}{}, time.Time{}
}

// observe notes which instances an update shows the source to know: those in it, and those of the buckets that the
// source found to be the same as the store's.
func (sr *sourceRepair) observe(update *transport.Update, store *Store) {
	if sr.known == nil {
		return
	}
	for _, instance := range update.Instances {
		sr.known[instance.ID] = struct{}{}
	}
	if len(update.MatchingBuckets) == 0 {
		return
	}
	for _, instance := range store.Instances() {
		if inMatchingBucket(update.MatchingBuckets, instance.ID) {
			sr.known[instance.ID] = struct{}{}
		}
	}
}

// due reports whether the source has had repairDelay since it was complete.
func (sr *sourceRepair) due(update *transport.Update, now time.Time) bool {
	if sr.known == nil {
		return false
	}
	if sr.completeAt.IsZero() && update.Complete {
		sr.completeAt = now
	}
	return !sr.completeAt.IsZero() && now.Sub(sr.completeAt) >= repairDelay
}

// missing returns the live instances that the source has not shown to know, at most maxRepairInstances of them. It
// begins at an offset, so that of very many each subscriber sends others.
func (sr *sourceRepair) missing(all []registry.Instance, offset uint64) []registry.Instance {
	var missing []registry.Instance
	for i := range all {
		instance := all[(uint64(i)+offset)%uint64(len(all))]
		live := instance.Phase == registry.Serving || instance.Phase == registry.Draining
		if _, known := sr.known[instance.ID]; !known && live && len(missing) < maxRepairInstances {
			missing = append(missing, instance)
		}
	}
	return missing
}

// repairSource sends a source that began a new incarnation, or was long away, the instances that it may have lost: it
// could not report them as silent.
func (s *session) repairSource(update *transport.Update, now time.Time) {
	if !s.repair.due(update, now) {
		return
	}
	c := s.client
	missing := s.repair.missing(c.Store.Instances(), c.Incarnation)
	s.repair.known = nil
	for len(missing) > 0 {
		n := min(len(missing), repairBatch)
		hello := &transport.Hello{Node: c.Node, Class: c.Class, Incarnation: c.Incarnation, Instances: missing[:n]}
		if s.conn.Send(&transport.Frame{Hello: hello}) != nil {
			return
		}
		missing = missing[n:]
	}
}
