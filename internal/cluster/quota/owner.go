package quota

// Parameters of the 64-bit FNV-1a hash, and of the finalizer of MurmurHash3.
const (
	fnvOffset   = 0xcbf29ce484222325
	fnvPrime    = 0x100000001b3
	mixShift    = 33
	mixFactor1  = 0xff51afd7ed558ccd
	mixFactor2  = 0xc4ceb9fe1a85ec53
	hashDivider = "\x00" // between the two parts of what is hashed
)

// Owner returns which of the live nodes owns a counter, the same for everyone who sees the same nodes: the one whose
// hash with the name is highest (rendezvous hashing). When a node goes, only its counters move. Empty: no node is live.
func Owner(name string, live []string) (owner string) {
	best := uint64(0)
	for _, node := range live {
		hash := mix(fnv(fnv(fnv(fnvOffset, name), hashDivider), node))
		if owner == "" || hash > best || hash == best && node < owner {
			owner, best = node, hash
		}
	}
	return owner
}

// fnv adds a text to an FNV-1a hash.
func fnv(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// mix spreads a hash over all of its bits: FNV-1a alone leaves the high bits alike of names that differ at their ends.
func mix(hash uint64) uint64 {
	hash ^= hash >> mixShift
	hash *= mixFactor1
	hash ^= hash >> mixShift
	hash *= mixFactor2
	hash ^= hash >> mixShift
	return hash
}
