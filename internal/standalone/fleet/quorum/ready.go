package quorum

import (
	"errors"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/mutants"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// handleReady handles raft's Ready in the order that raft requires: store, then send, then apply.
func (v *Voter) handleReady(now singleton.Seconds) {
	for v.node != nil && v.node.HasReady() {
		ready := v.node.Ready()
		if s := ready.SoftState; s != nil {
			v.leader, v.raftLeader, v.output.Changed = s.Lead, s.RaftState == raft.StateLeader, true
			if !v.raftLeader {
				v.loseLeadership()
			}
		}
		if !v.storeReady(ready) {
			return
		}
		for _, m := range ready.Messages {
			v.sendRaft(m)
		}
		for _, entry := range ready.CommittedEntries {
			v.apply(now, entry)
			if v.node == nil {
				return
			}
		}
		v.node.Advance(ready)
		v.compact()
	}
}

// storeReady makes the entries, the hard state and the snapshot of a Ready durable. It returns false if that failed, in
// which case the voter must not send or apply anything.
func (v *Voter) storeReady(ready raft.Ready) bool {
	batch := Batch{Entries: ready.Entries}
	if !raft.IsEmptyHardState(ready.HardState) {
		batch.HardState = ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot, batch.Replace = ready.Snapshot, true
	}
	if batch.HardState == nil && batch.Snapshot == nil && len(batch.Entries) == 0 {
		return true
	}
	if batch.Snapshot != nil {
		if err := v.installSnapshot(batch.Snapshot); err != nil {
			v.retire(err.Error())
			return false
		}
		batch.VoterNames = v.durable.VoterNames
	}
	if !v.save(batch) {
		return false
	}
	if batch.HardState != nil {
		v.raftStorage.SetHardState(batch.HardState)
	}
	v.raftStorage.Append(batch.Entries)
	return true
}

// installSnapshot replaces the table and the voters by those of a leader's snapshot.
func (v *Voter) installSnapshot(s *pb.Snapshot) error {
	if err := v.raftStorage.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	if err := v.restore(s); err != nil {
		return err
	}
	if v.state == Unformed {
		v.state = Voting // a newly added voter has never voted under its id, so it needs no confirmation
	}
	return nil
}

// save stores a batch. If the disk is full, the voter sends nothing until there is space. After any other error the
// voter retires, because the state of the store is unknown.
func (v *Voter) save(b Batch) bool {
	b.Peers = v.durable.Peers
	if mutants.On("quorum/vote-unkept") {
		b.HardState = nil
	}
	if mutants.On("quorum/entries-unkept") {
		b.Entries = nil
	}
	err := v.store.Save(b)
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrNoSpace):
		v.state, v.reason, v.node = Full, err.Error(), nil
		v.loseLeadership()
		v.output.Changed = true
	default:
		v.retire(err.Error())
	}
	return false
}

// sendRaft sends a message of raft. A leader's heartbeats also carry the last index that each voter acknowledged, so
// that the receivers can store the progress of the other voters, see PeerProgress.
func (v *Voter) sendRaft(m *pb.Message) {
	name := v.durable.VoterNames[m.GetTo()]
	data, err := proto.Marshal(m)
	if name == "" || err != nil {
		return
	}
	e := envelope{Kind: kindRaft, RaftMessage: data}
	if v.raftLeader && m.GetType() == pb.MsgHeartbeat {
		e.Match = map[uint64]uint64{}
		v.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) { e.Match[id] = p.Match })
	}
	v.send(name, e)
	if m.GetType() == pb.MsgSnap {
		// Delivery is not tracked. raft sends a lost snapshot again when the follower rejects the entries that follow.
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}
