package costmodel

import (
	"fmt"
	"math/rand/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/registry"
)

// Generators of what a system of some size holds. They are seeded by the number of the thing alone, so that equal
// numbers give equal things in any run. Bodies are laid out as the operators send them (one key a tenant).

const perService = 20 // servers of a service, as in the size to design for

func word(n int, letters int, salt uint64) string {
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

func serviceName(n int) string { return word(n, 7, 1) }
func tenantName(n int) string  { return word(n, 7, 2) }
func tenantKey(n int) string   { return word(n, 20, 3) }
func host(n int) string        { return word(n/3, 6, 4) + ".example" }
func prefix(n int) string      { return fmt.Sprintf("/%s/%d/", word(n, 7, 5), n) }

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
		"r-"+word(n, 7, 6),
		version,
		`{"authority":"%s","pathPrefix":"%s","routeKind":"idempotent","deadlineMs":1000,`+
			`"targetMs":400,"priority":2,"backend":"%s","maxTries":2,"public":false`,
		host(n),
		prefix(n),
		serviceName(n%services),
	)
}

func server(n int, seq uint64) registry.Instance {
	return registry.Instance{
		ID:         "i-" + word(n, 8, 7),
		Service:    serviceName(n / perService),
		Address:    fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255),
		Zone:       fmt.Sprintf("region-hall-%d", n%25),
		Generation: "v1",
		Capacity:   3,
		Seq:        seq,
	}
}

func many[T any](n int, one func(i int) T) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = one(i)
	}
	return out
}

func tenants(n int) []configuration.Item {
	return many(n, func(i int) configuration.Item { return tenant(i, 1) })
}

func services(n int) []configuration.Item {
	return many(n, func(i int) configuration.Item { return service(i, 1) })
}

func routes(n, of int) []configuration.Item {
	return many(n, func(i int) configuration.Item { return route(i, of, 1) })
}

func servers(n int) []registry.Instance {
	return many(n, func(i int) registry.Instance { return server(i, 1) })
}

// merged is a book of these items.
func merged(items ...[]configuration.Item) (b *configuration.Snapshot) {
	for _, some := range items {
		b, _ = b.Merge(some)
	}
	return b
}
