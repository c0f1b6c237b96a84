package quorum

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/mutants"
	"mulleinrouter/internal/standalone/fleet/singleton"
)

// sendHello asks the other voters, every helloTicks, up to which boot and entry they have seen this voter, until it is
// allowed to vote. A voter that is not bootstrapped sends its id to the configured voters.
func (v *Voter) sendHello() {
	if v.state == Voting || v.ticks%helloTicks != 0 {
		return
	}
	last, _ := v.raftStorage.LastIndex()
	hello := envelope{Kind: kindHello, LastIndex: last, Bootstrapped: v.state != Unformed}
	receivers := v.configured
	if v.state != Unformed {
		receivers = slices.Sorted(maps.Values(v.durable.VoterNames))
		v.startVotingIfConfirmed()
	}
	for _, name := range receivers {
		if name != v.name {
			v.send(name, hello)
		}
	}
	v.bootstrapIfComplete()
}

// startVotingIfConfirmed lets the voter vote once a majority, itself included, has confirmed that it has not seen this
// voter at a later boot or entry than the store holds. Otherwise a voter whose store was rolled back might vote twice
// in a term.
func (v *Voter) startVotingIfConfirmed() {
	if v.state != Waiting {
		return
	}
	voters := v.confState.GetVoters()
	confirmed := 0
	for _, id := range voters {
		if id == v.durable.ID || v.confirmedBy[id] {
			confirmed++
		}
	}
	if 2*confirmed > len(voters) || mutants.On("quorum/vote-untold") {
		v.state, v.output.Changed = Voting, true
	}
}

// bootstrapIfComplete bootstraps the configured voters as one group, once each of them has reported that its store
// knows no voters. The first voter by name does this. The others learn the voters from the response to their next
// hello, see receiveHello.
func (v *Voter) bootstrapIfComplete() {
	if v.state != Unformed || len(v.configured) == 0 || v.configured[0] != v.name {
		return
	}
	if len(v.unbootstrapped) < len(v.configured)-1 {
		return
	}
	voters := map[uint64]string{v.durable.ID: v.name}
	for name, id := range v.unbootstrapped {
		voters[id] = name
	}
	if len(voters) == len(v.configured) {
		v.bootstrap(voters, v.tokenBase)
	}
}

// bootstrap starts the log with a snapshot of an empty table. The snapshot is the same at each voter that is given the
// same tokenBase.
func (v *Voter) bootstrap(voters map[uint64]string, tokenBase uint64) {
	table := singleton.NewLeaseTable()
	table.LastToken = tokenBase
	data, err := cbor.Marshal(snapshot{Table: table, VoterNames: voters})
	if err != nil {
		v.retire(err.Error())
		return
	}
	first := &pb.Snapshot{
		Data: data,
		Metadata: &pb.SnapshotMetadata{
			Index:     new(uint64(1)),
			Term:      new(uint64(1)),
			ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(voters))},
		},
	}
	hardState := &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
	if !v.save(Batch{Snapshot: first, Replace: true, VoterNames: voters, HardState: hardState}) {
		return
	}
	v.durable.Snapshot, v.durable.VoterNames, v.durable.HardState = first, voters, hardState
	if err := v.startRaft(); err != nil {
		v.retire(err.Error())
		return
	}
	v.output.Changed = true
}
