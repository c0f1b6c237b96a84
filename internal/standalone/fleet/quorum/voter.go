package quorum

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// TickInterval is how often Tick is to be called, in seconds.
const TickInterval = 0.1

const (
	heartbeatTicks = 2 // ticks of TickInterval
	electionTicks  = 8 // ticks; raft draws each timeout from here to nearly twice as many
	helloTicks     = 3 // ticks

	snapshotEvery   = 2000 // entries
	retainedEntries = 200  // before a snapshot, for voters that are a little behind

	maxProposalBytes   = 64 << 10
	maxMessageBytes    = 8 << 20 // of an envelope: a snapshot of the largest table fits
	maxAppendBytes     = 1 << 20 // of the entries in one message of raft
	maxUncommitted     = 1 << 20 // bytes of entries that are proposed and not committed
	maxInflightAppends = 64      // messages to one voter

	reopenInterval = 0.5 // seconds
)

// Voter is one voter of the fleet. It is not safe for concurrent use.
type Voter struct {
	name       string
	configured []string // names of the voters in the configuration, sorted
	tokenBase  uint64   // where this voter bootstraps: the table's first token is above it
	store      Store
	durable    *Durable

	state  State
	reason string // of the state

	node          *raft.RawNode // nil: the voter is silent
	raftStorage   *raft.MemoryStorage
	confState     *pb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64
	leader        uint64 // id; 0: none is known
	raftLeader    bool   // raft has elected this voter
	leading       bool   // and it has applied all entries of earlier leaders

	table   *singleton.LeaseTable
	manager *singleton.LeaseManager

	steppedAt      singleton.Seconds
	nextReopenAt   singleton.Seconds
	ticks          int
	confirmedBy    map[uint64]bool   // ids of others that have not seen this voter further than it is
	unbootstrapped map[string]uint64 // ids by name of configured voters that wait to be bootstrapped or added

	output Output // of the step that runs
}

// Output is the result of a step.
type Output struct {
	Messages []Message         // to other voters
	Replies  []singleton.Reply // to ingresses
	Wake     []string          // names of ingresses that are to send their requests at once
	Changed  bool              // the table, the leader, the voters or the state changed
}

// Open starts a voter from its store. The first token is above tokenBase if the voters are bootstrapped now: the time
// in seconds, shifted by 20 bits, keeps tokens growing over a loss of all voters' stores.
//
// The voter is usable when err is not nil: Reopen starts it once a full disk has space again, else it is Retired.
func Open(name string, configured []string, store Store, tokenBase uint64) (*Voter, error) {
	v := &Voter{
		name:           name,
		configured:     slices.Sorted(slices.Values(configured)),
		store:          store,
		tokenBase:      tokenBase,
		table:          singleton.NewLeaseTable(),
		confirmedBy:    map[uint64]bool{},
		unbootstrapped: map[string]uint64{},
	}
	v.manager = singleton.NewLeaseManager(v.table)
	durable, err := store.Open()
	switch {
	case errors.Is(err, ErrNoSpace):
		v.state, v.reason = Full, err.Error()
	case errors.Is(err, ErrLocked):
		v.state, v.reason = Busy, err.Error()
		return v, nil
	case err != nil:
		v.state, v.reason = Retired, err.Error()
	}
	if err != nil {
		return v, fmt.Errorf("quorum: open the store: %w", err)
	}
	return v, v.start(durable)
}

// Reopen starts the voter again from its store, once a full disk has space or an older process of this ingress has
// ended. It is to be called before each Tick.
func (v *Voter) Reopen(now singleton.Seconds) {
	if v.state != Full && v.state != Busy || now < v.nextReopenAt {
		return
	}
	v.nextReopenAt = now + reopenInterval
	durable, err := v.store.Open()
	if err != nil {
		if v.state == Busy && !errors.Is(err, ErrLocked) && !errors.Is(err, ErrNoSpace) {
			v.retire(err.Error())
		}
		return
	}
	v.confirmedBy = map[uint64]bool{}
	v.start(durable) // an error has retired it
}

