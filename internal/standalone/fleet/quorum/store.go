package quorum

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Store is the durable state of a voter. Save returns once all of the batch is durable, or none of it is. After
// ErrNoSpace the store is as it was; after any other error its state is unknown, and the voter does not use it any
// more.
type Store interface {
	// Open reads the state, and durably counts the start. Its errors are, or wrap, ErrLocked, ErrNoSpace or ErrCorrupt
	// where they apply.
	Open() (*Durable, error)
	Save(Batch) error
}

// Durable is what a voter has on disk.
type Durable struct {
	ID         uint64            // drawn with the store
	Boot       uint64            // starts with this store, the present one included
	VoterNames map[uint64]string // by id; empty: not bootstrapped
	HardState  *pb.HardState
	Snapshot   *pb.Snapshot // nil: none
	Entries    []*pb.Entry
	Peers      map[uint64]PeerProgress // by id, of the other voters
}

// PeerProgress is how far another voter is known to have been. It only grows. A voter whose store says less was
// rolled back.
type PeerProgress struct {
	Boot  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"` // of the last entry that it acknowledged
}

// Batch is stored completely or not at all.
type Batch struct {
	HardState  *pb.HardState // nil: unchanged
	Snapshot   *pb.Snapshot  // nil: none; entries up to its index may go, except the last few
	Replace    bool          // the snapshot comes from another voter and replaces all entries
	Entries    []*pb.Entry   // replace all from the first one's index on
	VoterNames map[uint64]string
	Peers      map[uint64]PeerProgress
}
