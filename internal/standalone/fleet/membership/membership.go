// Package membership concludes from what an ingress heard of the others who lives, how sure that is, and for how long it
// may be believed. The protocol (SWIM, by memberlist) tells who joined, died or left; beside it each member says a word to
// a few others at a time and is answered, which shows what links carry. View brings the two together.
//
// It does no I/O, reads no clock and starts no goroutine: Step takes an event and the time, and gives actions. Times are
// seconds of the host's monotonic clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The figures. Each is in seconds, if nothing else is said.
const (
	probeInterval      = 0.5  // a member is asked
	probeRetryInterval = 0.25 // the same question again, while it is not answered
	probeAttempts      = 3    // of a question; then it counts as missed
	finalProbeAttempts = 14   // of the one to a member that the protocol gave up, two at each tick: it is not held for dead before
	deadProbePeriod    = 4    // every so many questions go to one that is dead: it may hear, or be heard
	missedProbePeriod  = 2    // and to one that did not answer
	recentContact      = 4.0  // one whose word came within this is not held for dead
	probeResultTTL     = 4.0  // answers and misses count for the judgement so long
	isolationDelay     = 0.8  // without a word of anybody: more is asked
	reachabilityTTL    = 2.0  // a judgement is believed so long behind the last word heard
	linkTTLRounds      = 3    // a link is known for so many rounds of questions
	minLinkTTL         = 5.0  // and for this at least
	rejoinInterval     = 2.0  // one that is dead is asked to join again
	restartGracePeriod = 3.0  // from Anew, for the protocol to tell of those that live
	conflictWindow     = 3.0  // a process may take a higher count within this from its start: later, another took its name
	deadMemberTTL      = 3600 // a dead member belongs no more to the agreed fleet, if more than half of it is heard
	persistInterval    = 1.0  // the view is kept on disk at most so often

	// MaxMembers bounds what is remembered: no word of others adds more.
	MaxMembers   = 1024
	maxChanges   = 256
	maxTextBytes = 64 // bytes of a name, zone or version
)

// peer is what is known of another member.
type peer struct {
	member             Member
	protocolState      State       // by the protocol
	protocolStateSince Seconds     // when that last changed
	agreed             bool        // belongs to the last agreed fleet
	unconfirmed        bool        // told before the protocol began anew
	rivalIncarnation   Incarnation // a later start under its name that spoke, and that the protocol does not take for it
	finalProbePending  bool        // given up by the protocol, and asked a last time
	publishedState     State       // as last published
	publishedSince     Seconds
	lastSeq            uint64  // highest sequence number of its claim
	lastContact        Seconds // when a word last came; 0: never
	lastAck            Seconds // when it last answered
	lastMiss           Seconds // when a question to it was last given up
	consecutiveMisses  int     // in a row
	firstMissProbedAt  Seconds // when the first of these was asked
	lastProbeMissed    bool    // the last question was missed, and nothing came since
}

// View is what one ingress concludes. It is not safe for use by several goroutines.
type View struct {
	self               Member
	expectedMembers    int // members that the configuration names
	formed             bool
	startedAt          Seconds
	nameLost           bool
	raisingIncarnation bool

	peers    map[string]*peer
	version  uint64
	changes  []Change
	rejected int // words that were stale, replayed, or of nobody known

	seq                 uint64
	probeOrder          []string // whom to ask, in this round
	probeTurns          int
	nextProbeAt         Seconds
	nextRejoinAt        Seconds
	lastRejoined        string
	probes              []probe
	probeResults        []probeResult
	lastContact         Seconds // when anybody was last heard; 0: never since the start or a stall
	reachability        Reachability
	protocolRestartedAt Seconds
	nextPersistAt       Seconds
	dirty               bool
	rng                 *rand.Rand
}

// New returns the view of a process that begins. expect is the number of members that the configuration names, itself
// included; known are those of the view that was kept.
func New(now Seconds, self Member, expect int, known []Member, seed uint64) *View {
	v := &View{self: self, expectedMembers: max(1, expect), startedAt: now, peers: map[string]*peer{}, nextProbeAt: now, nextRejoinAt: now,
		rng: rand.New(rand.NewPCG(seed, 77))}
	for _, m := range known {
		if m.Name != self.Name && isValid(m) && len(v.peers) < MaxMembers {
			v.peers[m.Name] = &peer{member: m, protocolState: Dead, protocolStateSince: now, publishedState: Dead, publishedSince: now, agreed: true}
		}
	}
	v.formed = len(v.peers)+1 >= v.expectedMembers && len(known) > 0
	v.reachability = Reachability{Since: now, Until: now, Alive: 1, Agreed: v.agreedCount()}
	return v
}

