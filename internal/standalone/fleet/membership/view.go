package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Bounds on what is remembered.
const (
	// MaxMembers bounds the members that are known: no message or update adds more.
	MaxMembers = 1024

	maxChanges   = 256
	maxTextBytes = 64 // of a name, zone, version or address
)

// Durations, in seconds.
const (
	restartGracePeriod = 3.0  // from ProtocolRestarted until members that weren't reported again are dead
	deadMemberTTL      = 3600 // until a dead member is removed, unless this ingress is partitioned
	persistInterval    = 1.0  // least time between two PersistView actions
)

// randomStream separates the view's random numbers from others of the same seed.
const randomStream = 77

// peer is the state of another member.
type peer struct {
	member Member
	agreed bool // it belongs to the last agreed membership

	// By the SWIM protocol.
	protocolState      State
	protocolStateSince Seconds
	unconfirmed        bool // not reported again since the protocol was restarted

	// By direct messages. They count for the current incarnation.
	lastSeq           uint64      // highest sequence number received
	lastContact       Seconds     // when a message last came; 0: never
	lastAck           Seconds     // when a probe was last acknowledged
	lastMiss          Seconds     // when a probe last failed
	consecutiveMisses int         // failed probes since the last acknowledgement
	firstMissProbedAt Seconds     // when the first of these was sent
	lastProbeMissed   bool        // the last probe failed, and no message came since
	finalProbePending bool        // declared dead by the protocol, and still probed a last time
	rivalIncarnation  Incarnation // a later start that sent messages, but that the protocol hasn't reported

	// The conclusion.
	publishedState State
	publishedSince Seconds
}

// View is one ingress's view of its fleet. It is not safe for concurrent use.
type View struct {
	self               Member
	startedAt          Seconds
	nameLost           bool // another process has the name: the view is final
	raisingIncarnation bool // RaiseIncarnation was returned and SetIncarnation not called yet

	peers               map[string]*peer
	expectedMembers     int     // by the configuration
	formed              bool    // all expected members were known at one time
	protocolRestartedAt Seconds // by ProtocolRestarted
	reachability        Reachability

	version       uint64
	changes       []Change // the latest ones
	rejected      int      // messages that were old, replayed, or of unknown members
	dirty         bool     // the view changed since the last PersistView
	nextPersistAt Seconds

	seq          uint64 // of the last message sent
	probes       []probe
	probeResults []probeResult
	probeOrder   []string // targets still to be probed in this round
	probeTurns   int
	nextProbeAt  Seconds
	nextRejoinAt Seconds
	lastRejoined string
	lastContact  Seconds // when a message last came from any member; 0: never since the start or a pause
	rng          *rand.Rand
}

// New returns the view of a process that starts. expected is the number of members in the configuration, this one
// included; known are the members that an earlier process wrote to disk.
func New(now Seconds, self Member, expected int, known []Member, seed uint64) *View {
	v := &View{
		self:            self,
		expectedMembers: max(1, expected),
		startedAt:       now,
		peers:           map[string]*peer{},
		nextProbeAt:     now,
		nextRejoinAt:    now,
		rng:             rand.New(rand.NewPCG(seed, randomStream)),
	}
	for _, m := range known {
		if m.Name == self.Name || !isValid(m) || len(v.peers) >= MaxMembers {
			continue
		}
		v.peers[m.Name] = &peer{
			member:             m,
			agreed:             true,
			protocolState:      Dead,
			protocolStateSince: now,
			publishedState:     Dead,
			publishedSince:     now,
		}
	}
	v.formed = len(v.peers)+1 >= v.expectedMembers && len(known) > 0
	v.reachability = Reachability{Since: now, Until: now, Alive: 1, Agreed: v.agreedCount()}
	return v
}

func isValid(m Member) bool {
	return m.Name != "" && len(m.Name) <= maxTextBytes && len(m.Zone) <= maxTextBytes &&
		len(m.Version) <= maxTextBytes && len(m.Addr) <= maxTextBytes
}

// Step applies an event and returns what is to be done.
func (v *View) Step(now Seconds, e Event) (actions []Action) {
	switch e := e.(type) {
	case Update:
		v.applyUpdate(now, e)
	case Message:
		actions = v.receive(now, e)
	case Paused:
		v.resetContact()
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
		v.dirty = false
		v.nextPersistAt = now + persistInterval
		actions = append(actions, PersistView{})
	}
	return actions
}

// resetContact discards pending probes and the last contact after a pause: peers were neither probed nor listened to.
func (v *View) resetContact() {
	v.probes = nil
	v.probeResults = nil
	v.lastContact = 0
	for _, p := range v.peers {
		p.lastProbeMissed = false
		p.consecutiveMisses = 0
	}
}

// removeExpired removes members that have been dead or gone for deadMemberTTL. A partitioned ingress removes
// no dead member: those that it doesn't reach may be the rest of the fleet.
func (v *View) removeExpired(now Seconds) {
	for name, p := range v.peers {
		expired := now > p.protocolStateSince+deadMemberTTL
		left := p.protocolState == Left && expired
		if left || p.protocolState == Dead && expired && v.Reachability(now).Level != Partitioned {
			delete(v.peers, name)
			v.dirty = true
		}
	}
}

// expireUnconfirmed declares members dead that the restarted protocol didn't report again, once there was contact with
// others. They get no final probe: this process was away for as long as they were.
func (v *View) expireUnconfirmed(now Seconds) {
	if v.lastContact == 0 || now < v.protocolRestartedAt+restartGracePeriod {
		return
	}
	for _, p := range v.peers {
		if p.unconfirmed {
			p.protocolState = Dead
			p.protocolStateSince = now
			p.unconfirmed = false
		}
	}
}

// publish records the changes of states and reachability since the last step, and returns them as actions.
func (v *View) publish(now Seconds) (actions []Action) {
	first := len(v.changes) // changes that the event itself recorded come before: they are only listed by Changes
	alive := v.publishStates(now)
	if !v.formed && len(v.peers)+1 >= v.expectedMembers {
		v.formed = true
	}
	for _, c := range v.changes[first:] {
		actions = append(actions, ViewChanged{Change: c})
	}
	if excess := len(v.changes) - maxChanges; excess > 0 {
		v.changes = slices.Delete(v.changes, 0, excess)
	}
	if v.nameLost {
		return actions
	}
	before := v.Reachability(now)
	after := v.evaluateReachability(now, alive)
	after.Since = v.reachability.Since
	if after.Level != before.Level {
		after.Since = now
		change := Change{View: v.version, At: now, Name: v.self.Name, What: after.Level.String()}
		actions = append(actions, ViewChanged{Change: change, Reachability: true})
	}
	v.reachability = after
	return actions
}

// publishStates evaluates the state of each peer, and returns how many agreed members are alive, this one included.
func (v *View) publishStates(now Seconds) (alive int) {
	alive = 1
	for _, name := range v.sortedNames(func(*peer) bool { return true }) {
		p := v.peers[name]
		s := v.evaluateState(now, p)
		if s == Alive && p.agreed && !p.unconfirmed {
			alive++
		}
		if s != p.publishedState {
			v.recordChange(now, p, Change{From: p.publishedState, To: s, What: changedState})
			p.publishedState = s
			p.publishedSince = now
		}
	}
	return alive
}

func (v *View) recordChange(now Seconds, p *peer, c Change) {
	v.version++
	c.View = v.version
	c.At = now
	c.Name = p.member.Name
	c.Boot = cmp.Or(c.Boot, p.member.Boot)
	v.changes = append(v.changes, c)
	v.dirty = true
}
