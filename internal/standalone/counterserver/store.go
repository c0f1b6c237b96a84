package counterserver

import (
	"container/heap"
	"math"
	"strconv"
)

const (
	// MaxNameBytes is the length of the longest name.
	MaxNameBytes = 64
	// MaxAmount is the greatest amount that one call may add or subtract.
	MaxAmount = 1e9

	maxKeepMs         = 60_000 // ms; longer times are reduced to it, so that maxNames suffices
	significantDigits = 7      // digits of a reported total; callers must not rely on more
)

// Store holds totals by name. It does no I/O and reads no clock, and is not safe for use by several goroutines at
// once.
type Store struct {
	maxNames int
	entries  map[string]*entry
	byExpiry expiryHeap
}

// entry is the total of one name.
type entry struct {
	name      string
	total     float64
	expiresAt int64 // ms, by the clock of the caller of Add
}

// NewStore returns an empty store that holds at most maxNames names.
func NewStore(maxNames int) *Store { return &Store{maxNames: maxNames, entries: map[string]*entry{}} }

// Add adds an amount to a name and returns the total. Both times are in ms. A name expires keepMs after it is created;
// later additions do not extend its time. Add returns ok false if the name is new and the store is full; nothing is
// added then.
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

// Len returns the number of names.
func (s *Store) Len() int { return len(s.entries) }

// expire removes the names whose time has passed.
func (s *Store) expire(nowMs int64) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= nowMs {
		delete(s.entries, heap.Pop(&s.byExpiry).(*entry).name)
	}
}

// round rounds a total to significantDigits.
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

// expiryHeap is a heap of entries with the next one to expire on top.
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
