package quorum

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// TickInterval is the time between two calls of Voter.Tick, in seconds.
const TickInterval = 0.1

const (
	heartbeatTicks = 2 // ticks of TickInterval between two heartbeats of a leader
	electionTicks  = 8 // minimum election timeout, ticks; raft picks each at random, up to nearly twice as many
	helloTicks     = 3 // ticks between two hellos

	snapshotEvery   = 2000 // entries between two snapshots, so that the log stays bounded
	retainedEntries = 200  // entries kept in memory before a snapshot, so that voters a little behind need no snapshot

	maxProposalBytes   = 64 << 10 // bytes of one encoded command; a longer one is not proposed
	maxMessageBytes    = 8 << 20  // bytes of a received envelope; large enough for a snapshot of the largest table
	maxAppendBytes     = 1 << 20  // bytes of the entries in one message of raft
	maxUncommitted     = 1 << 20  // bytes of the entries that are proposed and not committed; raft drops further ones
	maxInflightAppends = 64       // unacknowledged append messages to one voter

	reopenInterval = 0.5 // seconds between two attempts to open the store
)

// Voter is one voter of the fleet. It is not safe for concurrent use.
type Voter struct {
	name       string
	configured []string // names of the voters in the configuration, sorted
	tokenBase  uint64   // if this voter bootstraps the group, the table's first token is above it
	store      Store
	durable    *Durable

	state  State
	reason string // reason for the last state Busy, Full or Retired; it is kept when the state ends

	node          *raft.RawNode // nil: raft does not run, and the voter sends nothing
	raftStorage   *raft.MemoryStorage
	confState     *pb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64
	leader        uint64 // id; 0: no leader is known
	raftLeader    bool   // raft has elected this voter
	leading       bool   // raft has elected this voter, and it has applied all entries of earlier leaders

	table   *singleton.LeaseTable
	manager *singleton.LeaseManager

	steppedAt      singleton.Seconds
	nextReopenAt   singleton.Seconds
	ticks          int
	confirmedBy    map[uint64]bool   // ids of others that have not seen this voter ahead of its store
	unbootstrapped map[string]uint64 // ids, by name, of configured voters to be bootstrapped or added

	output Output // output of the current step
}

// Output is the result of a step.
type Output struct {
	Messages []Message         // to other voters
	Replies  []singleton.Reply // to ingresses
	Wake     []string          // names of ingresses that should send their requests at once

	// Changed reports that the leader, the voters or the state changed, or that a command other than a renewal changed
	// the table. A snapshot of another voter that replaces the table does not set it. No caller reads it.
	Changed bool
}

// Open starts a voter from its store. If this voter bootstraps the group, the first token is above tokenBase. Callers
// pass the time in seconds, shifted left by 20 bits, so that tokens keep growing even if all voters' stores are lost.
//
// The voter may be used even if err is not nil: if the disk is full, Reopen starts it once there is space again; after
// any other error it is Retired.
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
// ended. The caller calls it before each Tick. If the store cannot be opened for any other reason, a voter that is Busy
// retires, and one that is Full keeps trying.
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
	v.start(durable) // after an error the voter is Retired, which Status shows
}

// start starts raft on the state that was read from the store. After an error the voter is Retired.
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

// startRaft starts raft on v.durable.
func (v *Voter) startRaft() (err error) {
	defer func() { // raft panics if parts of the state contradict each other
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

// Tick reports the passing of time. The caller calls it every TickInterval, and does not make up for missed calls.
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

// Receive handles a message of another voter. A message that cannot be decoded is an error and changes nothing.
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

// Transfer transfers a role to a member, if this voter leads.
func (v *Voter) Transfer(now singleton.Seconds, role, to string) Output {
	return v.step(now, func() { v.stepManager(now, singleton.Transfer{Role: role, To: to}) })
}

// step runs do, and then handles raft's Ready. It does nothing while raft does not run. A panic retires the voter,
// because raft panics if it detects that a log was rolled back.
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

// retire stops the voter for good, so that it sends nothing under its id any more.
func (v *Voter) retire(reason string) {
	v.state, v.reason, v.node = Retired, reason, nil
	v.loseLeadership()
	v.output.Changed = true
}

// loseLeadership notifies the lease manager, if this voter led, that it no longer does.
func (v *Voter) loseLeadership() {
	if v.leading {
		v.leading = false
		v.manager.Step(v.steppedAt, singleton.LeadershipLost{})
	}
}
