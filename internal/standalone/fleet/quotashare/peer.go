package quotashare

import (
	"mulleinrouter/internal/mutants"
	"mulleinrouter/internal/standalone/fleet/membership"
)

// peer is what is known of another ingress.
type peer struct {
	incarnation      membership.Incarnation
	receivedSeq      uint64 // of its latest message
	lastContact      Seconds
	counterTrusted   bool
	zone             string
	unhealthyServers []string

	borrowed      map[string]float64 // units a second by customer
	borrowedUntil Seconds            // when the lease of these ends

	sentSeq    uint64        // of the latest message to it
	sent       []sentMessage // messages by which it may still use a loan
	ackedSeq   uint64        // the latest of these that it acknowledged
	nextSendAt Seconds
}

// sentMessage is a message to a peer, as far as it lent something.
type sentMessage struct {
	seq    uint64
	sentAt Seconds
	lent   map[string]float64 // units a second by customer
}

// mayBeUsed reports whether the peer may still use what the message lent.
func (s sentMessage) mayBeUsed(now Seconds) bool { return now <= s.sentAt+ReclaimDelay }

// sentAt returns when a remembered message was sent.
func (p *peer) sentAt(seq uint64) (at Seconds, known bool) {
	for _, s := range p.sent {
		if s.seq == seq {
			return s.sentAt, true
		}
	}
	return 0, false
}

// maxBelieved is the greatest rate of a customer that the peer may believe to be lent to it: that of any message since
// the latest one that it acknowledged.
func (p *peer) maxBelieved(now Seconds, customer string) (rate float64) {
	for _, s := range p.sent {
		if s.seq < p.ackedSeq {
			continue
		}
		if s.mayBeUsed(now) && !mutants.On("quotashare/back-early") || now <= s.sentAt+LeaseDuration/3 {
			rate = max(rate, s.lent[customer])
		}
	}
	if mutants.On("quotashare/promise-last") && len(p.sent) > 0 {
		rate = p.sent[len(p.sent)-1].lent[customer]
	}
	return rate
}

// isIdle reports whether the peer can be removed: neither it nor this ingress sent anything for a while.
func (p *peer) isIdle(now Seconds) bool {
	sentNothing := len(p.sent) == 0 || now > p.sent[len(p.sent)-1].sentAt+idleTTL
	return now > p.lastContact+idleTTL && sentNothing
}

func (p *peer) dropBorrowed() {
	p.borrowed = nil
	p.borrowedUntil = 0
}

// peer returns the state of another ingress, created if needed; nil if the name is invalid or there are too many.
func (a *Allocator) peer(name string) *peer {
	p := a.peers[name]
	if p == nil && name != "" && name != a.options.Name && len(name) <= maxNameBytes && len(a.peers) < maxPeers {
		p = &peer{}
		a.peers[name] = p
	}
	return p
}

// receive applies another ingress's message. Values out of range, old messages and those of earlier incarnations
// change nothing.
func (a *Allocator) receive(now Seconds, from string, m Message) {
	p := a.peer(from)
	incarnation := membership.IncarnationFromPair(m.Incarnation)
	if p == nil || p.incarnation.Newer(incarnation) || !isValidMessage(m) {
		a.rejected++
		return
	}
	if incarnation.Newer(p.incarnation) {
		// What the former process lent ended with it. What it borrowed ends with its lease.
		p.incarnation = incarnation
		p.receivedSeq = 0
		p.dropBorrowed()
	}
	if m.Seq <= p.receivedSeq {
		a.rejected++ // duplicated, reordered or replayed
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

// renewLease begins a new lease of what a message lends. The lease counts from the sending of the message that the
// lender acknowledges, so it ends before the lender reclaims, however long the message took. Without an
// acknowledgement there is no lease.
func (a *Allocator) renewLease(now Seconds, p *peer, m Message) {
	p.dropBorrowed()
	acked := m.AckSeq
	if membership.IncarnationFromPair(m.AckIncarnation) != a.options.Incarnation || acked > p.sentSeq {
		acked = 0 // it acknowledges an earlier process of this ingress, or nothing
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
