package replication

import (
	"math"
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// slot is an entry of a Store: the last change of an item or of an instance. The items themselves are in the snapshot.
type slot struct {
	seq      uint64            // sequence number of the last change
	key      configuration.Key // key of an item; kind 0 means that the entry is an instance
	instance registry.Instance
	bucket   uint8
	digest   uint64 // hash of the entry, which is part of the digest of its bucket
}

// change is an entry of a Store's log.
type change struct {
	seq  uint64
	slot int32
}

// minLogLength is the length of the log, in changes, below which it is not compacted.
const minLogLength = 64

// itemSlot returns the index of the slot of an item, and creates the slot if there is none. The mutex must be held.
func (s *Store) itemSlot(key configuration.Key) int32 {
	index, ok := s.items[key]
	if !ok {
		index = s.newSlot()
		s.slots[index].key = key
		s.items[key] = index
	}
	return index
}

// newSlot returns the index of a slot that is not in use. The mutex must be held.
func (s *Store) newSlot() int32 {
	if n := len(s.free); n > 0 {
		index := s.free[n-1]
		s.free = s.free[:n-1]
		return index
	}
	if len(s.slots) == math.MaxInt32 {
		panic("replication: a store has more entries than an int32 counts")
	}
	s.slots = append(s.slots, slot{})
	return int32(len(s.slots) - 1)
}

// removeInstance drops an instance and frees its slot. The mutex must be held.
func (s *Store) removeInstance(index int32) {
	s.digests[s.slots[index].bucket] -= s.slots[index].digest
	delete(s.instances, s.slots[index].instance.ID)
	s.slots[index] = slot{}
	s.free = append(s.free, index)
}

// recordChange gives a slot the next sequence number. Once most changes in the log are superseded, the log is
// compacted. This costs no more than recording the changes that are removed. The mutex must be held.
func (s *Store) recordChange(index int32) {
	s.seq++
	s.slots[index].seq = s.seq
	s.updateDigest(index)
	s.log = append(s.log, change{seq: s.seq, slot: index})
	if len(s.log) > minLogLength+2*(len(s.slots)-len(s.free)) {
		s.log = slices.DeleteFunc(s.log, func(c change) bool { return s.slots[c.slot].seq != c.seq })
	}
	s.wake()
}
