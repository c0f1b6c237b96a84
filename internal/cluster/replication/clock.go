package replication

import (
	"math"
	"sync"
	"time"
)

const (
	maxSkew      = 0.005 // seconds by which a clock may be behind another without being set
	maxStep      = 3600  // seconds by which it is set at once, after the first time
	maxClockTime = 1e12  // seconds; a time beyond it cannot be right
)

// Clock is the common clock of the control nodes: the highest that any of them has seen, in seconds. It never goes
// back, and has nothing to do with the time of day, which may jump. Safe for concurrent use.
type Clock struct {
	base func() float64

	mu      sync.Mutex // guards the fields below
	offset  float64    // seconds that it is ahead of base
	last    float64    // the latest time it has shown
	learned bool       // another clock's time has come
}

// NewClock makes a clock over the monotonic seconds of its process.
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

// Observe takes the time that another clock showed as it was sent, and the least delay of the way here in seconds: 0
// where it is not known, because with too large ones the clocks would drive one another on. The first time may be
// anywhere ahead; any later one sets this clock ahead by an hour at most.
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

// Age returns how long ago a clock showed a time. It counts the time that an update lay in a buffer while this process
// was stopped.
func (c *Clock) Age(remote float64) time.Duration {
	if age := c.Now() - remote; age > 0 {
		return time.Duration(min(age, maxStep) * float64(time.Second))
	}
	return 0
}
