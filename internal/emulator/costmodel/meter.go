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
	part int // sizes are so many times smaller, and operations fewer
	tell func(*Series)
	out  []Series
	err  error
}

// litterMost is how many bytes may be allocated while the collector is off, until it is called between two
// measurements.
const litterMost = 256 << 20

// repeats is how often an operation is measured at each size; the least counts, for what disturbs only ever adds.
const repeats = 9

// leastOps is how many operations are measured at once at least, where so many are prepared: the clock shows
// microseconds, and one may take less.
const leastOps = 32

// Measure takes all series, and tells of each as it is known. With a part above 1 sizes are so many times
// smaller: to see that it works. Errors name a series that could not be measured.
func Measure(part int, tell func(*Series)) (*Run, error) {
	m := &meter{part: max(1, part), tell: tell}
	// The machines run one thread at a time; with more, idle processors would join the collector and be counted.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // for making what is measured: measurements collect by themselves
	command := "emulator slopes"
	if m.part > 1 {
		command += " --quick"
	}
	r := &Run{
		Date:      time.Now().UTC().Format(time.DateOnly),
		Go:        runtime.Version(),
		Processor: processor(),
		Cores:     runtime.NumCPU(),
		Command:   command,
	}
	for _, part := range []func(*meter){memories, changes, newcomers, words, counters, gateways, choices, collections} {
		part(m)
	}
	r.Series = m.out
	return r, m.err
}

// processor is the name of the machine's processor.
func processor() string {
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
	if m.part == 1 {
		return of
	}
	small := make([]int, len(of))
	for i, n := range of {
		small[i] = max(3*i+20, n/m.part)
	}
	return small
}

// add keeps a series once it is fitted.
func (m *meter) add(s Series, points []Point) {
	last := len(points) - 1
	s.Points, s.HeldOut = points[:last], points[last]
	if err := s.Fit(); err != nil {
		if m.err == nil {
			m.err = err
		}
		return
	}
	m.out = append(m.out, s)
	if m.tell != nil {
		m.tell(&s)
	}
}

// live is the heap that is in use, in bytes.
func live() float64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held goes with the second
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// memory measures the live heap of what build makes upon a base, which is not counted.
func (m *meter) memory(s Series, base func(n int) any, build func(base any, n int) any, sizes ...int) {
	s.Unit = "B"
	var points []Point
	for _, n := range m.sizes(sizes...) {
		var below any
		if base != nil {
			below = base(n)
		}
		before := live()
		x := build(below, n)
		points = append(points, Point{N: float64(n), Y: live() - before})
		runtime.KeepAlive(below)
		runtime.KeepAlive(x)
	}
	m.add(s, points)
}

// used is the processor time that this process has taken, of its own and of the system for it, in seconds.
func used() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return math.NaN()
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// task is an operation that is measured several times, and the least that was found.
type task struct {
	do   func(i int) // i never repeats
	ops  int         // that are measured at once
	next int
	best Point
}

// once measures the processor time of one operation, and the bytes that it allocates. The collector is off meanwhile;
// what it costs for these bytes is a series of its own.
func (t *task) once() {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	if t.next == 0 {
		t.do(0) // caches and pools are filled
		t.next++
		t.best = Point{N: t.best.N, Y: math.Inf(1), Alloc: math.Inf(1)}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	at := used()
	for range t.ops {
		t.do(t.next)
		t.next++
	}
	took := (used() - at) / float64(t.ops)
	runtime.ReadMemStats(&after)
	t.best.Y = min(t.best.Y, took)
	t.best.Alloc = min(t.best.Alloc, float64(after.TotalAlloc-before.TotalAlloc)/float64(t.ops))
}

// cpu measures the processor time of an operation at several sizes, in rounds: what disturbs for a while does not
// disturb one size alone. prepare gives the operation.
func (m *meter) cpu(s Series, ops int, prepare func(n int) func(i int), sizes ...int) {
	s.Unit = "s"
	var tasks []*task
	for _, n := range m.sizes(sizes...) {
		tasks = append(tasks, &task{do: prepare(n), ops: min(ops, max(leastOps, ops/m.part)), best: Point{N: float64(n)}})
	}
	m.add(s, rounds(tasks))
}

func rounds(tasks []*task) (points []Point) {
	runtime.GC()
	litter := 0.0
	for range repeats {
		for _, t := range tasks {
			t.once()
			if litter += t.best.Alloc * float64(t.ops); litter > litterMost {
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

// bytes measures how long something is.
func (m *meter) bytes(s Series, size func(n int) int, sizes ...int) {
	s.Unit = "B"
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{N: float64(n), Y: float64(size(n))})
	}
	m.add(s, points)
}

// Names are the names of all series of a run.
func (r *Run) Names() (names []string) {
	for i := range r.Series {
		names = append(names, r.Series[i].Name)
	}
	slices.Sort(names)
	return names
}
