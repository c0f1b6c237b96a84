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
	// Lease is for how long a borrower may use a loan behind the sending of the message that its lender answered with it.
	Lease = 3.0
	// Drift bounds how much faster or slower than another a clock runs.
	Drift  = 0.05
	margin = 0.1
	// Back is how long a lender waits behind its last word of a loan before it counts on it again.
	Back = Lease*(1+Drift)/(1-Drift) + margin

	// KeepShare is the part of a door's even part that it never lends: its own from the first moment of its process on, for nobody
	// can have been promised it by a process before.
	KeepShare  = 0.25
	beatQuick  = 0.25 // words to the other doors while something is lent or the counter is not trusted
	beatSlow   = 1.0
	freshFor   = 2.0  // a door's word is believed so long
	headroom   = 1.25 // of what is asked at a door: what it would have
	spareRoom  = 1.15 // what it keeps of its own
	idleLapse  = 30.0 // a member without requests is forgotten
	mostSent   = 64   // words to a door that are remembered
	mostLines  = 2000 // members of a word
	mostPeers  = 1024
	mostName   = 64
	mostRate   = 1e9 // units a second: more is no figure
	mostCustom = 20000
)

// Book is what one ingress knows. It is not safe for use by several goroutines.
type Book struct {
	o       Options
	begun   Seconds
	tickAt  Seconds
	members map[string]*member
	peers   map[string]*peer
	doors   map[int]string
	health  health
	aside   bool
	bad     []string
	listed  int
	warned  []string
	held    bool // something was held at the last tick
	refused int
	turn    int
}

// New returns what a process knows that begins.
func New(now Seconds, o Options) *Book {
	return &Book{o: o, begun: now, tickAt: now, members: map[string]*member{}, peers: map[string]*peer{}, doors: map[int]string{},
		health: newHealth(now, o.Counter)}
}

// Step takes an event.
func (b *Book) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Asked:
		b.ask(now, e)
	case Heard:
		b.hear(now, e.From, e.Word)
	case Adding:
		b.health.adding(now, e)
	case Counted:
		return b.health.counted(now, e)
	case Woken:
		for _, p := range b.peers {
			p.taken, p.until = nil, 0
		}
	case Aside:
		b.aside = true
	case Tick:
		return b.tick(now, e)
	}
	return nil
}

func fits(rate float64) bool { return rate >= 0 && rate <= mostRate } // NaN is neither

func (b *Book) ask(now Seconds, e Asked) {
	m := b.members[e.Member]
	if m == nil {
		if len(b.members) >= mostCustom || e.Doors < 2 || e.Quota <= 0 || len(e.Member) > mostName {
			return
		}
		m = &member{rated: now, heard: map[string]line{}, lent: map[string]float64{}}
		b.members[e.Member] = m
	}
	m.first, m.doors, m.quota, m.seen = e.First, e.Doors, e.Quota, now
	m.asked += e.Units
}

// hear takes another ingress's word: figures out of range, older words and older starts of it change nothing.
func (b *Book) hear(now Seconds, from string, w Word) {
	p := b.peer(from)
	claim := Claim{w.Claim[0], w.Claim[1]}
	if p == nil || len(w.Lines) > mostLines || p.claim.Newer(claim) {
		b.refused++
		return
	}
	for _, l := range w.Lines {
		if !fits(l.Rate) || !fits(l.Lent) || len(l.Member) > mostName {
			b.refused++
			return
		}
	}
	if claim.Newer(p.claim) { // what its former process lent is gone with it, and what it was lent too, once that has lapsed
		p.claim, p.got, p.taken, p.until = claim, 0, nil, 0
	}
	if w.Seq <= p.got {
		b.refused++ // doubled, late or replayed
		return
	}
	p.got, p.heard, p.sound, p.zone = w.Seq, now, w.Sound, w.Zone
	p.taken, p.until = nil, 0
	if (Claim{w.Of[0], w.Of[1]}) != b.o.Claim || w.Echo > p.seq {
		w.Echo = 0 // to an earlier process of this ingress, or to nobody
	}
	p.echoed = max(p.echoed, w.Echo)
	if at, known := p.sentAt(w.Echo); known {
		p.until = at + Lease
		if mutated("lease-from-answer") {
			p.until = now + Lease
		}
		p.taken = map[string]float64{}
	}
	for _, l := range w.Lines {
		if p.taken != nil && l.Lent > 0 {
			p.taken[l.Member] = l.Lent
		}
		if m := b.members[l.Member]; m != nil && b.isDoor(m, from) {
			m.heard[from] = line{now, l.Rate, l.Loans}
		}
		b.health.told(now, from, l.Sums)
	}
	p.bad = nil
	if len(w.Bad) <= max(1, w.Size)/3 && len(w.Bad) <= mostBad { // who accuses more than a third accuses itself
		p.bad = w.Bad
	}
}

