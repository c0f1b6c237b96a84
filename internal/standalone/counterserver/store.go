package counterserver

import (
	"container/heap"
	"math"
	"strconv"
)

const (
	// MaxNameBytes bounds a name.
	MaxNameBytes = 64
	// MaxAmount bounds what one call may add, and take away.
	MaxAmount = 1e9

	maxKeepMs         = 60_000 // longer times count as this
	significantDigits = 7      // of a total: callers may count on no more
)

// Store holds totals by name. It does no I/O and reads no clock, and is not safe for use by several goroutines at
// once.
type Store struct {
	maxNames int
	entries  map[string]*entry
	byExpiry expiryHeap
}

// entry is one total.
type entry struct {
	name      string
	total     float64
	expiresAt int64 // ms
}

// NewStore returns an empty store for a number of names.
func NewStore(maxNames int) *Store { return &Store{maxNames: maxNames, entries: map[string]*entry{}} }

// Add adds an amount to a name and returns the total. Both times are in ms; a name expires keepMs after it was new.
// Not ok: there is no capacity for another name, and nothing was added.
func (s *Store) Add(nowMs int64, name string, amount float64, keepMs int64) (total float64, ok bool) {
	s.expire(nowMs)
	e := s.entries[name]
	if e == nil {
		if len(s.entries) >= s.maxNames {
			return 0, false
		}
		e = &entry{name: name, expiresAt: nowMs + min(max(1, keepMs), maxKeepMs)}
		s.entries[name] = e
		heap.Push(&s.byExpiry, e)
	}
	e.total += amount
	return round(e.total), true
}

// Len is the number of names.
func (s *Store) Len() int { return len(s.entries) }

// expire removes the names whose time is over.
func (s *Store) expire(nowMs int64) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= nowMs {
		delete(s.entries, heap.Pop(&s.byExpiry).(*entry).name)
	}
}

// round keeps the significant digits of a total.
func round(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) {
		return v
	}
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', significantDigits-1, 64), 64)
	if err != nil {
		return v
	}
	return r
}

// expiryHeap is a heap of entries, the first to expire on top.
type expiryHeap []*entry

func (eh expiryHeap) Len() int           { return len(eh) }
func (eh expiryHeap) Less(i, j int) bool { return eh[i].expiresAt < eh[j].expiresAt }
func (eh expiryHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }

// Push adds an entry, for container/heap.
func (eh *expiryHeap) Push(x any) { *eh = append(*eh, x.(*entry)) }

// Pop removes the last entry, for container/heap.
func (eh *expiryHeap) Pop() any {
	old := *eh
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*eh = old[:len(old)-1]
	return last
}
