package costmodel

import "mulleinrouter/internal/cluster/registry"

const (
	heartbeatOperations = 20_000 // heartbeats measured together
	// heartbeatStep is the time between two heartbeats of a benchmark, in seconds. It is so short that no instance
	// expires.
	heartbeatStep = 1e-6
)

// heartbeatSizes lists the sizes of the state. As with changeSizes, all are too large for the processor's caches.
var heartbeatSizes = []int{10000, 20000, 50000, 100000, 200000}

// heartbeatBenchmark describes a series of the processor time of one heartbeat.
type heartbeatBenchmark struct {
	name, description string
	record            func(r *registry.Registry, now float64, one registry.Instance)
}

var heartbeatBenchmarks = []heartbeatBenchmark{
	{
		name:        "registry.beat",
		description: "Registry.RecordHeartbeat, a heartbeat that reports no change",
		record:      func(r *registry.Registry, now float64, one registry.Instance) { r.RecordHeartbeat(now, one) },
	},
	{
		name:        "registry.heard",
		description: "Registry.RecordRemoteHeartbeat, a heartbeat that another node received",
		record: func(r *registry.Registry, now float64, one registry.Instance) {
			r.RecordRemoteHeartbeat(now, one.ID, one.Seq)
		},
	},
}

// measureHeartbeats measures the series of the processor time that a registry needs for a heartbeat.
func measureHeartbeats(m *meter) {
	for _, b := range heartbeatBenchmarks {
		m.measureTime(timeBenchmark{
			series: Series{
				Name:        b.name,
				Description: b.description,
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
					b.record(r, heartbeatTime(i), one)
				}
			},
		})
	}
}

// heartbeatTime returns the time at which the heartbeat with an index arrives, in seconds.
func heartbeatTime(index int) float64 { return 1 + float64(index)*heartbeatStep }
