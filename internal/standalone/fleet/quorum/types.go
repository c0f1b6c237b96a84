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
	HardState     *pb.HardState
	Snapshot *pb.Snapshot // nil: none
	Entries  []*pb.Entry
	Peers  map[uint64]PeerProgress // of the others
}

// Witness is how far another voter was seen to be.
type PeerProgress struct {
	Boot  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"` // it acknowledged
}

// Batch is what is saved at once: whole or not at all.
type Batch struct {
	HardState     *pb.HardState // nil: as it was
	Snapshot *pb.Snapshot  // nil: none; entries up to its index, less keptEntries, may go
	Replace  bool          // the snapshot is another's, and stands for all entries there were
	Entries  []*pb.Entry   // replace those from the first one's index on
	Names    map[uint64]string
	Peers  map[uint64]PeerProgress
}

// Store keeps a voter's promises. Save returns once all of it is durable. After ErrFull nothing of it was kept and the folder
// is as it was; after any other error nobody knows, and the folder is not to be believed.
type Store interface {
	Open() (*Durable, error) // counts the start, durably
	Save(Batch) error
}

// Errors of a store.
var (
	ErrNoSpace    = errors.New("no room")
	ErrLocked    = errors.New("another process has it")
	ErrCorrupt = errors.New("damaged")
)

// kind is what an envelope carries.
type messageKind uint8

const (
	kindRaft  messageKind = 1
	kindHello messageKind = 2 // who am I to you? Answered by a kindKnown
	kindProgress messageKind = 3
	kindBootstrap  messageKind = 4 // these are the voters
)

// envelope is what voters say to each other.
type envelope struct {
	Kind    messageKind              `cbor:"1,keyasint"`
	From    uint64            `cbor:"2,keyasint"`
	Name    string            `cbor:"3,keyasint"`
	Boot    uint64            `cbor:"4,keyasint"`
	Raft    []byte            `cbor:"5,keyasint,omitempty"`
	Index   uint64            `cbor:"6,keyasint,omitempty"` // of hello: the last entry it has
	Formed  bool              `cbor:"7,keyasint,omitempty"`
	Progress   PeerProgress           `cbor:"8,keyasint,omitempty"` // of known: how far the asker was seen to be
	Match   map[uint64]uint64 `cbor:"9,keyasint,omitempty"` // a leader's: how far each voter is
	Voters  map[uint64]string `cbor:"10,keyasint,omitempty"`
	TokenBase    uint64            `cbor:"11,keyasint,omitempty"`
	Waiting bool              `cbor:"12,keyasint,omitempty"` // of known: it has itself not been told yet
}

// Out is what comes of a step.
type Output struct {
	Messages    []Message
	Replies   []singleton.Reply
	Wake   []string
	Changed bool // the register, the leader or the voters
}

// Packet goes to a voter by name.
type Message struct {
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
	ErrNotLeader = errors.New("this voter does not lead")
	ErrUnknownVoter    = errors.New("no voter has this name")
	ErrNotJoining = errors.New("it does not wait to be added: is it up, is it named as a voter, and its folder empty?")
)

// Status is what a voter tells of itself.
type Status struct {
	State   State
	Reason     string
	ID      uint64
	Boot    uint64
	Leader  string // empty: none is known
	Leading   bool
	Term    uint64
	Applied uint64
	Voters  []string
}

// Status tells.
func (c *Voter) Status() Status {
	s := Status{State: c.state, Reason: c.reason, Applied: c.applied, Leading: c.leading}
	if c.durable != nil {
		s.ID, s.Boot, s.Leader, s.Voters = c.durable.ID, c.durable.Boot, c.durable.Names[c.leader], slices.Sorted(maps.Values(c.durable.Names))
	}
	if c.node != nil {
		s.Term = c.node.BasicStatus().GetTerm()
	}
	return s
}

// Register is what is agreed on, as far as this voter knows. It is not to be changed.
func (c *Voter) Table() *singleton.LeaseTable { return c.table }

// Line is who waits for a duty, where this voter leads.
func (c *Voter) Candidates(name string) []string { return c.manager.Candidates(name) }
