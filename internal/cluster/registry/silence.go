package registry

// SetQuorum reports whether this node is up and in contact with a majority of the voters. Only a node that has been for
// a whole timeout detects silent instances.
func (r *Registry) SetQuorum(now Seconds, quorum bool) {
	if quorum && !r.hasQuorum {
		r.quorumSince = now
	}
	r.hasQuorum = quorum
}

// DetectSilent returns the instances that become silent now, and draining ones that become gone. Call it several times
// in each heartbeat interval: where it was not called for a whole one, the process itself was stopped, and its timeout
// begins anew. A mass timeout, of more than half of the instances and at least MassTimeoutMinimum, is rather a
// partition of this node: nobody is judged until calls come again, from anyone, and then only instances that have not
// called for MassTimeoutRecheckHeartbeats more.
func (r *Registry) DetectSilent(now Seconds) []Instance {
	if r.checked && now-r.lastCheck > r.heartbeatInterval {
		r.quorumSince = max(r.quorumSince, now)
	}
	r.lastCheck, r.checked = now, true
	timeout := TimeoutHeartbeats * r.heartbeatInterval
	if !r.hasQuorum || now-r.quorumSince < timeout {
		r.massTimeout = false
		return nil
	}
	r.countOverdue(now, timeout)
	if r.inMassTimeout(now) {
		return nil
	}
	var detected []Instance
	for r.overdue > 0 {
		detected = append(detected, r.setPhase(now, r.phases[Serving].first, Silent))
	}
	for draining := &r.phases[Draining]; draining.first != nil &&
		now-draining.first.lastSeenAt >= timeout+DrainRetention; {
		detected = append(detected, r.setPhase(now, draining.first, Gone))
	}
	return detected
}

// countOverdue counts the serving instances that have timed out, and moves firstNotOverdue behind them.
func (r *Registry) countOverdue(now, timeout Seconds) {
	for r.firstNotOverdue != nil && now-r.firstNotOverdue.lastSeenAt >= timeout {
		r.firstNotOverdue.overdue = true
		r.overdue++
		r.firstNotOverdue = r.firstNotOverdue.phaseLinks.next
	}
}

// inMassTimeout begins and ends a mass timeout, and reports whether there is one.
func (r *Registry) inMassTimeout(now Seconds) bool {
	if !r.massTimeout && r.overdue >= MassTimeoutMinimum && 2*r.overdue > r.phases[Serving].length {
		r.massTimeout, r.callsResumed = true, false
	}
	recheck := MassTimeoutRecheckHeartbeats * r.heartbeatInterval
	if r.massTimeout && r.callsResumed && now-r.callsResumedAt >= recheck {
		r.massTimeout = false
	}
	return r.massTimeout
}

// setPhase gives an entry another phase, and returns its instance.
func (r *Registry) setPhase(now Seconds, e *entry, phase Phase) Instance {
	instance := e.instance
	instance.Phase = phase
	r.update(now, e, instance)
	return instance
}

// Expire forgets the instances that have been gone or silent for their retention, and returns their IDs.
func (r *Registry) Expire(now Seconds) (ids []string) {
	ids = r.expirePhase(ids, now, Gone, TombstoneRetention)
	return r.expirePhase(ids, now, Silent, SilentRetention)
}

func (r *Registry) expirePhase(ids []string, now Seconds, phase Phase, retention Seconds) []string {
	for q := &r.phases[phase]; q.first != nil && now-q.first.lastSeenAt >= retention; {
		ids = append(ids, q.first.instance.ID)
		r.remove(q.first)
	}
	return ids
}
