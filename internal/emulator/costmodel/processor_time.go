package costmodel

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

const (
	// maxUncollectedBytes bounds what operations allocate before the collector is called between two of them; it is off
	// while they are measured.
	maxUncollectedBytes = 256 << 20
	// repetitions is how often an operation is measured at each size. The minimum counts: other work on the machine
	// only adds.
	repetitions = 9
	// minOperations is how many operations are measured together at least, where so many are prepared: the clock counts
	// microseconds, and one operation may take less.
	minOperations = 32
)

// timeBenchmark describes a series of processor time.
type timeBenchmark struct {
	series     Series
	sizes      []int
	operations int // that are measured together; prepare must allow for repetitions times as many, and one more
	// prepare returns the operation at a size. It is called with an index that never repeats.
	prepare func(size int) func(index int)
}

// measureTime takes the series of a benchmark. It measures in rounds over all sizes, so that a disturbance of some
// duration does not fall on one size alone.
func (m *meter) measureTime(b timeBenchmark) {
	b.series.Unit = Seconds
	perRound := min(b.operations, max(minOperations, b.operations/m.divisor))
	var operations []*operation
	for _, size := range m.sizes(b.sizes) {
		operations = append(operations, newOperation(size, perRound, b.prepare(size)))
	}
	m.addSeries(b.series, measureInRounds(operations))
}

// operation is what is measured at one size, and the minimum found so far.
type operation struct {
	run      func(index int) // no index repeats
	perRound int             // calls of run that are measured together
	next     int             // index
	best     Point
}

func newOperation(size, perRound int, run func(index int)) *operation {
	return &operation{run: run, perRound: perRound, best: unmeasured(size)}
}

// unmeasured returns the point of a size above any measurement.
func unmeasured(size int) Point {
	return Point{Size: float64(size), Cost: math.Inf(1), AllocBytes: math.Inf(1)}
}

// lower keeps the minimum of what was measured so far and now.
func (p *Point) lower(cost, allocBytes float64) {
	p.Cost = min(p.Cost, cost)
	p.AllocBytes = min(p.AllocBytes, allocBytes)
}

// measure measures the processor time of one call and the bytes that it allocates. The collector is off meanwhile; its
// cost for these bytes is a series of its own.
func (o *operation) measure() {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	if o.next == 0 {
		o.runNext() // fills caches and pools
	}
	allocatedBefore := allocatedBytes()
	timeBefore := processorTime()
	for range o.perRound {
		o.runNext()
	}
	used := processorTime() - timeBefore
	allocated := allocatedBytes() - allocatedBefore
	o.best.lower(used/float64(o.perRound), allocated/float64(o.perRound))
}

func (o *operation) runNext() {
	o.run(o.next)
	o.next++
}

// measureInRounds returns the minimum of each operation.
func measureInRounds(operations []*operation) []Point {
	runtime.GC()
	uncollected := 0.0
	for range repetitions {
		for _, o := range operations {
			o.measure()
			uncollected += o.best.AllocBytes * float64(o.perRound)
			if uncollected > maxUncollectedBytes {
				runtime.GC()
				uncollected = 0
			}
		}
	}
	var points []Point
	for _, o := range operations {
		points = append(points, o.best)
	}
	return points
}

// processorTime returns the processor time in seconds that this process has used, its own and the system's for it; NaN
// where the system does not tell.
func processorTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return math.NaN()
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// allocatedBytes returns the bytes that this process has allocated so far.
func allocatedBytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}
