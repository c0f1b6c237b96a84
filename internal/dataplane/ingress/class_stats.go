package ingress

import (
	"sort"
	"sync"
	"sync/atomic"
)

// maxClasses is how many classes are counted. Class names that clients invent must not make the map grow without limit.
const maxClasses = 64

// ClassStats holds the counters of a class since the process started.
type ClassStats struct {
	Class    string
	OK       int64 // requests answered with status 200
	Rejected int64 // requests answered with status 429 or 503
	Errors   int64 // requests answered with any other status
	Attempts int64 // attempts written completely to a backend
}

// classStats counts the requests and attempts of each class.
type classStats struct {
	inFlight atomic.Int64 // requests that were read and have not ended

	mu      sync.Mutex // guards the map classes, but not the counters in it
	classes map[string]*classCounts
}

// classCounts holds the counters of a class. A nil *classCounts counts nothing; it is used for classes beyond
// maxClasses.
type classCounts struct{ ok, rejected, errors, attempts atomic.Int64 }

// forClass returns the counters of a class; nil if the class is new and maxClasses classes are counted already.
func (cs *classStats) forClass(class string) *classCounts {
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

// countAnswer counts an answer by its status.
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

// countAttempts adds the number of times that an attempt was written completely.
func (c *classCounts) countAttempts(writes int) {
	if c != nil && writes > 0 {
		c.attempts.Add(int64(writes))
	}
}

// Stats returns the counters of each class, sorted by name, and the number of requests in flight.
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
