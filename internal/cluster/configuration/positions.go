package configuration

import (
	"iter"
	"math/bits"
)

// trieOrder returns the position of a hash in a walk that visits the slots of each node in ascending order. It has the
// digits of the hash, of levelBits bits each, in reverse order, because the lowest digit selects the slot of the root.
// A position does not depend on the other keys in the trie, so it means the same in every snapshot.
func trieOrder(h uint64) uint64 {
	var order uint64
	for shift := uint(0); shift < hashBits; shift += levelBits {
		if left := hashBits - shift; left < levelBits {
			return order<<left | h>>shift
		}
		order = order<<levelBits | h>>shift&(1<<levelBits-1)
	}
	return order
}

// Position returns the position of a key in the order of ItemsFrom, which is the same in every snapshot.
func (k Key) Position() uint64 { return trieOrder(k.hash()) }

// ItemsFrom iterates over the items at or after a position, deleted ones included, in the order of their positions.
// ItemsFrom(position+1) continues after an item, in this snapshot or a later one, on this machine or another. Keys that
// share a position, which is very rare, follow one another in no particular order. A caller must therefore take all
// items of a position before it continues from the next.
func (s *Snapshot) ItemsFrom(position uint64) iter.Seq2[uint64, Item] {
	return func(yield func(uint64, Item) bool) {
		if s != nil {
			s.items.root.from(0, position, false, func(k Key, e *entry) bool { return yield(k.Position(), e.Item) })
		}
	}
}

// from visits the slots in ascending order, beginning at a position. all means that every entry of the node is after
// it.
func (n *node[K, V]) from(shift uint, position uint64, all bool, yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	if shift >= hashBits {
		return n.yieldPairs(yield)
	}
	width := min(levelBits, hashBits-shift)
	first := uint32(position >> (hashBits - shift - width) & (1<<width - 1))
	if all {
		first = 0
	}
	for rest := (n.pairSlots | n.childSlots) >> first << first; rest != 0; rest &= rest - 1 {
		bit := rest & -rest
		after := all || uint32(bits.TrailingZeros32(bit)) > first
		if n.childSlots&bit != 0 {
			if !n.children[rank(n.childSlots, bit)].from(shift+levelBits, position, after, yield) {
				return false
			}
			continue
		}
		p := &n.pairs[rank(n.pairSlots, bit)]
		if (after || trieOrder(p.key.hash()) >= position) && !yield(p.key, p.value) {
			return false
		}
	}
	return true
}
