package costmodel

import (
	"bufio"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"
)

// meter measures in this process and collects the series. Nothing else may run in the process meanwhile.
type meter struct {
	divisor int           // divisor of the sizes and of the numbers of operations
	report  func(*Series) // called with each series; nil if none is to be reported
	series  []Series
	err     error // the first error
}

// preparationGCPercent is the garbage collector's target (GOGC) while the state to be measured is built. It is above
// the default of 100, so that building takes less time. The measurements themselves call the collector explicitly.
const preparationGCPercent = 400

// measurements lists the groups of series in the order in which they are measured and appear in a run.
var measurements = []func(*meter){
	measureStateMemory,
	measureChanges,
	measureSnapshots,
	measureFrames,
	measureHeartbeats,
	measureCounters,
	measureGateway,
	measureConsensus,
	measureDisk,
	measureCollector,
}

// Measure measures all series, and calls report with each as soon as it is fitted; report may be nil. Sizes are divided
// by divisor; with a divisor above 1 the run shows only that everything works, and its figures are not usable for
// planning. The error is the first error of a series, often a FitError; the run then contains the other series.
func Measure(divisor int, report func(*Series)) (*Run, error) {
	m := &meter{divisor: max(1, divisor), report: report}
	// The benchmarks run on one thread. With more, the collector would also use idle processors, whose time is counted.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(preparationGCPercent))
	command := "emulator slopes"
	if m.divisor > 1 {
		command += " --quick"
	}
	run := &Run{
		Date:      time.Now().UTC().Format(time.DateOnly),
		Go:        runtime.Version(),
		Processor: processorName(),
		Cores:     runtime.NumCPU(),
		Command:   command,
	}
	for _, measure := range measurements {
		measure(m)
	}
	run.Series = m.series
	return run, m.err
}

// processorName returns the model name of the machine's processor, or "unknown".
func processorName() string {
	const unknown = "unknown"
	file, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return unknown
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, found := strings.CutPrefix(lines.Text(), "model name")
		if found {
			return strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(name), ":"))
		}
	}
	return unknown
}

// The lower bound of the first divided size, and its increment for each further size. Sizes must differ, because no
// line can be fitted to points at one size.
const (
	minDividedSize  = 20
	dividedSizeStep = 3
)

// sizes divides the sizes of a series. The last is the size of the holdout.
func (m *meter) sizes(planned []int) []int {
	if m.divisor == 1 {
		return planned
	}
	divided := make([]int, len(planned))
	for n, size := range planned {
		divided[n] = max(minDividedSize+dividedSizeStep*n, size/m.divisor)
	}
	return divided
}

// addSeries fits a series to its points, of which the last is the holdout, and adds it to the run.
func (m *meter) addSeries(s Series, points []Point) {
	last := len(points) - 1
	s.Points, s.Holdout = points[:last], points[last]
	if err := s.Fit(); err != nil {
		m.fail(err)
		return
	}
	m.series = append(m.series, s)
	if m.report != nil {
		m.report(&s)
	}
}

// fail records the first error.
func (m *meter) fail(err error) {
	if m.err == nil {
		m.err = err
	}
}

// measureBytes measures a series of encoded lengths. The lengths are the same in every run, so the sizes are not
// divided.
func (m *meter) measureBytes(s Series, sizes []int, length func(size int) int) {
	s.Unit = Bytes
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Cost: float64(length(size))})
	}
	m.addSeries(s, points)
}
