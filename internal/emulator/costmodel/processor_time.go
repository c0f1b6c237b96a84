package costmodel

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

const (
	// maxUncollectedBytes bounds the bytes that operations allocate before the garbage collector is called between two
	// measurements. It limits the heap, because the collector is off during a measurement.
	maxUncollectedBytes = 256 << 20
	// repetitions is the number of measurements of an operation at each size. The minimum is used, because other work
	// on the machine can only add to the time.
	repetitions = 9
	// minOperations is the minimum number of operations that are measured together, if the benchmark prepares as many.
	// The processor time is counted in microseconds, and one operation may take less.
	minOperations = 32
)

// timeBenchmark describes a series of processor time.
type timeBenchmark struct {
	series Series
	sizes  []int
	// operations is the number of operations that are measured together. The operation that prepare returns must be
	// callable operations*repetitions times, and once more.
	operations int
	// prepare returns the operation at a size. The operation is called with an index that never repeats.
	prepare func(size int) func(index int)
}

// measureTime measures the series of a benchmark. It measures in rounds over all sizes, so that a disturbance that
// lasts for some time does not affect one size only.
func (m *meter) measureTime(b timeBenchmark) {
	b.series.Unit = Seconds
	perRound := min(b.operations, max(minOperations, b.operations/m.divisor))
	var operations []*operation
	for _, size := range m.sizes(b.sizes) {
		operations = append(operations, newOperation(size, perRound, b.prepare(size)))
	}
	m.addSeries(b.series, measureInRounds(operations))
}

// operation is the operation that is measured at one size, with the minimum found so far.
type operation struct {
	run      func(index int) // called with an index that never repeats
	perRound int             // number of calls of run that are measured together
	next     int             // next index
	best     Point           // minimum found so far
}

func newOperation(size, perRound int, run func(index int)) *operation {
	return &operation{run: run, perRound: perRound, best: unmeasured(size)}
}

// unmeasured returns a point at a size with infinite costs, which any measurement is below.
func unmeasured(size int) Point {
	return Point{Size: float64(size), Cost: math.Inf(1), AllocBytes: math.Inf(1)}
}

// keepMinimum replaces each cost of the point by that of a new measurement if the new one is smaller.
func (p *Point) keepMinimum(cost, allocBytes float64) {
	p.Cost = min(p.Cost, cost)
	p.AllocBytes = min(p.AllocBytes, allocBytes)
}

// measure measures the processor time of one call and the bytes that it allocates. The garbage collector is off
// meanwhile, because a separate series contains its cost for these bytes.
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
	o.best.keepMinimum(used/float64(o.perRound), allocated/float64(o.perRound))
}

func (o *operation) runNext() {
	o.run(o.next)
	o.next++
}

// measureInRounds measures all operations in several rounds, and returns the minimum of each.
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

// processorTime returns the processor time that this process has used in seconds, in user and in system mode. It
// returns NaN if the system call fails.
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
