// Package quorum is the agreement among a fleet's voters: etcd's raft, the register of duties that it replicates, and what a
// voter must have on its disk before it says anything. Core is a step: it takes messages and the time and gives messages;
// disk and network stand round it behind Store and Out, so that the same code runs in fake time and as processes.
//
// Never acknowledged before it is on disk: a vote, a term, an entry, a snapshot (all in one Store.Save), and the count of
// this voter's starts. A voter has an id drawn for its folder: one whose folder was lost has another id, and no vote until it
// is added again. One whose folder went back is told so by the others, and stands aside.
package quorum

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Ticks, in units of TickEvery seconds of the host's clock.
const (
	TickInterval      = 0.1 // s
	heartbeatTicks = 2
	electionTicks  = 8 // to 15, by chance
	snapshotEvery  = 2000
	retainedEntries    = 200
	maxProposalBytes       = 64 << 10 // bytes of a proposal
	maxMessageBytes    = 8 << 20  // bytes of an envelope: a snapshot of the largest register fits
	helloTicks     = 3        // ticks
	reopenInterval    = 0.5      // s
)

// Core is one voter. It is not safe for use by several goroutines.
type Voter struct {
	name     string
	configured    []string // voters that the configuration names
	store    Store
	state    State
	reason      string
	durable        *Durable
	raftStorage      *raft.MemoryStorage
	node     *raft.RawNode
	confState     *pb.ConfState
	table *singleton.LeaseTable
	manager    *singleton.LeaseManager
	applied  uint64
	snapshotIndex     uint64 // index of the last snapshot
	leader   uint64
	raftLeader    bool
	leading      bool
	steppedAt   singleton.Seconds
	nextReopenAt singleton.Seconds
	ticks    int
	confirmedBy  map[uint64]bool   // others that have said how far they saw this voter
	joining map[string]uint64 // ids of named voters that wait to be formed
	tokenBase     uint64            // of tokens, where this voter forms
	out      Output
}

// Open begins a voter from what is on its disk. base is what tokens begin above if the voters are formed now: the time in
// seconds shifted by 20 bits, so that a register whose voters all lost their folders does not go back.
func Open(name string, named []string, store Store, base uint64) (*Voter, error) {
	c := &Voter{name: name, configured: slices.Clone(named), store: store, tokenBase: base, confirmedBy: map[uint64]bool{}, joining: map[string]uint64{}}
	slices.Sort(c.configured)
	c.table = singleton.NewLeaseTable()
	c.manager = singleton.NewLeaseManager(c.table)
	d, err := store.Open()
	if err != nil {
		c.state, c.reason = Retired, err.Error()
		switch {
		case errors.Is(err, ErrNoSpace):
			c.state = Full
		case errors.Is(err, ErrLocked):
			c.state = Busy
			return c, nil
		}
		return c, fmt.Errorf("quorum: %w", err)
	}
	c.durable = d
	if d.Peers == nil {
		d.Peers = map[uint64]PeerProgress{}
	}
	if err := c.startRaft(); err != nil {
		c.retire(err.Error())
		return c, err
	}
	return c, nil
}

// snapshot is a register with its voters, as snapshots carry it.
type snapshot struct {
	Register *singleton.LeaseTable `cbor:"1,keyasint"`
	Names    map[uint64]string   `cbor:"2,keyasint"`
}

// begin has raft run on what is on the disk.
func (c *Voter) startRaft() (err error) {
	defer func() { // the library panics where what is on the disk does not fit together
		if r := recover(); r != nil {
			err = fmt.Errorf("quorum: %w: %v", ErrCorrupt, r)
		}
	}()
	c.raftStorage, c.confState = raft.NewMemoryStorage(), &pb.ConfState{}
	c.state = Unformed
	if s := c.durable.Snapshot; s != nil {
		if err := c.raftStorage.ApplySnapshot(s); err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		if err := c.restore(s); err != nil {
			return err
		}
		c.state = Waiting
	}
	if c.durable.HardState != nil {
		c.raftStorage.SetHardState(c.durable.HardState)
	}
	if err := c.raftStorage.Append(c.durable.Entries); err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.durable.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.raftStorage, Applied: c.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		Logger: silentLogger{}})
	if err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	return nil
}

