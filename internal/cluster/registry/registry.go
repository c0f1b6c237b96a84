package registry

import "math"

// Heartbeat is a call of a server, told among control nodes.
type Heartbeat struct {
	ID  string `cbor:"1,keyasint"`
	Seq uint64 `cbor:"2,keyasint"`
}

// Times and bounds of a Registry. Those in heartbeats are spans between two calls of one server.
const (
	TimeoutHeartbeats                    = 3.5     // heartbeats without a call until an instance is judged silent
	MassTimeoutRecheckHeartbeats         = 2.0     // heartbeats for which a mass silence is looked at, once calls come again
	MassTimeoutMinimum                   = 4       // so many silent at once may be a mass silence
	TombstoneRetention           Seconds = 120     // a gone line is kept so long: a late call must not raise it
	SilentRetention              Seconds = 600     // a silent instance is kept so long: it may only be cut off
	DrainRetention               Seconds = 60      // a draining instance that is not heard is taken for gone after this and the patience
	MaxInstances                         = 1 << 19 // instances of one registry; the one longest unheard goes for a new one
)

const (
	maxNameLength = 512
	maxCapacity   = 1 << 20
)

// Valid tells whether an instance that another process told of can be one at all.
func (l Instance) Valid() bool {
	return l.ID != "" && len(l.ID) <= maxNameLength && len(l.Service) <= maxNameLength && len(l.Address) <= maxNameLength &&
		len(l.Zone) <= maxNameLength && len(l.Generation) <= maxNameLength && l.Capacity >= 0 && l.Capacity <= maxCapacity && l.Phase <= Gone &&
		!math.IsNaN(l.ColdUntil) && !math.IsInf(l.ColdUntil, 0)
}

// entry is an instance within the queue of its phase, and within that of what was heard here.
type entry struct {
	instance                   Instance
	lastSeenAt                  Seconds // last heard, or since when it has its phase
	overdue                    bool
	heartbeatNumber            uint64 // of the last call heard here; 0: none
	phaseLinks, heartbeatLinks links
}

type links struct{ prev, next *entry }

// queue is a list of entries, the oldest first.
type queue struct {
	first, last *entry
	length           int
	of          func(*entry) *links
}

func phaseLinksOf(e *entry) *links     { return &e.phaseLinks }
func heartbeatLinksOf(e *entry) *links { return &e.heartbeatLinks }

func (q *queue) push(e *entry) {
	l := q.of(e)
	l.prev, l.next = q.last, nil
	if q.last == nil {
		q.first = e
	} else {
		q.of(q.last).next = e
	}
	q.last = e
	q.length++
}

func (q *queue) remove(e *entry) {
	l := q.of(e)
	if l.prev == nil {
		q.first = l.next
	} else {
		q.of(l.prev).next = l.next
	}
	if l.next == nil {
		q.last = l.prev
	} else {
		q.of(l.next).prev = l.prev
	}
	l.prev, l.next = nil, nil
	q.length--
}

// Registry is a control node's judgement of which servers are silent. Every method takes the time, which never goes back, and
// costs by what changes, not by how many instances there are. It does no I/O; callers keep it to one goroutine at a time.
type Registry struct {
	heartbeatInterval       Seconds
	entries    map[string]*entry
	phases     [Gone + 1]queue // instances by phase, the one longest unheard (or longest in that phase) first
	heartbeats queue           // instances heard here, the one longest unheard here first
	lastNumber uint64          // calls heard here

	hasQuorum      bool
	quorumSince    Seconds // from when on it has heard a quorum, without a pause
	lastCheck      Seconds // when Due was last asked
	checked        bool
	overdue        int    // serving instances that the patience with has ended: the first so many of their queue
	cursor         *entry // the first that is not overdue
	massTimeout    bool   // a mass silence is being looked at
	callsResumedAt Seconds
	callsResumed   bool // calls have come since it began, from again on
}

// New makes a registry of servers that call once in so many seconds.
func New(beat Seconds) *Registry {
	r := &Registry{heartbeatInterval: beat, entries: map[string]*entry{}, heartbeats: queue{of: heartbeatLinksOf}}
	for i := range r.phases {
		r.phases[i].of = phaseLinksOf
	}
	return r
}

// Len counts the instances, with silent and gone ones that are still kept.
func (r *Registry) Len() int { return len(r.entries) }

