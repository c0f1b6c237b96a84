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
	TickEvery      = 0.1 // s
	heartbeatTicks = 2
	electionTicks  = 8 // to 15, by chance
	snapshotEvery  = 2000
	keptEntries    = 200
	mostData       = 64 << 10 // bytes of a proposal
	mostMessage    = 8 << 20  // bytes of an envelope: a snapshot of the largest register fits
	helloEvery     = 3        // ticks
	resumeEvery    = 0.5      // s
)

// Core is one voter. It is not safe for use by several goroutines.
type Core struct {
	name     string
	named    []string // voters that the configuration names
	store    Store
	state    State
	why      string
	d        *Durable
	mem      *raft.MemoryStorage
	node     *raft.RawNode
	conf     *pb.ConfState
	register *singleton.LeaseTable
	clerk    *singleton.LeaseManager
	applied  uint64
	kept     uint64 // index of the last snapshot
	leader   uint64
	leads    bool
	led      bool
	tickAt   singleton.Seconds
	resumeAt singleton.Seconds
	ticks    int
	vouched  map[uint64]bool   // others that have said how far they saw this voter
	unformed map[string]uint64 // ids of named voters that wait to be formed
	base     uint64            // of tokens, where this voter forms
	out      Out
}

// Open begins a voter from what is on its disk. base is what tokens begin above if the voters are formed now: the time in
// seconds shifted by 20 bits, so that a register whose voters all lost their folders does not go back.
func Open(name string, named []string, store Store, base uint64) (*Core, error) {
	c := &Core{name: name, named: slices.Clone(named), store: store, base: base, vouched: map[uint64]bool{}, unformed: map[string]uint64{}}
	slices.Sort(c.named)
	c.register = singleton.NewLeaseTable()
	c.clerk = singleton.NewLeaseManager(c.register)
	d, err := store.Open()
	if err != nil {
		c.state, c.why = Retired, err.Error()
		switch {
		case errors.Is(err, ErrFull):
			c.state = Full
		case errors.Is(err, ErrBusy):
			c.state = Busy
			return c, nil
		}
		return c, fmt.Errorf("quorum: %w", err)
	}
	c.d = d
	if d.Witness == nil {
		d.Witness = map[uint64]Witness{}
	}
	if err := c.begin(); err != nil {
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
func (c *Core) begin() (err error) {
	defer func() { // the library panics where what is on the disk does not fit together
		if r := recover(); r != nil {
			err = fmt.Errorf("quorum: %w: %v", ErrDamaged, r)
		}
	}()
	c.mem, c.conf = raft.NewMemoryStorage(), &pb.ConfState{}
	c.state = Unformed
	if s := c.d.Snapshot; s != nil {
		if err := c.mem.ApplySnapshot(s); err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		if err := c.restore(s); err != nil {
			return err
		}
		c.state = Waiting
	}
	if c.d.Hard != nil {
		c.mem.SetHardState(c.d.Hard)
	}
	if err := c.mem.Append(c.d.Entries); err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.d.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		Logger: quiet{}})
	if err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	return nil
}

// restore goes by a snapshot.
func (c *Core) restore(s *pb.Snapshot) error {
	var held snapshot
	if err := cbor.Unmarshal(s.GetData(), &held); err != nil || held.Register == nil {
		return fmt.Errorf("quorum: %w: a snapshot: %v", ErrDamaged, err)
	}
	if held.Register.Leases == nil {
		held.Register.Leases = map[string]singleton.Lease{}
	}
	c.register, c.d.Names = held.Register, held.Names
	c.clerk.SetTable(c.register)
	c.conf = proto.Clone(s.GetMetadata().GetConfState()).(*pb.ConfState)
	c.applied, c.kept = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// retire has it say nothing more under its id.
func (c *Core) retire(why string) {
	c.state, c.why, c.node = Retired, why, nil
	if c.led {
		c.led = false
		c.clerk.Step(c.tickAt, singleton.LeadershipLost{})
	}
	c.out.Changed = true
}

// Tick lets time pass; it is to come every TickEvery. What was missed is not made up for.
func (c *Core) Tick(now singleton.Seconds) Out {
	return c.step(now, func() {
		c.ticks++
		c.greet()
		if c.state == Voting {
			c.node.Tick()
		}
		c.carry(now, c.clerk.Step(now, singleton.ManagerTick{}))
	})
}

// Receive takes what another voter said. What cannot be read is nobody's.
func (c *Core) Receive(now singleton.Seconds, data []byte) (Out, error) {
	var e envelope
	if len(data) > mostMessage {
		return Out{}, fmt.Errorf("quorum: %d bytes", len(data))
	}
	if err := decoding.Unmarshal(data, &e); err != nil {
		return Out{}, fmt.Errorf("quorum: %w", err)
	}
	return c.step(now, func() { c.receive(e) }), nil
}

// Ask takes an ingress's question; Give an operator's wish.
func (c *Core) Ask(now singleton.Seconds, a singleton.AcquireRequest) Out {
	return c.step(now, func() { c.carry(now, c.clerk.Step(now, singleton.RequestReceived{Request: a})) })
}

// Give has a duty go to a member.
func (c *Core) Give(now singleton.Seconds, name, to string) Out {
	return c.step(now, func() { c.carry(now, c.clerk.Step(now, singleton.Transfer{Role: name, To: to})) })
}

// Resume begins anew from the disk, once there is room again, or an older process of this ingress has let go of it.
func (c *Core) Resume(now singleton.Seconds) {
	if c.state != Full && c.state != Busy || now < c.resumeAt {
		return
	}
	c.resumeAt = now + resumeEvery
	d, err := c.store.Open()
	if err != nil {
		if c.state == Busy && !errors.Is(err, ErrBusy) && !errors.Is(err, ErrFull) {
			c.retire(err.Error())
		}
		return
	}
	c.d, c.vouched = d, map[uint64]bool{}
	if d.Witness == nil {
		d.Witness = map[uint64]Witness{}
	}
	if err := c.begin(); err != nil {
		c.retire(err.Error())
	}
}

// save keeps a batch. Where there is no room it says nothing until there is; after any other error the folder is not believed.
func (c *Core) save(b Batch) bool {
	b.Witness = c.d.Witness
	if mutated("vote-unkept") {
		b.Hard = nil
	}
	if mutated("entries-unkept") {
		b.Entries = nil
	}
	err := c.store.Save(b)
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrFull):
		c.state, c.why, c.node = Full, err.Error(), nil
		if c.led {
			c.led = false
			c.clerk.Step(c.tickAt, singleton.LeadershipLost{})
		}
		c.out.Changed = true
	default:
		c.retire(err.Error())
	}
	return false
}