func isValid(m Member) bool {
	return m.Name != "" && len(m.Name) <= maxTextBytes && len(m.Zone) <= maxTextBytes && len(m.Version) <= maxTextBytes && len(m.Addr) <= maxTextBytes
}

// Step takes an event.
func (v *View) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Update:
		v.applyUpdate(now, e)
	case Message:
		actions = v.receive(now, e)
	case Paused:
		// Questions that were out, and what was last heard, prove nothing: others were not asked, nor listened to.
		v.probes, v.probeResults, v.lastContact = nil, nil, 0
		for _, p := range v.peers {
			p.lastProbeMissed, p.consecutiveMisses = false, 0
		}
	case ProtocolRestarted:
		v.protocolRestartedAt = now
		for _, p := range v.peers {
			p.unconfirmed = p.protocolState == Alive
		}
	case PhaseChanged:
		v.self.Phase = e.Phase
	case Tick:
		if v.nameLost {
			return nil
		}
		actions = v.sendProbes(now)
		v.removeExpired(now)
		v.expireUnconfirmed(now)
	}
	actions = append(actions, v.publish(now)...)
	if v.dirty && now >= v.nextPersistAt {
		v.dirty, v.nextPersistAt = false, now+persistInterval
		actions = append(actions, PersistView{})
	}
	return actions
}

// applyUpdate goes by what the protocol says.
func (v *View) applyUpdate(now Seconds, e Update) {
	m := e.Member
	if m.Name == v.self.Name || !isValid(m) {
		return
	}
	p := v.peers[m.Name]
	if p == nil {
		if e.State != Alive || len(v.peers) >= MaxMembers {
			return
		}
		p = &peer{member: m, protocolState: Alive, protocolStateSince: now, publishedSince: now, agreed: true}
		v.peers[m.Name] = p
		v.recordChange(now, p, Change{New: true, To: Alive, What: "state"})
	}
	if e.State != Alive {
		if p.protocolState == Left { // a goodbye stays one: what is heard of the dead later is older
			return
		}
		if e.State == Left && !mutated("left-agreed") {
			p.agreed = false // it let go by itself: the fleet is agreed to be smaller
		}
		if e.State == Dead && p.protocolState != Dead && !mutated("dead-unasked") {
			p.finalProbePending = true
			v.probes = append(v.probes, probe{target: m.Name, final: true, firstSeq: v.seq + 1, nextAttemptAt: now})
		}
		p.protocolState, p.protocolStateSince, p.unconfirmed = e.State, now, false
		return
	}
	if p.member.Incarnation.Newer(m.Incarnation) && !mutated("old-claim") {
		v.rejected++ // an older start of the same name: its folder was restored, or the word is late
		return
	}
	if m.Incarnation != p.member.Incarnation {
		p.lastSeq, p.lastContact, p.lastAck, p.lastProbeMissed, p.consecutiveMisses, p.rivalIncarnation = 0, 0, 0, false, 0, Incarnation{} // what was heard of the former process is not of this one
		v.recordChange(now, p, Change{From: p.publishedState, To: p.publishedState, Boot: m.Boot, What: "claim"})
	} else if m.Phase != p.member.Phase {
		v.recordChange(now, p, Change{From: p.publishedState, To: p.publishedState, Boot: m.Boot, What: "phase"})
	}
	if p.protocolState != Alive {
		p.protocolStateSince, p.lastProbeMissed, p.consecutiveMisses = now, false, 0 // it was heard by others since
	}
	if m.Addr == "" {
		m.Addr = p.member.Addr
	}
	// Given up once more, it is asked once more: what is left of an earlier last question must not end that one's doubt.
	v.probes = slices.DeleteFunc(v.probes, func(q probe) bool { return q.final && q.target == m.Name })
	p.member, p.protocolState, p.agreed, p.unconfirmed, p.finalProbePending, v.dirty = m, Alive, true, false, false, true
}

