package costmodel

import (
	"runtime"
	"runtime/debug"
)

// measureGateway measures the series of decision.Gateway. In the names of series, "thin" denotes tenants each of whose
// requests is reported to the counter separately, and "sliced" those of which the gateway has a quota slice.
func measureGateway(m *meter) {
	measureGatewayMemory(m)
	measureRequests(m, requestsByServers)
	measureRequests(m, requestsByTenants)
	measureTicks(m)
}

var gatewayMemorySizes = []int{500, 2000, 8000, 20000, 50000} // numbers of servers or of tenants

func measureGatewayMemory(m *meter) {
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "gateway.server",
			Description: "live heap of a Gateway by the servers it knows, in groups of 20",
			SizeUnit:    "servers",
		},
		sizes: gatewayMemorySizes,
		build: func(_ noBase, n int) any { return newGatewayHarness(gatewayOfServers(n)) },
	})
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "gateway.tenant",
			Description: "live heap of a Gateway by the active tenants, with their quota terms",
			SizeUnit:    "tenants",
		},
		sizes: gatewayMemorySizes,
		build: func(_ noBase, n int) any { return newGatewayHarness(gatewayOfTenants(n, designIngresses)) },
	})
}

// gatewayOfServers returns the size of a gateway that knows servers in groups of the usual size, and no tenant.
func gatewayOfServers(servers int) gatewaySize {
	return gatewaySize{servers: servers, serversPerGroup: serversPerService, gateways: 1}
}

// gatewayOfTenants returns the size of a gateway that knows tenants, and one group of servers. The more gateways share
// a quota, the smaller is the part of each; with all gateways of the design size, no tenant has a slice.
func gatewayOfTenants(tenants, gateways int) gatewaySize {
	return gatewaySize{
		servers:         serversPerService,
		serversPerGroup: serversPerService,
		tenants:         tenants,
		gateways:        gateways,
	}
}

// tickBenchmark describes a series of the processor time of a tick without requests.
type tickBenchmark struct {
	series     Series
	sizes      []int
	operations int
	gateway    func(n int) gatewaySize
}

// The sizes are so large that the state that a tick visits does not fit into the processor's caches, because in
// production there are 50 ms of other work between two ticks.
var (
	tickServerSizes = []int{16000, 32000, 64000, 120000, 200000}
	tickTenantSizes = []int{10000, 20000, 40000, 60000, 100000}
)

var tickBenchmarks = []tickBenchmark{
	{
		series: Series{
			Name:        "tick.servers",
			Description: "one tick of a Gateway (20 a second), no request",
			SizeUnit:    "servers",
		},
		sizes:      tickServerSizes,
		operations: 50,
		gateway:    gatewayOfServers,
	},
	{
		series: Series{
			Name:        "tick.thin",
			Description: "one tick of a Gateway, tenants each of whose requests is reported separately",
			SizeUnit:    "tenants",
		},
		sizes:      tickTenantSizes,
		operations: 20,
		gateway:    func(n int) gatewaySize { return gatewayOfTenants(n, designIngresses) },
	},
	{
		series: Series{
			Name: "tick.sliced",
			Description: "one tick of a Gateway, tenants that report and read each second, " +
				"without the time to encode, send and decode",
			SizeUnit: "tenants",
		},
		sizes:      tickTenantSizes,
		operations: 20,
		gateway:    func(n int) gatewaySize { return gatewayOfTenants(n, 2) },
	},
}

func measureTicks(m *meter) {
	for _, b := range tickBenchmarks {
		m.measureTime(timeBenchmark{
			series:     b.series,
			sizes:      b.sizes,
			operations: b.operations,
			prepare: func(n int) func(int) {
				harness := newGatewayHarness(b.gateway(n))
				return func(int) { harness.tick() }
			},
		})
	}
}

// requestBenchmark describes a series of the processor time of a request.
type requestBenchmark struct {
	series  Series
	sizes   []int
	gateway func(n int) gatewaySize
}

var requestsByServers = requestBenchmark{
	series: Series{
		Name:        "request.servers",
		Description: "one request decided and ended, 400 a second to one group",
		SizeUnit:    "servers of the group",
	},
	sizes: []int{20, 100, 300, 1000, 2000},
	gateway: func(n int) gatewaySize {
		return gatewaySize{servers: n, serversPerGroup: n, tenants: 100, gateways: 1}
	},
}

var requestsByTenants = requestBenchmark{
	series: Series{
		Name:        "request.tenants",
		Description: "one request decided and ended, its counter read and added to",
		SizeUnit:    "tenants",
		Logarithmic: true,
	},
	sizes:   []int{2000, 5000, 10000, 25000, 60000},
	gateway: func(n int) gatewaySize { return gatewayOfTenants(n, designIngresses) },
}

// Requests arrive at the rate of one ingress at the design size. The time of the ticks between them is not counted.
// The constants are numbers of requests and of ticks.
const (
	requestsPerTick = 20
	warmUpTicks     = 100
	measuredTicks   = 60
)

// requestLoad sends requests of a different tenant each time.
type requestLoad struct{ tenant int }

// send sends the requests between two ticks.
func (rl *requestLoad) send(harness *gatewayHarness) {
	for range requestsPerTick {
		rl.tenant += stride
		harness.request(rl.tenant)
	}
}

func measureRequests(m *meter, b requestBenchmark) {
	b.series.Unit = Seconds
	load := new(requestLoad)
	var harnesses []*gatewayHarness
	var points []Point
	for _, n := range m.sizes(b.sizes) {
		harness := newGatewayHarness(b.gateway(n))
		for range warmUpTicks {
			harness.tick()
			load.send(harness)
		}
		harnesses = append(harnesses, harness)
		points = append(points, unmeasured(n))
	}
	runtime.GC()
	for range repetitions {
		for n, harness := range harnesses {
			points[n].keepMinimum(load.measure(harness))
		}
	}
	m.addSeries(b.series, points)
}

// measure returns the processor time of a request in seconds, and the bytes that it allocates.
func (rl *requestLoad) measure(harness *gatewayHarness) (seconds, allocBytes float64) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	used := 0.0
	for range measuredTicks {
		harness.tick()
		before := processorTime()
		rl.send(harness)
		used += processorTime() - before
	}
	allocatedBefore := allocatedBytes()
	rl.send(harness)
	allocated := allocatedBytes() - allocatedBefore
	return used / (requestsPerTick * measuredTicks), allocated / requestsPerTick
}
