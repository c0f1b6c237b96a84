package quorum

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// snapshot is the content of raft's snapshots.
type snapshot struct {
	Table      *singleton.LeaseTable `cbor:"1,keyasint"`
	VoterNames map[uint64]string     `cbor:"2,keyasint"` // by id
}

// restore replaces the table and the voters by those of a snapshot.
func (v *Voter) restore(s *pb.Snapshot) error {
	var content snapshot
	if err := cbor.Unmarshal(s.GetData(), &content); err != nil {
		return fmt.Errorf("quorum: decode a snapshot: %w: %w", ErrCorrupt, err)
	}
	if content.Table == nil {
		return fmt.Errorf("quorum: decode a snapshot: %w: no table", ErrCorrupt)
	}
	if content.Table.Leases == nil {
		content.Table.Leases = map[string]singleton.Lease{}
	}
	v.table, v.durable.VoterNames = content.Table, content.VoterNames
	v.manager.SetTable(v.table)
	v.confState = proto.CloneOf(s.GetMetadata().GetConfState())
	v.appliedIndex, v.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// compact stores a snapshot after every snapshotEvery entries, and drops the entries that it replaces, except the last
// retainedEntries.
func (v *Voter) compact() {
	if v.node == nil || v.appliedIndex < v.snapshotIndex+snapshotEvery {
		return
	}
	data, err := cbor.Marshal(snapshot{Table: v.table, VoterNames: v.durable.VoterNames})
	if err != nil {
		return
	}
	s, err := v.raftStorage.CreateSnapshot(v.appliedIndex, v.confState, data)
	if err != nil || !v.save(Batch{Snapshot: s}) {
		return
	}
	v.snapshotIndex = v.appliedIndex
	if v.appliedIndex > retainedEntries {
		v.raftStorage.Compact(v.appliedIndex - retainedEntries)
	}
}
