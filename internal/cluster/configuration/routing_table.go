package configuration

import "iter"

// maxPortBytes is the length of a port in a Host header, with its colon.
const maxPortBytes = 6

// RoutingTable is what requests are routed and admitted by: an immutable index over a snapshot, to be swapped as a
// whole. What it returns is shared and never changed.
type RoutingTable struct {
	snapshot *Snapshot
	tenants  trie[stringKey, *Tenant]
	keys     trie[stringKey, *claim[Tenant]]
	services trie[stringKey, *Service]
	limits   ClientLimits
}

// NewRoutingTable is the table of an empty snapshot.
func NewRoutingTable() *RoutingTable { return new(RoutingTable) }

// With is the table of a snapshot that differs from this table's own in the given items, at a cost that grows with
// their number. Items that did not change after all do no harm. An item that can't be read has no effect.
func (rt *RoutingTable) With(snapshot *Snapshot, changed []Item) *RoutingTable {
	next, e := *rt, new(edit)
	next.snapshot = snapshot
	for _, c := range changed {
		now := snapshot.entry(c.Key)
		if now == nil {
			continue
		}
		switch c.Key.Kind {
		case Tenants:
			next.setTenant(e, now)
		case Services:
			next.setService(e, now)
		case Limits:
			next.limits = ClientLimits{}
			if now.inForce && c.Key.Name == "" {
				next.limits, _ = ParseClientLimits(now.Item)
			}
		}
	}
	return &next
}

func (rt *RoutingTable) setTenant(e *edit, now *entry) {
	name := stringKey(now.Key.Name)
	if old, _ := rt.tenants.get(name); old != nil {
		rt.tenants = rt.tenants.without(e, name)
		for _, key := range old.Keys {
			rt.keys = removeClaim(rt.keys, e, stringKey(key), old)
		}
	}
	if !now.inForce {
		return
	}
	tenant, _ := ParseTenant(now.Item)
	rt.tenants = rt.tenants.with(e, name, &tenant)
	for _, key := range tenant.Keys {
		rt.keys = addClaim(rt.keys, e, stringKey(key), &tenant)
	}
}

func (rt *RoutingTable) setService(e *edit, now *entry) {
	name := stringKey(now.Key.Name)
	if !now.inForce {
		rt.services = rt.services.without(e, name)
		return
	}
	service, _ := ParseService(now.Item)
	rt.services = rt.services.with(e, name, &service)
}

// Route is the route of a request: of the routes of its host, the one with the longest prefix of the path; nil if
// there is none. host is a Host header, path has no query. It allocates nothing, except for a host that is not in
// lower case.
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
			longest = c.by
		}
	}
	return longest
}

// RouteByName is the route of a name; nil if there is none.
func (rt *RoutingTable) RouteByName(name string) *Route {
	if e := rt.snapshot.entry(Key{Routes, name}); e != nil {
		return e.route
	}
	return nil
}

// Tenant is the one that has an API key; nil if none does, and for the empty key. Where two claim it, the one of the
// higher epoch has it, then that of the higher version, then the first by name.
func (rt *RoutingTable) Tenant(key string) *Tenant {
	if c, _ := rt.keys.get(stringKey(key)); c != nil && key != "" {
		return c.by
	}
	return nil
}

// Service is the service of a name; nil if there is none.
func (rt *RoutingTable) Service(name string) *Service {
	s, _ := rt.services.get(stringKey(name))
	return s
}

// Services goes through the services, in no particular order.
func (rt *RoutingTable) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		rt.services.all(func(_ stringKey, s *Service) bool { return yield(s) })
	}
}

// ClientLimits is what clients may send.
func (rt *RoutingTable) ClientLimits() ClientLimits { return rt.limits }

// HasTenants reports whether there is any tenant, so that requests need a key.
func (rt *RoutingTable) HasTenants() bool { return rt.tenants.size > 0 }

// TenantCount is the number of tenants.
func (rt *RoutingTable) TenantCount() int { return rt.tenants.size }

// RouteCount is the number of routes.
func (rt *RoutingTable) RouteCount() int {
	if rt.snapshot == nil {
		return 0
	}
	return rt.snapshot.routes
}
