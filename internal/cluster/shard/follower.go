package shard

// Step handles a message of another replica.
func (r *Replica) Step(m Message, now float64) {
	switch m.Kind {
	case Vote:
		r.stepVote(m, now)
	case VoteReply:
		r.stepVoteReply(m, now)
	case HeartbeatReply, AppendReply:
		r.stepReply(m, now)
	case Heartbeat, Append, TimeoutNow:
		r.stepLeader(m, now)
	case Install:
		if len(m.Voters) > 0 { // a state without voters is not valid
			r.stepLeader(m, now)
		}
	}
}

// stepLeader handles a message of a leader. Unless the message is of an earlier term or a TimeoutNow, this replica then
// votes for no other leader until grantUntil.
func (r *Replica) stepLeader(m Message, now float64) {
	if m.Term < r.term {
		kind := AppendReply
		if m.Kind == Heartbeat {
			kind = HeartbeatReply
		}
		r.send(m.From, Message{Kind: kind, Term: r.term, Last: r.last, Sent: m.Sent})
		return
	}
	if m.Kind == TimeoutNow {
		if r.role == follower && m.Term == r.term && m.From == r.leaderAddr && r.isVoter(r.self) {
			r.campaign(now, true)
		}
		return
	}
	r.becomeFollower(m.Term, m.From, now)
	r.grantUntil = now + grantTTL
	r.postponeElection(r.grantUntil)
	switch m.Kind {
	case Heartbeat:
		r.send(m.From, Message{Kind: HeartbeatReply, Term: r.term, Last: r.last, Sent: m.Sent, OK: true})
	case Append:
		r.stepAppend(m)
	case Install:
		r.stepInstall(m)
	}
}

// stepAppend applies the batches that follow this replica's last one. If they do not follow it, this replica reports
// its last position, from which the leader continues. Batches that it already has, because the message came twice, are
// skipped. This is safe because a last batch of the leader's own term means that all batches before it are the leader's
// too.
func (r *Replica) stepAppend(m Message) {
	if r.last != m.Prev && (r.last.Term != m.Term || r.last.Seq < m.Prev.Seq) {
		r.send(m.From, Message{Kind: AppendReply, Term: r.term, Last: r.last, Sent: m.Sent})
		return
	}
	acknowledged := m.Prev
	for _, b := range m.Batches {
		if b.Position.Seq > r.last.Seq {
			r.apply(b)
		}
		acknowledged = b.Position
	}
	r.sendWhenSaved(m.From, Message{Kind: AppendReply, Term: r.term, Last: acknowledged, Sent: m.Sent, OK: true})
}

// stepInstall replaces this replica's state by that of the leader, unless it already has all batches in that state.
func (r *Replica) stepInstall(m Message) {
	if r.last.Term != m.Term || r.last.Seq < m.Last.Seq {
		r.install(m)
	}
	r.sendWhenSaved(m.From, Message{Kind: AppendReply, Term: r.term, Last: m.Last, Sent: m.Sent, OK: true})
}
