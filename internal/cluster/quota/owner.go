package quota

// Parameters of the 64-bit FNV-1a hash, and of the finalizer of MurmurHash3.
const (
	fnvOffset     = 0xcbf29ce484222325
	fnvPrime      = 0x100000001b3
	mixShift      = 33
	mixFactor1    = 0xff51afd7ed558ccd
	mixFactor2    = 0xc4ceb9fe1a85ec53
	hashSeparator = "\x00" // separates the counter's name from the node's
)

// Owner returns the live node that owns a counter: the node whose name, hashed with the counter's name, gives the
// highest hash (rendezvous hashing). All callers that see the same nodes get the same result. When a node leaves, only
// its counters move. The result is empty if no node is live.
func Owner(name string, live []string) (owner string) {
	best := uint64(0)
	for _, node := range live {
		hash := mix(fnv(fnv(fnv(fnvOffset, name), hashSeparator), node))
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

// mix spreads a hash over all of its bits. FNV-1a alone leaves the high bits alike for names that differ only at their
// ends.
func mix(hash uint64) uint64 {
	hash ^= hash >> mixShift
	hash *= mixFactor1
	hash ^= hash >> mixShift
	hash *= mixFactor2
	hash ^= hash >> mixShift
	return hash
}
