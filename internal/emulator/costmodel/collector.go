package costmodel

import "runtime"

// measureCollector measures the series of the processor time of a garbage collection by the size of the live heap.
func measureCollector(m *meter) {
	series := Series{
		Name:        "gc.cycle",
		Description: "one collection of a heap of items",
		Unit:        Seconds,
		SizeUnit:    "bytes live",
	}
	var points []Point
	for _, size := range m.sizes([]int{25000, 50000, 80000, 120000, 180000}) {
		store := storeOf(tenants(size))
		live := liveHeap()
		collection := newOperation(size, 1, func(int) { runtime.GC() })
		points = append(points, Point{Size: live, Cost: measureInRounds([]*operation{collection})[0].Cost})
		runtime.KeepAlive(store)
	}
	m.addSeries(series, points)
}
