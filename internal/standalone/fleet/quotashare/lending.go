package quotashare

import "mulleinrouter/internal/mutants"

const (
	demandHeadroom = 1.25 // a gateway needs this multiple of its demand
	ownHeadroom    = 1.15 // and keeps at least this multiple of it of its own share
)

// spare returns what a gateway with a demand can lend of its even share, in units a second.
func (c *customer) spare(demand float64) float64 {
	even := c.evenShare()
	return min(even*(1-ReservedShare), max(0, even-ownHeadroom*demand))
}

// need returns what a gateway with a demand needs beyond its even share, in units a second.
func (c *customer) need(demand float64) float64 {
	return max(0, demandHeadroom*demand-c.evenShare())
}

// lend decides how much of a customer's quota this gateway lends to which other one. Loans are in proportion
// to the needs beyond the even shares: all gateways compute them from the same reports.
func (a *Allocator) lend(now Seconds, name string, c *customer) {
	clear(c.lent)
	_, lendable := a.ownShare(now, c)
	if a.usesCounter(now, c) || lendable == 0 {
		return
	}
	ownSpare := min(lendable, c.spare(c.rate))
	totalSpare, totalNeed := c.spare(c.rate), 0.0
	gateways := a.peerGateways(c)
	for _, gateway := range gateways {
		if r, ok := c.reports[gateway]; ok && r.isBorrower(now) {
			totalSpare += c.spare(r.rate)
			totalNeed += c.need(r.rate)
		}
	}
	if ownSpare <= 0 || totalNeed <= 0 {
		return
	}
	// What one borrower may still believe to have is not lent to another: all of it together stays within lendable.
	available := lendable
	for _, gateway := range gateways {
		if p := a.peers[gateway]; p != nil {
			available -= p.maxBelieved(now, name)
		}
	}
	for _, gateway := range gateways {
		r, ok := c.reports[gateway]
		if !ok || !r.isBorrower(now) {
			continue
		}
		wanted := ownSpare * min(1, totalNeed/totalSpare) * c.need(r.rate) / totalNeed
		current := 0.0
		if p := a.peers[gateway]; p != nil {
			current = p.maxBelieved(now, name)
		}
		increase := min(max(0, available), max(0, wanted-current))
		if mutants.On("quotashare/lends-twice") {
			increase = max(0, wanted-current)
		}
		available -= increase
		c.lent[gateway] = min(wanted, current+increase)
	}
}
