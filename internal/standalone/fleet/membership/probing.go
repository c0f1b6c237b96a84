package membership

import (
	"slices"
)

// probe is one that is out.
type probe struct {
	target        string
	firstSeq      uint64 // sequence number of its first try
	final         bool   // to one that the protocol gave up
	attempts      int
	startedAt     Seconds // when it was first tried
	nextAttemptAt Seconds
}

// maxAttempts are those that a question has.
func (q probe) maxAttempts() int {
	if q.final {
		return finalProbeAttempts
	}
	return probeAttempts
}

type probeResult struct {
	at           Seconds
	acknowledged bool
}

// sendProbes says words: again to whom did not answer, and to the next in turn.
func (v *View) sendProbes(now Seconds) (actions []Action) {
	v.probes = slices.DeleteFunc(v.probes, func(q probe) bool {
		p := v.peers[q.target]
		if p == nil {
			return true
		}
		if now < q.nextAttemptAt || q.attempts < q.maxAttempts() {
			return false
		}
		if p.consecutiveMisses++; p.consecutiveMisses == 1 {
			p.firstMissProbedAt = q.startedAt
		}
		p.lastMiss, p.lastProbeMissed = now, p.lastContact < q.startedAt
		p.finalProbePending = p.finalProbePending && !q.final
		if p.protocolState == Alive {
			v.probeResults = append(v.probeResults, probeResult{now, false}) // that the dead do not answer proves nothing
		}
		return true
	})
	for i := range v.probes {
		if q := &v.probes[i]; now >= q.nextAttemptAt {
			actions = append(actions, v.sendProbe(now, q))
			if q.final && q.attempts < q.maxAttempts() {
				actions = append(actions, v.sendProbe(now, q))
			}
		}
	}
	if now >= v.nextProbeAt {
		v.nextProbeAt = max(v.nextProbeAt+probeInterval, now)
		name := ""
		if v.lastContact > 0 && now > v.lastContact+isolationDelay {
			// One that hears nobody: those that hear it have nothing but its questions to know that it lives.
			v.nextProbeAt = now + probeInterval/2
			name = v.nextRoundRobin()
		} else {
			name = v.nextTarget()
		}
		if name != "" {
			q := probe{target: name, firstSeq: v.seq + 1}
			actions = append(actions, v.sendProbe(now, &q))
			v.probes = append(v.probes, q)
		}
	}
	if now >= v.nextRejoinAt {
		v.nextRejoinAt = now + rejoinInterval
		if p := v.nextLostMember(); p != nil {
			v.lastRejoined = p.member.Name
			actions = append(actions, Rejoin{p.member.Name, p.member.Addr})
		}
	}
	return actions
}

func (v *View) sendProbe(now Seconds, q *probe) Action {
	if q.attempts++; q.attempts == 1 {
		q.startedAt = now
	}
	q.nextAttemptAt = now + probeRetryInterval
	if q.final && q.attempts < q.maxAttempts() {
		q.nextAttemptAt = now // with the next tick: a death is not known later, and chance alone has it missed less
	}
	v.seq++
	return SendMessage{q.target, v.peers[q.target].member.Addr, Message{From: v.self.Name, Addr: v.self.Addr, Incarnation: v.self.Incarnation, Seq: v.seq}}
}

// nextRoundRobin is whom to ask next where nobody answers: all, one after another.
func (v *View) nextRoundRobin() string {
	all := v.sortedNames(func(p *peer) bool { return p.protocolState != Left })
	v.probeTurns++
	for i := range all {
		if name := all[(v.probeTurns+i)%len(all)]; !slices.ContainsFunc(v.probes, func(q probe) bool { return q.target == name }) {
			return name
		}
	}
	return ""
}

// nextTarget is whom to ask next: all that are alive, in an order drawn for each round, now and then one that is dead, and more
// often one that did not answer, so that a doubt does not outlast its cause by a round.
func (v *View) nextTarget() string {
	v.probeTurns++
	for _, also := range []struct {
		every int
		is    func(*peer) bool
	}{{deadProbePeriod, func(p *peer) bool { return p.protocolState == Dead }}, {missedProbePeriod, func(p *peer) bool { return p.protocolState == Alive && p.lastProbeMissed }}} {
		if v.probeTurns%also.every != 0 {
			continue
		}
		if some := v.sortedNames(also.is); len(some) > 0 {
			return some[v.rng.IntN(len(some))]
		}
	}
	for range 2 {
		for len(v.probeOrder) > 0 {
			name := v.probeOrder[0]
			v.probeOrder = v.probeOrder[1:]
			if p := v.peers[name]; p != nil && p.protocolState == Alive && !slices.ContainsFunc(v.probes, func(q probe) bool { return q.target == name }) {
				return name
			}
		}
		v.probeOrder = v.sortedNames(func(p *peer) bool { return p.protocolState == Alive })
		v.rng.Shuffle(len(v.probeOrder), func(i, j int) { v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i] })
	}
	return ""
}

// sortedNames are those of the peers of a kind, sorted: the order of a map would make chance of it.
func (v *View) sortedNames(is func(*peer) bool) (all []string) {
	for name, p := range v.peers {
		if is(p) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// nextLostMember is the next of those that are dead and belong to the fleet, in turn.
func (v *View) nextLostMember() *peer {
	all := v.sortedNames(func(p *peer) bool { return p.protocolState == Dead && p.agreed && p.member.Addr != "" })
	if len(all) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(all, v.lastRejoined+"\x00")
	return v.peers[all[i%len(all)]]
}
