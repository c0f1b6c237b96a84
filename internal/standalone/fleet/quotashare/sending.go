package quotashare

import "slices"

const (
	fastSendInterval = 0.25 // seconds between messages to a peer while loans or grants are in use
	slowSendInterval = 1.0  // seconds between messages to a peer otherwise
)

// sendMessages sends each other gateway the reports on the customers that it shares with this ingress. The messages
// also carry this ingress's votes against servers, which go to some further ingresses in turn.
func (a *Allocator) sendMessages(now Seconds, alive []string) (actions []Action) {
	reports := a.customerReports(now, alive)
	receivers := map[string]bool{}
	for name := range reports {
		receivers[name] = true
	}
	for _, name := range a.voteReceivers(alive) {
		receivers[name] = true
	}
	for _, name := range sortedKeys(receivers) {
		p := a.peer(name)
		if p == nil || now < p.nextSendAt {
			continue
		}
		p.nextSendAt = now + p.sendInterval(now, reports[name])
		actions = append(actions, SendMessage{To: name, Message: a.newMessage(now, p, reports[name])})
	}
	return actions
}

// customerReports returns the reports for each other gateway that is alive. Once a gateway has maxCustomersPerMessage
// reports, only reports with a loan are added. newMessage omits these from the message, so their loans are not made.
func (a *Allocator) customerReports(now Seconds, alive []string) map[string][]CustomerReport {
	isAlive := make(map[string]bool, len(alive))
	for _, name := range alive {
		isAlive[name] = true
	}
	reports := map[string][]CustomerReport{}
	for _, customerName := range a.customerNames() {
		c := a.customers[customerName]
		totals := a.health.ownTotals(now, customerName)
		usesGrants := !a.usesCounter(now, c)
		for _, gateway := range a.peerGateways(c) {
			if !isAlive[gateway] {
				continue
			}
			r := CustomerReport{
				Customer:   customerName,
				Rate:       c.rate,
				Lent:       c.lent[gateway],
				Totals:     totals,
				UsesGrants: usesGrants,
			}
			if len(reports[gateway]) < maxCustomersPerMessage || r.Lent > 0 {
				reports[gateway] = append(reports[gateway], r)
			}
		}
	}
	return reports
}

// sendInterval returns the time until the next message to a peer, in seconds.
func (p *peer) sendInterval(now Seconds, reports []CustomerReport) Seconds {
	if slices.ContainsFunc(reports, func(r CustomerReport) bool { return r.UsesGrants }) {
		return fastSendInterval
	}
	if slices.ContainsFunc(p.sent, func(s sentMessage) bool { return len(s.lent) > 0 && s.isLoanUsable(now) }) {
		return fastSendInterval
	}
	return slowSendInterval
}

// newMessage returns the next message to a peer, and remembers the loans in it for longer than the peer may use them.
func (a *Allocator) newMessage(now Seconds, p *peer, reports []CustomerReport) Message {
	p.sentSeq++
	m := Message{
		Incarnation:      a.options.Incarnation.Pair(),
		Seq:              p.sentSeq,
		AckSeq:           p.receivedSeq,
		AckIncarnation:   p.incarnation.Pair(),
		CounterTrusted:   a.health.trusted,
		Zone:             a.options.Zone,
		UnhealthyServers: a.unhealthyServers,
		ServerCount:      a.serverCount,
	}
	s := sentMessage{seq: p.sentSeq, sentAt: now, lent: map[string]float64{}}
	for _, r := range reports[:min(len(reports), maxCustomersPerMessage)] {
		m.Customers = append(m.Customers, r)
		if r.Lent > 0 {
			s.lent[r.Customer] = r.Lent
		}
	}
	p.sent = slices.DeleteFunc(append(p.sent, s), func(s sentMessage) bool { return now > s.sentAt+2*ReclaimDelay })
	if excess := len(p.sent) - maxSentMessages; excess > 0 {
		p.sent = slices.Delete(p.sent, 0, excess)
	}
	return m
}
