package connlimit

import "container/list"

const (
	reservedForNew       = 16 // slots that no call in flight may use: new connections are read there
	reservedForOperators = 32 // further slots that only calls of operators may use
	// Further slots that of servers' calls only those may use whose bodies have arrived: a departure may be among them.
	reservedForPrompt = 64
	minSlots          = 256
	minControlSlots   = 128 // slots that internal connections never use
	reservedForFiles  = 200 // descriptors of files outside the data folder (the platform's rule)
	reservedForNode   = 140 // descriptors of the data folder, peers, listeners, and sockets that are being closed
	defaultFDs        = 1024
)

// Admission is the decision on a call whose header has been read.
type Admission int

// The decisions on a call.
const (
	Admitted         Admission = iota
	AdmittedIfPrompt           // admitted on condition that its body arrives at once
	Rejected                   // too many calls are in flight
	Evicted                    // its connection has been evicted meanwhile
)

// slots decides which connections a node keeps: those of servers and operators, and how many internal ones (of
// agents and control nodes), which share its descriptors. A new connection of a server or operator is always
// accepted: at the limit, the one that has been idle longest is evicted, never one with a call in flight. It
// does no I/O and needs no clock: time is the order of the calls.
//
// Invariants:
//
//	internal + inFlight + idle ≤ limit
//	internal + inFlight ≤ limit - reservedForNew
//	internal ≤ internalLimit ≤ limit - minControlSlots
type slots struct {
	limit         int
	internalLimit int
	internal      int
	inFlight      int
	idle          list.List // of *slot, the one that has been idle longest first
}

// slot is one connection of a server or an operator. It is idle, has a call in flight, or is closed.
type slot struct {
	element  *list.Element // in slots.idle; nil: a call is in flight, or the connection is closed
	inFlight bool
	close    func() error // called by Gate, never by slots
}

// newSlots computes the limits from the descriptors that the process may open; 0: unknown.
func newSlots(maxFDs int) *slots {
	if maxFDs == 0 {
		maxFDs = defaultFDs
	}
	s := &slots{limit: max(minSlots, maxFDs-reservedForFiles-reservedForNode)}
	s.internalLimit = s.limit - max(minControlSlots, s.limit/8)
	return s
}

// total is the number of connections, internal ones included.
func (s *slots) total() int { return s.internal + s.inFlight + s.idle.Len() }

// evictIfFull removes the connection that has been idle longest if the limit is reached, and returns it to be
// closed; nil: none.
func (s *slots) evictIfFull() (evicted *slot) {
	if s.total() < s.limit {
		return nil
	}
	evicted = s.idle.Front().Value.(*slot)
	s.remove(evicted)
	return evicted
}

// add accepts a new connection, and returns the one evicted for it; nil: none.
func (s *slots) add(c *slot) (evicted *slot) {
	evicted = s.evictIfFull()
	c.element = s.idle.PushBack(c)
	return evicted
}

// addInternal accepts an internal connection if the limits allow it.
func (s *slots) addInternal() (evicted *slot, ok bool) {
	if s.internal >= s.internalLimit || s.internal+s.inFlight >= s.limit-reservedForNew {
		return nil, false
	}
	evicted = s.evictIfFull()
	s.internal++
	return evicted, true
}

func (s *slots) removeInternal() { s.internal-- }

// touch records that a call has begun to arrive.
func (s *slots) touch(c *slot) {
	if c.element != nil {
		s.idle.MoveToBack(c.element)
	}
}

// beginCall decides on a call whose header has been read. If it is rejected, its connection stays idle.
func (s *slots) beginCall(c *slot, byOperator bool) Admission {
	admission := s.admit(byOperator)
	if c.element == nil {
		return Evicted
	}
	if admission == Admitted || admission == AdmittedIfPrompt {
		s.idle.Remove(c.element)
		c.element = nil
		c.inFlight = true
		s.inFlight++
	}
	return admission
}

// admit decides on one more call by the free slots.
func (s *slots) admit(byOperator bool) Admission {
	free := s.limit - reservedForNew - s.internal - s.inFlight
	switch {
	case free <= 0:
		return Rejected
	case byOperator || free > reservedForOperators+reservedForPrompt:
		return Admitted
	case free > reservedForOperators:
		return AdmittedIfPrompt
	}
	return Rejected
}

// finishCall records that the call in flight, if any, has been answered.
func (s *slots) finishCall(c *slot) {
	if c.inFlight {
		s.inFlight--
		c.inFlight = false
		c.element = s.idle.PushBack(c)
	}
}

// remove records that a connection is closed; it may be called more than once.
func (s *slots) remove(c *slot) {
	switch {
	case c.inFlight:
		s.inFlight--
		c.inFlight = false
	case c.element != nil:
		s.idle.Remove(c.element)
		c.element = nil
	}
}