// receive goes by what came directly.
func (v *View) receive(now Seconds, w Message) (actions []Action) {
	if v.nameLost {
		return nil
	}
	p := v.peers[w.From]
	switch {
	case w.From == v.self.Name:
		// Another process says that it is this one. Whoever began later stays.
		if w.Incarnation.Newer(v.self.Incarnation) {
			return v.resolveNameConflict(now, w.Incarnation)
		}
		v.rejected++
		return v.acknowledge(w, v.self.Incarnation) // it hears that its count is an old one
	case p == nil:
		v.rejected++
		return v.acknowledge(w, Incarnation{})
	case p.member.Incarnation.Newer(w.Incarnation):
		v.rejected++
		return v.acknowledge(w, p.member.Incarnation)
	case w.Incarnation == p.member.Incarnation && w.Seq <= p.lastSeq && !mutated("replays-count"):
		v.rejected++ // doubled, late or replayed
		return nil
	case w.Incarnation == p.member.Incarnation:
		p.lastSeq = w.Seq
		p.lastContact, p.lastProbeMissed, v.lastContact = now, false, now
	}
	// A claim that the protocol has not told yet proves nothing of the member it will be: it is answered, and whoever has the
	// name hears of it.
	if w.Incarnation.Newer(p.member.Incarnation) && w.Incarnation.Newer(p.rivalIncarnation) {
		p.rivalIncarnation = w.Incarnation
	}
	if w.AckedSeq == 0 {
		latest := p.member.Incarnation
		if p.rivalIncarnation.Newer(latest) {
			latest = p.rivalIncarnation
		}
		return v.acknowledge(w, latest)
	}
	i := slices.IndexFunc(v.probes, func(q probe) bool { return q.target == w.From && w.AckedSeq >= q.firstSeq && w.AckedSeq <= v.seq })
	if i < 0 || w.Incarnation != p.member.Incarnation {
		return nil
	}
	v.probes = slices.Delete(v.probes, i, i+1)
	v.probeResults = append(v.probeResults, probeResult{now, true})
	p.lastAck, p.consecutiveMisses = now, 0
	if w.KnownIncarnation.Newer(v.self.Incarnation) && w.KnownIncarnation != v.self.Incarnation {
		return v.resolveNameConflict(now, w.KnownIncarnation)
	}
	return nil
}

// resolveNameConflict is what a process does that hears of a later start under its own name. Just begun, it was itself started
// last, and its count is an old one: its folder is empty, or was restored. Later on, another was.
func (v *View) resolveNameConflict(now Seconds, by Incarnation) []Action {
	if now < v.startedAt+conflictWindow || mutated("never-aside") {
		if v.raisingIncarnation {
			return nil
		}
		v.raisingIncarnation = true
		return []Action{RaiseIncarnation{by.Boot + 1}}
	}
	v.nameLost = true
	v.reachability = Reachability{Since: now, Until: now, Alive: 1, Agreed: v.agreedCount()}
	return []Action{NameConflict{by}}
}

// acknowledge answers a question. An answer is never answered: two that do not know each other would go on for ever.
func (v *View) acknowledge(w Message, yours Incarnation) []Action {
	if w.AckedSeq != 0 && !mutated("answers-answers") {
		return nil
	}
	v.seq++
	return []Action{SendMessage{w.From, w.Addr, Message{From: v.self.Name, Addr: v.self.Addr, Incarnation: v.self.Incarnation, Seq: v.seq, AckedSeq: max(1, w.Seq), KnownIncarnation: yours}}}
}

// removeExpired lets go of what is long gone. Cut off, an ingress forgets nobody: what it does not hear may be the fleet.
func (v *View) removeExpired(now Seconds) {
	for name, p := range v.peers {
		if p.protocolState == Left && now > p.protocolStateSince+deadMemberTTL || p.protocolState == Dead && now > p.protocolStateSince+deadMemberTTL && v.Reachability(now).Level != Partitioned {
			delete(v.peers, name)
			v.dirty = true
		}
	}
}

// expireUnconfirmed gives up who was not told of again, once the others were heard.
func (v *View) expireUnconfirmed(now Seconds) {
	if v.lastContact == 0 || now < v.protocolRestartedAt+restartGracePeriod {
		return
	}
	for _, p := range v.peers {
		if p.unconfirmed {
			p.protocolState, p.protocolStateSince, p.unconfirmed = Dead, now, false // unasked: it was away for as long as this process
		}
	}
}

// linkTTL is how long a link is known.
func (v *View) linkTTL() Seconds {
	return max(minLinkTTL, linkTTLRounds*probeInterval*Seconds(len(v.peers)))
}