func (c *Core) send(to string, e envelope) {
	e.From, e.Name, e.Boot = c.d.ID, c.name, c.d.Boot
	data, err := cbor.Marshal(e)
	if err != nil {
		return
	}
	c.out.Send = append(c.out.Send, Packet{to, data})
}

// receive goes by what another voter said.
func (c *Core) receive(e envelope) {
	if e.From == c.d.ID || e.Name == c.name {
		return
	}
	seen := c.d.Witness[e.From]
	stale := e.Boot < seen.Boot
	if e.Boot > seen.Boot && c.d.Names[e.From] != "" {
		seen.Boot = e.Boot
		c.d.Witness[e.From] = seen // kept with the next batch
	}
	switch e.Kind {
	case kindHello:
		if !e.Formed && slices.Contains(c.named, e.Name) {
			if c.unformed[e.Name] = e.From; c.d.Names[e.From] == e.Name {
				c.send(e.Name, envelope{Kind: kindForm, Voters: c.d.Names, Base: c.register.LastToken}) // it did not hear that it is one of us
			}
		}
		if e.Formed {
			delete(c.unformed, e.Name)
			w := seen
			if !stale { // it has this start itself
				w.Boot = 0
			}
			c.send(e.Name, envelope{Kind: kindKnown, Known: w, Formed: c.state != Unformed, Awaited: c.state == Waiting})
		}
	case kindKnown:
		last, _ := c.mem.LastIndex()
		switch {
		case c.state != Waiting || !e.Formed || c.d.Names[e.From] == "":
		case (e.Known.Index > last || e.Known.Boot > c.d.Boot) && !mutated("gone-back-votes"):
			c.retire(fmt.Sprintf("its folder went back: %s saw it at entry %d of start %d, it is at %d of %d", e.Name, e.Known.Index, e.Known.Boot, last, c.d.Boot))
		default:
			c.vouched[e.From] = true
			c.trust()
		}
	case kindForm:
		if c.state == Unformed && e.Voters[c.d.ID] == c.name && len(e.Voters) == len(c.named) {
			c.formed(e.Voters, e.Base)
		}
	case kindRaft:
		if stale || c.state == Waiting {
			return // an older start of that voter, or this one does not know yet what it promised
		}
		for id, index := range e.Match {
			if w := c.d.Witness[id]; id != c.d.ID && index > w.Index {
				w.Index = index
				c.d.Witness[id] = w
			}
		}
		m := &pb.Message{}
		if proto.Unmarshal(e.Raft, m) != nil || m.GetFrom() != e.From || m.GetTo() != c.d.ID {
			return
		}
		c.node.Step(m)
	}
}

// ready does what raft wants, in its order: to the disk, then to others, then to the register.
func (c *Core) ready(now singleton.Seconds) {
	for c.node != nil && c.node.HasReady() {
		rd := c.node.Ready()
		if s := rd.SoftState; s != nil {
			c.leader, c.leads, c.out.Changed = s.Lead, s.RaftState == raft.StateLeader, true
			if !c.leads && c.led {
				c.led = false
				c.clerk.Step(now, singleton.LeadershipLost{})
			}
		}
		b := Batch{Entries: rd.Entries}
		if !raft.IsEmptyHardState(rd.HardState) {
			b.Hard = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot, b.Replace = rd.Snapshot, true
		}
		if b.Hard != nil || b.Snapshot != nil || len(b.Entries) > 0 {
			if b.Snapshot != nil { // of a leader: from now on it is what this voter knows
				if err := c.mem.ApplySnapshot(b.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
					c.retire(err.Error())
					return
				}
				if err := c.restore(b.Snapshot); err != nil {
					c.retire(err.Error())
					return
				}
				b.Names = c.d.Names
				if c.state == Unformed {
					c.state = Voting // it was added: it never promised anything
				}
			}
			if !c.save(b) {
				return
			}
			if b.Hard != nil {
				c.mem.SetHardState(b.Hard)
			}
			c.mem.Append(b.Entries)
		}
		for _, m := range rd.Messages {
			c.say(m)
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
func (c *Core) say(m *pb.Message) {
	name := c.d.Names[m.GetTo()]
	data, err := proto.Marshal(m)
	if name == "" || err != nil {
		return
	}
	e := envelope{Kind: kindRaft, Raft: data}
	if c.leads && m.GetType() == pb.MsgHeartbeat {
		e.Match = map[uint64]uint64{}
		c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) { e.Match[id] = pr.Match })
	}
	c.send(name, e)
	if m.GetType() == pb.MsgSnap {
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // a lost one is sent again as the follower asks
	}
}
