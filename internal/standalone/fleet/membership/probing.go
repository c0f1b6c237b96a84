package membership

import (
	"slices"
)

// Durations of probing, in seconds, and counts.
const (
	probeInterval      = 0.5  // between the starts of two probes
	probeRetryInterval = 0.25 // between two attempts of a probe
	isolationDelay     = 0.8  // time without a message from any member after which probes are sent twice as often
	rejoinInterval     = 2.0  // between two Rejoin actions

	probeAttempts      = 3  // attempts until a probe counts as missed
	finalProbeAttempts = 14 // attempts to probe a member that the protocol declared dead, two at each tick
	deadProbePeriod    = 4  // every 4th probe goes to a dead member, in case messages pass again in some direction
	missedProbePeriod  = 2  // every 2nd probe goes to a member whose last probe was missed
)

// probe is a pending probe of a member. Each attempt has a different sequence number; firstSeq is that of the first.
type probe struct {
	target        string
	firstSeq      uint64
	final         bool // the protocol declared the target dead
	attempts      int
	startedAt     Seconds // time of the first attempt
	nextAttemptAt Seconds
}

// maxAttempts returns the number of unacknowledged attempts after which the probe counts as missed.
func (p probe) maxAttempts() int {
	if p.final {
		return finalProbeAttempts
	}
	return probeAttempts
}

// probeResult is the result of a completed probe.
type probeResult struct {
	at           Seconds
	acknowledged bool
}

// sendProbes ends missed probes, sends the further attempts that are due, and starts the next probe. It also asks for
// the next Rejoin when one is due.
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
		if p := v.nextRejoinTarget(); p != nil {
			v.lastRejoined = p.member.Name
			actions = append(actions, Rejoin{Name: p.member.Name, Addr: p.member.Addr})
		}
	}
	return actions
}

// endMissedProbe reports whether a probe has used all its attempts, and counts it as missed. A probe of a member that
// was removed ends without a result.
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
	if p.protocolState == Alive { // a dead member that doesn't answer doesn't affect the reachability
		v.probeResults = append(v.probeResults, probeResult{at: now, acknowledged: false})
	}
	return true
}

// scheduleProbe picks the target of the next probe and sets when the one after it is due. The target is empty if no
// member can be probed.
func (v *View) scheduleProbe(now Seconds) (target string) {
	v.nextProbeAt = max(v.nextProbeAt+probeInterval, now)
	if v.lastContact > 0 && now > v.lastContact+isolationDelay {
		// Members that still receive messages from this one learn only from its probes that it is alive.
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
		// The next attempt is due at the next tick. Many attempts in quick succession make it unlikely that packet loss
		// alone fails the probe, and don't delay the detection of a real death.
		q.nextAttemptAt = now
	}
	return SendMessage{To: q.target, Addr: v.peers[q.target].member.Addr, Message: v.newMessage()}
}

// nextRoundRobin returns the next target while no member answers. It takes all members that haven't left in turn.
func (v *View) nextRoundRobin() string {
	all := v.sortedNames(func(p *peer) bool { return p.protocolState != Left })
	v.scheduledProbes++
	for i := range all {
		if name := all[(v.scheduledProbes+i)%len(all)]; !v.isProbed(name) {
			return name
		}
	}
	return ""
}

// nextTarget returns the next target while members answer. It takes all members that are alive, in a new random order
// for each round. In between it picks dead members and, more often, members whose last probe was missed, so that a
// suspicion is confirmed or cleared within a round.
func (v *View) nextTarget() string {
	v.scheduledProbes++
	for _, extra := range []struct {
		period int
		is     func(*peer) bool
	}{
		{deadProbePeriod, func(p *peer) bool { return p.protocolState == Dead }},
		{missedProbePeriod, func(p *peer) bool { return p.protocolState == Alive && p.lastProbeMissed }},
	} {
		if v.scheduledProbes%extra.period != 0 {
			continue
		}
		if names := v.sortedNames(extra.is); len(names) > 0 {
			return names[v.rng.IntN(len(names))]
		}
	}
	isAlive := func(p *peer) bool { return p.protocolState == Alive }
	for range 2 { // first the rest of this round, then a new round
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

// sortedNames returns the names of the peers that match a condition. They are sorted, because the order of a map would
// make runs with the same seed differ.
func (v *View) sortedNames(is func(*peer) bool) (names []string) {
	for name, p := range v.peers {
		if is(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// nextRejoinTarget returns the dead members of the agreed membership in turn; nil if there is none.
func (v *View) nextRejoinTarget() *peer {
	names := v.sortedNames(func(p *peer) bool {
		return p.protocolState == Dead && p.agreed && p.member.Addr != ""
	})
	if len(names) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(names, v.lastRejoined+"\x00") // the first name after the last one
	return v.peers[names[i%len(names)]]
}
