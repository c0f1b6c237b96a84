package quorum

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// step does something, and then what raft wants of it. The library panics where a log goes back: its voter retires.
func (c *Core) step(now singleton.Seconds, do func()) (out Out) {
	c.out, c.tickAt = Out{}, now
	defer func() {
		if r := recover(); r != nil {
			c.retire(fmt.Sprint(r))
		}
		out, c.out = c.out, Out{}
	}()
	if c.node == nil {
		return c.out
	}
	do()
	c.ready(now)
	return c.out
}

// greet asks the others who this voter is to them, until more than half have said; a voter that is named and not formed
// tells the first of them its id.
func (c *Core) greet() {
	if c.state == Voting || c.ticks%helloEvery != 0 {
		return
	}
	last, _ := c.mem.LastIndex()
	e := envelope{Kind: kindHello, Index: last, Formed: c.state != Unformed}
	to := c.named
	if c.state != Unformed {
		to = slices.Sorted(maps.Values(c.d.Names))
		c.trust()
	}
	for _, name := range to {
		if name != c.name {
			c.send(name, e)
		}
	}
	c.form()
}

// trust lets it vote once a majority, itself among it, has not seen it further than it is.
func (c *Core) trust() {
	if c.state != Waiting {
		return
	}
	voters := c.conf.GetVoters()
	n := 0
	for _, id := range voters {
		if id == c.d.ID || c.vouched[id] {
			n++
		}
	}
	if 2*n > len(voters) || mutated("vote-untold") {
		c.state, c.out.Changed = Voting, true
	}
}

// form makes the voters that the configuration names one group, once each of them has said that its folder knows of none. The
// first by name does it, and goes on telling those that did not hear.
func (c *Core) form() {
	if c.state != Unformed || len(c.named) == 0 || c.named[0] != c.name || len(c.unformed) < len(c.named)-1 {
		return
	}
	voters := map[uint64]string{c.d.ID: c.name}
	for name, id := range c.unformed {
		voters[id] = name
	}
	if len(voters) == len(c.named) {
		c.formed(voters, c.base)
	}
}

// formed is the beginning of the log, the same at each voter.
func (c *Core) formed(voters map[uint64]string, base uint64) {
	r := singleton.NewLeaseTable()
	r.LastToken = base
	data, err := cbor.Marshal(snapshot{r, voters})
	if err != nil {
		c.retire(err.Error())
		return
	}
	s := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(voters))}}}
	if !c.save(Batch{Snapshot: s, Replace: true, Names: voters, Hard: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}}) {
		return
	}
	c.d.Snapshot, c.d.Names = s, voters
	c.d.Hard = &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
	if err := c.begin(); err != nil {
		c.retire(err.Error())
		return
	}
	c.out.Changed = true
}
