package membership

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// applyUpdate applies a report of the SWIM protocol.
func (v *View) applyUpdate(now Seconds, u Update) {
	m := u.Member
	if m.Name == v.self.Name || !isValid(m) {
		return
	}
	p := v.peers[m.Name]
	if p == nil {
		if u.State != Alive || len(v.peers) >= MaxMembers {
			return
		}
		p = &peer{member: m, protocolState: Alive, protocolStateSince: now, publishedSince: now, agreed: true}
		v.peers[m.Name] = p
		v.recordChange(now, p, Change{New: true, To: Alive, What: changedState})
	}
	if u.State == Alive {
		v.applyAlive(now, p, m)
	} else {
		v.applyDeparture(now, p, u.State)
	}
}

// applyDeparture applies a report that a member died or left.
func (v *View) applyDeparture(now Seconds, p *peer, s State) {
	if p.protocolState == Left {
		return // a later report of its death is older than its own announcement
	}
	if s == Left && !mutants.On("membership/left-agreed") {
		p.agreed = false // a member that announced its departure is no longer part of the agreed membership
	}
	if s == Dead && p.protocolState != Dead && !mutants.On("membership/dead-unasked") {
		p.finalProbePending = true
		v.probes = append(v.probes, probe{
			target:        p.member.Name,
			final:         true,
			firstSeq:      v.seq + 1,
			nextAttemptAt: now,
		})
	}
	p.protocolState = s
	p.protocolStateSince = now
	p.unconfirmed = false
}

// applyAlive applies a report that a member is alive, with the description that the member published.
func (v *View) applyAlive(now Seconds, p *peer, m Member) {
	if p.member.Newer(m.Incarnation) && !mutants.On("membership/old-claim") {
		v.rejected++ // an earlier incarnation: the member's disk was restored, or the report is late
		return
	}
	if m.Incarnation != p.member.Incarnation {
		p.resetIncarnation()
		v.recordChange(now, p, Change{
			From: p.publishedState,
			To:   p.publishedState,
			Boot: m.Boot,
			What: changedIncarnation,
		})
	} else if m.Phase != p.member.Phase {
		v.recordChange(now, p, Change{From: p.publishedState, To: p.publishedState, Boot: m.Boot, What: changedPhase})
	}
	if p.protocolState != Alive {
		// Other members have been in contact with it since, so probes missed before don't count.
		p.protocolStateSince = now
		p.lastProbeMissed = false
		p.consecutiveMisses = 0
	}
	if m.Addr == "" {
		m.Addr = p.member.Addr
	}
	// If the member is declared dead again it gets a new final probe, which the end of an earlier one must not end
	// early.
	v.probes = slices.DeleteFunc(v.probes, func(q probe) bool { return q.final && q.target == m.Name })
	p.member = m
	p.protocolState = Alive
	p.agreed = true
	p.unconfirmed = false
	p.finalProbePending = false
	v.dirty = true
}

// resetIncarnation discards the state that was derived from messages of a member's earlier process.
func (p *peer) resetIncarnation() {
	p.lastSeq = 0
	p.lastContact = 0
	p.lastAck = 0
	p.lastProbeMissed = false
	p.consecutiveMisses = 0
	p.unreportedIncarnation = Incarnation{}
}