// start runs raft on a state that was read from the store. After an error the voter is Retired.
func (v *Voter) start(durable *Durable) error {
	v.durable = durable
	if durable.Peers == nil {
		durable.Peers = map[uint64]PeerProgress{}
	}
	if err := v.startRaft(); err != nil {
		v.retire(err.Error())
		return err
	}
	return nil
}

// startRaft runs raft on v.durable.
func (v *Voter) startRaft() (err error) {
	defer func() { // raft panics where the parts of the state contradict each other
		if r := recover(); r != nil {
			err = fmt.Errorf("quorum: start raft: %w: %v", ErrCorrupt, r)
		}
	}()
	v.raftStorage, v.confState = raft.NewMemoryStorage(), &pb.ConfState{}
	v.state = Unformed
	if s := v.durable.Snapshot; s != nil {
		if err := v.raftStorage.ApplySnapshot(s); err != nil {
			return fmt.Errorf("quorum: start raft: %w", err)
		}
		if err := v.restore(s); err != nil {
			return err
		}
		v.state = Waiting
	}
	if v.durable.HardState != nil {
		v.raftStorage.SetHardState(v.durable.HardState)
	}
	if err := v.raftStorage.Append(v.durable.Entries); err != nil {
		return fmt.Errorf("quorum: start raft: %w", err)
	}
	v.node, err = raft.NewRawNode(&raft.Config{
		ID:                        v.durable.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   v.raftStorage,
		Applied:                   v.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInflightAppends,
		MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum:               true,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		Logger:                    silentLogger{},
	})
	if err != nil {
		return fmt.Errorf("quorum: start raft: %w", err)
	}
	return nil
}

// Tick says that time has passed. It is to be called every TickInterval; missed calls are not made up for.
func (v *Voter) Tick(now singleton.Seconds) Output {
	return v.step(now, func() {
		v.ticks++
		v.sendHello()
		if v.state == Voting {
			v.node.Tick()
		}
		v.stepManager(now, singleton.ManagerTick{})
	})
}

// Receive handles a message of another voter. One that cannot be decoded is an error and changes nothing.
func (v *Voter) Receive(now singleton.Seconds, data []byte) (Output, error) {
	e, err := decodeEnvelope(data)
	if err != nil {
		return Output{}, err
	}
	return v.step(now, func() { v.receive(e) }), nil
}

// HandleRequest handles a request of an ingress. Only the leader responds.
func (v *Voter) HandleRequest(now singleton.Seconds, r singleton.AcquireRequest) Output {
	return v.step(now, func() { v.stepManager(now, singleton.RequestReceived{Request: r}) })
}

// Transfer has a role go to a member, where this voter leads.
func (v *Voter) Transfer(now singleton.Seconds, role, to string) Output {
	return v.step(now, func() { v.stepManager(now, singleton.Transfer{Role: role, To: to}) })
}

// step runs do, and then handles raft's Ready. raft panics where a log was rolled back: the voter retires.
func (v *Voter) step(now singleton.Seconds, do func()) (output Output) {
	v.output, v.steppedAt = Output{}, now
	defer func() {
		if r := recover(); r != nil {
			v.retire(fmt.Sprint(r))
		}
		output, v.output = v.output, Output{}
	}()
	if v.node == nil {
		return v.output
	}
	do()
	v.handleReady(now)
	return v.output
}

// stepManager steps the lease manager and executes its actions.
func (v *Voter) stepManager(now singleton.Seconds, event singleton.ManagerEvent) {
	for _, action := range v.manager.Step(now, event) {
		switch action := action.(type) {
		case singleton.Propose:
			v.propose(action.Command)
		case singleton.Reply:
			v.output.Replies = append(v.output.Replies, action)
		case singleton.Wake:
			if action.Name != "" {
				v.output.Wake = append(v.output.Wake, action.Name)
			}
		}
	}
}

// retire silences the voter: it sends nothing under its id any more.
func (v *Voter) retire(reason string) {
	v.state, v.reason, v.node = Retired, reason, nil
	v.loseLeadership()
	v.output.Changed = true
}

// loseLeadership notifies the manager that this voter does not lead any more, if it did.
func (v *Voter) loseLeadership() {
	if v.leading {
		v.leading = false
		v.manager.Step(v.steppedAt, singleton.LeadershipLost{})
	}
}
