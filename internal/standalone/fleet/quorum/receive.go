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
	stale := e.Boot < known.Boot // sent by an earlier start of that voter
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
		if stale || v.state == Waiting { // a waiting voter does not know yet what it has voted
			return
		}
		v.receiveRaft(e)
	}
}

// receiveHello responds with the progress of the sender. One that is not bootstrapped is noted, so that it can be
// bootstrapped or added.
func (v *Voter) receiveHello(e envelope, known PeerProgress, stale bool) {
	if e.Bootstrapped {
		delete(v.unbootstrapped, e.Name)
		if !stale { // the sender's present start is no sign of a rollback
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
	if v.durable.VoterNames[e.From] == e.Name { // it has missed the bootstrap
		v.send(e.Name, envelope{Kind: kindBootstrap, Voters: v.durable.VoterNames, TokenBase: v.table.LastToken})
	}
}

// receiveProgress compares the progress of this voter, as another knows it, with its store. A store that says less
// was rolled back, and the voter may have voted, or acknowledged entries, that it does not know of: it retires.
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

// receiveRaft hands a message to raft, and notes how far the others are.
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
