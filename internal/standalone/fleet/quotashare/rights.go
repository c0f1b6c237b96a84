// Package quotashare decides what ingresses share of their state, such that a part of a fleet which hears nothing stays within a stated
// bound. Three kinds, each with what it needs:
//
//   - Quotas are rights that are lent for a time (this file). While the counter is not to be trusted each door of a member has its
//     even part, and lends of it what it does not use to doors that need more. Whoever lends lets go first; a loan ends by the
//     borrower's own clock before its lender counts on it again. The rights of all doors never sum to more than the quota.
//   - The counter's health is concluded from its answers and from what other doors say they have added (health.go).
//   - Judgements on quote servers are votes: they make an ingress more careful and never less (votes.go).
//
// It does no I/O, reads no clock and starts no goroutine: Book.Step takes an event and the time and gives actions. Times are
// seconds of the host's monotonic clock.
package quotashare

import (
	"math"
	"slices"
)

// The times, in seconds, and the bounds.
const (
	// LeaseDuration is for how long a borrower may use a loan behind the sending of the message that its lender answered with it.
	LeaseDuration = 3.0
	// MaxClockDrift bounds how much faster or slower than another a clock runs.
	MaxClockDrift = 0.05
	leaseMargin   = 0.1
	// ReclaimDelay is how long a lender waits behind its last word of a loan before it counts on it again.
	ReclaimDelay = LeaseDuration*(1+MaxClockDrift)/(1-MaxClockDrift) + leaseMargin

	// ReservedShare is the part of a door's even part that it never lends: its own from the first moment of its process on, for nobody
	// can have been promised it by a process before.
	ReservedShare          = 0.25
	fastSendInterval       = 0.25 // words to the other doors while something is lent or the counter is not trusted
	slowSendInterval       = 1.0
	reportTTL              = 2.0  // a door's word is believed so long
	demandHeadroom         = 1.25 // of what is asked at a door: what it would have
	ownHeadroom            = 1.15 // what it keeps of its own
	idleTTL                = 30.0 // a member without requests is forgotten
	maxSentMessages        = 64   // words to a door that are remembered
	maxCustomersPerMessage = 2000 // members of a word
	maxPeers               = 1024
	maxNameBytes           = 64
	maxRate                = 1e9 // units a second: more is no figure
	maxCustomers           = 20000
)

// Allocator is what one ingress knows. It is not safe for use by several goroutines.
type Allocator struct {
	options          Options
	startedAt        Seconds
	lastTick         Seconds
	customers        map[string]*customer
	peers            map[string]*peer
	ingresses        map[int]string
	health           counterHealth
	nameLost         bool
	unhealthyServers []string
	serverCount      int
	warned           []string
	grantsPublished  bool // something was held at the last tick
	rejected         int
	voteTurn         int
}

// New returns what a process knows that begins.
func New(now Seconds, o Options) *Allocator {
	return &Allocator{options: o, startedAt: now, lastTick: now, customers: map[string]*customer{}, peers: map[string]*peer{}, ingresses: map[int]string{},
		health: newCounterHealth(now, o.HasCounter)}
}

// Step takes an event.
func (b *Allocator) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Demand:
		b.addDemand(now, e)
	case Received:
		b.receive(now, e.From, e.Message)
	case CounterCall:
		b.health.callStarted(now, e)
	case CounterAnswer:
		return b.health.callAnswered(now, e)
	case Paused:
		for _, p := range b.peers {
			p.borrowed, p.borrowedUntil = nil, 0
		}
	case NameLost:
		b.nameLost = true
	case Tick:
		return b.tick(now, e)
	}
	return nil
}

func isValidRate(rate float64) bool { return rate >= 0 && rate <= maxRate } // NaN is neither

func (b *Allocator) addDemand(now Seconds, e Demand) {
	m := b.customers[e.Customer]
	if m == nil {
		if len(b.customers) >= maxCustomers || e.Gateways < 2 || e.Quota <= 0 || len(e.Customer) > maxNameBytes {
			return
		}
		m = &customer{ratedAt: now, reports: map[string]peerReport{}, lent: map[string]float64{}}
		b.customers[e.Customer] = m
	}
	m.firstGateway, m.gateways, m.quota, m.lastDemand = e.FirstGateway, e.Gateways, e.Quota, now
	m.pendingUnits += e.Units
}

