package traffic

import "math"

// averageOver is the time constant of Load, in seconds: a burst that is over sooner is no load.
const averageOver = 0.5

// Load estimates which part of a link's capacity traffic takes, on average. Its zero value is of unknown capacity. It
// is not safe for concurrent use.
type Load struct {
	capacity  float64 // bytes a second, in each direction; 0: not known
	updatedAt float64 // seconds
	in, out   int64   // totals then
	average   float64
	started   bool
}

// NewLoad returns the load of a link of so many bytes a second in each direction; 0: its capacity is not known, and its
// load always 0.
func NewLoad(capacity float64) *Load { return &Load{capacity: capacity} }

// Update takes the totals of a Counter at a time in seconds, and returns the load of the busier direction, 1 being
// all of the capacity.
func (l *Load) Update(now float64, in, out int64) float64 {
	if l.capacity <= 0 {
		return 0
	}
	if !l.started {
		l.started = true
		l.updatedAt, l.in, l.out = now, in, out
	}
	elapsed := now - l.updatedAt
	if elapsed <= 0 {
		return l.average
	}
	busier := float64(max(in-l.in, out-l.out)) / elapsed / l.capacity
	l.average += (busier - l.average) * (1 - math.Exp(-elapsed/averageOver))
	l.updatedAt, l.in, l.out = now, in, out
	return l.average
}
