package replication

import (
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// entryOverhead is about what an entry takes in a frame beside its strings and its body, in bytes.
const entryOverhead = 32

// Changes is what changed in a Store behind a sequence number: each entry once, as it is now, in order of its last
// change.
type Changes struct {
	Items     []configuration.Item
	Instances []registry.Instance
	Seq       uint64 // to ask with next
	Complete  bool   // there is nothing behind Seq
}

// ChangesSince returns what changed behind a sequence number: at least one entry where there is any, and else no more
// than about so many bytes. Its cost is that of what it returns.
func (s *Store) ChangesSince(seq uint64, maxBytes int) Changes {
	return s.ChangesSinceExcept(seq, maxBytes, nil)
}

// ChangesSinceExcept is ChangesSince without what the other store is known to hold; nil: nothing.
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

// instanceSize is about what an instance takes in a frame, in bytes.
func instanceSize(i *registry.Instance) int {
	return entryOverhead + len(i.ID) + len(i.Service) + len(i.Address) + len(i.Zone) + len(i.Generation)
}