// receive takes another ingress's word: figures out of range, older words and older starts of it change nothing.
func (b *Allocator) receive(now Seconds, from string, w Message) {
	p := b.peer(from)
	claim := Incarnation{w.Incarnation[0], w.Incarnation[1]}
	if p == nil || len(w.Customers) > maxCustomersPerMessage || p.incarnation.Newer(claim) {
		b.rejected++
		return
	}
	for _, l := range w.Customers {
		if !isValidRate(l.Rate) || !isValidRate(l.Lent) || len(l.Customer) > maxNameBytes {
			b.rejected++
			return
		}
	}
	if claim.Newer(p.incarnation) { // what its former process lent is gone with it, and what it was lent too, once that has lapsed
		p.incarnation, p.receivedSeq, p.borrowed, p.borrowedUntil = claim, 0, nil, 0
	}
	if w.Seq <= p.receivedSeq {
		b.rejected++ // doubled, late or replayed
		return
	}
	p.receivedSeq, p.lastContact, p.counterTrusted, p.zone = w.Seq, now, w.CounterTrusted, w.Zone
	p.borrowed, p.borrowedUntil = nil, 0
	if (Incarnation{w.AckIncarnation[0], w.AckIncarnation[1]}) != b.options.Incarnation || w.AckSeq > p.sentSeq {
		w.AckSeq = 0 // to an earlier process of this ingress, or to nobody
	}
	p.ackedSeq = max(p.ackedSeq, w.AckSeq)
	if at, known := p.sentAt(w.AckSeq); known {
		p.borrowedUntil = at + LeaseDuration
		if mutated("lease-from-answer") {
			p.borrowedUntil = now + LeaseDuration
		}
		p.borrowed = map[string]float64{}
	}
	for _, l := range w.Customers {
		if p.borrowed != nil && l.Lent > 0 {
			p.borrowed[l.Customer] = l.Lent
		}
		if m := b.customers[l.Customer]; m != nil && b.isGateway(m, from) {
			m.reports[from] = peerReport{now, l.Rate, l.UsesGrants}
		}
		b.health.recordPeerTotals(now, from, l.Totals)
	}
	p.unhealthyServers = nil
	if len(w.UnhealthyServers) <= max(1, w.ServerCount)/3 && len(w.UnhealthyServers) <= maxVotesPerPeer { // who accuses more than a third accuses itself
		p.unhealthyServers = w.UnhealthyServers
	}
}

func (b *Allocator) peer(name string) *peer {
	p := b.peers[name]
	if p == nil && name != "" && name != b.options.Name && len(name) <= maxNameBytes && len(b.peers) < maxPeers {
		p = &peer{}
		b.peers[name] = p
	}
	return p
}

func (b *Allocator) isGateway(m *customer, name string) bool {
	for i := range m.gateways {
		if b.ingresses[(m.firstGateway+i)%max(1, b.options.Ingresses)] == name {
			return true
		}
	}
	return false
}

