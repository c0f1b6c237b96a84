package shard

import (
	"slices"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

const (
	heartbeatInterval = 0.2 // seconds; a lease outlasts the loss of several heartbeats (LeaseTTL)
	resendAfter       = 0.7 // time after which an unanswered append is sent again, seconds
	maxBatchesSent    = 128 // batches in one message; the others follow after its reply
	// transferTimeout bounds the transfer of the leadership, in seconds. If no other leader is elected within it, this
	// leader steps down nevertheless, because it can't hold the lease again in this term.
	transferTimeout = 0.5
	// notifyFormerFor is how long a leader tries to send a former voter its removal, in seconds.
	notifyFormerFor = 2.0

	never = -1e9 // a time before all others, seconds
)

// leadership is the state of a leader, from the start of its term.
type leadership struct {
	electedAt    float64              // seconds
	firstSeq     uint64               // number of the batch with which the term began
	commit       uint64               // all batches up to this number are saved by a majority
	votersSeq    uint64               // number of the batch with the last change of the voters
	learners     []consensus.Voter    // replicas that receive batches and are not voters yet
	former       []formerVoter        // voters that were removed and may not have received that batch yet
	progress     map[string]*progress // progress of the other replicas by address
	heartbeatAt  float64              // time of the next heartbeats, seconds
	transferring bool                 // this leader no longer holds the lease, so that another replica can take over
	transferEnd  float64              // time at which it steps down, seconds
}

// formerVoter is a voter that was removed. Once its removal is committed, it receives that batch too, because a node
// that shuts down waits until it is no voter any more.
type formerVoter struct {
	addr    string
	removal uint64  // number of the batch without the voter
	until   float64 // time at which the leader stops sending, seconds
}

// progress is what a leader knows about another replica.
type progress struct {
	disk     uint64   // disk of the replica's last reply; until then, the disk that a voter is listed with
	position Position // position of the last batch that the replica is known or assumed to have
	matched  uint64   // all batches up to this number are saved on the replica
	answered float64  // sending time of the newest message that the replica has answered, seconds; never means none
	inFlight bool     // an append is not answered yet
	sentAt   float64  // sending time of that append, seconds
}

// becomeLeader makes this replica the leader of its term, and appends an empty batch. Once that batch is committed, all
// batches of earlier terms are committed too; a leader may commit them only together with one of its current term.
func (r *Replica) becomeLeader(now float64) {
	r.role, r.leaderAddr = leader, r.self.Addr
	r.leadership = leadership{progress: map[string]*progress{}, electedAt: now, firstSeq: r.last.Seq + 1}
	if mutants.On("shard/commits-former-terms") {
		r.firstSeq = 0
	}
	assumed := r.last
	for _, voter := range r.voters {
		r.progress[voter.Addr] = &progress{disk: voter.Disk, position: assumed, answered: never}
	}
	r.append(Batch{}, now)
	r.heartbeatAt = now
	r.tickLeader(now)
}

// Propose appends writes as the batch after Last. It does nothing unless this replica holds the lease. The writes are
// committed once Committed reaches that batch in the same term. If the term ends earlier, it is not known whether they
// will be committed.
func (r *Replica) Propose(writes []Write, now float64) {
	if r.HoldsLease(now) {
		r.append(Batch{Writes: writes}, now)
	}
}

// append appends a batch and replicates it.
func (r *Replica) append(b Batch, now float64) {
	b.Position = Position{Term: r.term, Seq: r.last.Seq + 1}
	if b.Voters != nil {
		r.votersSeq = b.Position.Seq
		r.addFormerVoters(b, now)
	}
	r.apply(b)
	for _, addr := range r.replicas() {
		r.replicate(addr, now)
	}
	r.advanceCommit()
}

// Committed returns the term of this replica's leadership, and the number of the last batch that is known to be saved
// by a majority. The term is 0 if this replica is not the leader, or has not committed a batch of its term yet.
func (r *Replica) Committed() (term, seq uint64) {
	if r.role != leader || r.commit < r.firstSeq {
		return 0, 0
	}
	return r.term, r.commit
}

// replicas returns the addresses of the other voters and of the learners.
func (r *Replica) replicas() (addrs []string) {
	for _, v := range slices.Concat(r.voters, r.learners) {
		if v.Addr != r.self.Addr && !slices.Contains(addrs, v.Addr) {
			addrs = append(addrs, v.Addr)
		}
	}
	return addrs
}

// progressOf returns the progress of a replica. A replica that has not answered yet is assumed to have all batches,
// until one of its replies reports its position.
func (r *Replica) progressOf(addr string) *progress {
	p := r.progress[addr]
	if p == nil {
		p = &progress{position: r.last, answered: never}
		r.progress[addr] = p
	}
	return p
}

// replicate sends a replica the batches that it does not have, or the complete state if the leader has already dropped
// some of them. It sends nothing while an append to that replica is unanswered.
func (r *Replica) replicate(addr string, now float64) {
	p := r.progressOf(addr)
	if p.inFlight || p.position == r.last {
		return
	}
	message := Message{Kind: Append, Term: r.term, Last: r.last, Prev: p.position, Sent: now}
	next, ok := r.nextRecent(p.position)
	if ok {
		message.Batches = slices.Clone(r.recent[next:min(len(r.recent), next+maxBatchesSent)])
	} else {
		message.Kind, message.Records, message.Voters = Install, r.snapshot(), r.voters
	}
	p.inFlight, p.sentAt = true, now
	r.send(addr, message)
}

// nextRecent returns the index of the recent batch that follows a position, and whether that batch is still kept.
func (r *Replica) nextRecent(p Position) (index int, ok bool) {
	if p == r.recentBase {
		return 0, true
	}
	index = int(int64(p.Seq) - int64(r.recentBase.Seq)) //nolint:gosec // numbers of batches, far below the limit
	if index < 1 || index > len(r.recent) || r.recent[index-1].Position != p {
		return 0, false
	}
	return index, true
}

func (r *Replica) tickLeader(now float64) {
	supported := max(r.electedAt, r.supportedSince(now))
	if r.transferring && now >= r.transferEnd || now >= supported+stepDownAfter {
		r.becomeFollower(r.term, "", now)
		return
	}
	if now < r.heartbeatAt {
		return
	}
	r.heartbeatAt = now + heartbeatInterval
	for _, addr := range r.replicas() {
		r.send(addr, Message{Kind: Heartbeat, Term: r.term, Last: r.last, Sent: now})
		r.resend(addr, now)
	}
	r.notifyFormerVoters(now)
}

// resend sends a replica the batches that it does not have, again if it has not answered for resendAfter.
func (r *Replica) resend(addr string, now float64) {
	if p := r.progressOf(addr); p.inFlight && now >= p.sentAt+resendAfter {
		p.inFlight = false
	}
	r.replicate(addr, now)
}

// addFormerVoters records the voters that a batch removes.
func (r *Replica) addFormerVoters(b Batch, now float64) {
	for _, voter := range r.voters {
		isVoter := slices.ContainsFunc(b.Voters, func(v consensus.Voter) bool { return v.Addr == voter.Addr })
		if voter.Addr != r.self.Addr && !isVoter {
			r.former = append(r.former, formerVoter{voter.Addr, b.Position.Seq, now + notifyFormerFor})
		}
	}
}

// notifyFormerVoters sends former voters the batches up to their removal, as soon as it is committed.
func (r *Replica) notifyFormerVoters(now float64) {
	r.former = slices.DeleteFunc(r.former, func(f formerVoter) bool {
		return now > f.until || r.progressOf(f.addr).matched >= f.removal
	})
	for _, f := range r.former {
		if f.removal <= r.commit {
			r.resend(f.addr, now)
		}
	}
}

// mayReceive reports whether a replica is sent batches: a voter, a learner, or a former voter whose removal is
// committed.
func (r *Replica) mayReceive(addr string) bool {
	isFormer := slices.ContainsFunc(r.former, func(f formerVoter) bool {
		return f.addr == addr && f.removal <= r.commit
	})
	return isFormer || slices.Contains(r.replicas(), addr)
}

// stepReply handles the answer of a replica to a heartbeat or an append.
func (r *Replica) stepReply(m Message, now float64) {
	if m.Term > r.term {
		r.becomeFollower(m.Term, "", now)
		return
	}
	if r.role != leader || m.Term != r.term {
		return
	}
	p := r.progressOf(m.From)
	if p.disk != m.Disk && !mutants.On("shard/any-disk") {
		// What the replica saved on its former disk no longer counts.
		*p = progress{disk: m.Disk, position: m.Last, answered: never}
	}
	if mutants.On("shard/lease-from-receipt") {
		m.Sent = now
	}
	p.answered = max(p.answered, m.Sent)
	switch {
	case m.Kind == HeartbeatReply:
		if !p.inFlight && p.position == r.last && m.Last != r.last {
			p.position = m.Last
		}
	case m.OK:
		p.inFlight, p.position = false, m.Last
		p.matched = max(p.matched, m.Last.Seq)
		r.advanceCommit()
	default:
		p.inFlight, p.position = false, m.Last
	}
	if r.mayReceive(m.From) {
		r.replicate(m.From, now)
	}
}

// advanceCommit commits the batches that a majority has saved, once these include a batch of this term.
func (r *Replica) advanceCommit() {
	seq := majorityValue(r, r.savedLast.Seq, 0, func(p *progress) uint64 { return p.matched })
	if seq >= r.firstSeq {
		r.commit = max(r.commit, seq)
	}
}

// TransferTo transfers the leadership to the voter at an address. It does nothing and returns false unless that voter
// has saved all batches and answered recently. The lease ends at once, and this replica does not hold it again in this
// term, because the other voter may be elected at any time.
func (r *Replica) TransferTo(addr string, now float64) (ok bool) {
	p := r.progress[addr]
	if !r.HoldsLease(now) || addr == r.self.Addr || p == nil {
		return false
	}
	if !r.isVoter(consensus.Voter{Addr: addr, Disk: p.disk}) || p.matched != r.last.Seq ||
		now > p.answered+2*heartbeatInterval {
		return false
	}
	r.transferring, r.transferEnd = true, now+transferTimeout
	r.send(addr, Message{Kind: TimeoutNow, Term: r.term, Last: r.last})
	return true
}

// ReplicaStatus is what a replica knows about one of the shard's replicas.
type ReplicaStatus struct {
	Addr    string
	Learner bool
	Behind  int64 // batches not confirmed to this leader; -1 means unknown, because this replica is not the leader
}

// Replicas returns the status of the voters and, at the leader, of the learners.
func (r *Replica) Replicas() (all []ReplicaStatus) {
	for _, v := range r.voters {
		all = append(all, ReplicaStatus{Addr: v.Addr, Behind: r.behind(v)})
	}
	for _, v := range r.learners {
		all = append(all, ReplicaStatus{Addr: v.Addr, Learner: true, Behind: r.behind(v)})
	}
	return all
}

// behind returns how many batches a replica has not confirmed to this leader; -1 if this replica is not the leader.
func (r *Replica) behind(v consensus.Voter) int64 {
	if r.role != leader {
		return -1
	}
	matched := r.savedLast.Seq
	if v != r.self {
		matched = r.progressOf(v.Addr).matched
	}
	return int64(r.last.Seq - min(r.last.Seq, matched)) //nolint:gosec // a count of batches
}
