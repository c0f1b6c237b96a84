package configuration

import "math/bits"

// The items and the indexes over them are kept in hash tries: immutable maps of which a copy with one change shares
// all but the few nodes on the way to it. So a change costs the same however much stands, and whoever reads an older
// one is not disturbed. Hashes are not seeded: copies of one content are walked alike everywhere. Keys that share a
// whole hash end in a plain list.

// hashed is what may be a key.
type hashed interface {
	comparable
	hash() uint64
}

// word is a key that is a plain string.
type word string

func (w word) hash() uint64 { return mix(fold(basis, string(w))) }

func (k Key) hash() uint64 { return mix(fold(step(basis, byte(k.Kind)), k.Name)) }

// Folding is FNV-1a, which grows byte by byte, so that all prefixes of a path are hashed on one walk; mix spreads
// what it leaves in the low bits.
const basis, prime = 14695981039346656037, 1099511628211

func step(h uint64, c byte) uint64 { return (h ^ uint64(c)) * prime }

func fold(h uint64, s string) uint64 {
	for i := 0; i < len(s); i++ {
		h = step(h, s[i])
	}
	return h
}

func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// edit marks the nodes that one batch of changes has made: no one else has seen them yet, so the batch may change
// them in place.
type edit struct{ _ byte }

// trie is the map. The zero one is empty. Reading it needs no lock.
type trie[K hashed, V any] struct {
	root *node[K, V]
	size int
}

type pair[K hashed, V any] struct {
	key K
	val V
}

// node holds pairs and nodes below it by five bits of the hash a level; held and below tell which there are. Pairs
// are never changed in place, kids only by the edit that owns the node. Below the last bits a node is a list of
// pairs.
type node[K hashed, V any] struct {
	owner       *edit
	held, below uint32
	pairs       []pair[K, V]
	kids        []*node[K, V]
}

const levelBits, hashBits = 5, 64

func bitAt(h uint64, shift uint) uint32 { return 1 << (h >> shift & (1<<levelBits - 1)) }

func rank(set, bit uint32) int { return bits.OnesCount32(set & (bit - 1)) }

func (t trie[K, V]) get(k K) (V, bool) { return t.find(k.hash(), k) }

// find is get for a key whose hash is known. It allocates nothing.
func (t trie[K, V]) find(h uint64, k K) (v V, ok bool) {
	n := t.root
	for shift := uint(0); n != nil; shift += levelBits {
		if shift >= hashBits {
			if i := n.index(k); i >= 0 {
				return n.pairs[i].val, true
			}
			return v, false
		}
		bit := bitAt(h, shift)
		if n.held&bit != 0 {
			if p := &n.pairs[rank(n.held, bit)]; p.key == k {
				return p.val, true
			}
			return v, false
		}
		if n.below&bit == 0 {
			return v, false
		}
		n = n.kids[rank(n.below, bit)]
	}
	return v, false
}

// with is the map with this value under the key.
func (t trie[K, V]) with(e *edit, k K, v V) trie[K, V] {
	root, grew := t.root.put(e, 0, k.hash(), k, v)
	if grew {
		t.size++
	}
	return trie[K, V]{root, t.size}
}

// without is the map without the key.
func (t trie[K, V]) without(e *edit, k K) trie[K, V] {
	h := k.hash()
	if _, ok := t.find(h, k); !ok {
		return t
	}
	return trie[K, V]{t.root.drop(e, 0, h, k), t.size - 1}
}

// all walks the map, in the order of the hashes.
func (t trie[K, V]) all(yield func(K, V) bool) { t.root.walk(yield) }

func (n *node[K, V]) walk(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	for i := range n.pairs {
		if !yield(n.pairs[i].key, n.pairs[i].val) {
			return false
		}
	}
	for _, kid := range n.kids {
		if !kid.walk(yield) {
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

// owned is the node, or a copy of it, that the edit may change.
func (n *node[K, V]) owned(e *edit) *node[K, V] {
	if n == nil {
		return &node[K, V]{owner: e}
	}
	if n.owner == e {
		return n
	}
	c := *n
	c.owner, c.kids = e, replaced(n.kids, -1, nil)
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
	at := rank(n.held, bit)
	switch {
	case n.below&bit != 0:
		kid := &n.kids[rank(n.below, bit)]
		*kid, grew = (*kid).put(e, shift+levelBits, h, k, v)
		return n, grew
	case n.held&bit == 0:
		n.pairs, n.held = inserted(n.pairs, at, p), n.held|bit
		return n, true
	case n.pairs[at].key == k:
		n.pairs = replaced(n.pairs, at, p)
		return n, false
	}
	old := n.pairs[at]
	kid, _ := (*node[K, V])(nil).put(e, shift+levelBits, old.key.hash(), old.key, old.val)
	kid, _ = kid.put(e, shift+levelBits, h, k, v)
	n.pairs, n.held = removed(n.pairs, at), n.held&^bit
	n.kids, n.below = inserted(n.kids, rank(n.below, bit), kid), n.below|bit
	return n, true
}

// drop takes out a key that is there. What is left may be nothing: then it is nil.
func (n *node[K, V]) drop(e *edit, shift uint, h uint64, k K) *node[K, V] {
	n = n.owned(e)
	if shift >= hashBits {
		n.pairs = removed(n.pairs, n.index(k))
	} else if bit := bitAt(h, shift); n.held&bit != 0 {
		n.pairs, n.held = removed(n.pairs, rank(n.held, bit)), n.held&^bit
	} else {
		at := rank(n.below, bit)
		kid := n.kids[at].drop(e, shift+levelBits, h, k)
		switch {
		case kid == nil:
			n.kids, n.below = removed(n.kids, at), n.below&^bit
		case len(kid.kids) == 0 && len(kid.pairs) == 1: // it needs no node of its own
			n.kids, n.below = removed(n.kids, at), n.below&^bit
			n.pairs, n.held = inserted(n.pairs, rank(n.held, bit), kid.pairs[0]), n.held|bit
		default:
			n.kids[at] = kid
		}
	}
	if len(n.pairs) == 0 && len(n.kids) == 0 {
		return nil
	}
	return n
}

// The three below copy, with no room to spare.

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
