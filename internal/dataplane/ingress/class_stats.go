package ingress

import (
	"sort"
	"sync"
	"sync/atomic"
)

// mostClassFigures bounds the classes that figures are kept for: names that clients make up must not grow them.
const maxClasses = 64

// ClassStats are the counts of one class since the process started.
type ClassStats struct {
	Class                   string
	OK, Shed, Errors, Tries int64 // answered 200; refused (503); failed (any other answer); attempts written whole
}

// figures are counted where the events happen: the answer written, the attempt written whole.
type classStats struct {
	inFlight atomic.Int64 // requests taken and not yet ended
	mu       sync.Mutex
	classes  map[string]*classCounts
}

type classCounts struct{ ok, shed, errors, tries atomic.Int64 }

// of returns the counts of a class; nil where there are too many classes already.
func (s *classStats) class(class string) *classCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes == nil {
		s.classes = map[string]*classCounts{}
	}
	c := s.classes[class]
	if c == nil && len(s.classes) < maxClasses {
		c = &classCounts{}
		s.classes[class] = c
	}
	return c
}

// count counts a final answer; a nil c, one of a class beyond the bound, counts nothing.
func (c *classCounts) count(status int) {
	if c == nil {
		return
	}
	switch status {
	case 200:
		c.ok.Add(1)
	case 429, 503:
		c.shed.Add(1)
	default:
		c.errors.Add(1)
	}
}

// tried counts the times an attempt was written whole.
func (c *classCounts) tried(writes int) {
	if c != nil && writes > 0 {
		c.tries.Add(int64(writes))
	}
}

// Stats are the counts of each class, by name, and the requests in hand now.
func (s *Server) Stats() (classes []ClassStats, active int64) {
	s.stats.mu.Lock()
	for name, c := range s.stats.classes {
		classes = append(classes, ClassStats{Class: name, OK: c.ok.Load(), Shed: c.shed.Load(), Errors: c.errors.Load(), Tries: c.tries.Load()})
	}
	s.stats.mu.Unlock()
	sort.Slice(classes, func(i, j int) bool { return classes[i].Class < classes[j].Class })
	return classes, s.stats.inFlight.Load()
}