func (b *Book) peer(name string) *peer {
	p := b.peers[name]
	if p == nil && name != "" && name != b.o.Name && len(name) <= mostName && len(b.peers) < mostPeers {
		p = &peer{}
		b.peers[name] = p
	}
	return p
}

func (b *Book) isDoor(m *member, name string) bool {
	for i := range m.doors {
		if b.doors[(m.first+i)%max(1, b.o.Fleet)] == name {
			return true
		}
	}
	return false
}

// others are the other doors of a member that are known, in order.
func (b *Book) others(m *member) (names []string) {
	for i := range m.doors {
		if n := b.doors[(m.first+i)%max(1, b.o.Fleet)]; n != "" && n != b.o.Name && !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

// trusted tells whether a member's quota goes by the counter: this ingress trusts it, and each other door that is heard does.
// One that does not must not be alone among doors that go by totals without it.
func (b *Book) trusted(now Seconds, m *member) bool {
	if !b.health.sound {
		return false
	}
	for _, o := range b.others(m) {
		if p := b.peers[o]; p != nil && now < p.heard+freshFor && !p.sound {
			return false
		}
	}
	return true
}

// home is a door's own part: all of it, once nobody can have been promised any of it by a process before.
func (b *Book) home(now Seconds, m *member) (home, lendable float64) {
	even := m.quota / float64(m.doors)
	if b.aside || now < b.begun+Back && !mutated("promises-forgotten") {
		return even * KeepShare, 0
	}
	return even, even * (1 - KeepShare)
}

// right is what this ingress has of a member's quota while the counter is not trusted.
func (b *Book) right(now Seconds, name string, m *member) float64 {
	x, _ := b.home(now, m)
	for _, o := range b.others(m) {
		p := b.peers[o]
		if p == nil {
			continue
		}
		if !mutated("give-after-take") {
			x -= p.promised(now, name)
		}
		if now < p.until || mutated("loan-for-ever") {
			x += p.taken[name]
		}
	}
	return max(0, x)
}

// lend decides what of a member's own part goes to which door: in proportion to what they need beyond their even parts, as all
// doors reckon it from the same words.
func (b *Book) lend(now Seconds, name string, m *member) {
	clear(m.lent)
	_, lendable := b.home(now, m)
	if b.trusted(now, m) || lendable == 0 {
		return
	}
	even := m.quota / float64(m.doors)
	spare := func(rate float64) float64 { return min(even*(1-KeepShare), max(0, even-spareRoom*rate)) }
	mine := min(lendable, spare(m.rate))
	total, needs := spare(m.rate), 0.0
	for _, o := range b.others(m) {
		if l, ok := m.heard[o]; ok && now < l.at+freshFor && l.loans {
			total += spare(l.rate)
			needs += max(0, headroom*l.rate-even)
		}
	}
	if mine <= 0 || needs <= 0 {
		return
	}
	// What one borrower may still believe it has is not lent to another: all of it together stays within what may be lent.
	room := lendable
	for _, o := range b.others(m) {
		if p := b.peers[o]; p != nil {
			room -= p.promised(now, name)
		}
	}
	for _, o := range b.others(m) {
		l, ok := m.heard[o]
		if !ok || now >= l.at+freshFor || !l.loans {
			continue
		}
		want, had := mine*min(1, needs/total)*max(0, headroom*l.rate-even)/needs, 0.0
		if p := b.peers[o]; p != nil {
			had = p.promised(now, name)
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
func (b *Book) tick(now Seconds, e Tick) (actions []Action) {
	b.tickAt, b.doors, b.bad, b.listed = now, e.Doors, e.Bad, e.Listed
	actions = b.health.tick(now)
	for name, m := range b.members {
		if now > m.seen+idleLapse {
			delete(b.members, name)
			continue
		}
		if span := now - m.rated; span >= 0.5 {
			m.rate += (1 - math.Exp(-span/2)) * (m.asked/span - m.rate)
			m.asked, m.rated = 0, now
		}
		for o, l := range m.heard {
			if now > l.at+idleLapse {
				delete(m.heard, o)
			}
		}
		b.lend(now, name, m)
	}
	for name, p := range b.peers {
		if now > p.heard+idleLapse && (len(p.words) == 0 || now > p.words[len(p.words)-1].at+idleLapse) {
			delete(b.peers, name)
		}
	}
	actions = append(actions, b.speak(now, e.Living)...)
	// Behind the words: what they promise is let go of before it can be used elsewhere.
	actions = append(actions, b.hold(now)...)
	if warn := b.vote(now); !slices.Equal(warn, b.warned) {
		b.warned = warn
		actions = append(actions, Warn{warn})
	}
	return actions
}

// hold sets what the module goes by. Where the counter is trusted it goes by its own slices, less what is still lent.
func (b *Book) hold(now Seconds) []Action {
	h := Hold{Until: now + 1}
	if mutated("held-for-ever") {
		h.Until = math.Inf(1)
	}
	for _, name := range b.names() {
		m := b.members[name]
		even := m.quota / float64(m.doors)
		if !b.trusted(now, m) {
			h.Rights = append(h.Rights, Right{Member: name, Rate: b.right(now, name, m), Keep: even * KeepShare})
			continue
		}
		less := 0.0
		for _, o := range b.others(m) {
			if p := b.peers[o]; p != nil {
				less += p.promised(now, name)
			}
		}
		if less > 0 {
			h.Rights = append(h.Rights, Right{Member: name, Rate: 1, Less: less, Keep: even * KeepShare, Scaled: true})
		}
	}
	if len(h.Rights) == 0 && !b.held {
		return nil
	}
	b.held = len(h.Rights) > 0
	return []Action{h}
}

func (b *Book) names() []string {
	names := make([]string, 0, len(b.members))
	for n := range b.members {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// speak says to each door what concerns it; to some others, in turn, which servers are bad.
func (b *Book) speak(now Seconds, living []string) (actions []Action) {
	lines, alive := map[string][]Line{}, make(map[string]bool, len(living))
	for _, o := range living {
		alive[o] = true
	}
	for _, name := range b.names() {
		m := b.members[name]
		sums, loans := b.health.sums(now, name), !b.trusted(now, m)
		for _, o := range b.others(m) {
			if !alive[o] {
				continue
			}
			if l := (Line{name, m.rate, m.lent[o], sums, loans}); len(lines[o]) < mostLines || l.Lent > 0 {
				lines[o] = append(lines[o], l)
			}
		}
	}
	to := map[string]bool{}
	for o := range lines {
		to[o] = true
	}
	if len(b.bad) > 0 && len(living) > 0 {
		for range min(votesTo, len(living)) {
			b.turn++
			to[living[b.turn%len(living)]] = true
		}
	}
	for _, o := range sortedKeys(to) {
		p := b.peer(o)
		if p == nil || now < p.sayAt {
			continue
		}
		quick := slices.ContainsFunc(lines[o], func(l Line) bool { return l.Loans })
		for _, s := range p.words {
			quick = quick || len(s.lent) > 0 && now <= s.at+Back
		}
		p.sayAt = now + beatSlow
		if quick {
			p.sayAt = now + beatQuick
		}
		p.seq++
		w := Word{Claim: [2]uint64{b.o.Claim.Boot, b.o.Claim.Nonce}, Seq: p.seq, Echo: p.got, Of: [2]uint64{p.claim.Boot, p.claim.Nonce}, Sound: b.health.sound, Zone: b.o.Zone, Bad: b.bad, Size: b.listed}
		s := sent{seq: p.seq, at: now, lent: map[string]float64{}}
		for _, l := range lines[o] {
			if len(w.Lines) < mostLines {
				w.Lines = append(w.Lines, l)
				if l.Lent > 0 {
					s.lent[l.Member] = l.Lent
				}
			}
		}
		p.words = slices.DeleteFunc(append(p.words, s), func(s sent) bool { return now > s.at+2*Back })
		if n := len(p.words) - mostSent; n > 0 {
			p.words = slices.Delete(p.words, 0, n)
		}
		actions = append(actions, Say{o, w})
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

// Members tells of those that are known, by name.
func (b *Book) Members() (all []Status) {
	now := b.tickAt
	for _, name := range b.names() {
		m := b.members[name]
		s := Status{Member: name, Quota: m.quota, Asked: m.rate, Right: b.right(now, name, m), DoorNames: b.others(m)}
		for _, o := range s.DoorNames {
			p := b.peers[o]
			if p == nil || now > p.heard+freshFor {
				s.Silent = append(s.Silent, o)
			}
			if p == nil {
				continue
			}
			if g := p.promised(now, name); g > 0 {
				s.GivenTo = append(s.GivenTo, Part{o, g})
			}
			if t := p.taken[name]; t > 0 && now < p.until {
				s.TakenFrom = append(s.TakenFrom, Part{o, t})
			}
		}
		all = append(all, s)
	}
	return all
}

// Sound tells whether the counter is trusted, and what was last wrong with it.
func (b *Book) Sound() (bool, string) { return b.health.sound, b.health.why }

// Refused is how many words changed nothing.
func (b *Book) Refused() int { return b.refused }

// Warned are the servers that others' votes speak against.
func (b *Book) Warned() []string { return b.warned }
