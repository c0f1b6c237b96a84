package replication

import (
	"math"
	"sync"
	"time"
)

const (
	maxSkew = 0.005 // a clock is set only if it is behind another by more than this, seconds
	// maxStep is the most by which a clock is set ahead at once, except for the first time, and the highest result of
	// Age, in seconds.
	maxStep      = 3600
	maxClockTime = 1e12 // received times above this are ignored as invalid, seconds
)

// Clock is the common clock of the control nodes, in seconds: the highest time that any of them has seen. It never goes
// back. It is independent of the time of day, which may jump. It is safe for concurrent use.
type Clock struct {
	base func() float64 // monotonic time of this process, seconds

	mu      sync.Mutex // guards the fields below
	offset  float64    // difference to base, seconds
	last    float64    // the latest time that Now has returned, seconds
	learned bool       // the time of another clock was observed
}

// NewClock returns a clock that is based on the monotonic time of its process, in seconds.
func NewClock(base func() float64) *Clock { return &Clock{base: base} }

// Now returns the time in seconds.
func (c *Clock) Now() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

// now is Now with the mutex held.
func (c *Clock) now() float64 {
	c.last = max(c.last, c.base()+c.offset)
	return c.last
}

// Observe sets the clock ahead to the time that another clock had when it was sent, plus the least delay of the
// transmission in seconds. The delay must be 0 if it is not known, because with overestimated delays the clocks would
// keep setting one another ahead. The first observed time may be ahead by any amount; each later one sets this clock
// ahead by an hour at most.
func (c *Clock) Observe(remote, halfTrip float64) {
	t := remote + halfTrip
	if math.IsNaN(t) || math.IsInf(t, 0) || t <= 0 || t > maxClockTime {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if step := t - c.now(); step > maxSkew {
		if c.learned {
			step = min(step, maxStep)
		}
		c.offset += step
	}
	c.learned = true
}

// Age returns how long ago the common clock had a time. It includes the time that an update waited in a buffer while
// this process was stopped.
func (c *Clock) Age(remote float64) time.Duration {
	if age := c.Now() - remote; age > 0 {
		return time.Duration(min(age, maxStep) * float64(time.Second))
	}
	return 0
}
