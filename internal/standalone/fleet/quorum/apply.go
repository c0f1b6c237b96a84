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
func (c *Core) apply(now singleton.Seconds, e *pb.Entry) {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange:
		cc := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			c.retire(err.Error())
			return
		}
		names := maps.Clone(c.d.Names)
		if cc.GetType() == pb.ConfChangeRemoveNode {
			delete(names, cc.GetNodeId())
		} else {
			names[cc.GetNodeId()] = string(cc.GetContext())
		}
		c.d.Names = names
		c.conf = c.node.ApplyConfChange(cc)
		c.save(Batch{Names: names})
		c.out.Changed = true
	default:
		if len(e.GetData()) == 0 { // the first of a leader: all before it is applied
			if c.leads && e.GetTerm() == c.node.BasicStatus().GetTerm() {
				c.led = true
				c.carry(now, c.clerk.Step(now, singleton.LeadershipGained{}))
			}
			return
		}
		var k singleton.Command
		if err := decoding.Unmarshal(e.GetData(), &k); err != nil {
			return // agreed on by all alike: all pass over it
		}
		ok := c.register.Apply(k, e.GetIndex())
		c.out.Changed = c.out.Changed || ok && k.Kind != singleton.Renew
		c.carry(now, c.clerk.Step(now, singleton.CommandApplied{Command: k, OK: ok}))
	}
}

// compact lets go of entries that a snapshot stands for.
func (c *Core) compact() {
	if c.node == nil || c.applied < c.kept+snapshotEvery {
		return
	}
	data, err := cbor.Marshal(snapshot{c.register, c.d.Names})
	if err != nil {
		return
	}
	s, err := c.mem.CreateSnapshot(c.applied, c.conf, data)
	if err != nil || !c.save(Batch{Snapshot: s}) {
		return
	}
	c.kept = c.applied
	if c.applied > keptEntries {
		c.mem.Compact(c.applied - keptEntries)
	}
}

// carry does what the clerk wants.
func (c *Core) carry(now singleton.Seconds, actions []singleton.ManagerAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case singleton.Propose:
			if data, err := cbor.Marshal(a.Command); err == nil && c.node != nil && len(data) <= mostData {
				c.node.Propose(data) // dropped where it leads no more: who waits asks again
			}
		case singleton.Reply:
			c.out.Reply = append(c.out.Reply, a)
		case singleton.Wake:
			if a.Name != "" {
				c.out.Nudge = append(c.out.Nudge, a.Name)
			}
		}
	}
}

// Change adds a voter that waits to be added, or removes one. One change is agreed on at a time.
func (c *Core) Change(now singleton.Seconds, name string, add bool) (out Out, err error) {
	out = c.step(now, func() {
		if !c.led {
			err = ErrNotLeading
			return
		}
		cc := &pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), Context: []byte(name)}
		if add {
			id, waits := c.unformed[name]
			if !waits {
				err = fmt.Errorf("%s: %w", name, ErrNotWaiting)
				return
			}
			cc.NodeId = new(id)
		} else {
			cc.Type = pb.ConfChangeRemoveNode.Enum()
			for id, n := range c.d.Names {
				if n == name {
					cc.NodeId = new(id)
				}
			}
			if cc.NodeId == nil {
				err = fmt.Errorf("%s: %w", name, ErrNoVoter)
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
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 1024, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