// restore goes by a snapshot.
func (c *Voter) restore(s *pb.Snapshot) error {
	var held snapshot
	if err := cbor.Unmarshal(s.GetData(), &held); err != nil || held.Register == nil {
		return fmt.Errorf("quorum: %w: a snapshot: %v", ErrCorrupt, err)
	}
	if held.Register.Leases == nil {
		held.Register.Leases = map[string]singleton.Lease{}
	}
	c.table, c.durable.Names = held.Register, held.Names
	c.manager.SetTable(c.table)
	c.confState = proto.Clone(s.GetMetadata().GetConfState()).(*pb.ConfState)
	c.applied, c.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// retire has it say nothing more under its id.
func (c *Voter) retire(why string) {
	c.state, c.reason, c.node = Retired, why, nil
	if c.leading {
		c.leading = false
		c.manager.Step(c.steppedAt, singleton.LeadershipLost{})
	}
	c.out.Changed = true
}

// Tick lets time pass; it is to come every TickEvery. What was missed is not made up for.
func (c *Voter) Tick(now singleton.Seconds) Output {
	return c.step(now, func() {
		c.ticks++
		c.sendHello()
		if c.state == Voting {
			c.node.Tick()
		}
		c.execute(now, c.manager.Step(now, singleton.ManagerTick{}))
	})
}

// Receive takes what another voter said. What cannot be read is nobody's.
func (c *Voter) Receive(now singleton.Seconds, data []byte) (Output, error) {
	var e envelope
	if len(data) > maxMessageBytes {
		return Output{}, fmt.Errorf("quorum: %d bytes", len(data))
	}
	if err := strictDecoding.Unmarshal(data, &e); err != nil {
		return Output{}, fmt.Errorf("quorum: %w", err)
	}
	return c.step(now, func() { c.receive(e) }), nil
}

// Ask takes an ingress's question; Give an operator's wish.
func (c *Voter) HandleRequest(now singleton.Seconds, a singleton.AcquireRequest) Output {
	return c.step(now, func() { c.execute(now, c.manager.Step(now, singleton.RequestReceived{Request: a})) })
}

// Give has a duty go to a member.
func (c *Voter) Transfer(now singleton.Seconds, name, to string) Output {
	return c.step(now, func() { c.execute(now, c.manager.Step(now, singleton.Transfer{Role: name, To: to})) })
}

// Resume begins anew from the disk, once there is room again, or an older process of this ingress has let go of it.
func (c *Voter) Reopen(now singleton.Seconds) {
	if c.state != Full && c.state != Busy || now < c.nextReopenAt {
		return
	}
	c.nextReopenAt = now + reopenInterval
	d, err := c.store.Open()
	if err != nil {
		if c.state == Busy && !errors.Is(err, ErrLocked) && !errors.Is(err, ErrNoSpace) {
			c.retire(err.Error())
		}
		return
	}
	c.durable, c.confirmedBy = d, map[uint64]bool{}
	if d.Peers == nil {
		d.Peers = map[uint64]PeerProgress{}
	}
	if err := c.startRaft(); err != nil {
		c.retire(err.Error())
	}
}

// save keeps a batch. Where there is no room it says nothing until there is; after any other error the folder is not believed.
func (c *Voter) save(b Batch) bool {
	b.Peers = c.durable.Peers
	if mutated("vote-unkept") {
		b.HardState = nil
	}
	if mutated("entries-unkept") {
		b.Entries = nil
	}
	err := c.store.Save(b)
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrNoSpace):
		c.state, c.reason, c.node = Full, err.Error(), nil
		if c.leading {
			c.leading = false
			c.manager.Step(c.steppedAt, singleton.LeadershipLost{})
		}
		c.out.Changed = true
	default:
		c.retire(err.Error())
	}
	return false
}

func (c *Voter) send(to string, e envelope) {
	e.From, e.Name, e.Boot = c.durable.ID, c.name, c.durable.Boot
	data, err := cbor.Marshal(e)
	if err != nil {
		return
	}
	c.out.Messages = append(c.out.Messages, Message{to, data})
}

