package replication

import (
	"encoding/binary"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

const (
	buckets = 256
	// minDigestEntries is the size of a store below which its snapshot costs little more than its digests.
	minDigestEntries = 256
)

// digests has, for each bucket of entries, the sum of their hashes: two stores with the same digest of a bucket hold
// the same in it. Of an instance only what registry.Instance.DiffersFrom compares counts.
type digests [buckets]uint64

// MatchingBuckets is what another store was found to hold already, by its digests, when this one's last change had the
// sequence number upTo. A nil *MatchingBuckets is empty.
type MatchingBuckets struct {
	bits [buckets / 8]byte
	upTo uint64
}

// contains reports whether the other store holds the entry of that bucket that last changed at that number.
func (m *MatchingBuckets) contains(bucket uint8, seq uint64) bool {
	return m != nil && seq <= m.upTo && m.bits[bucket/8]&(1<<(bucket%8)) != 0
}

// Bits returns the matching buckets as a bit set for the other store; nil: none.
func (m *MatchingBuckets) Bits() []byte {
	if m == nil {
		return nil
	}
	return m.bits[:]
}

// inMatchingBucket reports whether an instance is in one of the buckets that a source sent as matching.
func inMatchingBucket(bits []byte, id string) bool {
	bucket := instanceBucket(id)
	return int(bucket/8) < len(bits) && bits[bucket/8]&(1<<(bucket%8)) != 0
}

// hash is FNV-1a, with the length of each text before it.
type hash uint64

const firstHash hash = 14695981039346656037

// number adds a number, little endian.
func (h hash) number(n uint64) hash {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	for _, c := range b {
		h = (h ^ hash(c)) * 1099511628211
	}
	return h
}

// text adds a text with its length before it.
func (h hash) text(s string) hash {
	h = h.number(uint64(len(s)))
	for i := range len(s) {
		h = (h ^ hash(s[i])) * 1099511628211
	}
	return h
}

// mixed spreads a hash over all of its bits (the finalizer of SplitMix64): in a sum of unmixed hashes, differences of
// two entries could cancel out.
func (h hash) mixed() uint64 {
	n := uint64(h)
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

func instanceBucket(id string) uint8 { return uint8(firstHash.text(id).mixed()) }

func itemBucket(key configuration.Key) uint8 {
	return uint8(firstHash.number(uint64(key.Kind)).text(key.Name).mixed())
}

func instanceHash(i *registry.Instance) uint64 {
	h := firstHash.text(i.ID).text(i.Service).text(i.Address).text(i.Zone).text(i.Generation)
	return h.number(uint64(i.Capacity)).number(uint64(i.Phase)).mixed()
}

func itemHash(i *configuration.Item) uint64 {
	h := firstHash.number(uint64(i.Key.Kind)).text(i.Key.Name).number(i.Version).number(i.Epoch)
	if i.Deleted {
		h = h.number(1)
	}
	h = h.text(string(i.Body))
	if i.History != nil {
		for _, previous := range *i.History {
			h = h.number(previous.Version).number(previous.Digest)
		}
	}
	return h.mixed()
}

// updateDigest brings the digest of a slot's bucket up to date with the slot. The mutex is held.
func (s *Store) updateDigest(index int32) {
	entry := &s.slots[index]
	s.digests[entry.bucket] -= entry.digest
	if entry.key.Kind != 0 {
		item, _ := s.snapshot.Load().Get(entry.key)
		entry.bucket, entry.digest = itemBucket(entry.key), itemHash(&item)
	} else {
		entry.bucket, entry.digest = instanceBucket(entry.instance.ID), instanceHash(&entry.instance)
	}
	s.digests[entry.bucket] += entry.digest
}

// Digests returns, encoded, what another store needs to find out what is here already; nil for a small store.
func (s *Store) Digests() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items)+len(s.instances) < minDigestEntries {
		return nil
	}
	encoded := make([]byte, 0, 8*buckets)
	for _, sum := range s.digests {
		encoded = binary.LittleEndian.AppendUint64(encoded, sum)
	}
	return encoded
}

// Match returns what a store with these encoded digests holds already; nil: that is not known.
func (s *Store) Match(encoded []byte) *MatchingBuckets {
	if len(encoded) != 8*buckets {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	matching := &MatchingBuckets{upTo: s.seq}
	for bucket, sum := range s.digests {
		if binary.LittleEndian.Uint64(encoded[8*bucket:]) == sum {
			matching.bits[bucket/8] |= 1 << (bucket % 8)
		}
	}
	return matching
}
