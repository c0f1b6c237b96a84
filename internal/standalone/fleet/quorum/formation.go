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
func (c *Voter) step(now singleton.Seconds, do func()) (out Output) {
	c.out, c.steppedAt = Output{}, now
	defer func() {
		if r := recover(); r != nil {
			c.retire(fmt.Sprint(r))
		}
		out, c.out = c.out, Output{}
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
func (c *Voter) sendHello() {
	if c.state == Voting || c.ticks%helloTicks != 0 {
		return
	}
	last, _ := c.raftStorage.LastIndex()
	e := envelope{Kind: kindHello, Index: last, Formed: c.state != Unformed}
	to := c.configured
	if c.state != Unformed {
		to = slices.Sorted(maps.Values(c.durable.Names))
		c.startVotingIfConfirmed()
	}
	for _, name := range to {
		if name != c.name {
			c.send(name, e)
		}
	}
	c.bootstrapIfComplete()
}

// trust lets it vote once a majority, itself among it, has not seen it further than it is.
func (c *Voter) startVotingIfConfirmed() {
	if c.state != Waiting {
		return
	}
	voters := c.confState.GetVoters()
	n := 0
	for _, id := range voters {
		if id == c.durable.ID || c.confirmedBy[id] {
			n++
		}
	}
	if 2*n > len(voters) || mutated("vote-untold") {
		c.state, c.out.Changed = Voting, true
	}
}

// form makes the voters that the configuration names one group, once each of them has said that its folder knows of none. The
// first by name does it, and goes on telling those that did not hear.
func (c *Voter) bootstrapIfComplete() {
	if c.state != Unformed || len(c.configured) == 0 || c.configured[0] != c.name || len(c.joining) < len(c.configured)-1 {
		return
	}
	voters := map[uint64]string{c.durable.ID: c.name}
	for name, id := range c.joining {
		voters[id] = name
	}
	if len(voters) == len(c.configured) {
		c.bootstrap(voters, c.tokenBase)
	}
}

// formed is the beginning of the log, the same at each voter.
func (c *Voter) bootstrap(voters map[uint64]string, base uint64) {
	r := singleton.NewLeaseTable()
	r.LastToken = base
	data, err := cbor.Marshal(snapshot{r, voters})
	if err != nil {
		c.retire(err.Error())
		return
	}
	s := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(voters))}}}
	if !c.save(Batch{Snapshot: s, Replace: true, Names: voters, HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}}) {
		return
	}
	c.durable.Snapshot, c.durable.Names = s, voters
	c.durable.HardState = &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
	if err := c.startRaft(); err != nil {
		c.retire(err.Error())
		return
	}
	c.out.Changed = true
}
