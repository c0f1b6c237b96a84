package configuration

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Positions order the items of any snapshot alike, and a walk may begin at each of them: against a sorted list.
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
	// In lists too, where whole hashes collide, each is found from its position on.
	var crowd trie[crowded, int]
	for k := range crowded(60) {
		crowd = crowd.with(new(edit), k, int(k))
	}
	for _, at := range []uint64{0, 1, 2, 3, 6, 7} {
		count := 0
		crowd.root.from(0, at, false, func(k crowded, _ int) bool {
			is.True(trieOrder(k.hash()) >= at)
			count++
			return true
		})
		wanted := 0
		for k := range crowded(60) {
			if trieOrder(k.hash()) >= at {
				wanted++
			}
		}
		is.Equal(count, wanted)
	}
}
