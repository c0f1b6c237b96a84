// Package counterserver is a quota counter of our own: numbers by name that ingresses add to, over RESP2 as PROTOCOL words
// it. One ingress can have it embedded for all those on its machine; stand-ins use it, too.
package counterserver

import (
	"container/heap"
	"math"
	"strconv"
)

const (
	// MaxNameBytes bounds a name, in bytes.
	MaxNameBytes = 64
	// MaxAmount bounds what one call may add.
	MaxAmount = 1e9
	mostKeep   = 60_000 // ms: longer ones count as this
)

// Store holds the numbers. It does no I/O and reads no clock, and is not safe for use by several goroutines at once.
type Store struct {
	most  int // names held at once
	names map[string]*entry
	order expiries
}

type entry struct {
	name  string
	total float64
	until int64 // ms
}

// NewStore returns an empty store that holds so many names at once at the most.
func NewStore(most int) *Store { return &Store{most: most, names: map[string]*entry{}} }

// Add adds an amount to a name and tells the total. Now and keep are in ms; a new name is forgotten keep after it came.
// Not ok: there is no room for another name, and nothing was added.
func (s *Store) Add(now int64, name string, amount float64, keep int64) (total float64, ok bool) {
	s.expire(now)
	e := s.names[name]
	if e == nil {
		if len(s.names) >= s.most {
			return 0, false
		}
		e = &entry{name: name, until: now + min(max(1, keep), mostKeep)}
		s.names[name] = e
		heap.Push(&s.order, e)
	}
	e.total += amount
	return round7(e.total), true
}

// Len is how many names it holds.
func (s *Store) Len() int { return len(s.names) }

func (s *Store) expire(now int64) {
	for len(s.order) > 0 && s.order[0].until <= now {
		delete(s.names, heap.Pop(&s.order).(*entry).name)
	}
}

// round7 keeps seven digits: callers may count on no more.
func round7(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) {
		return v
	}
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 6, 64), 64)
	if err != nil {
		return v
	}
	return r
}

// expiries is a heap of entries, the first to be forgotten on top.
type expiries []*entry

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiries) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *expiries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
