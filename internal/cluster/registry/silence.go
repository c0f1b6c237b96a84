package registry

// SetQuorum records whether this node is up and in contact with a majority of the voters. A node detects silent
// instances only after both have held for a whole timeout.
func (r *Registry) SetQuorum(now Seconds, quorum bool) {
	if quorum && !r.hasQuorum {
		r.quorumSince = now
	}
	r.hasQuorum = quorum
}

// DetectSilent returns the instances that become silent now, and the draining ones that become gone. It must be called
// several times in each heartbeat interval, because a longer time than one interval since the last call is taken for a
// pause of this process, after which the timeout begins again. If more than half of the serving instances, and at least
// MassTimeoutMinimum, time out together, the cause is more likely a partition of this node. In such a mass timeout no
// instance becomes silent or gone until any server calls; MassTimeoutRecheckHeartbeats later, only the instances that
// have not called become silent.
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

// countOverdue counts the serving instances that have timed out, and moves firstNotOverdue past them.
func (r *Registry) countOverdue(now, timeout Seconds) {
	for r.firstNotOverdue != nil && now-r.firstNotOverdue.lastSeenAt >= timeout {
		r.firstNotOverdue.overdue = true
		r.overdue++
		r.firstNotOverdue = r.firstNotOverdue.phaseLinks.next
	}
}

// inMassTimeout starts or ends a mass timeout, and reports whether one is in progress.
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

// setPhase changes the phase of an entry, and returns its instance.
func (r *Registry) setPhase(now Seconds, e *entry, phase Phase) Instance {
	instance := e.instance
	instance.Phase = phase
	r.update(now, e, instance)
	return instance
}

// Expire removes the instances that have been gone or silent for their retention, and returns their IDs.
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
