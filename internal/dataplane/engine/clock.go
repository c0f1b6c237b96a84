package engine

import (
	"time"

	"mulleinrouter/internal/decision"
)

// Clock is the decision module's time: Unix seconds as the machine had them at the start, carried on by the monotonic
// clock. Gateways that share a counter name its cycles by this time, so it must begin alike everywhere; a step of the
// wall clock must not move it.
type Clock struct {
	base     time.Time
	baseUnix float64                 // base in Unix seconds
	source   func() decision.Seconds // nil: the monotonic clock since base
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{base: now, baseUnix: float64(now.UnixNano()) / 1e9}
}

// NewClockOf returns a clock that follows a source: the time of the nodes that keep the counters, where the machine's
// time of day is not to be trusted. The source must never go back.
func NewClockOf(source func() decision.Seconds) *Clock { return &Clock{source: source} }

// Time returns the time of day of a moment in the decision module's time.
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

// duration converts the decision module's seconds.
func duration(s decision.Seconds) time.Duration { return time.Duration(s * float64(time.Second)) }
