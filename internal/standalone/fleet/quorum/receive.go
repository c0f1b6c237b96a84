package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/mutants"
)

// send adds a message to the output.
func (v *Voter) send(to string, e envelope) {
	e.From, e.Name, e.Boot = v.durable.ID, v.name, v.durable.Boot
	data, err := cbor.Marshal(e)
	if err != nil {
		return
	}
	v.output.Messages = append(v.output.Messages, Message{To: to, Data: data})
}

// receive handles a message of another voter.
func (v *Voter) receive(e envelope) {
	if e.From == v.durable.ID || e.Name == v.name {
		return
	}
	known := v.durable.Peers[e.From]
	stale := e.Boot < known.Boot // sent by an earlier process of that voter
	if e.Boot > known.Boot && v.durable.VoterNames[e.From] != "" {
		known.Boot = e.Boot
		v.durable.Peers[e.From] = known // stored with the next batch
	}
	switch e.Kind {
	case kindHello:
		v.receiveHello(e, known, stale)
	case kindProgress:
		v.receiveProgress(e)
	case kindBootstrap:
		if v.state == Unformed && e.Voters[v.durable.ID] == v.name && len(e.Voters) == len(v.configured) {
			v.bootstrap(e.Voters, e.TokenBase)
		}
	case kindRaft:
		if stale || v.state == Waiting { // the store of a waiting voter may miss votes that it cast
			return
		}
		v.receiveRaft(e)
	}
}

// receiveHello responds with the progress at which this voter has seen the sender. If the sender is not bootstrapped
// and is a configured voter, its id is recorded, so that it can be bootstrapped or added. If that id belongs to a group
// that is already bootstrapped, the sender is sent the voters of the group.
func (v *Voter) receiveHello(e envelope, known PeerProgress, stale bool) {
	if e.Bootstrapped {
		delete(v.unbootstrapped, e.Name)
		if !stale { // no later boot of the sender was seen, so its boot count is no sign of a rollback
			known.Boot = 0
		}
		v.send(e.Name, envelope{
			Kind:         kindProgress,
			Progress:     known,
			Bootstrapped: v.state != Unformed,
			Waiting:      v.state == Waiting,
		})
		return
	}
	if !slices.Contains(v.configured, e.Name) {
		return
	}
	v.unbootstrapped[e.Name] = e.From
	if v.durable.VoterNames[e.From] == e.Name { // the group is bootstrapped, and the sender doesn't know it yet
		v.send(e.Name, envelope{Kind: kindBootstrap, Voters: v.durable.VoterNames, TokenBase: v.table.LastToken})
	}
}

// receiveProgress compares the progress at which another voter has seen this one with the store. If the store is behind
// it, the store was rolled back. The voter then retires, because it may have cast votes or acknowledged entries that
// the store does not hold.
func (v *Voter) receiveProgress(e envelope) {
	if v.state != Waiting || !e.Bootstrapped || v.durable.VoterNames[e.From] == "" {
		return
	}
	last, _ := v.raftStorage.LastIndex()
	rolledBack := e.Progress.Index > last || e.Progress.Boot > v.durable.Boot
	if rolledBack && !mutants.On("quorum/gone-back-votes") {
		v.retire(fmt.Sprintf(
			"its store was rolled back: %s saw it at entry %d of boot %d, it is at entry %d of boot %d",
			e.Name, e.Progress.Index, e.Progress.Boot, last, v.durable.Boot,
		))
		return
	}
	v.confirmedBy[e.From] = true
	v.startVotingIfConfirmed()
}

// receiveRaft passes a message to raft, and records the progress of the other voters.
func (v *Voter) receiveRaft(e envelope) {
	for id, index := range e.Match {
		if p := v.durable.Peers[id]; id != v.durable.ID && index > p.Index {
			p.Index = index
			v.durable.Peers[id] = p
		}
	}
	m := &pb.Message{}
	if proto.Unmarshal(e.RaftMessage, m) != nil || m.GetFrom() != e.From || m.GetTo() != v.durable.ID {
		return
	}
	v.node.Step(m)
}
