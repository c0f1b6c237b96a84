package costmodel

import (
	"bufio"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"
)

// meter measures in this process. Nothing else may run in it meanwhile.
type meter struct {
	divisor int // sizes are so many times smaller, and operations fewer
	report  func(*Series)
	series  []Series
	err     error
}

// maxUncollectedBytes is how many bytes may be allocated while the collector is off, until it is called between two
// measurements.
const maxUncollectedBytes = 256 << 20

// repetitions is how often an operation is measured at each size; the least counts, for what disturbs only ever adds.
const repetitions = 9

// minOperations is how many operations are measured at once at least, where so many are prepared: the clock shows
// microseconds, and one may take less.
const minOperations = 32

// Measure takes all series, and tells of each as it is known. With a part above 1 sizes are so many times
// smaller: to see that it works. Errors name a series that could not be measured.
func Measure(divisor int, report func(*Series)) (*Run, error) {
	m := &meter{divisor: max(1, divisor), report: report}
	// The machines run one thread at a time; with more, idle processors would join the collector and be counted.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // for making what is measured: measurements collect by themselves
	command := "emulator slopes"
	if m.divisor > 1 {
		command += " --quick"
	}
	r := &Run{
		Date:      time.Now().UTC().Format(time.DateOnly),
		Go:        runtime.Version(),
		Processor: processorName(),
		Cores:     runtime.NumCPU(),
		Command:   command,
	}
	for _, part := range []func(*meter){measureStateMemory, measureChanges, measureSnapshots, measureFrames, measureHeartbeatsAndCounters, measureGateway, measureConsensus, measureCollector} {
		part(m)
	}
	r.Series = m.series
	return r, m.err
}

// processorName is the name of the machine's processorName.
func processorName() string {
	f, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if name, ok := strings.CutPrefix(s.Text(), "model name"); ok {
			return strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(name), ":"))
		}
	}
	return "unknown"
}

// sizes are the sizes of a measurement, the one that is held back last.
func (m *meter) sizes(of ...int) []int {
	if m.divisor == 1 {
		return of
	}
	small := make([]int, len(of))
	for i, n := range of {
		small[i] = max(3*i+20, n/m.divisor)
	}
	return small
}

// addSeries keeps a series once it is fitted.
func (m *meter) addSeries(s Series, points []Point) {
	last := len(points) - 1
	s.Points, s.Holdout = points[:last], points[last]
	if err := s.Fit(); err != nil {
		if m.err == nil {
			m.err = err
		}
		return
	}
	m.series = append(m.series, s)
	if m.report != nil {
		m.report(&s)
	}
}

// liveHeap is the heap that is in use, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held goes with the second
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// measureMemory measures the live heap of what build makes upon a base, which is not counted.
func (m *meter) measureMemory(s Series, base func(n int) any, build func(base any, n int) any, sizes ...int) {
	s.Unit = "B"
	var points []Point
	for _, n := range m.sizes(sizes...) {
		var below any
		if base != nil {
			below = base(n)
		}
		before := liveHeap()
		x := build(below, n)
		points = append(points, Point{Size: float64(n), Cost: liveHeap() - before})
		runtime.KeepAlive(below)
		runtime.KeepAlive(x)
	}
	m.addSeries(s, points)
}

// processorTime is the processor time that this process has taken, of its own and of the system for it, in seconds.
func processorTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return math.NaN()
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// operation is an operation that is measured several times, and the least that was found.
type operation struct {
	run      func(i int) // i never repeats
	perRound int         // that are measured at once
	next     int
	best     Point
}

// measure measures the processor time of one operation, and the bytes that it allocates. The collector is off meanwhile;
// what it costs for these bytes is a series of its own.
func (t *operation) measure() {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	if t.next == 0 {
		t.run(0) // caches and pools are filled
		t.next++
		t.best = Point{Size: t.best.Size, Cost: math.Inf(1), AllocBytes: math.Inf(1)}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	at := processorTime()
	for range t.perRound {
		t.run(t.next)
		t.next++
	}
	took := (processorTime() - at) / float64(t.perRound)
	runtime.ReadMemStats(&after)
	t.best.Cost = min(t.best.Cost, took)
	t.best.AllocBytes = min(t.best.AllocBytes, float64(after.TotalAlloc-before.TotalAlloc)/float64(t.perRound))
}

// measureTime measures the processor time of an operation at several sizes, in rounds: what disturbs for a while does not
// disturb one size alone. prepare gives the operation.
func (m *meter) measureTime(s Series, ops int, prepare func(n int) func(i int), sizes ...int) {
	s.Unit = "s"
	var tasks []*operation
	for _, n := range m.sizes(sizes...) {
		tasks = append(tasks, &operation{run: prepare(n), perRound: min(ops, max(minOperations, ops/m.divisor)), best: Point{Size: float64(n)}})
	}
	m.addSeries(s, measureInRounds(tasks))
}

func measureInRounds(tasks []*operation) (points []Point) {
	runtime.GC()
	litter := 0.0
	for range repetitions {
		for _, t := range tasks {
			t.measure()
			if litter += t.best.AllocBytes * float64(t.perRound); litter > maxUncollectedBytes {
				runtime.GC()
				litter = 0
			}
		}
	}
	for _, t := range tasks {
		points = append(points, t.best)
	}
	return points
}

// measureBytes measures how long something is.
func (m *meter) measureBytes(s Series, size func(n int) int, sizes ...int) {
	s.Unit = "B"
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{Size: float64(n), Cost: float64(size(n))})
	}
	m.addSeries(s, points)
}

// Names are the names of all series of a run.
func (r *Run) Names() (names []string) {
	for i := range r.Series {
		names = append(names, r.Series[i].Name)
	}
	slices.Sort(names)
	return names
}