// evaluateState concludes what a peer is.
func (v *View) evaluateState(now Seconds, p *peer) State {
	switch {
	case p.protocolState == Left:
		return Left
	case p.protocolState == Dead:
		// The fleet gave it up, and it speaks: what does not work is the way to it.
		if p.lastContact > p.protocolStateSince && now < p.lastContact+v.linkTTL() && !mutated("heard-is-dead") {
			return Alive
		}
		// One that hears nobody and is heard cannot refute; its next question shows that it lives. One that has died was last heard
		// before the protocol began to suspect it.
		if p.finalProbePending || p.lastContact > 0 && now < p.lastContact+recentContact {
			return Suspect
		}
		return Dead
	case p.lastProbeMissed && p.consecutiveMisses > 1:
		return Suspect
	}
	return Alive
}

func (v *View) evaluateLink(now Seconds, p *peer) Link {
	known := now - v.linkTTL()
	of := func(at Seconds) bool { return at > 0 && at > known }
	switch {
	case p.consecutiveMisses > 0 && of(p.lastMiss) && of(p.lastContact) && p.lastContact > p.firstMissProbedAt:
		return LinkInboundOnly
	case p.consecutiveMisses > 0 && of(p.lastMiss):
		return LinkDown
	case of(p.lastAck), of(p.lastContact):
		return LinkBidirectional
	}
	return LinkUnknown
}

// agreedCount is how many the last agreed fleet has.
func (v *View) agreedCount() int {
	n := 1
	for _, p := range v.peers {
		if p.agreed {
			n++
		}
	}
	if !v.formed {
		n = max(n, v.expectedMembers) // the first time, all that the configuration names must have come
	}
	return n
}

// publish publishes what changed.
func (v *View) publish(now Seconds) (actions []Action) {
	begun := len(v.changes)
	alive := 1
	for _, name := range v.sortedNames(func(*peer) bool { return true }) {
		p := v.peers[name]
		s := v.evaluateState(now, p)
		if s == Alive && p.agreed && !p.unconfirmed {
			alive++
		}
		if s != p.publishedState {
			v.recordChange(now, p, Change{From: p.publishedState, To: s, What: "state"})
			p.publishedState, p.publishedSince = s, now
		}
	}
	if !v.formed && len(v.peers)+1 >= v.expectedMembers {
		v.formed = true
	}
	for _, c := range v.changes[begun:] {
		actions = append(actions, ViewChanged{Change: c})
	}
	if n := len(v.changes) - maxChanges; n > 0 {
		v.changes = slices.Delete(v.changes, 0, n)
	}
	if v.nameLost {
		return actions
	}
	was, j := v.Reachability(now), v.evaluateReachability(now, alive)
	if j.Since = v.reachability.Since; j.Level != was.Level {
		j.Since = now
		actions = append(actions, ViewChanged{Change: Change{View: v.version, At: now, Name: v.self.Name, What: j.Level.String()}, Reachability: true})
	}
	v.reachability = j
	return actions
}

// evaluateReachability says how much of the fleet is heard.
func (v *View) evaluateReachability(now Seconds, alive int) Reachability {
	v.probeResults = slices.DeleteFunc(v.probeResults, func(r probeResult) bool { return now > r.at+probeResultTTL })
	missed := 0
	for _, r := range v.probeResults {
		if !r.acknowledged {
			missed++
		}
	}
	j := Reachability{Alive: alive, Agreed: v.agreedCount(), Until: v.lastContact + reachabilityTTL, Level: Complete}
	switch {
	case j.Agreed == 1:
		j.Until = now + reachabilityTTL // nobody else is expected
	case v.lastContact == 0 || now >= j.Until:
		j.Level, j.Until = Partitioned, now
	case len(v.probeResults) >= 4 && missed*2 > len(v.probeResults) && !mutated("misses-pass"):
		j.Level = Partitioned // the protocol has not told yet, and most do not answer
	case alive*2 <= j.Agreed && !mutated("half-is-enough"):
		j.Level = Partitioned
	case alive < j.Agreed:
		j.Level = Majority
	}
	return j
}

func (v *View) recordChange(now Seconds, p *peer, c Change) {
	v.version++
	c.View, c.At, c.Name, c.Boot = v.version, now, p.member.Name, cmp.Or(c.Boot, p.member.Boot)
	v.changes = append(v.changes, c)
	v.dirty = true
}