// peerGateways are the other doors of a member that are known, in order.
func (b *Allocator) peerGateways(m *customer) (names []string) {
	for i := range m.gateways {
		if n := b.ingresses[(m.firstGateway+i)%max(1, b.options.Ingresses)]; n != "" && n != b.options.Name && !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

// usesCounter tells whether a member's quota goes by the counter: this ingress trusts it, and each other door that is heard does.
// One that does not must not be alone among doors that go by totals without it.
func (b *Allocator) usesCounter(now Seconds, m *customer) bool {
	if !b.health.trusted {
		return false
	}
	for _, o := range b.peerGateways(m) {
		if p := b.peers[o]; p != nil && now < p.lastContact+reportTTL && !p.counterTrusted {
			return false
		}
	}
	return true
}

// ownShare is a door's own part: all of it, once nobody can have been promised any of it by a process before.
func (b *Allocator) ownShare(now Seconds, m *customer) (home, lendable float64) {
	even := m.quota / float64(m.gateways)
	if b.nameLost || now < b.startedAt+ReclaimDelay && !mutated("promises-forgotten") {
		return even * ReservedShare, 0
	}
	return even, even * (1 - ReservedShare)
}

// grant is what this ingress has of a member's quota while the counter is not trusted.
func (b *Allocator) grant(now Seconds, name string, m *customer) float64 {
	x, _ := b.ownShare(now, m)
	for _, o := range b.peerGateways(m) {
		p := b.peers[o]
		if p == nil {
			continue
		}
		if !mutated("give-after-take") {
			x -= p.maxBelieved(now, name)
		}
		if now < p.borrowedUntil || mutated("loan-for-ever") {
			x += p.borrowed[name]
		}
	}
	return max(0, x)
}

// lend decides what of a member's own part goes to which door: in proportion to what they need beyond their even parts, as all
// doors reckon it from the same words.
func (b *Allocator) lend(now Seconds, name string, m *customer) {
	clear(m.lent)
	_, lendable := b.ownShare(now, m)
	if b.usesCounter(now, m) || lendable == 0 {
		return
	}
	even := m.quota / float64(m.gateways)
	spare := func(rate float64) float64 { return min(even*(1-ReservedShare), max(0, even-ownHeadroom*rate)) }
	mine := min(lendable, spare(m.rate))
	total, needs := spare(m.rate), 0.0
	for _, o := range b.peerGateways(m) {
		if l, ok := m.reports[o]; ok && now < l.at+reportTTL && l.usesGrants {
			total += spare(l.rate)
			needs += max(0, demandHeadroom*l.rate-even)
		}
	}
	if mine <= 0 || needs <= 0 {
		return
	}
	// What one borrower may still believe it has is not lent to another: all of it together stays within what may be lent.
	room := lendable
	for _, o := range b.peerGateways(m) {
		if p := b.peers[o]; p != nil {
			room -= p.maxBelieved(now, name)
		}
	}
	for _, o := range b.peerGateways(m) {
		l, ok := m.reports[o]
		if !ok || now >= l.at+reportTTL || !l.usesGrants {
			continue
		}
		want, had := mine*min(1, needs/total)*max(0, demandHeadroom*l.rate-even)/needs, 0.0
		if p := b.peers[o]; p != nil {
			had = p.maxBelieved(now, name)
		}
		more := min(max(0, room), max(0, want-had))
		if mutated("lends-twice") {
			more = max(0, want-had)
		}
		room -= more
		m.lent[o] = min(want, had+more)
	}
}

// tick lets go, lends, speaks, and sets what this ingress has.
func (b *Allocator) tick(now Seconds, e Tick) (actions []Action) {
	b.lastTick, b.ingresses, b.unhealthyServers, b.serverCount = now, e.Ingresses, e.UnhealthyServers, e.ServerCount
	actions = b.health.tick(now)
	for name, m := range b.customers {
		if now > m.lastDemand+idleTTL {
			delete(b.customers, name)
			continue
		}
		if span := now - m.ratedAt; span >= 0.5 {
			m.rate += (1 - math.Exp(-span/2)) * (m.pendingUnits/span - m.rate)
			m.pendingUnits, m.ratedAt = 0, now
		}
		for o, l := range m.reports {
			if now > l.at+idleTTL {
				delete(m.reports, o)
			}
		}
		b.lend(now, name, m)
	}
	for name, p := range b.peers {
		if now > p.lastContact+idleTTL && (len(p.sent) == 0 || now > p.sent[len(p.sent)-1].sentAt+idleTTL) {
			delete(b.peers, name)
		}
	}
	actions = append(actions, b.sendMessages(now, e.AlivePeers)...)
	// Behind the words: what they promise is let go of before it can be used elsewhere.
	actions = append(actions, b.publishGrants(now)...)
	if warn := b.suspectServers(now); !slices.Equal(warn, b.warned) {
		b.warned = warn
		actions = append(actions, WarnServers{warn})
	}
	return actions
}

// publishGrants sets what the module goes by. Where the counter is trusted it goes by its own slices, less what is still lent.
func (b *Allocator) publishGrants(now Seconds) []Action {
	h := SetGrants{Until: now + 1}
	if mutated("held-for-ever") {
		h.Until = math.Inf(1)
	}
	for _, name := range b.customerNames() {
		m := b.customers[name]
		even := m.quota / float64(m.gateways)
		if !b.usesCounter(now, m) {
			h.Grants = append(h.Grants, QuotaGrant{Customer: name, Rate: b.grant(now, name, m), Keep: even * ReservedShare})
			continue
		}
		less := 0.0
		for _, o := range b.peerGateways(m) {
			if p := b.peers[o]; p != nil {
				less += p.maxBelieved(now, name)
			}
		}
		if less > 0 {
			h.Grants = append(h.Grants, QuotaGrant{Customer: name, Rate: 1, Less: less, Keep: even * ReservedShare, Scaled: true})
		}
	}
	if len(h.Grants) == 0 && !b.grantsPublished {
		return nil
	}
	b.grantsPublished = len(h.Grants) > 0
	return []Action{h}
}

func (b *Allocator) customerNames() []string {
	names := make([]string, 0, len(b.customers))
	for n := range b.customers {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// sendMessages says to each door what concerns it; to some others, in turn, which servers are bad.
func (b *Allocator) sendMessages(now Seconds, living []string) (actions []Action) {
	lines, alive := map[string][]CustomerReport{}, make(map[string]bool, len(living))
	for _, o := range living {
		alive[o] = true
	}
	for _, name := range b.customerNames() {
		m := b.customers[name]
		sums, loans := b.health.ownTotals(now, name), !b.usesCounter(now, m)
		for _, o := range b.peerGateways(m) {
			if !alive[o] {
				continue
			}
			if l := (CustomerReport{name, m.rate, m.lent[o], sums, loans}); len(lines[o]) < maxCustomersPerMessage || l.Lent > 0 {
				lines[o] = append(lines[o], l)
			}
		}
	}
	to := map[string]bool{}
	for o := range lines {
		to[o] = true
	}
	if len(b.unhealthyServers) > 0 && len(living) > 0 {
		for range min(votesPerRound, len(living)) {
			b.voteTurn++
			to[living[b.voteTurn%len(living)]] = true
		}
	}
	for _, o := range sortedKeys(to) {
		p := b.peer(o)
		if p == nil || now < p.nextSendAt {
			continue
		}
		quick := slices.ContainsFunc(lines[o], func(l CustomerReport) bool { return l.UsesGrants })
		for _, s := range p.sent {
			quick = quick || len(s.lent) > 0 && now <= s.sentAt+ReclaimDelay
		}
		p.nextSendAt = now + slowSendInterval
		if quick {
			p.nextSendAt = now + fastSendInterval
		}
		p.sentSeq++
		w := Message{Incarnation: [2]uint64{b.options.Incarnation.Boot, b.options.Incarnation.Nonce}, Seq: p.sentSeq, AckSeq: p.receivedSeq, AckIncarnation: [2]uint64{p.incarnation.Boot, p.incarnation.Nonce}, CounterTrusted: b.health.trusted, Zone: b.options.Zone, UnhealthyServers: b.unhealthyServers, ServerCount: b.serverCount}
		s := sentMessage{seq: p.sentSeq, sentAt: now, lent: map[string]float64{}}
		for _, l := range lines[o] {
			if len(w.Customers) < maxCustomersPerMessage {
				w.Customers = append(w.Customers, l)
				if l.Lent > 0 {
					s.lent[l.Customer] = l.Lent
				}
			}
		}
		p.sent = slices.DeleteFunc(append(p.sent, s), func(s sentMessage) bool { return now > s.sentAt+2*ReclaimDelay })
		if n := len(p.sent) - maxSentMessages; n > 0 {
			p.sent = slices.Delete(p.sent, 0, n)
		}
		actions = append(actions, SendMessage{o, w})
	}
	return actions
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Customers tells of those that are known, by name.
func (b *Allocator) Customers() (all []Status) {
	now := b.lastTick
	for _, name := range b.customerNames() {
		m := b.customers[name]
		s := Status{Customer: name, Quota: m.quota, Demand: m.rate, Grant: b.grant(now, name, m), Gateways: b.peerGateways(m)}
		for _, o := range s.Gateways {
			p := b.peers[o]
			if p == nil || now > p.lastContact+reportTTL {
				s.Silent = append(s.Silent, o)
			}
			if p == nil {
				continue
			}
			if g := p.maxBelieved(now, name); g > 0 {
				s.LentTo = append(s.LentTo, Loan{o, g})
			}
			if t := p.borrowed[name]; t > 0 && now < p.borrowedUntil {
				s.BorrowedFrom = append(s.BorrowedFrom, Loan{o, t})
			}
		}
		all = append(all, s)
	}
	return all
}

// CounterTrusted tells whether the counter is trusted, and what was last wrong with it.
func (b *Allocator) CounterTrusted() (bool, string) { return b.health.trusted, b.health.reason }

// Rejected is how many words changed nothing.
func (b *Allocator) Rejected() int { return b.rejected }

// WarnedServers are the servers that others' votes speak against.
func (b *Allocator) WarnedServers() []string { return b.warned }
