package registry

// entry is an instance with its links in the queue of its phase and in the queue of heartbeats received by this node.
type entry struct {
	instance                   Instance
	lastSeenAt                 Seconds // time of the last heartbeat, merge or change of phase
	overdue                    bool    // counted in Registry.overdue
	heartbeatNumber            uint64  // number of the last heartbeat received by this node; 0 means none
	phaseLinks, heartbeatLinks links
}

// links are the neighbors of an entry in one queue.
type links struct{ prev, next *entry }

// queue is an intrusive list of entries, the oldest first.
type queue struct {
	first, last *entry
	length      int
	linksOf     func(*entry) *links
}

func phaseLinksOf(e *entry) *links     { return &e.phaseLinks }
func heartbeatLinksOf(e *entry) *links { return &e.heartbeatLinks }

// push appends an entry that is not in the queue.
func (q *queue) push(e *entry) {
	l := q.linksOf(e)
	l.prev, l.next = q.last, nil
	if q.last == nil {
		q.first = e
	} else {
		q.linksOf(q.last).next = e
	}
	q.last = e
	q.length++
}

// remove unlinks an entry from the queue.
func (q *queue) remove(e *entry) {
	l := q.linksOf(e)
	if l.prev == nil {
		q.first = l.next
	} else {
		q.linksOf(l.prev).next = l.next
	}
	if l.next == nil {
		q.last = l.prev
	} else {
		q.linksOf(l.next).prev = l.prev
	}
	l.prev, l.next = nil, nil
	q.length--
}