// Get returns the instance of an id.
func (r *Registry) Get(id string) (Instance, bool) {
	if e := r.entries[id]; e != nil {
		return e.instance, true
	}
	return Instance{}, false
}

// RecordHeartbeat takes a call of a server. It returns the instance as it stands now, which for a late or repeated call is not that of the call, and
// whether it is news to others. An improper instance leaves all as it was.
func (r *Registry) RecordHeartbeat(now Seconds, l Instance) (merged Instance, news bool) {
	if !l.Valid() {
		return l, false
	}
	e := r.entries[l.ID]
	if e == nil {
		e = r.add(now, l)
		r.trackHeartbeat(e)
		return e.instance, true
	}
	if old := e.instance; l.Supersedes(old) {
		r.update(now, e, l)
		if l.Phase < Gone {
			r.trackHeartbeat(e)
		}
		return e.instance, l.DiffersFrom(old)
	}
	// A call that is sent once more still shows that the server lives; one that was held up on its way does not.
	if l.Seq == e.instance.Seq && e.instance.Phase != Gone && e.instance.Phase != Silent {
		r.touch(now, e)
		r.trackHeartbeat(e)
	}
	return e.instance, false
}

// RecordDeparture takes a server's word that it has ended. An instance of that id never comes back while its tombstone is kept, even where
// none was known.
func (r *Registry) RecordDeparture(now Seconds, id string) (merged Instance, news bool) {
	l := Instance{ID: id, Phase: Gone}
	if e := r.entries[id]; e != nil {
		l = e.instance
		l.Phase = Gone
	}
	return r.RecordHeartbeat(now, l)
}

// RecordRemoteHeartbeat takes word of another control node that it heard a call. What is not known here, or known better, stays.
func (r *Registry) RecordRemoteHeartbeat(now Seconds, id string, seq uint64) (merged Instance, news bool) {
	e := r.entries[id]
	if e == nil {
		return Instance{}, false
	}
	if e.instance.Phase == Gone || seq <= e.instance.Seq {
		return e.instance, false
	}
	old, l := e.instance, e.instance
	l.Seq = seq
	if l.Phase == Silent {
		l.Phase = Serving
	}
	r.update(now, e, l)
	return l, l.DiffersFrom(old)
}

// Merge takes instances that another process knows: a subscriber, after this node has lost its own, or another control node. They count as
// heard now. It returns those that are news here.
func (r *Registry) Merge(now Seconds, ls []Instance) (news []Instance) {
	for _, l := range ls {
		if !l.Valid() {
			continue
		}
		e := r.entries[l.ID]
		if e == nil {
			news = append(news, r.add(now, l).instance)
			continue
		}
		if old := e.instance; l.Supersedes(old) {
			r.update(now, e, l)
			if l.DiffersFrom(old) {
				news = append(news, l)
			}
		}
	}
	return news
}

// SetQuorum tells whether this node is up and hears more than half of the control nodes. Instances are judged only by one that has for as
// long as the patience.
func (r *Registry) SetQuorum(now Seconds, quorum bool) {
	if quorum && !r.hasQuorum {
		r.quorumSince = now
	}
	r.hasQuorum = quorum
}

// DetectSilent returns the instances that become silent now, and draining ones that become gone. It is to be asked a few times in each heartbeat: where
// it was not for a whole one, the process itself stood still, and its patience begins anew. A mass silence, of more than half of
// the instances and at least MassSilenceMinimum, is rather a cut of this node: nobody is judged until calls come again, from anyone,
// and then only who has not called for MassSilenceRecheckBeats heartbeats more.
func (r *Registry) DetectSilent(now Seconds) []Instance {
	if r.checked && now-r.lastCheck > r.heartbeatInterval {
		r.quorumSince = max(r.quorumSince, now)
	}
	r.lastCheck, r.checked = now, true
	patience := TimeoutHeartbeats * r.heartbeatInterval
	if !r.hasQuorum || now-r.quorumSince < patience {
		r.massTimeout = false
		return nil
	}
	serving := &r.phases[Serving]
	for r.cursor != nil && now-r.cursor.lastSeenAt >= patience {
		r.cursor.overdue = true
		r.overdue++
		r.cursor = r.cursor.phaseLinks.next
	}
	if !r.massTimeout && r.overdue >= MassTimeoutMinimum && 2*r.overdue > serving.length {
		r.massTimeout, r.callsResumed = true, false
	}
	if r.massTimeout {
		if !r.callsResumed || now-r.callsResumedAt < MassTimeoutRecheckHeartbeats*r.heartbeatInterval {
			return nil
		}
		r.massTimeout = false
	}
	var due []Instance
	for r.overdue > 0 {
		e := serving.first
		l := e.instance
		l.Phase = Silent
		r.update(now, e, l)
		due = append(due, l)
	}
	for leaving := &r.phases[Draining]; leaving.first != nil && now-leaving.first.lastSeenAt >= patience+DrainRetention; {
		e := leaving.first
		l := e.instance
		l.Phase = Gone
		r.update(now, e, l)
		due = append(due, l)
	}
	return due
}

