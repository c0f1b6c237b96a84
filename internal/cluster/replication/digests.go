package replication

import (
	"encoding/binary"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

const (
	bucketCount = 256 // buckets of a store, as many as one byte of a hash can number
	// minDigestEntries is the size of a store, in entries, below which its snapshot costs little more than its digests.
	minDigestEntries = 256
)

// digests has the sum of the hashes of the entries of each bucket. Two stores with the same digest of a bucket have the
// same entries in it. Of an instance only the fields that registry.Instance.DiffersFrom compares are hashed.
type digests [bucketCount]uint64

// MatchingBuckets is the set of buckets that, according to its digests, another store has in common with this one. It
// is valid for entries whose last change has a sequence number up to upTo. A nil *MatchingBuckets is empty.
type MatchingBuckets struct {
	bits [bucketCount / 8]byte
	upTo uint64
}

// contains reports whether the other store has the entry of that bucket that last changed at that sequence number.
func (m *MatchingBuckets) contains(bucket uint8, seq uint64) bool {
	return m != nil && seq <= m.upTo && m.bits[bucket/8]&(1<<(bucket%8)) != 0
}

// Bits returns the matching buckets as a bit set for the other store; nil means none.
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

// hash is FNV-1a, 64 bits, whose prime is 1099511628211. Each text is hashed with its length before it.
type hash uint64

// firstHash is the offset basis of FNV-1a.
const firstHash hash = 14695981039346656037

// number adds a number, in little-endian order.
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

// finalize mixes all bits of a hash (the finalizer of SplitMix64). In a sum of hashes that are not mixed, the
// differences of two entries could cancel out.
func (h hash) finalize() uint64 {
	n := uint64(h)
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

func instanceBucket(id string) uint8 { return uint8(firstHash.text(id).finalize()) }

func itemBucket(key configuration.Key) uint8 {
	return uint8(firstHash.number(uint64(key.Kind)).text(key.Name).finalize())
}

func instanceHash(i *registry.Instance) uint64 {
	h := firstHash.text(i.ID).text(i.Service).text(i.Address).text(i.Zone).text(i.Generation)
	return h.number(uint64(i.Capacity)).number(uint64(i.Phase)).finalize()
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
	return h.finalize()
}

// updateDigest brings the digest of a slot's bucket up to date with the slot. The mutex must be held.
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

// Digests returns the encoded digests, from which another store can find out which entries this one has already. It
// returns nil for a small store.
func (s *Store) Digests() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items)+len(s.instances) < minDigestEntries {
		return nil
	}
	encoded := make([]byte, 0, 8*bucketCount)
	for _, sum := range s.digests {
		encoded = binary.LittleEndian.AppendUint64(encoded, sum)
	}
	return encoded
}

// Match returns the buckets that match the encoded digests of another store. It returns nil if these are not valid.
func (s *Store) Match(encoded []byte) *MatchingBuckets {
	if len(encoded) != 8*bucketCount {
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
