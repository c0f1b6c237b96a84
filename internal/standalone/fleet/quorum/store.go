package quorum

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// Store is the durable state of a voter. Save returns nil only after the whole batch is durable. After ErrNoSpace the
// store is unchanged. After any other error its state is unknown, and the voter does not use it any more.
type Store interface {
	// Open reads the state, and durably increases the boot count. If the file is locked, the disk is full or the state
	// is corrupt, its error is or wraps ErrLocked, ErrNoSpace or ErrCorrupt.
	Open() (*Durable, error)
	Save(Batch) error
}

// Durable is the state that a voter has on disk.
type Durable struct {
	ID         uint64            // generated with the store
	Boot       uint64            // number of starts with this store, including the present one
	VoterNames map[uint64]string // by id; empty: not bootstrapped
	HardState  *pb.HardState
	Snapshot   *pb.Snapshot // nil: none
	Entries    []*pb.Entry
	Peers      map[uint64]PeerProgress // progress of the other voters, by id
}

// PeerProgress is the latest progress at which another voter was seen. It only grows. A voter whose store is behind it
// was rolled back.
type PeerProgress struct {
	Boot  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"` // index of the last entry that it acknowledged
}

// Batch is a set of changes that a Store stores completely or not at all.
type Batch struct {
	HardState  *pb.HardState           // nil: unchanged
	Snapshot   *pb.Snapshot            // nil: none; entries up to its index may be deleted, except the last few
	Replace    bool                    // the snapshot comes from another voter and replaces all entries
	Entries    []*pb.Entry             // replace all stored entries from the first one's index on
	VoterNames map[uint64]string       // nil: unchanged
	Peers      map[uint64]PeerProgress // replaces what is stored
}
