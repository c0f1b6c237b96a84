package traffic

import "math"

// averagingTime is the time constant of Load's moving average, in seconds. A much shorter burst hardly counts as load.
const averagingTime = 0.5

// Load estimates which fraction of a link's capacity the traffic uses, as a moving average. The capacity of the zero
// value is unknown. Load is not safe for concurrent use.
type Load struct {
	capacity  float64 // bytes per second in each direction; 0: unknown
	updatedAt float64 // time of the last update, seconds
	in, out   int64   // totals at the last update, bytes
	average   float64 // average load of the busier direction; 1: all of the capacity
	started   bool
}

// NewLoad returns the load of a link with this capacity, in bytes per second in each direction. If the capacity is 0,
// it is unknown and the load is always 0.
func NewLoad(capacity float64) *Load { return &Load{capacity: capacity} }

// Update takes the totals of a Counter at a time in seconds. It returns the average load of the busier direction, where
// 1 is all of the capacity.
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
	l.average += (busier - l.average) * (1 - math.Exp(-elapsed/averagingTime))
	l.updatedAt, l.in, l.out = now, in, out
	return l.average
}
