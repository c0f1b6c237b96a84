package quorum

import (
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// propose proposes a command for the log. If raft drops it because this voter no longer leads, the ingress repeats its
// request and the new leader proposes the command again.
func (v *Voter) propose(command singleton.Command) {
	data, err := cbor.Marshal(command)
	if err != nil || v.node == nil || len(data) > maxProposalBytes {
		return
	}
	v.node.Propose(data)
}

// apply applies a committed entry.
func (v *Voter) apply(now singleton.Seconds, entry *pb.Entry) {
	v.appliedIndex = entry.GetIndex()
	switch {
	case entry.GetType() == pb.EntryConfChange:
		v.applyConfChange(entry)
	case len(entry.GetData()) == 0:
		// A new leader's first entry is empty. Once it is applied, so are all entries of earlier leaders.
		if v.raftLeader && entry.GetTerm() == v.node.BasicStatus().GetTerm() {
			v.leading = true
			v.stepManager(now, singleton.LeadershipGained{})
		}
	default:
		v.applyCommand(now, entry)
	}
}

// applyConfChange applies a change of the set of voters.
func (v *Voter) applyConfChange(entry *pb.Entry) {
	change := &pb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		v.retire(err.Error())
		return
	}
	names := maps.Clone(v.durable.VoterNames)
	if change.GetType() == pb.ConfChangeRemoveNode {
		delete(names, change.GetNodeId())
	} else {
		names[change.GetNodeId()] = string(change.GetContext())
	}
	v.durable.VoterNames = names
	v.confState = v.node.ApplyConfChange(change)
	v.save(Batch{VoterNames: names})
	v.output.Changed = true
}

// applyCommand applies a command to the table. A command that cannot be decoded is skipped; all voters skip it, so that
// their tables stay equal.
func (v *Voter) applyCommand(now singleton.Seconds, entry *pb.Entry) {
	var command singleton.Command
	if err := strictDecoding.Unmarshal(entry.GetData(), &command); err != nil {
		return
	}
	ok := v.table.Apply(command, entry.GetIndex())
	if ok && command.Kind != singleton.Renew {
		v.output.Changed = true
	}
	v.stepManager(now, singleton.CommandApplied{Command: command, OK: ok})
}

// ChangeVoters proposes to add a voter, which must have sent a hello with an empty store, or to remove one. raft agrees
// on one change at a time. err is or wraps ErrNotLeader, ErrUnknownVoter, ErrNotJoining, or an error of raft.
func (v *Voter) ChangeVoters(now singleton.Seconds, name string, add bool) (output Output, err error) {
	output = v.step(now, func() {
		if !v.leading {
			err = ErrNotLeader
			return
		}
		prepare := v.removal
		if add {
			prepare = v.addition
		}
		var change *pb.ConfChange
		if change, err = prepare(name); err != nil {
			return
		}
		if dropped := v.node.ProposeConfChange(change); dropped != nil {
			err = fmt.Errorf("quorum: propose a change of the voters: %w", dropped)
		}
	})
	return output, err
}

func (v *Voter) addition(name string) (*pb.ConfChange, error) {
	id, joining := v.unbootstrapped[name]
	if !joining {
		return nil, fmt.Errorf("%s: %w", name, ErrNotJoining)
	}
	return &pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(id), Context: []byte(name)}, nil
}

func (v *Voter) removal(name string) (*pb.ConfChange, error) {
	for id, voter := range v.durable.VoterNames {
		if voter == name {
			return &pb.ConfChange{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(id), Context: []byte(name)}, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", name, ErrUnknownVoter)
}
