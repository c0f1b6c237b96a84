package replication

import (
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// entryOverhead is the approximate size of an entry in a frame without its strings and its body, in bytes.
const entryOverhead = 32

// Changes has the entries of a Store that changed after a sequence number. Each entry is included once, with its
// present content, in order of its last change.
type Changes struct {
	Items     []configuration.Item
	Instances []registry.Instance
	Seq       uint64 // sequence number for the next call
	Complete  bool   // no changes are left after Seq
}

// ChangesSince returns what changed after a sequence number, up to about maxBytes. If anything changed, it returns at
// least one entry, whatever its size. Its cost grows with the changes after the sequence number, not with the store.
func (s *Store) ChangesSince(seq uint64, maxBytes int) Changes {
	return s.ChangesSinceExcept(seq, maxBytes, nil)
}

// ChangesSinceExcept is ChangesSince without the entries that the other store is known to have; nil means none.
func (s *Store) ChangesSinceExcept(seq uint64, maxBytes int, known *MatchingBuckets) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, _ := slices.BinarySearchFunc(s.log, seq, func(c change, seq uint64) int {
		if c.seq <= seq {
			return -1
		}
		return 1
	})
	var changes Changes
	snapshot, size := s.snapshot.Load(), 0
	for _, c := range s.log[start:] {
		entry := &s.slots[c.slot]
		if entry.seq != c.seq || known.contains(entry.bucket, c.seq) {
			continue
		}
		var item configuration.Item
		isItem := entry.key.Kind != 0
		if isItem {
			item, _ = snapshot.Get(entry.key)
			size += entryOverhead + len(entry.key.Name) + len(item.Body)
		} else {
			size += instanceSize(&entry.instance)
		}
		if size > maxBytes && len(changes.Items)+len(changes.Instances) > 0 {
			return changes
		}
		if isItem {
			changes.Items = append(changes.Items, item)
		} else {
			changes.Instances = append(changes.Instances, entry.instance)
		}
		changes.Seq = c.seq
	}
	changes.Seq, changes.Complete = s.seq, true
	return changes
}

// instanceSize returns the approximate size of an instance in a frame, in bytes.
func instanceSize(i *registry.Instance) int {
	return entryOverhead + len(i.ID) + len(i.Service) + len(i.Address) + len(i.Zone) + len(i.Generation)
}
