package shard

import (
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

// Times of elections, in seconds. The voters campaign one after the other, so that the first one normally succeeds
// without a competing candidate. The order differs by shard, so that the leaders of several shards are spread over the
// voters.
const (
	// electionMargin is the wait after this voter's grant has ended, because the other voters may have received the
	// last heartbeat later.
	electionMargin = 0.03
	rankDelay      = 0.12 // added for each voter with a lower rank
	electionJitter = 0.06 // upper bound of the random part
	// campaignTimeout is the least time after which a campaign is repeated. A voter that has granted its vote does not
	// campaign itself before that time.
	campaignTimeout = 0.35
)

// Tick reports the time. It must be called several times per heartbeat interval.
func (r *Replica) Tick(now float64) {
	switch {
	case r.role == leader:
		r.tickLeader(now)
	case now >= r.electionAt && now >= r.grantUntil && r.isVoter(r.self):
		r.campaign(now, false)
	}
}

// postponeElection schedules this replica's next campaign some time after from, later for a higher rank.
func (r *Replica) postponeElection(from float64) {
	r.electionAt = from + electionMargin + rankDelay*float64(r.rank(r.self)) + electionJitter*r.rnd.Float64()
}

// rank is the position of a voter in the order of campaigns of this shard, from 0. Replicas that are not voters come
// last.
func (r *Replica) rank(v consensus.Voter) int {
	n := len(r.voters)
	for i, voter := range r.voters {
		if voter.Addr == v.Addr {
			return (i + n - int(r.shard)%n) % n
		}
	}
	return n
}

// Preferred returns the voter that campaigns first. It is not known while the replica has no voters.
func (r *Replica) Preferred() (preferred consensus.Voter, known bool) {
	for _, voter := range r.voters {
		if r.rank(voter) == 0 {
			return voter, true
		}
	}
	return consensus.Voter{}, false
}

// campaign requests votes. With a transferred leadership it becomes a candidate at once. Otherwise it first asks
// whether the voters would vote for it (pre-vote), so that a replica that was partitioned does not depose a working
// leader with a higher term.
func (r *Replica) campaign(now float64, transfer bool) {
	r.electionAt = now + campaignTimeout + electionJitter*r.rnd.Float64() + rankDelay*float64(r.rank(r.self))
	r.leaderAddr = ""
	if !transfer {
		r.role = preCandidate
		r.requestVotes(r.send, Message{Kind: Vote, Term: r.term + 1, Last: r.last, Pre: true})
		r.countVotes(now)
		return
	}
	r.becomeCandidate(now, true)
}

// becomeCandidate makes this replica a candidate in the next term, with a vote for itself. It requests votes once the
// term is saved. So a process that is started on this disk later begins with at least this term and campaigns in a
// higher one, and a term in which requests were sent belongs to one process. Replies name the term and no process: a
// late one never counts for another process than the one that asked.
func (r *Replica) becomeCandidate(now float64, transfer bool) {
	r.role = candidate
	r.term++
	r.votedFor = r.self.Addr
	r.save(nil, false)
	r.ballotSave = r.lastSave
	send := r.sendWhenSaved
	if mutants.On("shard/campaigns-unsaved") {
		send = r.send
	}
	r.requestVotes(send, Message{Kind: Vote, Term: r.term, Last: r.last, Transfer: transfer})
	r.countVotes(now)
}

func (r *Replica) requestVotes(send func(to string, m Message), m Message) {
	r.granted = map[string]bool{}
	for _, voter := range r.voters {
		if voter.Addr != r.self.Addr {
			send(voter.Addr, m)
		}
	}
}

// countVotes continues the campaign once a majority has granted the requested vote or pre-vote. This replica's own vote
// counts once it is saved.
func (r *Replica) countVotes(now float64) {
	votes := 0
	for _, voter := range r.voters {
		own := voter == r.self && (r.role == preCandidate || r.saved >= r.ballotSave)
		if own || r.granted[voter.Addr] {
			votes++
		}
	}
	if votes < consensus.Majority(len(r.voters)) {
		return
	}
	switch r.role {
	case preCandidate:
		r.becomeCandidate(now, false)
	case candidate:
		r.becomeLeader(now)
	}
}

// stepVote answers the request of a candidate for a vote, or for a pre-vote.
func (r *Replica) stepVote(m Message, now float64) {
	if len(r.voters) == 0 && !mutants.On("shard/any-disk") {
		return // without state of the shard, this replica can't compare positions
	}
	upToDate := m.Last.Compare(r.last) >= 0 || mutants.On("shard/votes-for-older")
	// Until its grant has ended, this voter neither votes nor adopts a candidate's higher term, so that no candidate
	// deposes a leader with a lease. In a transfer it does, because the leader has released its lease.
	mayVote := m.Transfer || now >= r.grantUntil && !r.HoldsLease(now) || mutants.On("shard/breaks-grant")
	reply := Message{Kind: VoteReply, Term: r.term, Pre: m.Pre}
	if m.Pre {
		if reply.OK = m.Term > r.term && upToDate && mayVote; reply.OK {
			reply.Term = m.Term
		}
		r.send(m.From, reply)
		return
	}
	if m.Term > r.term && mayVote {
		r.becomeFollower(m.Term, "", now)
	}
	reply.Term = r.term
	voteAvailable := r.votedFor == "" || r.votedFor == m.From || mutants.On("shard/votes-twice")
	competing := r.role == candidate || r.role == leader
	if m.Term != r.term || competing || !voteAvailable || !upToDate || !mayVote {
		r.send(m.From, reply)
		return
	}
	r.role, r.votedFor = follower, m.From
	r.postponeElection(now + campaignTimeout)
	r.save(nil, false)
	reply.OK = true
	r.sendWhenSaved(m.From, reply)
}

// stepVoteReply counts a vote.
func (r *Replica) stepVoteReply(m Message, now float64) {
	if !m.OK {
		if m.Term > r.term {
			r.becomeFollower(m.Term, "", now)
		}
		return
	}
	expected := m.Pre && r.role == preCandidate && m.Term == r.term+1 ||
		!m.Pre && r.role == candidate && m.Term == r.term
	if expected && r.isVoter(consensus.Voter{Addr: m.From, Disk: m.Disk}) {
		r.granted[m.From] = true
		r.countVotes(now)
	}
}

// becomeFollower makes this replica a follower in a term. An empty leaderAddr means that the leader is unknown.
func (r *Replica) becomeFollower(term uint64, leaderAddr string, now float64) {
	if term > r.term {
		r.term, r.votedFor = term, ""
	}
	if r.role != follower {
		r.role = follower
		r.leadership = leadership{}
		r.postponeElection(max(now, r.grantUntil))
	}
	r.leaderAddr = leaderAddr
}
