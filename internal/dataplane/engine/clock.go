package engine

import (
	"time"

	"mulleinrouter/internal/decision"
)

// Clock is the decision module's clock. It starts with the machine's Unix time, in seconds, and advances with the
// monotonic clock, so that a step of the wall clock does not move it. Gateways that share a counter name the counter's
// cycles by this time, so their clocks must agree when they start.
type Clock struct {
	base     time.Time               // start of the clock
	baseUnix float64                 // base in Unix seconds
	source   func() decision.Seconds // nil: the monotonic clock since base
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{base: now, baseUnix: float64(now.UnixNano()) / 1e9}
}

// NewClockFrom returns a clock that follows a source. It is for deployments in which the machine's time of day is not
// reliable: there, the source is the time of the nodes that keep the counters. The source must never go backwards.
func NewClockFrom(source func() decision.Seconds) *Clock { return &Clock{source: source} }

// Time converts a time of the decision module to a time of day.
func (c *Clock) Time(at decision.Seconds) time.Time {
	if c.source != nil {
		return time.Now().Add(duration(at - c.source()))
	}
	return c.base.Add(duration(at - c.baseUnix))
}

// Now returns the decision module's time.
func (c *Clock) Now() decision.Seconds {
	if c.source != nil {
		return c.source()
	}
	return c.baseUnix + time.Since(c.base).Seconds()
}

// duration converts seconds of the decision module to a time.Duration.
func duration(s decision.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
