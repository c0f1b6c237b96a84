package quota

// serialBlocks is the number of remembered blocks of 64 serials each.
const serialBlocks = 8

// serialWindow is the number of the latest serials that are remembered. A new report whose serial is this much or more
// below the highest received one counts as repeated, and its amount is lost.
const serialWindow = serialBlocks * 64

// serials records which serials of a reporter have been received: a ring of bits, one for each serial of the window
// that ends at highest.
type serials struct {
	highest uint64
	seen    [serialBlocks]uint64
}

// record records a serial and reports whether it is new. A serial before the window counts as repeated.
func (s *serials) record(serial uint64) bool {
	if serial > s.highest {
		s.advance(serial)
	} else if s.highest-serial >= serialWindow {
		return false
	}
	bit := uint64(1) << (serial % 64)
	block := &s.seen[serial/64%serialBlocks]
	if *block&bit != 0 {
		return false
	}
	*block |= bit
	return true
}

// advance moves the window up to a higher serial. The serials that enter the window count as not received.
func (s *serials) advance(serial uint64) {
	if serial-s.highest >= serialWindow {
		s.seen = [serialBlocks]uint64{}
	} else {
		for n := s.highest + 1; n <= serial; n++ {
			s.seen[n/64%serialBlocks] &^= 1 << (n % 64)
		}
	}
	s.highest = serial
}
