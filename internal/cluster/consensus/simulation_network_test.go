package consensus

import (
	"fmt"
	"slices"
)

// perform executes an action of a node's proposer.
func (s *simulation) perform(i int, a Action) {
	n := s.nodes[i]
	if a.Kind == None || n.abandoned {
		return
	}
	n.action = a
	switch a.Kind {
	case Prepare, Read, Accept:
		s.request(i, a)
	case Fetch:
		s.fetch(i, slices.Index(s.names, a.Source), int(a.Attempt))
	case Compose:
		s.compose(i, a)
	case Apply:
		s.apply(i, a.Proposal)
		if a.Proposal.Voters != nil {
			n.electorateEpoch = a.Proposal.Epoch
		}
		for to := range s.nodes {
			chosen := Proposal{Ballot: a.Proposal.Ballot, Epoch: a.Proposal.Epoch}
			s.network = append(s.network, message{from: i, to: to, chosen: &chosen})
		}
		s.perform(i, n.proposer.Applied(a.Attempt, n.Base()))
	case Done:
		s.endRun(n)
	}
}

// request sends a proposer's request to the voters.
func (s *simulation) request(i int, a Action) {
	for _, addr := range a.To {
		m := message{
			from: i, to: slices.Index(s.names, addr),
			attempt: int(a.Attempt), incarnation: s.nodes[i].name,
		}
		switch a.Kind {
		case Prepare:
			m.prepare = &a.Ballot
		case Read:
			m.read = &a.Ballot
		case Accept:
			m.accept = &a.Proposal
		}
		s.network = append(s.network, m)
	}
}

// endRun checks what must hold after a run, and queues the calls that the run did not answer again.
func (s *simulation) endRun(n *node) {
	if n.reading {
		for _, c := range n.acknowledgedBefore {
			s.checkApplied(n.snapshot, c)
		}
	}
	n.queue = append(n.queue, n.running...)
	n.running, n.reading, n.wantedChange = nil, false, nil
	if n.electorateEpoch > 0 && n.electorateEpoch == n.Electorate.Since && s.fault != "unsealed" {
		s.checkSealed(n.Electorate)
	}
	n.electorateEpoch = 0
}

// checkSealed checks that a completed change of the electorate is on the disks of a majority of the new electorate.
func (s *simulation) checkSealed(e Electorate) {
	have := 0
	for _, v := range e.Voters {
		n := s.nodes[slices.Index(s.names, v.Addr)]
		if n.synced.Electorate.Since >= e.Since || s.diskLost(v, -1) { // a lost disk may have had it before the loss
			have++
		}
	}
	if have < e.Majority() {
		s.fail("the electorate of epoch %d is on too few disks", e.Since)
	}
}

// compose answers a Compose action of a node with the content of its proposal.
func (s *simulation) compose(i int, a Action) {
	n := s.nodes[i]
	all := make([]items, len(n.running))
	for k, c := range n.running {
		for _, it := range c.items {
			it.Epoch = n.Epoch + 1
			all[k] = append(all[k], it)
		}
	}
	if s.rnd.IntN(8) == 0 {
		s.perform(i, n.proposer.Timeout(a.Attempt)) // the node took too long
		return
	}
	proposed, verdicts := ComposeProposal(n.snapshot, all, 1000, mergeValid)
	var left []*call
	for k, v := range verdicts {
		c := n.running[k]
		switch {
		case v.Err != nil && !a.Confirmed:
			s.perform(i, n.proposer.RequireConfirmation(a.Attempt))
			return
		case v.Err != nil:
			c.rejected, c.node = true, -2
		case v.AlreadyApplied:
			c.acknowledged, c.node = true, -2
		default:
			left = append(left, c)
		}
	}
	n.running = left
	voters := s.wantedVoters(n)
	if voters != nil {
		proposed = nil
	}
	s.perform(i, n.proposer.Composed(a.Attempt, n.Base(), proposed, voters))
}

// apply applies a proposal that a node considers chosen, and checks that no other proposal was chosen for its epoch.
func (s *simulation) apply(i int, p Proposal) {
	n, text := s.nodes[i], fmt.Sprint(p.Items, p.Voters)
	if old, ok := s.chosen[p.Epoch]; ok && old != text {
		s.fail("epoch %d: %s and %s", p.Epoch, old, text)
	}
	s.chosen[p.Epoch] = text
	if p.Epoch != n.Epoch+1 {
		return
	}
	_, next, err := mergeValid(n.snapshot, p.Items)
	if err != nil {
		s.fail("epoch %d: not valid", p.Epoch)
		return
	}
	n.snapshot = next
	n.Learn(n.Base().With(p))
}

// fetch sends a catch-up request from one node to another.
func (s *simulation) fetch(i, from, attempt int) {
	n := s.nodes[i]
	since := n.Epoch
	s.network = append(s.network, message{from: i, to: from, attempt: attempt, incarnation: n.name, catchUp: &since})
}

// takeMessage removes a random message from the network.
func (s *simulation) takeMessage() message {
	k := s.rnd.IntN(len(s.network))
	m := s.network[k]
	s.network[k] = s.network[len(s.network)-1]
	s.network = s.network[:len(s.network)-1]
	return m
}

// reply sends a reply: at once if unsynced is set, else after the next sync of the node's state.
func (s *simulation) reply(m message, unsynced bool) {
	if unsynced {
		s.network = append(s.network, m)
	} else {
		n := s.nodes[m.from]
		n.unsyncedReplies = append(n.unsyncedReplies, m)
	}
}

// sync writes the state of a node to its disk, and sends the replies that waited for it.
func (s *simulation) sync(i int) {
	n := s.nodes[i]
	n.synced = n.diskState
	s.network = append(s.network, n.unsyncedReplies...)
	n.unsyncedReplies = nil
}

