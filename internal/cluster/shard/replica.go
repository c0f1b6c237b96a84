package shard

import (
	"maps"
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

// Bounds of the recent batches that a replica keeps in memory, from which it can bring other replicas up to date
// without sending them the complete state. Above one of them, the older half of the batches is dropped.
const (
	maxRecentBatches = 512     // batches
	maxRecentBytes   = 1 << 20 // bytes of keys and values
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Options are the arguments of New.
type Options struct {
	Shard uint32
	Self  consensus.Voter
	Seed  uint64  // seed of the jitter of elections
	State State   // state on the disk; without voters, this replica never had a state of the shard
	Now   float64 // time of the start, seconds
}

// Replica is one replica of a shard.
type Replica struct {
	shard uint32
	self  consensus.Voter
	rnd   *rand.Rand

	// The state, as it will be on disk once all saves are synced.
	term     uint64
	votedFor string
	last     Position
	voters   []consensus.Voter
	records  map[string][]byte

	recent      []Batch  // the batches up to last, without a gap
	recentBase  Position // position of the batch before recent
	recentBytes int

	role       role
	leaderAddr string          // address of the leader as last known; empty means unknown
	grantUntil float64         // time before which this replica votes for no other leader, seconds
	electionAt float64         // time before which this replica doesn't campaign, seconds
	granted    map[string]bool // other voters that granted the vote or pre-vote of this campaign, by address
	ballotSave uint64          // number of the save with this candidate's own vote

	leadership // only used by the leader

	lastSave  uint64   // number of the last save
	saved     uint64   // all saves up to this number are synced
	savedLast Position // position of the last batch on disk
	unsynced  []savedPosition
	unsent    []unsentMessage
	out       Output
}

// savedPosition is the position that the state on disk has after a save.
type savedPosition struct {
	number uint64
	last   Position
}

// unsentMessage is a message that is sent once a save is synced.
type unsentMessage struct {
	save    uint64
	message Message
}

// New returns a replica that starts as a follower with the state on its disk.
func New(o Options) *Replica {
	r := &Replica{
		shard: o.Shard, self: o.Self, rnd: rand.New(rand.NewPCG(o.Seed, uint64(o.Shard))),
		term: o.State.Term, votedFor: o.State.VotedFor, last: o.State.Last, voters: o.State.Voters,
		records: o.State.Records, recentBase: o.State.Last, savedLast: o.State.Last,
	}
	if r.records == nil {
		r.records = map[string][]byte{}
	}
	if !mutants.On("shard/forgets-grant") { // the previous process on this disk may have supported a lease
		r.grantUntil = o.Now + grantTTL
	}
	r.postponeElection(max(r.grantUntil, o.Now))
	return r
}

// Take returns the saves and messages that were queued since the last call.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Bootstrap gives a replica without any state the state of the first voters. It does nothing on other replicas.
func (r *Replica) Bootstrap(voters []consensus.Voter) {
	if r.last != (Position{}) {
		return
	}
	r.voters, r.last, r.recentBase = voters, InitialPosition, InitialPosition
	r.save(nil, false)
}

// Saved reports that all saves up to a number are synced.
func (r *Replica) Saved(number uint64, now float64) {
	r.saved = max(r.saved, number)
	for len(r.unsynced) > 0 && r.unsynced[0].number <= r.saved {
		r.savedLast = r.unsynced[0].last
		r.unsynced = r.unsynced[1:]
	}
	for len(r.unsent) > 0 && r.unsent[0].save <= r.saved {
		r.out.Messages = append(r.out.Messages, r.unsent[0].message)
		r.unsent = r.unsent[1:]
	}
	switch r.role {
	case candidate:
		r.countVotes(now)
	case leader:
		r.advanceCommit()
	}
}

// save queues a save of the present header, with these writes.
func (r *Replica) save(writes []Write, replace bool) {
	r.lastSave++
	header := Header{Term: r.term, VotedFor: r.votedFor, Last: r.last, Voters: r.voters}
	r.out.Saves = append(r.out.Saves, Save{Number: r.lastSave, Header: header, Writes: writes, Replace: replace})
	r.unsynced = append(r.unsynced, savedPosition{r.lastSave, r.last})
}

// send sends a message at once.
func (r *Replica) send(to string, m Message) {
	r.out.Messages = append(r.out.Messages, r.address(to, m))
}

// sendWhenSaved sends a message once all saves queued so far are synced.
func (r *Replica) sendWhenSaved(to string, m Message) {
	if r.saved >= r.lastSave || mutants.On("shard/answers-unsaved") {
		r.send(to, m)
		return
	}
	r.unsent = append(r.unsent, unsentMessage{r.lastSave, r.address(to, m)})
}

func (r *Replica) address(to string, m Message) Message {
	m.From, m.To, m.Shard, m.Disk = r.self.Addr, to, r.shard, r.self.Disk
	return m
}

// apply applies the batch that follows the last one.
func (r *Replica) apply(b Batch) {
	for _, write := range b.Writes {
		if write.Value == nil {
			delete(r.records, write.Key)
		} else {
			r.records[write.Key] = write.Value
		}
	}
	if b.Voters != nil {
		r.voters = b.Voters
	}
	r.last = b.Position
	r.recent = append(r.recent, b)
	r.recentBytes += b.size()
	if len(r.recent) > maxRecentBatches || r.recentBytes > maxRecentBytes {
		r.dropRecent(len(r.recent) / 2)
	}
	r.save(b.Writes, false)
}

// dropRecent drops the oldest recent batches.
func (r *Replica) dropRecent(count int) {
	for _, b := range r.recent[:count] {
		r.recentBytes -= b.size()
		r.recentBase = b.Position
	}
	r.recent = slices.Clone(r.recent[count:])
}

func (b Batch) size() (bytes int) {
	for _, write := range b.Writes {
		bytes += len(write.Key) + len(write.Value)
	}
	return bytes
}

// install replaces the state by the complete state of a leader.
func (r *Replica) install(m Message) {
	r.records = map[string][]byte{}
	for _, write := range m.Records {
		r.records[write.Key] = write.Value
	}
	r.last, r.voters = m.Last, m.Voters
	r.recent, r.recentBase, r.recentBytes = nil, m.Last, 0
	r.savedLast = Position{} // the records on disk are not part of this state until the save is synced
	r.unsynced = nil
	r.save(m.Records, true)
}

// isVoter reports whether a replica is listed with its disk in the voters that this replica knows.
func (r *Replica) isVoter(v consensus.Voter) bool {
	if mutants.On("shard/any-disk") {
		return slices.ContainsFunc(r.voters, func(o consensus.Voter) bool { return o.Addr == v.Addr })
	}
	return slices.Contains(r.voters, v)
}

// IsVoter reports whether this replica is a voter, as of its last batch. A leader removes another voter from that
// voter's own list only after the removal is committed.
func (r *Replica) IsVoter() bool { return r.isVoter(r.self) }

// Records returns the records as of Last. The caller must not change them, nor use them after the next call of a
// method.
func (r *Replica) Records() map[string][]byte { return r.records }

// Last is the position of this replica's last batch, committed or not.
func (r *Replica) Last() Position { return r.last }

// Term is the highest term seen.
func (r *Replica) Term() uint64 { return r.term }

// Leader is the address of the leader as last known; empty means unknown.
func (r *Replica) Leader() string { return r.leaderAddr }

// Voters returns the voters as of Last. The caller must not change them.
func (r *Replica) Voters() []consensus.Voter { return r.voters }

// snapshot returns all records as writes, in the order of their keys.
func (r *Replica) snapshot() []Write {
	writes := make([]Write, 0, len(r.records))
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		writes = append(writes, Write{Key: key, Value: r.records[key]})
	}
	return writes
}
