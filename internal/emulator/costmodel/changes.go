package costmodel

import (
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
)

// changeSizes lists the sizes of the state. All are too large for the processor's caches, because the cost at sizes
// that fit into them follows a different line.
var changeSizes = []int{10000, 20000, 40000, 80000, 200000}

const (
	changeOperations = 400     // changes measured together
	lookupOperations = 100_000 // look-ups measured together
	// maxLookupKeys bounds the number of keys that a look-up benchmark generates before the measurement, and so their
	// memory.
	maxLookupKeys = 1 << 16
	// maxChunk is the size limit of one chunk of changes to a subscriber, in bytes. Package replication uses the same.
	maxChunk = 64 << 10
)

// changeFixtures contains functions that return the immutable states of each size. Several series of changes and
// look-ups share these states.
type changeFixtures struct {
	routes  func(n int) *configuration.Snapshot // n routes and their services
	tenants func(n int) *configuration.Snapshot
	tables  func(n int) *configuration.RoutingTable // routing table of n tenants
}

func newChangeFixtures() *changeFixtures {
	tenantSnapshot := memoize(func(n int) *configuration.Snapshot { return snapshotOf(tenants(n)) })
	return &changeFixtures{
		routes: memoize(func(n int) *configuration.Snapshot {
			return snapshotOf(services(referencedServices), routes(n, referencedServices))
		}),
		tenants: tenantSnapshot,
		tables: memoize(func(n int) *configuration.RoutingTable {
			snapshot := tenantSnapshot(n)
			return configuration.NewRoutingTable().With(snapshot, slices.Collect(snapshot.All()))
		}),
	}
}

// memoize returns a function that builds the value of each size once.
func memoize[T any](build func(n int) T) func(n int) T {
	built := map[int]T{}
	return func(n int) T {
		if _, ok := built[n]; !ok {
			built[n] = build(n)
		}
		return built[n]
	}
}

// changesOf returns the changes of a benchmark. Successive changes are of different items.
func changesOf(n int, change func(i, version int) configuration.Item) [][]configuration.Item {
	return generate(repetitions*changeOperations+1, func(i int) []configuration.Item {
		return []configuration.Item{change(i*stride%n, i+2)}
	})
}

// measureChanges measures the series of the processor time of one change, and of one look-up.
func measureChanges(m *meter) {
	fixtures := newChangeFixtures()
	measureValidate(m, fixtures)
	measureMerge(m, fixtures)
	measureRoutingTableChange(m, fixtures)
	measureStoreChange(m)
	measureInstanceChange(m)
	measureRouteLookup(m, fixtures)
	measureTenantLookup(m, fixtures)
}

func measureValidate(m *meter, fixtures *changeFixtures) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "change.check",
			Description: "Snapshot.Validate for one route's change",
			SizeUnit:    "routes",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: changeOperations,
		prepare: func(n int) func(int) {
			snapshot := fixtures.routes(n)
			changes := changesOf(n, func(i, version int) configuration.Item {
				return route(i, referencedServices, version)
			})
			return func(i int) { snapshot.Validate(changes[i]) }
		},
	})
}

func measureMerge(m *meter, fixtures *changeFixtures) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "change.merge",
			Description: "Snapshot.Merge for one tenant's change",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: changeOperations,
		prepare: func(n int) func(int) {
			snapshot, changes := fixtures.tenants(n), changesOf(n, tenant)
			return func(i int) { snapshot, _ = snapshot.Merge(changes[i]) }
		},
	})
}

func measureRoutingTableChange(m *meter, fixtures *changeFixtures) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "change.with",
			Description: "RoutingTable.With for one tenant's change",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: changeOperations,
		prepare: func(n int) func(int) {
			snapshot, table, changes := fixtures.tenants(n), fixtures.tables(n), changesOf(n, tenant)
			return func(i int) { table = table.With(snapshot, changes[i]) }
		},
	})
}

func measureStoreChange(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "change.store",
			Description: "MergeItems of a Store for one tenant's change, and ChangesSince for a subscriber",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: changeOperations,
		prepare: func(n int) func(int) {
			store, changes := storeOf(tenants(n)), changesOf(n, tenant)
			return func(i int) {
				store.MergeItems(changes[i])
				store.ChangesSince(store.Seq()-1, maxChunk)
			}
		},
	})
}

func measureInstanceChange(m *meter) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "change.line",
			Description: "MergeInstances of a Store for one instance's change, and ChangesSince for a subscriber",
			SizeUnit:    "servers",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: changeOperations,
		prepare: func(n int) func(int) {
			store := replication.NewStore(1)
			store.MergeInstances(instances(n))
			changes := generate(repetitions*changeOperations+1, func(i int) []registry.Instance {
				changed := instance(i*stride%n, uint64(i)+2)
				changed.Phase = registry.Draining
				return []registry.Instance{changed}
			})
			return func(i int) {
				store.MergeInstances(changes[i])
				store.ChangesSince(store.Seq()-1, maxChunk)
			}
		},
	})
}

// routeKey is the host and the path by which a route is looked up.
type routeKey struct{ host, path string }

func measureRouteLookup(m *meter, fixtures *changeFixtures) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "lookup.route",
			Description: "RoutingTable.Route, routes spread over hosts of three",
			SizeUnit:    "routes",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: lookupOperations,
		prepare: func(n int) func(int) {
			table := configuration.NewRoutingTable().With(fixtures.routes(n), nil) // finds routes in the snapshot
			return lookups(
				n,
				func(i int) routeKey { return routeKey{host: hostName(i), path: pathPrefix(i) + "2f"} },
				func(key routeKey) { table.Route(key.host, key.path) },
			)
		},
	})
}

func measureTenantLookup(m *meter, fixtures *changeFixtures) {
	m.measureTime(timeBenchmark{
		series: Series{
			Name:        "lookup.tenant",
			Description: "RoutingTable.Tenant by key",
			SizeUnit:    "tenants",
			Logarithmic: true,
		},
		sizes:      changeSizes,
		operations: lookupOperations,
		prepare: func(n int) func(int) {
			table := fixtures.tables(n)
			return lookups(n, tenantKey, func(key string) { table.Tenant(key) })
		},
	})
}

// lookups returns an operation that looks up one key after the other, in an order that does not benefit from caches.
// The keys are generated before the measurement.
func lookups[Key any](n int, keyOf func(i int) Key, lookUp func(Key)) func(int) {
	keys := generate(min(n, maxLookupKeys), func(i int) Key { return keyOf(i * stride % n) })
	return func(i int) { lookUp(keys[i%len(keys)]) }
}
