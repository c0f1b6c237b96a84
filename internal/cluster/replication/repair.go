package replication

import (
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

const (
	// repairDelay is the time from the first complete update after the start of a repair until the instances that
	// the source still does not have are sent to it. A server calls twice in this time, so the source already has the
	// instances whose servers call it.
	repairDelay = 3 * time.Second
	// repairAfterAbsence is the time without an update after which a source may have dropped instances that changed.
	repairAfterAbsence = time.Minute
	maxRepairInstances = 2048 // most instances sent to one source at once
	repairBatch        = 256  // instances in one frame
)

// sourceRepair records which instances a source is known to have since the start of its repair. The zero value is not
// active.
type sourceRepair struct {
	known      map[string]struct{} // by instance ID; nil means no repair is pending
	completeAt time.Time           // time of the source's first complete update since start; zero means none yet
}

// start begins a new repair.
func (sr *sourceRepair) start() {
	sr.known, sr.completeAt = map[string]struct{}{}, time.Time{}
}

// observe records the instances that the source has according to an update: those in the update, and those in the
// buckets that the source reports as matching the store's.
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

// due reports whether repairDelay has passed since the source's first complete update.
func (sr *sourceRepair) due(update *transport.Update, now time.Time) bool {
	if sr.known == nil {
		return false
	}
	if sr.completeAt.IsZero() && update.Complete {
		sr.completeAt = now
	}
	return !sr.completeAt.IsZero() && now.Sub(sr.completeAt) >= repairDelay
}

// missing returns the live instances that the source is not known to have, at most maxRepairInstances of them. It
// starts at an offset into all, so that several subscribers send different instances if more than that are missing.
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

// repairSource sends a source that began a new incarnation, or sent no update for long, the instances that it may have
// lost. A source without an instance could not report it as silent.
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
