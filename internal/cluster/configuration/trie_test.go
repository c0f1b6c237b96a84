package configuration

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// crowded is a key whose hashes collide completely or in their low bits.
type crowded int

func (c crowded) hash() uint64 { return uint64(c%7) << 60 }

func TestTrieMatchesMap(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	type version struct {
		trie trie[crowded, int]
		want map[crowded]int
	}
	var kept []version
	var now trie[crowded, int]
	want, e := map[crowded]int{}, new(edit)
	for n := range 4000 {
		if k := crowded(r.IntN(60)); r.IntN(2) == 0 {
			now, want[k] = now.with(e, k, n), n
		} else {
			now = now.without(e, k)
			delete(want, k)
		}
		if n%40 == 0 { // an edit ends once another reader has its result
			kept = append(kept, version{now, maps.Clone(want)})
			e = new(edit)
		}
	}
	for _, s := range kept {
		got := map[crowded]int{}
		s.trie.all(func(k crowded, v int) bool { got[k] = v; return true })
		is.True(maps.Equal(got, s.want))
		is.Equal(s.trie.size, len(s.want))
		for k := range crowded(60) {
			v, ok := s.trie.get(k)
			is.Equal(v, s.want[k])
			_, present := s.want[k]
			is.Equal(ok, present)
		}
	}
}
