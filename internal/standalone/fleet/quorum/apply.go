package quorum

import (
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// apply brings an entry that was agreed on to the register.
func (c *Voter) apply(now singleton.Seconds, e *pb.Entry) {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange:
		cc := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			c.retire(err.Error())
			return
		}
		names := maps.Clone(c.durable.Names)
		if cc.GetType() == pb.ConfChangeRemoveNode {
			delete(names, cc.GetNodeId())
		} else {
			names[cc.GetNodeId()] = string(cc.GetContext())
		}
		c.durable.Names = names
		c.confState = c.node.ApplyConfChange(cc)
		c.save(Batch{Names: names})
		c.out.Changed = true
	default:
		if len(e.GetData()) == 0 { // the first of a leader: all before it is applied
			if c.raftLeader && e.GetTerm() == c.node.BasicStatus().GetTerm() {
				c.leading = true
				c.execute(now, c.manager.Step(now, singleton.LeadershipGained{}))
			}
			return
		}
		var k singleton.Command
		if err := strictDecoding.Unmarshal(e.GetData(), &k); err != nil {
			return // agreed on by all alike: all pass over it
		}
		ok := c.table.Apply(k, e.GetIndex())
		c.out.Changed = c.out.Changed || ok && k.Kind != singleton.Renew
		c.execute(now, c.manager.Step(now, singleton.CommandApplied{Command: k, OK: ok}))
	}
}

// compact lets go of entries that a snapshot stands for.
func (c *Voter) compact() {
	if c.node == nil || c.applied < c.snapshotIndex+snapshotEvery {
		return
	}
	data, err := cbor.Marshal(snapshot{c.table, c.durable.Names})
	if err != nil {
		return
	}
	s, err := c.raftStorage.CreateSnapshot(c.applied, c.confState, data)
	if err != nil || !c.save(Batch{Snapshot: s}) {
		return
	}
	c.snapshotIndex = c.applied
	if c.applied > retainedEntries {
		c.raftStorage.Compact(c.applied - retainedEntries)
	}
}

// carry does what the clerk wants.
func (c *Voter) execute(now singleton.Seconds, actions []singleton.ManagerAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case singleton.Propose:
			if data, err := cbor.Marshal(a.Command); err == nil && c.node != nil && len(data) <= maxProposalBytes {
				c.node.Propose(data) // dropped where it leads no more: who waits asks again
			}
		case singleton.Reply:
			c.out.Replies = append(c.out.Replies, a)
		case singleton.Wake:
			if a.Name != "" {
				c.out.Wake = append(c.out.Wake, a.Name)
			}
		}
	}
}

// Change adds a voter that waits to be added, or removes one. One change is agreed on at a time.
func (c *Voter) ChangeVoters(now singleton.Seconds, name string, add bool) (out Output, err error) {
	out = c.step(now, func() {
		if !c.leading {
			err = ErrNotLeader
			return
		}
		cc := &pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), Context: []byte(name)}
		if add {
			id, waits := c.joining[name]
			if !waits {
				err = fmt.Errorf("%s: %w", name, ErrNotJoining)
				return
			}
			cc.NodeId = new(id)
		} else {
			cc.Type = pb.ConfChangeRemoveNode.Enum()
			for id, n := range c.durable.Names {
				if n == name {
					cc.NodeId = new(id)
				}
			}
			if cc.NodeId == nil {
				err = fmt.Errorf("%s: %w", name, ErrUnknownVoter)
				return
			}
		}
		if perr := c.node.ProposeConfChange(cc); perr != nil {
			err = fmt.Errorf("quorum: %w", perr)
		}
	})
	return out, err
}

// decoding is strict: what another process says is input.
var strictDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 1024, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
