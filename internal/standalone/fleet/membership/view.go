package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Bounds on the size of the view.
const (
	// MaxMembers bounds the number of known members. Updates of further members are ignored.
	MaxMembers = 1024

	maxChanges   = 256 // latest changes that are kept for reports
	maxTextBytes = 64  // bytes of a name, zone, version or address
)

// Durations, in seconds.
const (
	restartGracePeriod = 3.0  // time from ProtocolRestarted until members that weren't reported again count as dead
	deadMemberTTL      = 3600 // time until a member that is dead or has left is removed, see removeExpired
	persistInterval    = 1.0  // minimum time between two PersistView actions
)

// randomStream selects a random sequence that differs from those of other users of the same seed.
const randomStream = 77

// peer is the state of another member.
type peer struct {
	member Member
	agreed bool // it belongs to the last agreed membership

	// State by the reports of the SWIM protocol.
	protocolState      State
	protocolStateSince Seconds
	unconfirmed        bool // not reported again since the protocol was restarted

	// State by direct messages. Only those of the current incarnation count.
	lastSeq               uint64      // highest sequence number received
	lastContact           Seconds     // time of the last message; 0: never
	lastAck               Seconds     // time of the last acknowledgement of a probe
	lastMiss              Seconds     // time of the last missed probe
	consecutiveMisses     int         // missed probes since the last acknowledgement
	firstMissProbedAt     Seconds     // time at which the first of these was sent
	lastProbeMissed       bool        // the last probe was missed, and no message has arrived since it was sent
	finalProbePending     bool        // declared dead by the protocol, and the final probe is not over
	unreportedIncarnation Incarnation // a later incarnation that sent messages and that the protocol hasn't reported

	// State that the view publishes, combined from the two above.
	publishedState State
	publishedSince Seconds
}

// View is one ingress's view of its fleet. It is not safe for concurrent use.
type View struct {
	self               Member
	startedAt          Seconds
	nameLost           bool // another process has the name; the view doesn't change any more
	raisingIncarnation bool // RaiseIncarnation was returned and SetIncarnation not called yet

	peers               map[string]*peer
	expectedMembers     int     // number of members in the configuration
	formed              bool    // all expected members have been known at the same time
	protocolRestartedAt Seconds // time of the last ProtocolRestarted event
	reachability        Reachability

	version       uint64
	changes       []Change // the latest ones
	rejected      int      // messages and updates that were old, replayed, or of unknown members
	dirty         bool     // the view changed since the last PersistView
	nextPersistAt Seconds

	seq             uint64 // sequence number of the last message sent
	probes          []probe
	probeResults    []probeResult
	probeOrder      []string // targets still to be probed in this round
	scheduledProbes int
	nextProbeAt     Seconds
	nextRejoinAt    Seconds
	lastRejoined    string
	lastContact     Seconds // time of the last message from any member; 0: none since the start or a pause
	rng             *rand.Rand
}

// New returns the view of a process that starts. expected is the number of members in the configuration, including this
// one; known are the members that an earlier process wrote to disk. They count as dead until they are reported.
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

// Step applies an event and returns the actions that the caller has to execute.
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

// resetContact discards pending probes, their results and the last contact after a pause, during which this process
// neither probed its peers nor received their messages.
func (v *View) resetContact() {
	v.probes = nil
	v.probeResults = nil
	v.lastContact = 0
	for _, p := range v.peers {
		p.lastProbeMissed = false
		p.consecutiveMisses = 0
	}
}

// removeExpired removes members that have been dead, or have left, for deadMemberTTL. A partitioned ingress removes no
// dead member, because the members that it doesn't reach may be the rest of the fleet.
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

// expireUnconfirmed declares members dead that the restarted protocol hasn't reported again within restartGracePeriod,
// once there has been contact with another member. They get no final probe, because this process itself was
// suspended while it received nothing from them.
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
	first := len(v.changes) // earlier changes, which the event itself recorded, are only listed by Changes
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
