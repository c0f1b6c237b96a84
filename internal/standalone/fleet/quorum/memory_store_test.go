package quorum

import (
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryStore is a Store in memory. A test may copy the saved state and roll the store back to a copy.
type memoryStore struct {
	durable *Durable // nil: empty
	full    bool
	nextID  uint64 // basis of the id of the next empty store
}

func (s *memoryStore) Open() (*Durable, error) {
	if s.full {
		return nil, ErrNoSpace
	}
	if s.durable == nil {
		s.nextID += 7919
		s.durable = &Durable{ID: s.nextID}
	}
	s.durable.Boot++
	return s.copy(), nil
}

func (s *memoryStore) copy() *Durable {
	c := *s.durable
	c.VoterNames = maps.Clone(s.durable.VoterNames)
	c.Peers = maps.Clone(s.durable.Peers)
	c.Entries = slices.Clone(s.durable.Entries)
	c.HardState = proto.CloneOf(s.durable.HardState)
	c.Snapshot = proto.CloneOf(s.durable.Snapshot)
	return &c
}

func (s *memoryStore) Save(b Batch) error {
	if s.full {
		return ErrNoSpace
	}
	if b.HardState != nil {
		s.durable.HardState = proto.CloneOf(b.HardState)
	}
	if b.Snapshot != nil {
		s.durable.Snapshot = proto.CloneOf(b.Snapshot)
		last := b.Snapshot.GetMetadata().GetIndex()
		s.deleteEntries(func(e *pb.Entry) bool { return b.Replace || e.GetIndex() <= last })
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].GetIndex()
		s.deleteEntries(func(e *pb.Entry) bool { return e.GetIndex() >= first })
		s.durable.Entries = append(s.durable.Entries, b.Entries...)
	}
	if b.VoterNames != nil {
		s.durable.VoterNames = maps.Clone(b.VoterNames)
	}
	s.durable.Peers = maps.Clone(b.Peers)
	return nil
}

func (s *memoryStore) deleteEntries(del func(*pb.Entry) bool) {
	s.durable.Entries = slices.DeleteFunc(slices.Clone(s.durable.Entries), del)
}
