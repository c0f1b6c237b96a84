package configuration

import "math/bits"

// The items and their indexes are kept in hash tries. These are persistent maps: a copy with one change shares all
// nodes except the few on the path to the change. Therefore a change costs the same at any size, and readers of an
// older copy are not disturbed. Hashes are not seeded, so copies with the same content are walked in the same order on
// all machines. Keys with equal hashes are kept in a plain list.

// hashed is the constraint of key types.
type hashed interface {
	comparable
	hash() uint64
}

// stringKey is a key that is a plain string.
type stringKey string

func (s stringKey) hash() uint64 { return mix(hashString(fnvBasis, string(s))) }

func (k Key) hash() uint64 { return mix(hashString(hashByte(fnvBasis, byte(k.Kind)), k.Name)) }

// Parameters of the 64-bit FNV-1a hash. It is computed byte by byte, so all prefixes of a path are hashed in one pass.
// It leaves the differences between similar keys in the low bits, and mix spreads them over all bits. The hashes of
// keys are sent on the wire as positions and must not change.
const (
	fnvBasis = 14695981039346656037
	fnvPrime = 1099511628211
)

// hostSeparator separates a host from a path prefix in a hash.
const hostSeparator = 0xff

func hashByte(h uint64, c byte) uint64 { return (h ^ uint64(c)) * fnvPrime }

func hashString(h uint64, s string) uint64 {
	for i := 0; i < len(s); i++ {
		h = hashByte(h, s[i])
	}
	return h
}

func hashHost(host string) uint64 { return hashByte(hashString(fnvBasis, host), hostSeparator) }

// mix is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// edit identifies the nodes that one batch of changes has created. They are not shared yet, so the batch may modify
// them in place. It has a byte, because pointers to different values without a size may be equal.
type edit struct{ _ byte }

// trie is a persistent map. The zero value is empty. Readers need no lock.
type trie[K hashed, V any] struct {
	root *node[K, V]
	size int
}

type pair[K hashed, V any] struct {
	key   K
	value V
}

// node holds pairs and child nodes in slots, which are selected by five bits of the hash per level; pairSlots and
// childSlots are the sets of slots in use. Pairs are never modified in place, and children only by the edit that owns
// the node. A node after the last bits of the hash is a list of pairs.
type node[K hashed, V any] struct {
	owner      *edit
	pairSlots  uint32
	childSlots uint32
	pairs      []pair[K, V]
	children   []*node[K, V]
}

const (
	levelBits = 5  // bits of the hash per level
	hashBits  = 64 // bits of the hash
)

// bitAt returns the bit of the slot that a hash selects in the node whose level begins at bit shift of the hash.
func bitAt(h uint64, shift uint) uint32 { return 1 << (h >> shift & (1<<levelBits - 1)) }

// rank returns the number of slots of a set before the slot of a bit, which is the slot's index in pairs or children.
func rank(set, bit uint32) int { return bits.OnesCount32(set & (bit - 1)) }

func (t trie[K, V]) get(k K) (V, bool) { return t.find(k.hash(), k) }

// find is get for a key whose hash is known. It allocates nothing.
func (t trie[K, V]) find(h uint64, k K) (v V, ok bool) {
	n := t.root
	for shift := uint(0); n != nil; shift += levelBits {
		if shift >= hashBits {
			if i := n.index(k); i >= 0 {
				return n.pairs[i].value, true
			}
			return v, false
		}
		bit := bitAt(h, shift)
		if n.pairSlots&bit != 0 {
			if p := &n.pairs[rank(n.pairSlots, bit)]; p.key == k {
				return p.value, true
			}
			return v, false
		}
		if n.childSlots&bit == 0 {
			return v, false
		}
		n = n.children[rank(n.childSlots, bit)]
	}
	return v, false
}

// with returns the map with a value under a key.
func (t trie[K, V]) with(e *edit, k K, v V) trie[K, V] {
	root, grew := t.root.put(e, 0, k.hash(), k, v)
	if grew {
		t.size++
	}
	return trie[K, V]{root, t.size}
}

// without returns the map without a key.
func (t trie[K, V]) without(e *edit, k K) trie[K, V] {
	h := k.hash()
	if _, ok := t.find(h, k); !ok {
		return t
	}
	return trie[K, V]{t.root.remove(e, 0, h, k), t.size - 1}
}

// all walks the map, in an order that the hashes of its keys determine.
func (t trie[K, V]) all(yield func(K, V) bool) { t.root.walk(yield) }