// receive goes by what another voter said.
func (c *Voter) receive(e envelope) {
	if e.From == c.durable.ID || e.Name == c.name {
		return
	}
	seen := c.durable.Peers[e.From]
	stale := e.Boot < seen.Boot
	if e.Boot > seen.Boot && c.durable.Names[e.From] != "" {
		seen.Boot = e.Boot
		c.durable.Peers[e.From] = seen // kept with the next batch
	}
	switch e.Kind {
	case kindHello:
		if !e.Formed && slices.Contains(c.configured, e.Name) {
			if c.joining[e.Name] = e.From; c.durable.Names[e.From] == e.Name {
				c.send(e.Name, envelope{Kind: kindBootstrap, Voters: c.durable.Names, TokenBase: c.table.LastToken}) // it did not hear that it is one of us
			}
		}
		if e.Formed {
			delete(c.joining, e.Name)
			w := seen
			if !stale { // it has this start itself
				w.Boot = 0
			}
			c.send(e.Name, envelope{Kind: kindProgress, Progress: w, Formed: c.state != Unformed, Waiting: c.state == Waiting})
		}
	case kindProgress:
		last, _ := c.raftStorage.LastIndex()
		switch {
		case c.state != Waiting || !e.Formed || c.durable.Names[e.From] == "":
		case (e.Progress.Index > last || e.Progress.Boot > c.durable.Boot) && !mutated("gone-back-votes"):
			c.retire(fmt.Sprintf("its folder went back: %s saw it at entry %d of start %d, it is at %d of %d", e.Name, e.Progress.Index, e.Progress.Boot, last, c.durable.Boot))
		default:
			c.confirmedBy[e.From] = true
			c.startVotingIfConfirmed()
		}
	case kindBootstrap:
		if c.state == Unformed && e.Voters[c.durable.ID] == c.name && len(e.Voters) == len(c.configured) {
			c.bootstrap(e.Voters, e.TokenBase)
		}
	case kindRaft:
		if stale || c.state == Waiting {
			return // an older start of that voter, or this one does not know yet what it promised
		}
		for id, index := range e.Match {
			if w := c.durable.Peers[id]; id != c.durable.ID && index > w.Index {
				w.Index = index
				c.durable.Peers[id] = w
			}
		}
		m := &pb.Message{}
		if proto.Unmarshal(e.Raft, m) != nil || m.GetFrom() != e.From || m.GetTo() != c.durable.ID {
			return
		}
		c.node.Step(m)
	}
}

// ready does what raft wants, in its order: to the disk, then to others, then to the register.
func (c *Voter) ready(now singleton.Seconds) {
	for c.node != nil && c.node.HasReady() {
		rd := c.node.Ready()
		if s := rd.SoftState; s != nil {
			c.leader, c.raftLeader, c.out.Changed = s.Lead, s.RaftState == raft.StateLeader, true
			if !c.raftLeader && c.leading {
				c.leading = false
				c.manager.Step(now, singleton.LeadershipLost{})
			}
		}
		b := Batch{Entries: rd.Entries}
		if !raft.IsEmptyHardState(rd.HardState) {
			b.HardState = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot, b.Replace = rd.Snapshot, true
		}
		if b.HardState != nil || b.Snapshot != nil || len(b.Entries) > 0 {
			if b.Snapshot != nil { // of a leader: from now on it is what this voter knows
				if err := c.raftStorage.ApplySnapshot(b.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					c.retire(err.Error())
					return
				}
				if err := c.restore(b.Snapshot); err != nil {
					c.retire(err.Error())
					return
				}
				b.Names = c.durable.Names
				if c.state == Unformed {
					c.state = Voting // it was added: it never promised anything
				}
			}
			if !c.save(b) {
				return
			}
			if b.HardState != nil {
				c.raftStorage.SetHardState(b.HardState)
			}
			c.raftStorage.Append(b.Entries)
		}
		for _, m := range rd.Messages {
			c.sendRaft(m)
		}
		for _, e := range rd.CommittedEntries {
			c.apply(now, e)
			if c.node == nil {
				return
			}
		}
		c.node.Advance(rd)
		c.compact()
	}
}

// say sends a message of raft, with what this voter knows of how far the others are.
func (c *Voter) sendRaft(m *pb.Message) {
	name := c.durable.Names[m.GetTo()]
	data, err := proto.Marshal(m)
	if name == "" || err != nil {
		return
	}
	e := envelope{Kind: kindRaft, Raft: data}
	if c.raftLeader && m.GetType() == pb.MsgHeartbeat {
		e.Match = map[uint64]uint64{}
		c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) { e.Match[id] = pr.Match })
	}
	c.send(name, e)
	if m.GetType() == pb.MsgSnap {
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // a lost one is sent again as the follower asks
	}
}
