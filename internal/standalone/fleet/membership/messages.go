package membership

import (
	"slices"

	"mulleinrouter/internal/mutants"
)

// conflictWindow is the time after its start in which a process may raise its own boot count, in seconds. A newer
// incarnation that it learns of later belongs to another process that took the name.
const conflictWindow = 3.0

// receive applies a probe or an acknowledgement that a member sent directly.
func (v *View) receive(now Seconds, m Message) (actions []Action) {
	if v.nameLost {
		return nil
	}
	p := v.peers[m.From]
	switch {
	case m.From == v.self.Name:
		// Another process uses this one's name. The later incarnation keeps the name.
		if m.Incarnation.Newer(v.self.Incarnation) {
			return v.resolveNameConflict(now, m.Incarnation)
		}
		v.rejected++
		return v.acknowledge(m, v.self.Incarnation) // informs the sender that its incarnation is older
	case p == nil:
		v.rejected++
		return v.acknowledge(m, Incarnation{})
	case p.member.Newer(m.Incarnation):
		v.rejected++
		return v.acknowledge(m, p.member.Incarnation)
	case m.Incarnation == p.member.Incarnation && m.Seq <= p.lastSeq && !mutants.On("membership/replays-count"):
		v.rejected++ // duplicated, reordered or replayed
		return nil
	case m.Incarnation == p.member.Incarnation:
		p.lastSeq = m.Seq
		p.lastContact = now
		p.lastProbeMissed = false
		v.lastContact = now
	}
	// A message of an incarnation that the SWIM protocol hasn't reported yet doesn't prove that the member is alive.
	// Its probes are acknowledged nevertheless, and acknowledgements to the process of the reported incarnation inform
	// that process of the newer one.
	if m.Incarnation.Newer(p.member.Incarnation) && m.Incarnation.Newer(p.unreportedIncarnation) {
		p.unreportedIncarnation = m.Incarnation
	}
	if m.AckedSeq == 0 {
		latest := p.member.Incarnation
		if p.unreportedIncarnation.Newer(latest) {
			latest = p.unreportedIncarnation
		}
		return v.acknowledge(m, latest)
	}
	return v.receiveAck(now, p, m)
}

// receiveAck completes the probe that a message acknowledges.
func (v *View) receiveAck(now Seconds, p *peer, m Message) []Action {
	i := slices.IndexFunc(v.probes, func(q probe) bool {
		return q.target == m.From && m.AckedSeq >= q.firstSeq && m.AckedSeq <= v.seq
	})
	if i < 0 || m.Incarnation != p.member.Incarnation {
		return nil
	}
	v.probes = slices.Delete(v.probes, i, i+1)
	v.probeResults = append(v.probeResults, probeResult{at: now, acknowledged: true})
	p.lastAck = now
	p.consecutiveMisses = 0
	if m.KnownIncarnation.Newer(v.self.Incarnation) && m.KnownIncarnation != v.self.Incarnation {
		return v.resolveNameConflict(now, m.KnownIncarnation)
	}
	return nil
}

// resolveNameConflict handles a later incarnation under this process's own name. Within conflictWindow after its start,
// this process is taken to be the later one, with a count that is too low because its disk was lost or restored, so it
// raises the count. After conflictWindow, another process was started under the name, and this one gives up the name.
func (v *View) resolveNameConflict(now Seconds, other Incarnation) []Action {
	if now < v.startedAt+conflictWindow || mutants.On("membership/never-aside") {
		if v.raisingIncarnation {
			return nil
		}
		v.raisingIncarnation = true
		return []Action{RaiseIncarnation{Boot: other.Boot + 1}}
	}
	v.nameLost = true
	v.reachability = Reachability{Since: now, Until: now, Alive: 1, Agreed: v.agreedCount()}
	return []Action{NameConflict{Winner: other}}
}

// acknowledge acknowledges a probe. Acknowledgements are not acknowledged, because two members that don't know each
// other would then exchange messages without end.
func (v *View) acknowledge(m Message, known Incarnation) []Action {
	if m.AckedSeq != 0 && !mutants.On("membership/answers-answers") {
		return nil
	}
	ack := v.newMessage()
	ack.AckedSeq = max(1, m.Seq) // 0 would mark the acknowledgement as a probe
	ack.KnownIncarnation = known
	return []Action{SendMessage{To: m.From, Addr: m.Addr, Message: ack}}
}

// newMessage returns a message with the next sequence number.
func (v *View) newMessage() Message {
	v.seq++
	return Message{From: v.self.Name, Addr: v.self.Addr, Incarnation: v.self.Incarnation, Seq: v.seq}
}
