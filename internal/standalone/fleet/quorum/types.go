package quorum

import (
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

// Durable is what a voter has on disk.
type Durable struct {
	ID       uint64            // drawn with the folder
	Boot     uint64            // starts of this folder, this one among them
	Names    map[uint64]string // of the voters; empty: it was never formed
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // nil: none
	Entries  []*pb.Entry
	Witness  map[uint64]Witness // of the others
}

// Witness is how far another voter was seen to be.
type Witness struct {
	Boot  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"` // it acknowledged
}

// Batch is what is saved at once: whole or not at all.
type Batch struct {
	Hard     *pb.HardState // nil: as it was
	Snapshot *pb.Snapshot  // nil: none; entries up to its index, less keptEntries, may go
	Replace  bool          // the snapshot is another's, and stands for all entries there were
	Entries  []*pb.Entry   // replace those from the first one's index on
	Names    map[uint64]string
	Witness  map[uint64]Witness
}

// Store keeps a voter's promises. Save returns once all of it is durable. After ErrFull nothing of it was kept and the folder
// is as it was; after any other error nobody knows, and the folder is not to be believed.
type Store interface {
	Open() (*Durable, error) // counts the start, durably
	Save(Batch) error
}

// Errors of a store.
var (
	ErrFull    = errors.New("no room")
	ErrBusy    = errors.New("another process has it")
	ErrDamaged = errors.New("damaged")
)

// kind is what an envelope carries.
type kind uint8

const (
	kindRaft  kind = 1
	kindHello kind = 2 // who am I to you? Answered by a kindKnown
	kindKnown kind = 3
	kindForm  kind = 4 // these are the voters
)

// envelope is what voters say to each other.
type envelope struct {
	Kind    kind              `cbor:"1,keyasint"`
	From    uint64            `cbor:"2,keyasint"`
	Name    string            `cbor:"3,keyasint"`
	Boot    uint64            `cbor:"4,keyasint"`
	Raft    []byte            `cbor:"5,keyasint,omitempty"`
	Index   uint64            `cbor:"6,keyasint,omitempty"` // of hello: the last entry it has
	Formed  bool              `cbor:"7,keyasint,omitempty"`
	Known   Witness           `cbor:"8,keyasint,omitempty"` // of known: how far the asker was seen to be
	Match   map[uint64]uint64 `cbor:"9,keyasint,omitempty"` // a leader's: how far each voter is
	Voters  map[uint64]string `cbor:"10,keyasint,omitempty"`
	Base    uint64            `cbor:"11,keyasint,omitempty"`
	Awaited bool              `cbor:"12,keyasint,omitempty"` // of known: it has itself not been told yet
}

// Out is what comes of a step.
type Out struct {
	Send    []Packet
	Reply   []singleton.Reply
	Nudge   []string
	Changed bool // the register, the leader or the voters
}

// Packet goes to a voter by name.
type Packet struct {
	To   string
	Data []byte
}

// State is what a voter is.
type State string

// The states.
const (
	Unformed State = "unformed" // its folder knows of no voters: it waits to be formed or added
	Waiting  State = "waiting"  // it asks the others how far they saw it, and does not vote before
	Voting   State = "voting"
	Busy     State = "busy"    // an older process of this ingress, which is being replaced, has its folder
	Full     State = "full"    // its disk has no room: it says nothing, and begins anew from what it has
	Retired  State = "retired" // its folder went back, or is damaged: it does not vote under its id again
)

// Errors of changing voters.
var (
	ErrNotLeading = errors.New("this voter does not lead")
	ErrNoVoter    = errors.New("no voter has this name")
	ErrNotWaiting = errors.New("it does not wait to be added: is it up, is it named as a voter, and its folder empty?")
)

// Status is what a voter tells of itself.
type Status struct {
	State   State
	Why     string
	ID      uint64
	Boot    uint64
	Leader  string // empty: none is known
	Leads   bool
	Term    uint64
	Applied uint64
	Voters  []string
}

// Status tells.
func (c *Core) Status() Status {
	s := Status{State: c.state, Why: c.why, Applied: c.applied, Leads: c.led}
	if c.d != nil {
		s.ID, s.Boot, s.Leader, s.Voters = c.d.ID, c.d.Boot, c.d.Names[c.leader], slices.Sorted(maps.Values(c.d.Names))
	}
	if c.node != nil {
		s.Term = c.node.BasicStatus().GetTerm()
	}
	return s
}

// Register is what is agreed on, as far as this voter knows. It is not to be changed.
func (c *Core) Register() *singleton.LeaseTable { return c.register }

// Line is who waits for a duty, where this voter leads.
func (c *Core) Line(name string) []string { return c.clerk.Candidates(name) }
