package configuration

import (
	"iter"
	"math/bits"
)

// trieOrder is where a hash stands in a walk that takes the slots of each node in turn: its digits, the lowest first.
// That order does not depend on what else is in the trie, so a position means the same in every snapshot.
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

// Position is where a key stands in the order of ItemsFrom, in any snapshot.
func (k Key) Position() uint64 { return trieOrder(k.hash()) }

// ItemsFrom goes through the items at a position or after it, deleted ones included, in the order of their positions.
// What follows an item can be had with ItemsFrom(position+1), in this snapshot or a later one, here or on another
// machine. Keys that share a position, which hardly ever occurs, come one after the other in no order.
func (s *Snapshot) ItemsFrom(position uint64) iter.Seq2[uint64, Item] {
	return func(yield func(uint64, Item) bool) {
		if s != nil {
			s.items.root.from(0, position, false, func(k Key, e *entry) bool { return yield(k.Position(), e.Item) })
		}
	}
}

// from walks the slots in turn, from a position on; all tells that every entry of the node is after it.
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
