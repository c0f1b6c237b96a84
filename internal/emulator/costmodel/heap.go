package costmodel

import "runtime"

// heapBenchmark describes a series of the live heap of the value that build returns. The heap of the base, which build
// may refer to, is not counted.
type heapBenchmark[Base any] struct {
	series Series
	sizes  []int
	base   func(size int) Base // nil if build needs no base
	build  func(base Base, size int) any
}

// noBase is the Base of a heapBenchmark that needs none.
type noBase struct{}

// measureHeap measures the series of a benchmark.
func measureHeap[Base any](m *meter, b heapBenchmark[Base]) {
	b.series.Unit = Bytes
	var points []Point
	for _, size := range m.sizes(b.sizes) {
		var base Base
		if b.base != nil {
			base = b.base(size)
		}
		before := liveHeap()
		built := b.build(base, size)
		points = append(points, Point{Size: float64(size), Cost: liveHeap() - before})
		runtime.KeepAlive(base)
		runtime.KeepAlive(built)
	}
	m.addSeries(b.series, points)
}

// liveHeap returns the bytes of the heap in use.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second collection frees the objects that finalizers and pools referred to
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
