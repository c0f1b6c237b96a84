package quotashare

import (
	"mulleinrouter/internal/mutants"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// peer is the state of another ingress.
type peer struct {
	incarnation      membership.Incarnation
	receivedSeq      uint64 // Seq of its latest message
	lastContact      Seconds
	counterTrusted   bool
	zone             string
	unhealthyServers []string

	borrowed      map[string]float64 // loans of the peer to this ingress, units a second by customer
	borrowedUntil Seconds            // end of the lease of these loans

	sentSeq    uint64        // Seq of the latest message to the peer
	sent       []sentMessage // recent messages to the peer; see isLoanUsable for their loans
	ackedSeq   uint64        // Seq of the latest of these that the peer has acknowledged
	nextSendAt Seconds
}

// sentMessage records a message to a peer and the loans in it.
type sentMessage struct {
	seq    uint64
	sentAt Seconds
	lent   map[string]float64 // units a second by customer
}

// isLoanUsable reports whether the peer may still use the loans in the message.
func (s sentMessage) isLoanUsable(now Seconds) bool { return now <= s.sentAt+ReclaimDelay }

// sentAt returns when a message was sent, if it is still remembered.
func (p *peer) sentAt(seq uint64) (at Seconds, known bool) {
	for _, s := range p.sent {
		if s.seq == seq {
			return s.sentAt, true
		}
	}
	return 0, false
}

// maxUsableLoan returns the greatest rate of a customer's quota that the peer may still use as a loan. That is the
// greatest loan in any message since the latest one that the peer has acknowledged, including that one, because this
// ingress doesn't know which of the later messages have arrived.
func (p *peer) maxUsableLoan(now Seconds, customer string) (rate float64) {
	for _, s := range p.sent {
		if s.seq < p.ackedSeq {
			continue
		}
		if s.isLoanUsable(now) && !mutants.On("quotashare/back-early") || now <= s.sentAt+LeaseDuration/3 {
			rate = max(rate, s.lent[customer])
		}
	}
	if mutants.On("quotashare/promise-last") && len(p.sent) > 0 {
		rate = p.sent[len(p.sent)-1].lent[customer]
	}
	return rate
}

// isIdle reports whether the peer can be removed, because neither it nor this ingress has sent a message for idleTTL.
func (p *peer) isIdle(now Seconds) bool {
	sentNothing := len(p.sent) == 0 || now > p.sent[len(p.sent)-1].sentAt+idleTTL
	return now > p.lastContact+idleTTL && sentNothing
}

func (p *peer) dropBorrowed() {
	p.borrowed = nil
	p.borrowedUntil = 0
}

// peer returns the state of another ingress, created if needed; nil if the name is invalid or there are too many peers.
func (a *Allocator) peer(name string) *peer {
	p := a.peers[name]
	if p == nil && name != "" && name != a.options.Name && len(name) <= maxNameBytes && len(a.peers) < maxPeers {
		p = &peer{}
		a.peers[name] = p
	}
	return p
}

// receive applies a message of another ingress. Messages with values out of range, outdated messages and those of
// earlier incarnations change nothing.
func (a *Allocator) receive(now Seconds, from string, m Message) {
	p := a.peer(from)
	incarnation := membership.IncarnationFromPair(m.Incarnation)
	if p == nil || p.incarnation.Newer(incarnation) || !isValidMessage(m) {
		a.rejected++
		return
	}
	if incarnation.Newer(p.incarnation) {
		// The loans of the peer's former process to this ingress end at once. Loans to that process end with their
		// leases.
		p.incarnation = incarnation
		p.receivedSeq = 0
		p.dropBorrowed()
	}
	if m.Seq <= p.receivedSeq {
		a.rejected++ // a duplicated, reordered or replayed message
		return
	}
	p.receivedSeq = m.Seq
	p.lastContact = now
	p.counterTrusted = m.CounterTrusted
	p.zone = m.Zone
	a.renewLease(now, p, m)
	for _, r := range m.Customers {
		if p.borrowed != nil && r.Lent > 0 {
			p.borrowed[r.Customer] = r.Lent
		}
		if c := a.customers[r.Customer]; c != nil && a.isGateway(c, from) {
			c.reports[from] = peerReport{at: now, rate: r.Rate, usesGrants: r.UsesGrants}
		}
		a.health.recordPeerTotals(from, r.Totals)
	}
	p.unhealthyServers = nil
	if m.isCredible() {
		p.unhealthyServers = m.UnhealthyServers
	}
}

// renewLease starts a new lease for the loans in a message. The lease starts when this ingress sent the message that
// the lender acknowledges, so it ends before the lender reclaims the loans, however long the lender's message took.
// Without an acknowledgement there is no lease.
func (a *Allocator) renewLease(now Seconds, p *peer, m Message) {
	p.dropBorrowed()
	acked := m.AckSeq
	if membership.IncarnationFromPair(m.AckIncarnation) != a.options.Incarnation || acked > p.sentSeq {
		acked = 0 // the message acknowledges an earlier process of this ingress, or nothing
	}
	p.ackedSeq = max(p.ackedSeq, acked)
	sentAt, known := p.sentAt(acked)
	if !known {
		return
	}
	p.borrowedUntil = sentAt + LeaseDuration
	if mutants.On("quotashare/lease-from-answer") {
		p.borrowedUntil = now + LeaseDuration
	}
	p.borrowed = map[string]float64{}
}

func isValidMessage(m Message) bool {
	if len(m.Customers) > maxCustomersPerMessage {
		return false
	}
	for _, r := range m.Customers {
		if !isValidRate(r.Rate) || !isValidRate(r.Lent) || len(r.Customer) > maxNameBytes {
			return false
		}
	}
	return true
}
