package configuration

import "iter"

// maxPortBytes is the greatest length of a port in a Host header, with its colon.
const maxPortBytes = 6

// RoutingTable is the index by which requests are routed and admitted. It is immutable and built from a snapshot; a new
// table replaces it as a whole. The values that it returns are shared and must not be modified.
type RoutingTable struct {
	snapshot *Snapshot
	tenants  trie[stringKey, *Tenant]
	keys     trie[stringKey, *claim[Tenant]]
	services trie[stringKey, *Service]
	limits   ClientLimits

	hadTenants bool // a tenant is or was configured
}

// NewRoutingTable returns the table of an empty snapshot.
func NewRoutingTable() *RoutingTable { return new(RoutingTable) }

// With returns the table of a snapshot that differs from this table's snapshot in the given items. The cost grows with
// their number. They may include items that have not changed. An item that cannot be parsed counts as deleted.
func (rt *RoutingTable) With(snapshot *Snapshot, changed []Item) *RoutingTable {
	next, e := *rt, new(edit)
	next.snapshot = snapshot
	for _, c := range changed {
		current := snapshot.entry(c.Key)
		if current == nil {
			continue
		}
		switch c.Key.Kind {
		case Tenants:
			next.setTenant(e, current)
		case Services:
			next.setService(e, current)
		case Limits:
			next.limits = ClientLimits{}
			if current.inForce && c.Key.Name == "" {
				next.limits, _ = ParseClientLimits(current.Item)
			}
		}
	}
	return &next
}

func (rt *RoutingTable) setTenant(e *edit, current *entry) {
	rt.hadTenants = true
	name := stringKey(current.Key.Name)
	if old, _ := rt.tenants.get(name); old != nil {
		rt.tenants = rt.tenants.without(e, name)
		for _, key := range old.Keys {
			rt.keys = removeClaim(rt.keys, e, stringKey(key), old)
		}
	}
	if !current.inForce {
		return
	}
	tenant, _ := ParseTenant(current.Item)
	rt.tenants = rt.tenants.with(e, name, &tenant)
	for _, key := range tenant.Keys {
		rt.keys = addClaim(rt.keys, e, stringKey(key), &tenant)
	}
}

func (rt *RoutingTable) setService(e *edit, current *entry) {
	name := stringKey(current.Key.Name)
	if !current.inForce {
		rt.services = rt.services.without(e, name)
		return
	}
	service, _ := ParseService(current.Item)
	rt.services = rt.services.with(e, name, &service)
}

// Route returns the route of a request: among the routes of its host, the one with the longest prefix of the path, or
// nil if there is none. host is a Host header, and path has no query. It allocates only for a host that is not in lower
// case.
func (rt *RoutingTable) Route(host, path string) *Route {
	if rt.snapshot == nil || len(host) > MaxHostBytes+maxPortBytes {
		return nil
	}
	host = HostOf(host)
	var longest *Route
	h := hashHost(host)
	for i := 0; i < len(path) && i < MaxPrefixBytes; i++ {
		if h = hashByte(h, path[i]); path[i] != '/' {
			continue
		}
		if c, ok := rt.snapshot.routesByKey.find(mix(h), routeKey{host, path[:i+1]}); ok {
			longest = c.entity
		}
	}
	return longest
}

// RouteByName returns the route with a name, or nil if there is none.
func (rt *RoutingTable) RouteByName(name string) *Route {
	if e := rt.snapshot.entry(Key{Routes, name}); e != nil {
		return e.route
	}
	return nil
}

// Tenant returns the tenant that has an API key, or nil if there is none or the key is empty. If several tenants claim
// the key, the tenant with the highest epoch has it, then the highest version, then the name that sorts first.
func (rt *RoutingTable) Tenant(key string) *Tenant {
	if c, _ := rt.keys.get(stringKey(key)); c != nil && key != "" {
		return c.entity
	}
	return nil
}

// Service returns the service with a name, or nil if there is none.
func (rt *RoutingTable) Service(name string) *Service {
	s, _ := rt.services.get(stringKey(name))
	return s
}

// Services iterates over the services, in no particular order.
func (rt *RoutingTable) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		rt.services.all(func(_ stringKey, s *Service) bool { return yield(s) })
	}
}

// ClientLimits returns the limits on clients' requests.
func (rt *RoutingTable) ClientLimits() ClientLimits { return rt.limits }

// HasTenants reports whether there is any tenant, in which case requests need an API key.
func (rt *RoutingTable) HasTenants() bool { return rt.tenants.size > 0 }

// HadTenants reports whether there is or was any tenant. If all have been removed, requests need no API key, but one
// that has a key needs a valid one, and no key is valid.
func (rt *RoutingTable) HadTenants() bool { return rt.hadTenants }

// TenantCount returns the number of tenants.
func (rt *RoutingTable) TenantCount() int { return rt.tenants.size }

// RouteCount returns the number of routes.
func (rt *RoutingTable) RouteCount() int {
	if rt.snapshot == nil {
		return 0
	}
	return rt.snapshot.routes
}
