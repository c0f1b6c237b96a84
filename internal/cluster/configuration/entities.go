package configuration

import (
	"cmp"
	"strings"
)

// Limits on one item. They are far above practical needs, and keep a single item from filling a machine's memory.
const (
	MaxNameBytes     = 256     // bytes in a name
	MaxHostBytes     = 255     // bytes in a host
	MaxPrefixBytes   = 1024    // bytes in a path prefix; no more of a request's path is compared
	MaxKeyBytes      = 1024    // bytes in an API key
	MaxKeys          = 10_000  // API keys of a tenant
	MaxSplitServices = 1000    // weighted services of a route
	MaxBodyBytes     = 1 << 20 // bytes in an item's body
)

// Route is the decoded body of a route item.
type Route struct {
	Name     string
	Host     string  // lower case, without a port
	Prefix   string  // path prefix; begins and ends with a slash
	Mutating bool    // not idempotent: at most one execution for each attempt of a client
	Deadline float64 // longest time that a request may take, in seconds
	// LatencyTarget is the time in seconds within which an answer has its full value. It defaults to Deadline.
	LatencyTarget float64
	Priority      int               // 0 is the highest
	MaxAttempts   int               // servers that one attempt of a client may be sent to; at least 1
	Public        bool              // requests need no API key
	Service       string            // used if Split is empty
	Split         []WeightedService // takes precedence over Service
	Version       uint64
	Epoch         uint64
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the sum of the route's weights
}

// Tenant is the decoded body of a tenant item.
type Tenant struct {
	Name     string
	Keys     []string // API keys
	Priority int      // takes precedence over the route's; 0 is the highest
	Rate     float64  // requests per second over all ingresses; 0 means no limit
	Burst    float64  // requests allowed beyond the rate
	Version  uint64
	Epoch    uint64
}

// Service is the decoded body of a service item.
type Service struct {
	Name           string
	Health         string // path of the servers' health check; empty means unknown
	MaxConnections int    // connections per server, over all callers; 0 means unknown
	Version        uint64
}

// ClientLimits limits the size and the duration of clients' requests. A limit of 0 means that none is set.
type ClientLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   float64 // seconds
}

// HostOf returns the host of an authority or of a Host header in the form that routes use: lower case, without the
// port.
func HostOf(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i > strings.LastIndexByte(authority, ']') {
		authority = authority[:i]
	}
	return strings.ToLower(authority)
}

// routeKey is the host and the path prefix that a route matches. It is unique among the routes of a valid snapshot.
type routeKey struct{ host, prefix string }

func (r routeKey) hash() uint64 { return mix(hashString(hashHost(r.host), r.prefix)) }

func (r *Route) key() routeKey { return routeKey{r.Host, r.Prefix} }

// eachService calls yield for each service that a route names, once for each mention.
func (r *Route) eachService(yield func(service string)) {
	if r.Service != "" {
		yield(r.Service)
	}
	for _, s := range r.Split {
		yield(s.Service)
	}
}

// takesPrecedenceOver reports whether a route wins over another route that claims the same key. Two routes claim a key
// when the update by which one of them released it has not arrived yet. The higher epoch wins, then the higher version,
// then the name that sorts first.
func (r *Route) takesPrecedenceOver(o *Route) bool {
	return comparePrecedence(r.Epoch, o.Epoch, r.Version, o.Version, r.Name, o.Name)
}

// takesPrecedenceOver reports whether a tenant wins over another tenant that claims the same API key, by the rules for
// routes.
func (t *Tenant) takesPrecedenceOver(o *Tenant) bool {
	return comparePrecedence(t.Epoch, o.Epoch, t.Version, o.Version, t.Name, o.Name)
}

func comparePrecedence(epoch, otherEpoch, version, otherVersion uint64, name, otherName string) bool {
	return cmp.Or(
		cmp.Compare(otherEpoch, epoch),
		cmp.Compare(otherVersion, version),
		cmp.Compare(name, otherName),
	) < 0
}
