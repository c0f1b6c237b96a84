package quotashare

// Customers returns the state of the known customers by name, as of the last tick.
func (a *Allocator) Customers() (all []Status) {
	for _, name := range a.customerNames() {
		all = append(all, a.status(a.lastTick, name, a.customers[name]))
	}
	return all
}

func (a *Allocator) status(now Seconds, name string, c *customer) Status {
	s := Status{
		Customer: name,
		Quota:    c.quota,
		Demand:   c.rate,
		Grant:    a.grant(now, name, c),
		Gateways: a.peerGateways(c),
	}
	for _, gateway := range s.Gateways {
		p := a.peers[gateway]
		if p == nil || now > p.lastContact+reportTTL {
			s.Silent = append(s.Silent, gateway)
		}
		if p == nil {
			continue
		}
		if rate := p.maxUsableLoan(now, name); rate > 0 {
			s.LentTo = append(s.LentTo, Loan{Peer: gateway, Rate: rate})
		}
		if rate := p.borrowed[name]; rate > 0 && now < p.borrowedUntil {
			s.BorrowedFrom = append(s.BorrowedFrom, Loan{Peer: gateway, Rate: rate})
		}
	}
	return s
}

// CounterTrusted reports whether the counter is trusted, and why it is distrusted. The reason is empty if the counter
// is trusted or there is none.
func (a *Allocator) CounterTrusted() (trusted bool, reason string) {
	return a.health.trusted, a.health.reason
}

// Rejected returns the number of messages that were rejected and changed nothing.
func (a *Allocator) Rejected() int { return a.rejected }

// WarnedServers returns the servers that enough other ingresses find unhealthy.
func (a *Allocator) WarnedServers() []string { return a.warned }
