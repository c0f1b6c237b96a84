package configuration

import (
	"cmp"
	"strings"
)

// Bounds of one item: far above what is of use, so that no single item can fill a machine.
const (
	MaxNameBytes     = 256     // of a name
	MaxHostBytes     = 255     // of a host
	MaxPrefixBytes   = 1024    // of a path's prefix, and so of the part of a request's path that is compared
	MaxKeyBytes      = 1024    // of a tenant's key
	MaxKeys          = 10_000  // of a tenant
	MaxSplitServices = 1000    // of a route
	MaxBodyBytes     = 1 << 20 // of an item's body
)

// Route is what a route's item says.
type Route struct {
	Name     string
	Host     string  // in lower case, without a port
	Prefix   string  // of the path; begins and ends with a slash
	Mutating bool    // not idempotent: at most one execution for each attempt of a client
	Deadline float64 // seconds that a request may take at most
	// LatencyTarget is the time in seconds within which an answer has its full value; the deadline where none is given.
	LatencyTarget float64
	Priority      int               // 0 is the highest
	MaxAttempts   int               // servers that one attempt of a client may be sent to; at least 1
	Public        bool              // no key is needed
	Service       string            // where Split is empty
	Split         []WeightedService // takes precedence over Service
	Version       uint64
	Epoch         uint64
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // relative to the sum of all weights of the route
}

// Tenant is what a tenant's item says.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int     // takes precedence over the route's; 0 is the highest
	Rate     float64 // requests a second over all ingresses; 0: no limit
	Burst    float64 // requests beyond the rate
	Version  uint64
	Epoch    uint64
}

// Service is what a service's item says.
type Service struct {
	Name           string
	Health         string // path of its servers' health check; empty: none is known
	MaxConnections int    // that one of its servers takes from all callers together; 0: not known
	Version        uint64
}

// ClientLimits is what a client may send and how long it may take. 0: no limit is set.
type ClientLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   float64 // seconds
}

// HostOf is the host of an authority or of a Host header, in the form in which routes have it: in lower case, without
// the port.
func HostOf(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i > strings.LastIndexByte(authority, ']') {
		authority = authority[:i]
	}
	return strings.ToLower(authority)
}

// routeKey is what a route matches. No two routes of a valid snapshot have the same.
type routeKey struct{ host, prefix string }

func (r routeKey) hash() uint64 { return mix(hashString(hashHost(r.host), r.prefix)) }

func (r *Route) key() routeKey { return routeKey{r.Host, r.Prefix} }

// eachService goes through the services that a route names, a service as often as it is named.
func (r *Route) eachService(yield func(service string)) {
	if r.Service != "" {
		yield(r.Service)
	}
	for _, s := range r.Split {
		yield(s.Service)
	}
}

// takesPrecedenceOver reports which of two routes has a key that both claim, while the update of the one that gave it
// up is still on its way: that of the higher epoch, then of the higher version, then the first by name.
func (r *Route) takesPrecedenceOver(o *Route) bool {
	return comparePrecedence(r.Epoch, o.Epoch, r.Version, o.Version, r.Name, o.Name)
}

// takesPrecedenceOver reports which of two tenants has an API key that both claim, as for routes.
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
