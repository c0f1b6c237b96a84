package configuration

import (
	"iter"
	"math/bits"
)

// walkPosition is where a hash stands in a walk that takes the slots of each node in turn: its digits, the lowest
// first. That order does not depend on what else is in the map, so a place in it means the same in every snapshot.
func walkPosition(h uint64) uint64 {
	var at uint64
	for shift := uint(0); shift < hashBits; shift += levelBits {
		if left := hashBits - shift; left < levelBits {
			return at<<left | h>>shift
		}
		at = at<<levelBits | h>>shift&(1<<levelBits-1)
	}
	return at
}

// Position is where a key stands in the order of From, in any snapshot.
func (k Key) Position() uint64 { return walkPosition(k.hash()) }

// ItemsFrom goes through the items that stand at a position or behind it, dropped ones included, in order of their
// positions. What follows an item is had again with ItemsFrom(position+1): in this snapshot or a later one, here or
// on another machine. Keys that share a position, hardly ever any, come one after the other, in no order.
func (b *Snapshot) ItemsFrom(position uint64) iter.Seq2[uint64, Item] {
	return func(yield func(uint64, Item) bool) {
		if b != nil {
			b.items.root.from(0, position, false, func(k Key, e *entry) bool { return yield(k.Position(), e.Item) })
		}
	}
}

// from walks the slots in turn, from that place on; all: the whole node is behind it.
func (n *node[K, V]) from(shift uint, place uint64, all bool, yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	if shift >= hashBits {
		for _, p := range n.pairs {
			if !yield(p.key, p.val) {
				return false
			}
		}
		return true
	}
	width := min(levelBits, hashBits-shift)
	first := uint32(place >> (hashBits - shift - width) & (1<<width - 1))
	if all {
		first = 0
	}
	for rest := (n.held | n.below) >> first << first; rest != 0; rest &= rest - 1 {
		bit := rest & -rest
		behind := all || uint32(bits.TrailingZeros32(bit)) > first
		if n.below&bit != 0 {
			if !n.kids[rank(n.below, bit)].from(shift+levelBits, place, behind, yield) {
				return false
			}
			continue
		}
		if p := &n.pairs[rank(n.held, bit)]; (behind || walkPosition(p.key.hash()) >= place) && !yield(p.key, p.val) {
			return false
		}
	}
	return true
}
