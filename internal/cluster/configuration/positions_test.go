package configuration

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The order of positions is the same in every snapshot, and a walk may begin at any of them. The test compares walks
// with a sorted list of the keys.
func TestItemsFrom(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 1))
	var snapshot *Snapshot
	var want []Key
	for n := range 3000 {
		k := Key{Kind(1 + n%3), fmt.Sprint("n", n)}
		snapshot, _ = snapshot.Merge([]Item{{Key: k, Version: 1, Deleted: n%5 == 0}})
		want = append(want, k)
	}
	slices.SortFunc(want, func(a, b Key) int { return cmp.Compare(a.Position(), b.Position()) })
	for n := range 300 {
		at := rnd.Uint64()
		if n%2 == 0 {
			at = want[rnd.IntN(len(want))].Position() + uint64(rnd.IntN(3)) - 1
		}
		if n == 0 {
			at = 0
		}
		first, _ := slices.BinarySearchFunc(want, at,
			func(k Key, at uint64) int { return cmp.Compare(k.Position(), at) })
		var got []Key
		limit := rnd.IntN(40)
		if n == 0 {
			limit = len(want) + 1
		}
		for p, i := range snapshot.ItemsFrom(at) {
			is.Equal(p, i.Key.Position())
			if got = append(got, i.Key); len(got) >= limit {
				break
			}
		}
		is.Equal(got, append([]Key(nil), want[first:min(len(want), first+max(1, limit))]...))
	}
	// Keys whose entire hashes collide are kept in a list. A walk visits them if their position is not before its
	// start.
	var collisions trie[collidingKey, int]
	for k := range collidingKey(60) {
		collisions = collisions.with(new(edit), k, int(k))
	}
	for _, at := range []uint64{0, 1, 2, 3, 6, 7} {
		count := 0
		collisions.root.from(0, at, false, func(k collidingKey, _ int) bool {
			is.True(trieOrder(k.hash()) >= at)
			count++
			return true
		})
		wanted := 0
		for k := range collidingKey(60) {
			if trieOrder(k.hash()) >= at {
				wanted++
			}
		}
		is.Equal(count, wanted)
	}
}
