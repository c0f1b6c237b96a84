package costmodel

import (
	"fmt"
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// The fixtures generate the state of a system of a given size. The random seed of a name consists of the number of its
// item and a constant for the kind of name, so that equal numbers give equal items in every run. Bodies have the layout
// in which operators send them, with one key per tenant.

const (
	// serversPerService is the number of servers of a service at the design size (docs/CAPACITY.md).
	serversPerService = 20
	routesPerHost     = 3
	zoneCount         = 25 // number of zones over which instances are spread
	// stride is the step between the numbers of successive items. It is a prime that divides no benchmark's size, so
	// that it reaches all items. Each item is far from the previous one, so that the order does not benefit from
	// caches.
	stride = 7919
)

const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789"

// nameSalt is the part of the random seed that makes names of different kinds differ.
type nameSalt uint64

const (
	serviceSalt nameSalt = iota + 1
	tenantSalt
	tenantKeySalt
	hostSalt
	pathSalt
	routeSalt
	instanceSalt
)

func randomName(n int, length int, salt nameSalt) string {
	random := rand.New(rand.NewPCG(uint64(n), uint64(salt)))
	name := make([]byte, length)
	for i := range name {
		name[i] = nameAlphabet[random.IntN(len(nameAlphabet))]
	}
	return string(name)
}

func serviceName(n int) string  { return randomName(n, 7, serviceSalt) }
func tenantName(n int) string   { return randomName(n, 7, tenantSalt) }
func tenantKey(n int) string    { return randomName(n, 20, tenantKeySalt) }
func hostName(n int) string     { return randomName(n/routesPerHost, 6, hostSalt) + ".example" }
func pathPrefix(n int) string   { return fmt.Sprintf("/%s/%d/", randomName(n, 7, pathSalt), n) }
func reporterName(n int) string { return fmt.Sprintf("edge-muscat-hall-%d", n) }

// item returns an item. format and args give its body as a JSON object without the closing brace, to which item appends
// the generation and the brace.
func item(kind configuration.Kind, name string, version int, format string, args ...any) configuration.Item {
	body := fmt.Sprintf(format, args...) + fmt.Sprintf(`,"generation":"%08x"}`, version)
	return configuration.Item{
		Key:     configuration.Key{Kind: kind, Name: name},
		Version: uint64(version),
		Body:    []byte(body),
		Epoch:   1,
	}
}

func tenant(n, version int) configuration.Item {
	rate := 10 + n%90
	return item(
		configuration.Tenants,
		tenantName(n),
		version,
		`{"apiKeys":["%s"],"priority":%d,"ratePerS":%d,"burst":%d`,
		tenantKey(n),
		n%3,
		rate,
		rate,
	)
}

func service(n, version int) configuration.Item {
	return item(
		configuration.Services,
		serviceName(n),
		version,
		`{"healthPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false`,
	)
}

func route(n, serviceCount, version int) configuration.Item {
	return item(
		configuration.Routes,
		"r-"+randomName(n, 7, routeSalt),
		version,
		`{"authority":"%s","pathPrefix":"%s","routeKind":"idempotent","deadlineMs":1000,`+
			`"targetMs":400,"priority":2,"backend":"%s","maxTries":2,"public":false`,
		hostName(n),
		pathPrefix(n),
		serviceName(n%serviceCount),
	)
}

func instance(n int, seq uint64) registry.Instance {
	return registry.Instance{
		ID:         "i-" + randomName(n, 8, instanceSalt),
		Service:    serviceName(n / serversPerService),
		Address:    fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255),
		Zone:       fmt.Sprintf("region-hall-%d", n%zoneCount),
		Generation: "v1",
		Capacity:   3,
		Seq:        seq,
	}
}

// generate returns n values, each made from its number.
func generate[T any](n int, one func(i int) T) []T {
	values := make([]T, n)
	for i := range values {
		values[i] = one(i)
	}
	return values
}

func tenants(n int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return tenant(i, 1) })
}

func services(n int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return service(i, 1) })
}

func routes(n, serviceCount int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return route(i, serviceCount, 1) })
}

func instances(n int) []registry.Instance {
	return generate(n, func(i int) registry.Instance { return instance(i, 1) })
}

// snapshotOf returns a snapshot of items. Without items it returns nil, which is an empty snapshot.
func snapshotOf(items ...[]configuration.Item) *configuration.Snapshot {
	var snapshot *configuration.Snapshot
	for _, some := range items {
		snapshot, _ = snapshot.Merge(some)
	}
	return snapshot
}