// Expire forgets the instances that have been gone or silent for long, and returns their ids.
func (r *Registry) Expire(now Seconds) (ids []string) {
	for _, k := range [...]struct {
		Phase
		keep Seconds
	}{{Gone, TombstoneRetention}, {Silent, SilentRetention}} {
		for q := &r.phases[k.Phase]; q.first != nil && now-q.first.lastSeenAt >= k.keep; {
			ids = append(ids, q.first.instance.ID)
			r.remove(q.first)
		}
	}
	return ids
}

// HeartbeatsSince returns what was heard here behind a number, at most so many of the oldest, and the number to ask with next time. Numbers
// start behind 0. An instance that was heard more than once is in it once.
func (r *Registry) HeartbeatsSince(since uint64, most int) (heard []Heartbeat, last uint64) {
	e, n := r.heartbeats.last, 0
	for ; e != nil && e.heartbeatNumber > since; e = e.heartbeatLinks.prev {
		n++
	}
	if e == nil {
		e = r.heartbeats.first
	} else {
		e = e.heartbeatLinks.next
	}
	if n = min(n, most); n <= 0 {
		return nil, since
	}
	heard, last = make([]Heartbeat, 0, n), since
	for ; len(heard) < n; e = e.heartbeatLinks.next {
		heard = append(heard, Heartbeat{ID: e.instance.ID, Seq: e.instance.Seq})
		last = e.heartbeatNumber
	}
	return heard, last
}

func (r *Registry) add(now Seconds, l Instance) *entry {
	if len(r.entries) >= MaxInstances {
		for _, p := range [...]Phase{Gone, Silent, Draining, Serving} {
			if e := r.phases[p].first; e != nil {
				r.remove(e)
				break
			}
		}
	}
	e := &entry{instance: l, lastSeenAt: now}
	r.entries[l.ID] = e
	r.enqueue(e)
	if l.Phase == Serving || l.Phase == Draining {
		r.observeCall(now)
	}
	return e
}

// update gives an entry another instance of its id, heard now.
func (r *Registry) update(now Seconds, e *entry, l Instance) {
	r.dequeue(e)
	e.instance, e.lastSeenAt = l, now
	r.enqueue(e)
	if l.Phase == Serving || l.Phase == Draining {
		r.observeCall(now)
	} else if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
		e.heartbeatNumber = 0
	}
}

func (r *Registry) touch(now Seconds, e *entry) { r.update(now, e, e.instance) }

// observeCall notes that somebody observeCall, for the look at a mass silence.
func (r *Registry) observeCall(now Seconds) {
	if r.massTimeout && !r.callsResumed {
		r.callsResumed, r.callsResumedAt = true, now
	}
}

// trackHeartbeat notes that an entry was heard here.
func (r *Registry) trackHeartbeat(e *entry) {
	if e.instance.Phase >= Gone {
		return
	}
	if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
	}
	r.lastNumber++
	e.heartbeatNumber = r.lastNumber
	r.heartbeats.push(e)
}

func (r *Registry) enqueue(e *entry) {
	r.phases[e.instance.Phase].push(e)
	if e.instance.Phase == Serving && r.cursor == nil {
		r.cursor = e
	}
}

func (r *Registry) dequeue(e *entry) {
	if e.overdue {
		e.overdue = false
		r.overdue--
	}
	if r.cursor == e {
		r.cursor = e.phaseLinks.next
	}
	r.phases[e.instance.Phase].remove(e)
}

func (r *Registry) remove(e *entry) {
	if e.heartbeatNumber != 0 {
		r.heartbeats.remove(e)
	}
	r.dequeue(e)
	delete(r.entries, e.instance.ID)
}
