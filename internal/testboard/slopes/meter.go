package slopes

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

// repeats is how often an operation is measured at each size; the least counts, for what disturbs only ever adds.
const repeats = 5

// Measure takes all series, and tells of each as it is known. With a part above 1 sizes are so many times
// smaller: to see that it works. Errors name a series that could not be measured.
func Measure(part int, tell func(*Series)) (*Run, error) {
	m := &meter{part: max(1, part), tell: tell}
	// The machines run one thread at a time; with more, idle processors would join the collector and be counted.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // for making what is measured: measurements collect by themselves
	command := "testboard slopes"
	if m.part > 1 {
		command += " --quick"
	}
	r := &Run{Date: time.Now().UTC().Format(time.DateOnly), Go: runtime.Version(), Processor: processor(), Cores: runtime.NumCPU(), Command: command}
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
	s.Points, s.Held = points[:last], points[last]
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

// cost is the processor time of one operation, and the bytes that it allocates: the least of several times so many operations. The
// collector is off meanwhile; what it costs for these bytes is a series of its own.
func cost(ops int, do func(i int)) (p Point) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	do(0) // caches and pools are filled
	least, alloc := math.Inf(1), math.Inf(1)
	for r := range repeats {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		at := used()
		for i := range ops {
			do(1 + r*ops + i)
		}
		least = min(least, (used()-at)/float64(ops))
		runtime.ReadMemStats(&after)
		alloc = min(alloc, float64(after.TotalAlloc-before.TotalAlloc)/float64(ops))
	}
	return Point{Y: least, Alloc: alloc}
}

// cpu measures the processor time of an operation at several sizes. prepare gives the operation; i never repeats.
func (m *meter) cpu(s Series, ops int, prepare func(n int) func(i int), sizes ...int) {
	s.Unit = "s"
	var points []Point
	for _, n := range m.sizes(sizes...) {
		do := prepare(n)
		p := cost(max(1, ops/m.part), do)
		p.N = float64(n)
		points = append(points, p)
	}
	m.add(s, points)
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