func (n *node[K, V]) walk(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	if !n.yieldPairs(yield) {
		return false
	}
	for _, child := range n.children {
		if !child.walk(yield) {
			return false
		}
	}
	return true
}

func (n *node[K, V]) yieldPairs(yield func(K, V) bool) bool {
	for i := range n.pairs {
		if !yield(n.pairs[i].key, n.pairs[i].value) {
			return false
		}
	}
	return true
}

func (n *node[K, V]) index(k K) int {
	for i := range n.pairs {
		if n.pairs[i].key == k {
			return i
		}
	}
	return -1
}

// owned returns a node that the edit may modify: this one if the edit owns it, otherwise a copy.
func (n *node[K, V]) owned(e *edit) *node[K, V] {
	if n == nil {
		return &node[K, V]{owner: e}
	}
	if n.owner == e {
		return n
	}
	c := *n
	c.owner, c.children = e, replaced(n.children, -1, nil)
	return &c
}

func (n *node[K, V]) put(e *edit, shift uint, h uint64, k K, v V) (_ *node[K, V], grew bool) {
	n = n.owned(e)
	p := pair[K, V]{k, v}
	if shift >= hashBits {
		if i := n.index(k); i >= 0 {
			n.pairs = replaced(n.pairs, i, p)
			return n, false
		}
		n.pairs = inserted(n.pairs, len(n.pairs), p)
		return n, true
	}
	bit := bitAt(h, shift)
	at := rank(n.pairSlots, bit)
	switch {
	case n.childSlots&bit != 0:
		child := &n.children[rank(n.childSlots, bit)]
		*child, grew = (*child).put(e, shift+levelBits, h, k, v)
		return n, grew
	case n.pairSlots&bit == 0:
		n.pairs, n.pairSlots = inserted(n.pairs, at, p), n.pairSlots|bit
		return n, true
	case n.pairs[at].key == k:
		n.pairs = replaced(n.pairs, at, p)
		return n, false
	}
	old := n.pairs[at]
	child, _ := (*node[K, V])(nil).put(e, shift+levelBits, old.key.hash(), old.key, old.value)
	child, _ = child.put(e, shift+levelBits, h, k, v)
	n.pairs, n.pairSlots = removed(n.pairs, at), n.pairSlots&^bit
	n.children, n.childSlots = inserted(n.children, rank(n.childSlots, bit), child), n.childSlots|bit
	return n, true
}

// remove removes a key that is present. The result is nil if nothing is left.
func (n *node[K, V]) remove(e *edit, shift uint, h uint64, k K) *node[K, V] {
	n = n.owned(e)
	if shift >= hashBits {
		n.pairs = removed(n.pairs, n.index(k))
	} else if bit := bitAt(h, shift); n.pairSlots&bit != 0 {
		n.pairs, n.pairSlots = removed(n.pairs, rank(n.pairSlots, bit)), n.pairSlots&^bit
	} else {
		at := rank(n.childSlots, bit)
		child := n.children[at].remove(e, shift+levelBits, h, k)
		switch {
		case child == nil:
			n.children, n.childSlots = removed(n.children, at), n.childSlots&^bit
		case len(child.children) == 0 && len(child.pairs) == 1: // a single pair needs no child node
			n.children, n.childSlots = removed(n.children, at), n.childSlots&^bit
			n.pairs, n.pairSlots = inserted(n.pairs, rank(n.pairSlots, bit), child.pairs[0]), n.pairSlots|bit
		default:
			n.children[at] = child
		}
	}
	if len(n.pairs) == 0 && len(n.children) == 0 {
		return nil
	}
	return n
}

// The functions below return copies, in slices of exactly the needed length.

func inserted[T any](s []T, at int, x T) []T {
	c := make([]T, len(s)+1)
	copy(c, s[:at])
	c[at] = x
	copy(c[at+1:], s[at:])
	return c
}

func removed[T any](s []T, at int) []T {
	if len(s) == 1 {
		return nil
	}
	c := make([]T, len(s)-1)
	copy(c, s[:at])
	copy(c[at:], s[at+1:])
	return c
}

// replaced only copies the slice if at is negative.
func replaced[T any](s []T, at int, x T) []T {
	if len(s) == 0 {
		return nil
	}
	c := make([]T, len(s))
	copy(c, s)
	if at >= 0 {
		c[at] = x
	}
	return c
}
