package connlimit

import "container/list"

// Shares of the slots and of the file descriptors. A slot is one open connection.
const (
	// reservedForNew slots are never used by calls in flight or internal connections, so that a node can always read
	// the header of a new call.
	reservedForNew = 16
	// reservedForOperators further slots are used, among calls, only by those of operators.
	reservedForOperators = 32
	// reservedForPrompt further slots are used, among the calls of servers and applications, only by those whose bodies
	// arrive at once, because such a call may announce a departure.
	reservedForPrompt = 64
	minSlots          = 256  // least number of slots, even if the process may open fewer descriptors
	minControlSlots   = 128  // least number of slots that internal connections never use
	reservedForFiles  = 200  // descriptors of files outside the data folder (a rule of the platform)
	reservedForNode   = 140  // descriptors of the data folder, peers, listeners, and sockets that are being closed
	defaultFDs        = 1024 // descriptors that are assumed if the limit of the process is unknown
)

// Admission is the decision on a call whose header has been read.
type Admission int

// The decisions on a call.
const (
	Admitted         Admission = iota
	AdmittedIfPrompt           // the call is admitted on condition that its body arrives at once
	Rejected                   // too many calls are in flight
	Evicted                    // the connection has been evicted in the meantime
)

// slots decides which HTTP connections (of servers, operators and applications) a node keeps, and how many internal
// connections (of agents and control nodes) it accepts, because all of them share its descriptors. A new HTTP
// connection is always accepted. If the limit is reached, the connection that has been idle longest is evicted for it,
// never one with a call in flight. slots does no I/O and needs no clock, because only the order of its method calls
// matters.
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
	idle          list.List // *slot values, sorted by idle time, longest first
}

// slot is one HTTP connection. It is idle, has a call in flight, or is closed.
type slot struct {
	element  *list.Element // element of slots.idle; nil if a call is in flight or the connection is closed
	inFlight bool
	close    func() error // called by Gate, never by slots
}

// newSlots computes the limits from the number of descriptors that the process may open; 0 means unknown. Internal
// connections leave an eighth of the slots, and at least minControlSlots, to HTTP connections.
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

// evictIfFull removes the connection that has been idle longest if the limit is reached, and returns it for the caller
// to close, or nil if none was evicted. An idle connection always exists when the limit is reached, because calls in
// flight and internal connections leave reservedForNew slots.
func (s *slots) evictIfFull() (evicted *slot) {
	if s.total() < s.limit {
		return nil
	}
	evicted = s.idle.Front().Value.(*slot)
	s.remove(evicted)
	return evicted
}

// add accepts a new connection, and returns the connection that was evicted for it, or nil if none was.
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

// touch records that a call has begun to arrive, so that its connection is evicted last.
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

// admit decides on one more call by the number of free slots.
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

// remove records that a connection is closed. It may be called more than once.
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
