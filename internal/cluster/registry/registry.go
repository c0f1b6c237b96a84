package registry

// Limits of a Registry. The unit "heartbeats" is the interval between two calls of a server.
const (
	// TimeoutHeartbeats is the time without a call after which an instance is silent, in heartbeats.
	TimeoutHeartbeats = 3.5
	// MassTimeoutRecheckHeartbeats is the time from the first call during a mass timeout until instances are checked
	// again, in heartbeats.
	MassTimeoutRecheckHeartbeats = 2.0
	// MassTimeoutMinimum is the smallest number of instances that time out together in a mass timeout. Fewer become
	// silent even if they are more than half of the serving instances.
	MassTimeoutMinimum = 4
	// TombstoneRetention is the time for which a gone instance is kept, in seconds. It prevents a late call from
	// restoring the instance.
	TombstoneRetention Seconds = 120
	// SilentRetention is the time for which a silent instance is kept, in seconds, because it may be partitioned and
	// call again.
	SilentRetention Seconds = 600
	// DrainRetention is the additional time, in seconds, after the timeout of a draining instance until it counts as
	// gone.
	DrainRetention Seconds = 60
	// MaxInstances bounds the instances of a registry. When it is reached, a new instance replaces the oldest gone
	// instance or, if there is none, the oldest silent, draining or serving one, in this order.
	MaxInstances = 1 << 19
)

// Registry is the failure detector of a control node. The times passed to its methods must not decrease. The cost of a
// call depends on what changes, not on the number of instances. Calls must be serialized.
type Registry struct {
	heartbeatInterval   Seconds
	entries             map[string]*entry
	phases              [Gone + 1]queue // by phase; ordered by lastSeenAt, the oldest first
	heartbeats          queue           // instances with heartbeats received by this node, the oldest first
	lastHeartbeatNumber uint64          // number of the last heartbeat received by this node

	hasQuorum   bool
	quorumSince Seconds // start of the quorum, or end of the last pause of the process
	lastCheck   Seconds // time of the last call of DetectSilent
	checked     bool    // DetectSilent has been called

	overdue         int     // number of serving instances that have timed out; they are first in their queue
	firstNotOverdue *entry  // the first serving instance that is not overdue
	massTimeout     bool    // in a mass timeout, in which no instance becomes silent (DetectSilent)
	callsResumed    bool    // a call has arrived since the mass timeout began
	callsResumedAt  Seconds // time of that call
}

// New returns a registry of servers that call once per heartbeatInterval.
func New(heartbeatInterval Seconds) *Registry {
	r := &Registry{
		heartbeatInterval: heartbeatInterval,
		entries:           map[string]*entry{},
		heartbeats:        queue{linksOf: heartbeatLinksOf},
	}
	for i := range r.phases {
		r.phases[i].linksOf = phaseLinksOf
	}
	return r
}

// Len returns the number of instances, including silent and gone ones that are still kept.
func (r *Registry) Len() int { return len(r.entries) }

// Get returns the instance with an ID.
func (r *Registry) Get(id string) (Instance, bool) {
	if e := r.entries[id]; e != nil {
		return e.instance, true
	}
	return Instance{}, false
}

// RecordHeartbeat records a call of a server. merged is the resulting instance, which for a late or repeated call may
// differ from that of the call, and changed reports whether it must be sent to other processes. An invalid instance
// changes nothing.
func (r *Registry) RecordHeartbeat(now Seconds, instance Instance) (merged Instance, changed bool) {
	if !instance.Valid() {
		return instance, false
	}
	e := r.entries[instance.ID]
	if e == nil {
		e = r.add(now, instance)
		r.trackHeartbeat(e)
		return e.instance, true
	}
	if old := e.instance; instance.Supersedes(old) {
		r.update(now, e, instance)
		if instance.Phase < Gone {
			r.trackHeartbeat(e)
		}
		return e.instance, instance.DiffersFrom(old)
	}
	// A repeated call shows that the server is still alive. A delayed one does not.
	if instance.Seq == e.instance.Seq && e.instance.Phase != Gone && e.instance.Phase != Silent {
		r.touch(now, e)
		r.trackHeartbeat(e)
	}
	return e.instance, false
}

// RecordDeparture records a server's call that it has ended. While its tombstone is kept, an instance with that ID
// cannot return, even if the ID was unknown.
func (r *Registry) RecordDeparture(now Seconds, id string) (merged Instance, changed bool) {
	instance := Instance{ID: id, Phase: Gone}
	if e := r.entries[id]; e != nil {
		instance = e.instance
		instance.Phase = Gone
	}
	return r.RecordHeartbeat(now, instance)
}

