package costmodel

const (
	heartbeatOperations = 20_000
	// heartbeatStep is the time in seconds between two heartbeats of a benchmark: short, so that none expires.
	heartbeatStep = 1e-6
)

// heartbeatSizes are above those at which the state fits into the processor's caches, as changeSizes.
var heartbeatSizes = []int{10000, 20000, 50000, 100000, 200000}

// measureHeartbeats takes the series of the processor time that a registry needs for a heartbeat.
func measureHeartbeats(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "registry.beat",
			Description: "Beat of a Registry, the call that says the same again",
			SizeUnit:    "servers",
			Logarithmic: true,
		},
		sizes:      heartbeatSizes,
		operations: heartbeatOperations,
		prepare: func(n int) func(int) {
			all := instances(n)
			r := registryOf(all)
			return func(i int) {
				one := all[i*stride%n]
				one.Seq = uint64(i) + 2
				r.RecordHeartbeat(heartbeatTime(i), one)
			}
		},
	})
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "registry.heard",
			Description: "Heard of a Registry, a beat that another node heard",
			SizeUnit:    "servers",
			Logarithmic: true,
		},
		sizes:      heartbeatSizes,
		operations: heartbeatOperations,
		prepare: func(n int) func(int) {
			all := instances(n)
			r := registryOf(all)
			return func(i int) {
				r.RecordRemoteHeartbeat(heartbeatTime(i), all[i*stride%n].ID, uint64(i)+2)
			}
		},
	})
}

// heartbeatTime is when the heartbeat of an index arrives.
func heartbeatTime(index int) float64 { return 1 + float64(index)*heartbeatStep }
