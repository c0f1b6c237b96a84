package registry

// Bounds of a Registry. Those in heartbeats are multiples of the interval between two calls of one server.
const (
	// TimeoutHeartbeats is the time without a call after which an instance is silent, in heartbeats.
	TimeoutHeartbeats = 3.5
	// MassTimeoutRecheckHeartbeats is the time after the first call that ends a mass timeout until instances are judged
	// again, in heartbeats.
	MassTimeoutRecheckHeartbeats = 2.0
	// MassTimeoutMinimum is the least number of instances that time out together in a mass timeout.
	MassTimeoutMinimum = 4
	// TombstoneRetention is the time for which a gone instance is kept, so that a late call does not bring it back.
	TombstoneRetention Seconds = 120
	// SilentRetention is the time for which a silent instance is kept: it may only be partitioned.
	SilentRetention Seconds = 600
	// DrainRetention is the time, after its timeout, for which a draining instance without calls is not yet gone.
	DrainRetention Seconds = 60
	// MaxInstances bounds the instances of one registry; the one without a call for longest is dropped for a new one.
	MaxInstances = 1 << 19
)

// Registry is the failure detector of a control node. Every method takes the time, which never goes back, and its cost
// depends on what changes, not on the number of instances. Calls must be serialized.
type Registry struct {
	heartbeatInterval   Seconds
	entries             map[string]*entry
	phases              [Gone + 1]queue // by phase, the one longest without a call (or longest in that phase) first
	heartbeats          queue           // instances with heartbeats received here, the oldest heartbeat first
	lastHeartbeatNumber uint64          // of the heartbeats received here

	hasQuorum   bool
	quorumSince Seconds // of a quorum without interruption
	lastCheck   Seconds // the last DetectSilent
	checked     bool    // there was one

	overdue         int     // serving instances that have timed out: the first so many of their queue
	firstNotOverdue *entry  // the first serving instance that is not overdue
	massTimeout     bool    // more than half timed out together: nobody is judged
	callsResumed    bool    // calls have come since the mass timeout began
	callsResumedAt  Seconds // the first of them
}

// New makes a registry of servers that call once in so many seconds.
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

// Len counts the instances, with silent and gone ones that are still kept.
func (r *Registry) Len() int { return len(r.entries) }

// Get returns the instance with that ID.
func (r *Registry) Get(id string) (Instance, bool) {
	if e := r.entries[id]; e != nil {
		return e.instance, true
	}
	return Instance{}, false
}

// RecordHeartbeat takes a call of a server. It returns the instance as it stands now, which for a late or repeated call
// is not that of the call, and whether other processes must be sent it. An invalid instance changes nothing.
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
	// A repeated call still shows that the server is alive; one that was delayed on its way does not.
	if instance.Seq == e.instance.Seq && e.instance.Phase != Gone && e.instance.Phase != Silent {
		r.touch(now, e)
		r.trackHeartbeat(e)
	}
	return e.instance, false
}

// RecordDeparture takes a server's call that it has ended. An instance of that ID does not come back while its
// tombstone is kept, even where none was known.
func (r *Registry) RecordDeparture(now Seconds, id string) (merged Instance, changed bool) {
	instance := Instance{ID: id, Phase: Gone}
	if e := r.entries[id]; e != nil {
		instance = e.instance
		instance.Phase = Gone
	}
	return r.RecordHeartbeat(now, instance)
}

// RecordRemoteHeartbeat takes a heartbeat that another control node received. One of an unknown instance, or that is
// out of date, changes nothing.
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

// Merge takes instances that another process knows: a subscriber, after this node has lost its own, or another control
// node. They count as seen now. It returns those that changed something here.
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

// HeartbeatsSince returns the heartbeats received here behind a number, at most maxHeartbeats of the oldest, and the
// number to ask with next. The first has number 1. An instance with several heartbeats is in it once.
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

// add takes an instance that is not known, in the place of the one that matters least where there are too many.
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

// update gives an entry another version of its instance, seen now.
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

// observeCall notes that a server has called: a mass timeout may be over.
func (r *Registry) observeCall(now Seconds) {
	if r.massTimeout && !r.callsResumed {
		r.callsResumed, r.callsResumedAt = true, now
	}
}

// trackHeartbeat gives an entry the next number of the heartbeats received here.
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

// enqueue puts an entry into the queue of its phase.
func (r *Registry) enqueue(e *entry) {
	r.phases[e.instance.Phase].push(e)
	if e.instance.Phase == Serving && r.firstNotOverdue == nil {
		r.firstNotOverdue = e
	}
}

// dequeue takes an entry out of the queue of its phase.
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

// remove forgets an entry.
func (r *Registry) remove(e *entry) {
	if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
	}
	r.dequeue(e)
	delete(r.entries, e.instance.ID)
}