// RecordRemoteHeartbeat records a heartbeat that another control node received. It changes nothing if the instance is
// unknown or the heartbeat is out of date.
func (r *Registry) RecordRemoteHeartbeat(now Seconds, id string, seq uint64) (merged Instance, changed bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, false
	}
	if e.instance.Phase == Gone || seq <= e.instance.Seq {
		return e.instance, false
	}
	old, instance := e.instance, e.instance
	instance.Seq = seq
	if instance.Phase == Silent {
		instance.Phase = Serving
	}
	r.update(now, e, instance)
	return instance, instance.DiffersFrom(old)
}

// Merge merges instances that another process knows: another control node, or a subscriber after this node has lost its
// own instances. Those that are new or supersede the known version count as seen now. Merge returns the new ones, and
// those that supersede the known version and differ from it.
func (r *Registry) Merge(now Seconds, instances []Instance) (changed []Instance) {
	for _, instance := range instances {
		if !instance.Valid() {
			continue
		}
		e := r.entries[instance.ID]
		if e == nil {
			changed = append(changed, r.add(now, instance).instance)
			continue
		}
		if old := e.instance; instance.Supersedes(old) {
			r.update(now, e, instance)
			if instance.DiffersFrom(old) {
				changed = append(changed, instance)
			}
		}
	}
	return changed
}

// HeartbeatsSince returns the oldest heartbeats that this node received after the one with the given number, at most
// maxHeartbeats, and the number from which to continue. The first heartbeat has number 1. An instance with several
// heartbeats is returned once.
func (r *Registry) HeartbeatsSince(since uint64, maxHeartbeats int) (heartbeats []Heartbeat, last uint64) {
	e, count := r.heartbeats.last, 0
	for ; e != nil && e.heartbeatNumber > since; e = e.heartbeatLinks.prev {
		count++
	}
	if e == nil {
		e = r.heartbeats.first
	} else {
		e = e.heartbeatLinks.next
	}
	if count = min(count, maxHeartbeats); count <= 0 {
		return nil, since
	}
	heartbeats, last = make([]Heartbeat, 0, count), since
	for ; len(heartbeats) < count; e = e.heartbeatLinks.next {
		heartbeats = append(heartbeats, Heartbeat{ID: e.instance.ID, Seq: e.instance.Seq})
		last = e.heartbeatNumber
	}
	return heartbeats, last
}

// add adds an instance that is not known. If there are too many, it replaces the oldest one, in the order of phases of
// MaxInstances.
func (r *Registry) add(now Seconds, instance Instance) *entry {
	if len(r.entries) >= MaxInstances {
		for _, phase := range [...]Phase{Gone, Silent, Draining, Serving} {
			if e := r.phases[phase].first; e != nil {
				r.remove(e)
				break
			}
		}
	}
	e := &entry{instance: instance, lastSeenAt: now}
	r.entries[instance.ID] = e
	r.enqueue(e)
	if instance.Phase == Serving || instance.Phase == Draining {
		r.observeCall(now)
	}
	return e
}

// update replaces the instance of an entry by another version, which is seen now.
func (r *Registry) update(now Seconds, e *entry, instance Instance) {
	r.dequeue(e)
	e.instance, e.lastSeenAt = instance, now
	r.enqueue(e)
	if instance.Phase == Serving || instance.Phase == Draining {
		r.observeCall(now)
	} else if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
		e.heartbeatNumber = 0
	}
}

// touch counts an entry as seen now.
func (r *Registry) touch(now Seconds, e *entry) { r.update(now, e, e.instance) }

// observeCall records that a server has called, because a call during a mass timeout may end it.
func (r *Registry) observeCall(now Seconds) {
	if r.massTimeout && !r.callsResumed {
		r.callsResumed, r.callsResumedAt = true, now
	}
}

// trackHeartbeat assigns to an entry the next number of the heartbeats received by this node.
func (r *Registry) trackHeartbeat(e *entry) {
	if e.instance.Phase >= Gone {
		return
	}
	if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
	}
	r.lastHeartbeatNumber++
	e.heartbeatNumber = r.lastHeartbeatNumber
	r.heartbeats.push(e)
}

// enqueue appends an entry to the queue of its phase.
func (r *Registry) enqueue(e *entry) {
	r.phases[e.instance.Phase].push(e)
	if e.instance.Phase == Serving && r.firstNotOverdue == nil {
		r.firstNotOverdue = e
	}
}

// dequeue removes an entry from the queue of its phase.
func (r *Registry) dequeue(e *entry) {
	if e.overdue {
		e.overdue = false
		r.overdue--
	}
	if r.firstNotOverdue == e {
		r.firstNotOverdue = e.phaseLinks.next
	}
	r.phases[e.instance.Phase].remove(e)
}

// remove removes an entry from the registry.
func (r *Registry) remove(e *entry) {
	if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
	}
	r.dequeue(e)
	delete(r.entries, e.instance.ID)
}
