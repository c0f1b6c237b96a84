package ingress

import (
	"sort"
	"sync"
	"sync/atomic"
)

// maxClasses bounds the classes that are counted: names that clients make up must not grow them.
const maxClasses = 64

// ClassStats are the counts of one class since the process started.
type ClassStats struct {
	Class    string
	OK       int64 // answered with 200
	Rejected int64 // answered with 429 or 503
	Errors   int64 // answered with any other status
	Attempts int64 // written completely
}

// classStats counts where the events happen: the answer written, the attempt written completely.
type classStats struct {
	inFlight atomic.Int64 // requests that were parsed and have not ended

	mu      sync.Mutex // guards classes, not the counts in them
	classes map[string]*classCounts
}

// classCounts are the counts of one class. A nil classCounts, of a class beyond the bound, counts nothing.
type classCounts struct{ ok, rejected, errors, attempts atomic.Int64 }

// of returns the counts of a class; nil where there are too many classes already.
func (cs *classStats) of(class string) *classCounts {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.classes == nil {
		cs.classes = map[string]*classCounts{}
	}
	c := cs.classes[class]
	if c == nil && len(cs.classes) < maxClasses {
		c = &classCounts{}
		cs.classes[class] = c
	}
	return c
}

// countAnswer counts the answer to a request.
func (c *classCounts) countAnswer(status int) {
	if c == nil {
		return
	}
	switch status {
	case 200:
		c.ok.Add(1)
	case 429, 503:
		c.rejected.Add(1)
	default:
		c.errors.Add(1)
	}
}

// countAttempts counts the times that an attempt was written completely.
func (c *classCounts) countAttempts(writes int) {
	if c != nil && writes > 0 {
		c.attempts.Add(int64(writes))
	}
}

// Stats returns the counts of each class, by name, and the number of requests in flight.
func (s *Server) Stats() (classes []ClassStats, inFlight int64) {
	s.stats.mu.Lock()
	for name, c := range s.stats.classes {
		classes = append(classes, ClassStats{
			Class:    name,
			OK:       c.ok.Load(),
			Rejected: c.rejected.Load(),
			Errors:   c.errors.Load(),
			Attempts: c.attempts.Load(),
		})
	}
	s.stats.mu.Unlock()
	sort.Slice(classes, func(i, j int) bool { return classes[i].Class < classes[j].Class })
	return classes, s.stats.inFlight.Load()
}
