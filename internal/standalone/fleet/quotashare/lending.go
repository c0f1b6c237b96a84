package quotashare

import "mulleinrouter/internal/mutants"

const (
	demandHeadroom = 1.25 // multiple of its demand up to which a gateway borrows
	ownHeadroom    = 1.15 // multiple of its demand that a gateway keeps of its own share
)

// spare returns the part of its even share that a gateway with the given demand can lend, in units a second.
func (c *customer) spare(demand float64) float64 {
	even := c.evenShare()
	return min(even*(1-ReservedShare), max(0, even-ownHeadroom*demand))
}

// need returns the rate that a gateway with the given demand needs beyond its even share, in units a second.
func (c *customer) need(demand float64) float64 {
	return max(0, demandHeadroom*demand-c.evenShare())
}

// lend decides how much of a customer's quota this gateway lends to each other gateway. Loans are proportional to the
// needs beyond the even shares. All gateways compute them from the same reports, so that together their loans match the
// needs.
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
	// A loan that one borrower may still use is not lent to another, so the sum of all loans stays within lendable.
	available := lendable
	for _, gateway := range gateways {
		if p := a.peers[gateway]; p != nil {
			available -= p.maxUsableLoan(now, name)
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
			current = p.maxUsableLoan(now, name)
		}
		increase := min(max(0, available), max(0, wanted-current))
		if mutants.On("quotashare/lends-twice") {
			increase = max(0, wanted-current)
		}
		available -= increase
		c.lent[gateway] = min(wanted, current+increase)
	}
}