// deliver delivers a random message. With repeat set, some messages are delivered twice.
func (s *simulation) deliver(repeat bool) {
	if len(s.network) == 0 {
		return
	}
	m := s.takeMessage()
	if s.partitioned >= 0 && m.from != m.to && (m.from == s.partitioned || m.to == s.partitioned) {
		return
	}
	if repeat && s.rnd.IntN(12) == 0 {
		s.network = append(s.network, m)
	}
	n := s.nodes[m.to]
	if n.removed {
		return
	}
	switch {
	case m.promise != nil || m.accepted != nil || m.fetched:
		if m.incarnation == n.name {
			s.receiveReply(n, m)
		}
	case m.chosen != nil:
		if f := n.Pending; f != nil && f.Ballot == m.chosen.Ballot && f.Epoch == m.chosen.Epoch {
			s.apply(m.to, *f)
		}
	default:
		s.receiveRequest(n, m)
	}
}

// receiveRequest answers a request.
func (s *simulation) receiveRequest(n *node, m message) {
	answer := message{from: m.to, to: m.from, attempt: m.attempt, incarnation: m.incarnation}
	if m.catchUp != nil {
		answer.fetched, answer.base = true, n.Base()
		for _, it := range n.snapshot {
			if it.Epoch > *m.catchUp {
				answer.items = append(answer.items, it)
			}
		}
		s.reply(answer, true)
		return
	}
	if n.empty() {
		return // a node without state has no vote and can't answer
	}
	unsynced := s.fault == "unsynced"
	switch {
	case m.read != nil:
		promise := n.Read()
		answer.promise, unsynced = &promise, true
	case m.prepare != nil:
		promise, _ := n.Prepare(*m.prepare)
		answer.promise = &promise
	case m.accept != nil:
		accepted, _ := n.Accept(*m.accept)
		answer.accepted = &accepted
	}
	s.reply(answer, unsynced)
}

// receiveReply passes a reply to the proposer that waits for it.
func (s *simulation) receiveReply(n *node, m message) {
	attempt := uint64(m.attempt)
	switch {
	case m.fetched:
		if m.base.Epoch == n.Epoch && !n.Electorate.Known() {
			n.Electorate = m.base.Electorate
		}
		if m.base.Epoch > n.Epoch && m.base.Electorate.Known() {
			_, next, err := mergeValid(n.snapshot, m.items)
			if err != nil {
				s.fail("node %d fetched items that are not valid", m.to)
				return
			}
			n.snapshot = next
			n.Learn(m.base)
		}
		s.perform(m.to, n.proposer.Fetched(attempt, n.Base()))
	case m.promise != nil:
		s.perform(m.to, n.proposer.Promised(attempt, s.names[m.from], *m.promise))
	case m.accepted != nil:
		s.perform(m.to, n.proposer.Accepted(attempt, s.names[m.from], *m.accepted))
	}
}

// checkApplied checks that an acknowledged call, or a later version of its items, is in a snapshot.
func (s *simulation) checkApplied(in snapshot, c *call) {
	for _, it := range c.items {
		if have, ok := in[it.Key]; !ok || have.Version < it.Version {
			s.fail("call %d was acknowledged, and %v is %v", c.id, it, have)
		}
	}
}

// heal ends all faults, lets all nodes catch up, runs a read at each node, and checks the result there.
func (s *simulation) heal() {
	s.partitioned = -1
	s.runUntilIdle()
	for i, n := range s.nodes {
		if n.removed {
			continue
		}
		s.start(i, true)
		s.runUntilIdle()
		s.checkCalls(n)
	}
}

// checkCalls checks that a node has the items of all acknowledged calls and of no rejected call.
func (s *simulation) checkCalls(n *node) {
	for _, c := range s.calls {
		if c.acknowledged {
			s.checkApplied(n.snapshot, c)
		}
		for _, it := range c.items {
			if have := n.snapshot[it.Key]; c.rejected && have.Version == it.Version {
				s.fail("call %d was rejected, and %v is in force", c.id, it)
			}
		}
	}
}

// runUntilIdle runs without faults until nothing is in progress.
func (s *simulation) runUntilIdle() {
	const maxRounds = 3000
	for range maxRounds {
		idle := len(s.network) == 0
		for i, n := range s.nodes {
			idle = idle && len(n.unsyncedReplies) == 0
			s.sync(i) // all nodes sync before any of them times out
		}
		for i, n := range s.nodes {
			if !n.removed {
				idle = s.expireTimers(i, n) && idle
			}
		}
		if idle {
			return
		}
		if len(s.network) == 0 || s.rnd.IntN(8) == 0 {
			s.fetch(s.rnd.IntN(len(s.nodes)), s.rnd.IntN(len(s.nodes)), 0) // the periodic catch-up
		}
		for n := len(s.network); n > 0; n-- {
			s.deliver(false)
		}
	}
	s.fail("still busy after the longest run without faults")
}

// expireTimers lets the timers of a node expire, and reports whether it has nothing to do.
func (s *simulation) expireTimers(i int, n *node) (idle bool) {
	v, listed := n.Electorate.VoterAt(n.Addr)
	replaced := listed && v.Disk != n.Disk
	idle = n.action.Kind == Done && !n.empty() && !replaced
	switch {
	case n.action.Kind == Backoff && s.rnd.IntN(4) == 0:
		s.perform(i, n.proposer.Resumed(n.action.Attempt, n.Base()))
	case len(s.network) == 0 && n.action.Kind != Done && n.action.Kind != Backoff:
		s.perform(i, n.proposer.Timeout(n.action.Attempt))
	case n.action.Kind == Done && replaced && s.rnd.IntN(4) == 0:
		s.enrollDisk(i)
	}
	return idle
}
