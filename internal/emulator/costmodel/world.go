package costmodel

import (
	"fmt"
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// Generators of what a system of some size holds. They are seeded by the number of the thing alone, so that equal
// numbers give equal things in any run. Bodies are laid out as the operators send them (one key a tenant).

const serversPerService = 20 // servers of a service, as in the size to design for

func randomName(n int, letters int, salt uint64) string {
	noise := rand.New(rand.NewPCG(uint64(n), salt))
	b := make([]byte, letters)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[noise.IntN(36)]
	}
	return string(b)
}

func item(kind configuration.Kind, name string, version int, format string, args ...any) configuration.Item {
	body := fmt.Sprintf(format, args...) + fmt.Sprintf(`,"generation":"%08x"}`, version)
	return configuration.Item{
		Key:     configuration.Key{Kind: kind, Name: name},
		Version: uint64(version),
		Body:    []byte(body),
		Epoch:   1,
	}
}

func serviceName(n int) string { return randomName(n, 7, 1) }
func tenantName(n int) string  { return randomName(n, 7, 2) }
func tenantKey(n int) string   { return randomName(n, 20, 3) }
func hostName(n int) string    { return randomName(n/3, 6, 4) + ".example" }
func pathPrefix(n int) string  { return fmt.Sprintf("/%s/%d/", randomName(n, 7, 5), n) }

func tenant(n, version int) configuration.Item {
	return item(configuration.Tenants, tenantName(n), version, `{"apiKeys":["%s"],"priority":%d,"ratePerS":%d,"burst":%d`,
		tenantKey(n), n%3, 10+n%90, 10+n%90)
}

func service(n, version int) configuration.Item {
	return item(
		configuration.Services,
		serviceName(n),
		version,
		`{"healthPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false`,
	)
}

func route(n, services, version int) configuration.Item {
	return item(
		configuration.Routes,
		"r-"+randomName(n, 7, 6),
		version,
		`{"authority":"%s","pathPrefix":"%s","routeKind":"idempotent","deadlineMs":1000,`+
			`"targetMs":400,"priority":2,"backend":"%s","maxTries":2,"public":false`,
		hostName(n),
		pathPrefix(n),
		serviceName(n%services),
	)
}

func instance(n int, seq uint64) registry.Instance {
	return registry.Instance{
		ID:         "i-" + randomName(n, 8, 7),
		Service:    serviceName(n / serversPerService),
		Address:    fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255),
		Zone:       fmt.Sprintf("region-hall-%d", n%25),
		Generation: "v1",
		Capacity:   3,
		Seq:        seq,
	}
}

func generate[T any](n int, one func(i int) T) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = one(i)
	}
	return out
}

func tenants(n int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return tenant(i, 1) })
}

func services(n int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return service(i, 1) })
}

func routes(n, of int) []configuration.Item {
	return generate(n, func(i int) configuration.Item { return route(i, of, 1) })
}

func instances(n int) []registry.Instance {
	return generate(n, func(i int) registry.Instance { return instance(i, 1) })
}

// snapshotOf is a book of these items.
func snapshotOf(items ...[]configuration.Item) (b *configuration.Snapshot) {
	for _, some := range items {
		b, _ = b.Merge(some)
	}
	return b
}
