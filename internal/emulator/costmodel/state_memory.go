package costmodel

import (
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
)

// referencedServices is the number of services that the routes refer to in series by the number of routes.
const referencedServices = 1000

// heartbeatInterval is the heartbeat interval of the servers in the measured registries, in seconds.
const heartbeatInterval = 1.5

// itemKind is a kind of item of the configuration.
type itemKind struct {
	name          string                         // part of the names of its series
	prerequisites func() *configuration.Snapshot // items that the measured items refer to
	items         func(n int) []configuration.Item
	indexed       bool // whether configuration.RoutingTable has an index of them; it has none of routes
}

var itemKinds = []itemKind{
	{
		name:          "route",
		prerequisites: func() *configuration.Snapshot { return snapshotOf(services(referencedServices)) },
		items:         func(n int) []configuration.Item { return routes(n, referencedServices) },
	},
	{
		name:          "tenant",
		prerequisites: func() *configuration.Snapshot { return nil },
		items:         tenants,
		indexed:       true,
	},
	{
		name:          "service",
		prerequisites: func() *configuration.Snapshot { return nil },
		items:         services,
		indexed:       true,
	},
}

var itemMemorySizes = []int{2000, 8000, 24000, 60000, 150000} // numbers of items

// measureStateMemory measures the series of the live heap of each kind of state that a process holds.
func measureStateMemory(m *meter) {
	for _, kind := range itemKinds {
		measureSnapshotMemory(m, kind)
		if kind.indexed {
			measureRoutingTableMemory(m, kind)
		}
		measureStoreMemory(m, kind)
	}
	measureTombstoneMemory(m)
	measureInstanceMemory(m)
	measureRegistryMemory(m)
	measureCounterMemory(m)
}

func measureSnapshotMemory(m *meter, kind itemKind) {
	measureHeap(m, heapBenchmark[*configuration.Snapshot]{
		series: Series{
			Name:        "book." + kind.name,
			Description: "live heap of a Snapshot by its " + kind.name + "s",
			SizeUnit:    kind.name + "s",
		},
		sizes: itemMemorySizes,
		base:  func(int) *configuration.Snapshot { return kind.prerequisites() },
		build: func(needed *configuration.Snapshot, n int) any {
			snapshot, _ := needed.Merge(kind.items(n))
			return snapshot
		},
	})
}

func measureRoutingTableMemory(m *meter, kind itemKind) {
	measureHeap(m, heapBenchmark[*configuration.Snapshot]{
		series: Series{
			Name:        "table." + kind.name,
			Description: "live heap of a RoutingTable, without its Snapshot",
			SizeUnit:    kind.name + "s",
		},
		sizes: itemMemorySizes,
		base:  func(n int) *configuration.Snapshot { return snapshotOf(kind.items(n)) },
		build: func(snapshot *configuration.Snapshot, _ int) any {
			return configuration.NewRoutingTable().With(snapshot, slices.Collect(snapshot.All()))
		},
	})
}

func measureStoreMemory(m *meter, kind itemKind) {
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "store." + kind.name,
			Description: "live heap of a replication.Store, including its Snapshot",
			SizeUnit:    kind.name + "s",
		},
		sizes: itemMemorySizes,
		build: func(_ noBase, n int) any { return storeOf(kind.items(n)) },
	})
}

// storeOf returns a store that contains items.
func storeOf(items []configuration.Item) *replication.Store {
	store := replication.NewStore(1)
	store.MergeItems(items)
	return store
}

func measureTombstoneMemory(m *meter) {
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "store.tombstone",
			Description: "live heap of a replication.Store by deleted tenants",
			SizeUnit:    "deleted items",
		},
		sizes: itemMemorySizes,
		build: func(_ noBase, n int) any { return storeOf(generate(n, tombstone)) },
	})
}

func tombstone(n int) configuration.Item {
	return configuration.Item{
		Key:     configuration.Key{Kind: configuration.Tenants, Name: tenantName(n)},
		Version: 2,
		Deleted: true,
		Epoch:   1,
	}
}

var instanceMemorySizes = []int{2000, 8000, 24000, 60000, 200000} // numbers of instances

func measureInstanceMemory(m *meter) {
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "store.line",
			Description: "live heap of a replication.Store by its instances",
			SizeUnit:    "servers",
		},
		sizes: instanceMemorySizes,
		build: func(_ noBase, n int) any {
			store := replication.NewStore(1)
			store.MergeInstances(instances(n))
			return store
		},
	})
}

func measureRegistryMemory(m *meter) {
	measureHeap(m, heapBenchmark[[]registry.Instance]{
		series: Series{
			Name:        "registry.line",
			Description: "live heap of a registry.Registry, without the strings of its instances",
			SizeUnit:    "servers",
		},
		sizes: instanceMemorySizes,
		base:  instances,
		build: func(all []registry.Instance, _ int) any { return registryOf(all) },
	})
}

// registryOf returns a registry that has received one heartbeat of each instance.
func registryOf(all []registry.Instance) *registry.Registry {
	r := registry.New(heartbeatInterval)
	for _, one := range all {
		r.RecordHeartbeat(1, one)
	}
	return r
}

func measureCounterMemory(m *meter) {
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "tally.name",
			Description: "live heap of a quota.CounterTable, one reporter a tenant, each call reported separately",
			SizeUnit:    "tenants",
		},
		sizes: []int{1000, 4000, 16000, 50000, 100000},
		build: func(_ noBase, n int) any { return counterTable(n, 1, true) },
	})
	const names = 10
	reporterSizes := []int{1000, 3000, 10000, 20000, 33000}
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "tally.holder",
			Description: "live heap of a quota.CounterTable by the reporters of one tenant, reports by cycle",
			SizeUnit:    "reporters",
		},
		sizes: reporterSizes,
		build: func(_ noBase, n int) any { return counterTable(names, n/names, false) },
	})
	measureHeap(m, heapBenchmark[noBase]{
		series: Series{
			Name:        "tally.holder.each",
			Description: "as tally.holder, but each call reported separately",
			SizeUnit:    "reporters",
		},
		sizes: reporterSizes,
		build: func(_ noBase, n int) any { return counterTable(names, n/names, true) },
	})
}

const (
	// counterTime is the time of all reports in seconds. It is also the number of their cycle, except in
	// measureCounterTotal, where each read is of the next cycle.
	counterTime = 3
	// counterRetention is the time for which a counter and its reporters are kept after their last use, in seconds.
	counterRetention = 3
)

// counterTable returns a table that owns its counters, and contains one report of each reporter for each counter. With
// perRequest, each call is a separate report instead of the sum of a cycle.
func counterTable(names, reporters int, perRequest bool) *quota.CounterTable {
	const self = "a"
	table := quota.NewCounterTable()
	table.SetMembers(0, []string{self}, self, true)
	for name := range names {
		for reporter := range reporters {
			table.Add(counterTime, &quota.Report{
				Name:       tenantName(name),
				Cycle:      counterTime,
				Reporter:   reporterName(reporter),
				Amount:     1,
				PerRequest: perRequest,
				Serial:     1,
				Retention:  counterRetention,
			})
		}
	}
	return table
}
