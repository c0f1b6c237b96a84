package quota

// serialBlocks is how many blocks of 64 serials each are remembered.
const serialBlocks = 8

// serialWindow is how many of the latest serials are remembered.
const serialWindow = serialBlocks * 64

// serials are those of the reports of a reporter that came: a ring of bits, one for each serial of the window that ends
// at highest.
type serials struct {
	highest uint64
	seen    [serialBlocks]uint64
}

// first reports whether a serial comes for the first time. One before the window counts as repeated.
func (s *serials) first(serial uint64) bool {
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

// advance moves the window up to a higher serial; the serials that are new in it have not come.
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
