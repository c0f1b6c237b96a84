package costmodel

import (
	"fmt"

	"mulleinrouter/internal/cluster/quota"
)

// measureCounters measures the series of the processor time of a counter's owner.
func measureCounters(m *meter) {
	measureCounterAdd(m)
	measureCounterTotal(m)
	measureOwner(m)
}

func measureCounterAdd(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "tally.add",
			Description: "CounterTable.Add for a call that is reported separately, and its answer",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		sizes:      []int{8000, 16000, 32000, 64000, 120000},
		operations: 20_000,
		prepare: func(n int) func(int) {
			table, names, reporter := counterTable(n, 1, true), generate(n, tenantName), reporterName(0)
			return func(i int) {
				table.Add(counterTime, &quota.Report{
					Name:       names[i*stride%n],
					Cycle:      counterTime,
					Reporter:   reporter,
					Amount:     1,
					PerRequest: true,
					Serial:     uint64(i) + 2,
					Retention:  counterRetention,
				})
			}
		},
	})
}

func measureCounterTotal(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "tally.total",
			Description: "first read of a cycle by a CounterTable, which goes through all reporters of the tenant",
			SizeUnit:    "reporters",
		},
		sizes:      []int{30, 100, 300, 1000, 3300},
		operations: 50,
		prepare: func(n int) func(int) {
			table := counterTable(1, n, false)
			return func(i int) {
				table.Add(counterTime, &quota.Report{
					Name:      tenantName(0),
					Cycle:     int64(counterTime + i),
					ReadOnly:  true,
					Retention: counterRetention,
				})
			}
		},
	})
}

func measureOwner(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "tally.owner",
			Description: "Owner of a name, by rendezvous over the living control nodes",
			SizeUnit:    "control nodes",
		},
		sizes:      []int{3, 6, 12, 24, 36},
		operations: 20_000,
		prepare: func(n int) func(int) {
			nodes := generate(n, func(i int) string { return fmt.Sprintf("10.0.%d.1:7560", i) })
			return func(int) { quota.Owner("tenant-7", nodes) }
		},
	})
}
