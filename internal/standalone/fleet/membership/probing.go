package membership

import (
	"slices"
)

// Durations of probing, in seconds, and counts.
const (
	probeInterval      = 0.5  // between the starts of two probes
	probeRetryInterval = 0.25 // between two attempts of a probe
	isolationDelay     = 0.8  // without a message of any member: probes are sent twice as often
	rejoinInterval     = 2.0  // between two Rejoin actions

	probeAttempts      = 3  // until a probe counts as missed
	finalProbeAttempts = 14 // of the probe of a member that the protocol declared dead, two at each tick
	deadProbePeriod    = 4  // every so many probes go to a dead member: it may be reachable, or reach this one
	missedProbePeriod  = 2  // every so many go to a member whose last probe was missed
)

// probe is a pending probe of a member. Each attempt has a sequence number of its own, from firstSeq.
type probe struct {
	target        string
	firstSeq      uint64
	final         bool // the protocol declared the target dead
	attempts      int
	startedAt     Seconds // of the first attempt
	nextAttemptAt Seconds
}

// maxAttempts is after how many attempts the probe is missed.
func (p probe) maxAttempts() int {
	if p.final {
		return finalProbeAttempts
	}
	return probeAttempts
}

// probeResult is a probe that ended.
type probeResult struct {
	at           Seconds
	acknowledged bool
}

// sendProbes ends the probes that were missed, sends further attempts of those that are due, and starts the next one.
func (v *View) sendProbes(now Seconds) (actions []Action) {
	v.probes = slices.DeleteFunc(v.probes, func(q probe) bool { return v.endMissedProbe(now, q) })
	for i := range v.probes {
		q := &v.probes[i]
		if now < q.nextAttemptAt {
			continue
		}
		actions = append(actions, v.sendProbe(now, q))
		if q.final && q.attempts < q.maxAttempts() {
			actions = append(actions, v.sendProbe(now, q))
		}
	}
	if now >= v.nextProbeAt {
		if target := v.scheduleProbe(now); target != "" {
			q := probe{target: target, firstSeq: v.seq + 1}
			actions = append(actions, v.sendProbe(now, &q))
			v.probes = append(v.probes, q)
		}
	}
	if now >= v.nextRejoinAt {
		v.nextRejoinAt = now + rejoinInterval
		if p := v.nextLostMember(); p != nil {
			v.lastRejoined = p.member.Name
			actions = append(actions, Rejoin{Name: p.member.Name, Addr: p.member.Addr})
		}
	}
	return actions
}

// endMissedProbe reports whether a probe is over, and counts it as missed.
func (v *View) endMissedProbe(now Seconds, q probe) bool {
	p := v.peers[q.target]
	if p == nil {
		return true
	}
	if now < q.nextAttemptAt || q.attempts < q.maxAttempts() {
		return false
	}
	p.consecutiveMisses++
	if p.consecutiveMisses == 1 {
		p.firstMissProbedAt = q.startedAt
	}
	p.lastMiss = now
	p.lastProbeMissed = p.lastContact < q.startedAt
	p.finalProbePending = p.finalProbePending && !q.final
	if p.protocolState == Alive { // a dead member that doesn't answer says nothing about the reachability
		v.probeResults = append(v.probeResults, probeResult{at: now, acknowledged: false})
	}
	return true
}

// scheduleProbe picks the target of the next probe and sets when the one after it is due. Empty: nobody is to
// be probed.
func (v *View) scheduleProbe(now Seconds) (target string) {
	v.nextProbeAt = max(v.nextProbeAt+probeInterval, now)
	if v.lastContact > 0 && now > v.lastContact+isolationDelay {
		// Members that still receive from this one know only by its probes that it is alive.
		v.nextProbeAt = now + probeInterval/2
		return v.nextRoundRobin()
	}
	return v.nextTarget()
}

// sendProbe sends one attempt of a probe.
func (v *View) sendProbe(now Seconds, q *probe) Action {
	q.attempts++
	if q.attempts == 1 {
		q.startedAt = now
	}
	q.nextAttemptAt = now + probeRetryInterval
	if q.final && q.attempts < q.maxAttempts() {
		// With the next tick: many attempts make it unlikely that loss alone misses the probe, and a death is known no
		// later.
		q.nextAttemptAt = now
	}
	return SendMessage{To: q.target, Addr: v.peers[q.target].member.Addr, Message: v.newMessage()}
}

// nextRoundRobin is the next target while no member answers: all that haven't left, one after another.
func (v *View) nextRoundRobin() string {
	all := v.sortedNames(func(p *peer) bool { return p.protocolState != Left })
	v.probeTurns++
	for i := range all {
		if name := all[(v.probeTurns+i)%len(all)]; !v.isProbed(name) {
			return name
		}
	}
	return ""
}

// nextTarget is the next target otherwise: all members that are alive, in a random order for each round. In
// between come dead members and, more often, those whose last probe was missed, so that a suspicion is
// settled within a round.
func (v *View) nextTarget() string {
	v.probeTurns++
	for _, extra := range []struct {
		period int
		is     func(*peer) bool
	}{
		{deadProbePeriod, func(p *peer) bool { return p.protocolState == Dead }},
		{missedProbePeriod, func(p *peer) bool { return p.protocolState == Alive && p.lastProbeMissed }},
	} {
		if v.probeTurns%extra.period != 0 {
			continue
		}
		if names := v.sortedNames(extra.is); len(names) > 0 {
			return names[v.rng.IntN(len(names))]
		}
	}
	isAlive := func(p *peer) bool { return p.protocolState == Alive }
	for range 2 { // the rest of this round, then a new one
		for len(v.probeOrder) > 0 {
			name := v.probeOrder[0]
			v.probeOrder = v.probeOrder[1:]
			if p := v.peers[name]; p != nil && isAlive(p) && !v.isProbed(name) {
				return name
			}
		}
		v.probeOrder = v.sortedNames(isAlive)
		v.rng.Shuffle(len(v.probeOrder), func(i, j int) {
			v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i]
		})
	}
	return ""
}

// isProbed reports whether a probe of a member is pending.
func (v *View) isProbed(name string) bool {
	return slices.ContainsFunc(v.probes, func(q probe) bool { return q.target == name })
}

// sortedNames returns the names of the peers of a kind. They are sorted: the order of a map would make runs
// with the same seed differ.
func (v *View) sortedNames(is func(*peer) bool) (names []string) {
	for name, p := range v.peers {
		if is(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// nextLostMember returns the next dead member of the agreed membership, in turn; nil if there is none.
func (v *View) nextLostMember() *peer {
	names := v.sortedNames(func(p *peer) bool {
		return p.protocolState == Dead && p.agreed && p.member.Addr != ""
	})
	if len(names) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(names, v.lastRejoined+"\x00") // the first name behind the last one
	return v.peers[names[i%len(names)]]
}
