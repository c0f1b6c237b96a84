package configuration

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// collidingKey is a key whose hash equals those of other keys completely or in the low bits.
type collidingKey int

func (c collidingKey) hash() uint64 { return uint64(c%7) << 60 }

// After random changes a trie must have the same content as a map, and earlier versions that were kept must not have
// changed.
func TestTrieMatchesMap(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	type version struct {
		trie trie[collidingKey, int]
		want map[collidingKey]int
	}
	var kept []version
	var now trie[collidingKey, int]
	want, e := map[collidingKey]int{}, new(edit)
	for n := range 4000 {
		if k := collidingKey(r.IntN(60)); r.IntN(2) == 0 {
			now, want[k] = now.with(e, k, n), n
		} else {
			now = now.without(e, k)
			delete(want, k)
		}
		if n%40 == 0 { // an edit must not continue once its result is shared
			kept = append(kept, version{now, maps.Clone(want)})
			e = new(edit)
		}
	}
	for _, s := range kept {
		got := map[collidingKey]int{}
		s.trie.all(func(k collidingKey, v int) bool { got[k] = v; return true })
		is.True(maps.Equal(got, s.want))
		is.Equal(s.trie.size, len(s.want))
		for k := range collidingKey(60) {
			v, ok := s.trie.get(k)
			is.Equal(v, s.want[k])
			_, present := s.want[k]
			is.Equal(ok, present)
		}
	}
}
