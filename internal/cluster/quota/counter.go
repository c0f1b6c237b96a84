package quota

import (
	"math"
)

type counter struct {
	name         string
	newer, older *counter
	used, keep   float64
	holders      map[string]*holder

	// What Add last made out, for one cycle. It holds until then, when the first late holder falls out.
	cycle int64
	sum   float64
	count int
	till  float64
}

// holder is what a holder told for the newest cycle it told of, and for the one before.
type holder struct {
	at                    float64
	cycle, earlierCycle   int64
	amount, earlierAmount float64
	hasEarlier            bool // before is a cycle
	serials               *serials
}

// serials are those of the adds of a holder that came: all up to the top, but for the unset bits.
type serials struct {
	top  uint64
	seen [serialWords]uint64
}

// add keeps a report, and corrects the sum that is at hand by the difference.
func (c *counter) add(now float64, r *Report) {
	h := c.holders[r.Reporter]
	if h == nil {
		if len(c.holders) >= MaxReporters {
			c.evict()
		}
		h = &holder{at: now, cycle: r.Cycle}
		if r.PerRequest {
			h.serials = &serials{}
		}
		c.holders[r.Reporter] = h
	} else if now < c.till {
		if amount, counts, _ := h.counts(now, c.cycle); counts {
			c.sum -= amount
			c.count--
		}
	}
	h.update(now, r)
	if now < c.till {
		if amount, counts, till := h.counts(now, c.cycle); counts {
			c.sum += amount
			c.count++
			c.till = min(c.till, till)
		}
	}
}

// update takes a report of this holder. One for a cycle before the two that are kept is too late for anybody to read.
func (h *holder) update(now float64, r *Report) {
	if r.PerRequest {
		if h.serials == nil {
			h.serials = &serials{}
		}
		if !h.serials.first(r.Serial) {
			return
		}
	}
	amount := r.Amount
	switch {
	case r.Cycle > h.cycle:
		h.earlierCycle, h.earlierAmount, h.hasEarlier = h.cycle, h.amount, true
		h.cycle, h.amount, h.at = r.Cycle, amount, now
	case r.Cycle == h.cycle:
		if r.PerRequest {
			amount += h.amount
		}
		h.amount, h.at = amount, now
	case !h.hasEarlier || r.Cycle >= h.earlierCycle:
		if r.PerRequest && h.hasEarlier && r.Cycle == h.earlierCycle {
			amount += h.earlierAmount
		}
		h.earlierCycle, h.earlierAmount, h.hasEarlier = r.Cycle, amount, true
	}
}

// counts returns what a holder counts in a cycle, whether it does, and until when.
func (h *holder) counts(now float64, cycle int64) (amount float64, counts bool, till float64) {
	switch {
	case h.cycle == cycle:
		return h.amount, true, math.Inf(1)
	case h.hasEarlier && h.earlierCycle == cycle:
		return h.earlierAmount, true, math.Inf(1)
	case h.serials != nil:
		return 0, false, math.Inf(1)
	}
	return h.amount, now < h.at+LateReportRetention, h.at + LateReportRetention
}

// total sums a cycle up. That of the newest cycle is kept, so that many holders can ask for it.
func (c *counter) total(now float64, cycle int64) (sum float64, holders int) {
	if now < c.till && cycle == c.cycle {
		return c.sum, c.count
	}
	till, newest := math.Inf(1), cycle
	for name, r := range c.holders {
		newest = max(newest, r.cycle)
		a, counts, t := r.counts(now, cycle)
		if counts {
			sum += a
			holders++
			till = min(till, t)
		} else if now >= r.at+max(c.keep, LateReportRetention) {
			delete(c.holders, name)
		}
	}
	if cycle == newest {
		c.cycle, c.sum, c.count, c.till = cycle, sum, holders, till
	}
	return sum, holders
}

// evict drops the holder that told longest ago.
func (c *counter) evict() {
	worst, at := "", math.Inf(1)
	for name, r := range c.holders {
		if r.at < at || r.at == at && name < worst {
			worst, at = name, r.at
		}
	}
	delete(c.holders, worst)
	c.till = math.Inf(-1)
}

// first tells whether a serial comes for the first time. One far behind the others is taken for known.
func (s *serials) first(serial uint64) bool {
	if serial > s.top {
		// The ring holds the past*64 serials up to the top; those that are new in it have not come.
		if serial-s.top >= serialWords*64 {
			s.seen = [serialWords]uint64{}
		} else {
			for n := s.top + 1; n <= serial; n++ {
				s.seen[n/64%serialWords] &^= 1 << (n % 64)
			}
		}
		s.top = serial
	} else if s.top-serial >= serialWords*64 {
		return false
	}
	bit := uint64(1) << (serial % 64)
	word := &s.seen[serial/64%serialWords]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}
