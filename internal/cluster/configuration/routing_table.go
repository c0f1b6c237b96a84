package configuration

import "iter"

// RoutingTable is what requests are routed and admitted by: an immutable snapshot, to be swapped whole. What it
// returns is shared and never changed.
type RoutingTable struct {
	book     *Snapshot
	tenants  trie[word, *Tenant]
	keys     trie[word, *claim[Tenant]]
	services trie[word, *Service]
	bounds   ClientLimits
}

// NewRoutingTable is the table of an empty snapshot.
func NewRoutingTable() *RoutingTable { return new(RoutingTable) }

// With is the table of a snapshot that differs from this table's own in the named items, at a cost that goes with
// their number. Items that did not change after all do no harm. An item that cannot be read is as good as none.
func (t *RoutingTable) With(book *Snapshot, changed []Item) *RoutingTable {
	next, e := *t, new(edit)
	next.book = book
	for _, c := range changed {
		now := book.entry(c.Key)
		if now == nil {
			continue
		}
		name := word(c.Key.Name)
		switch c.Key.Kind {
		case Tenants:
			old, _ := next.tenants.get(name)
			if old != nil {
				next.tenants = next.tenants.without(e, name)
				for _, k := range old.Keys {
					next.keys = unclaimed(next.keys, e, word(k), old)
				}
			}
			if !now.valid {
				continue
			}
			tenant, _ := ParseTenant(now.Item)
			next.tenants = next.tenants.with(e, name, &tenant)
			for _, k := range tenant.Keys {
				next.keys = claims(next.keys, e, word(k), &tenant)
			}
		case Services:
			if !now.valid {
				next.services = next.services.without(e, name)
				continue
			}
			service, _ := ParseService(now.Item)
			next.services = next.services.with(e, name, &service)
		case Limits:
			next.bounds = ClientLimits{}
			if now.valid && c.Key.Name == "" {
				next.bounds, _ = ParseClientLimits(now.Item)
			}
		}
	}
	return &next
}

// Route is the route of a request: of the routes of its host, the one with the longest prefix that begins the path;
// nil if there is none. The host is a Host header, the path has no query. It allocates nothing, but for a host that
// is not in lower case.
func (t *RoutingTable) Route(host, path string) *Route {
	if t.book == nil || len(host) > MaxHostBytes+6 { // the colon and the digits of a port
		return nil
	}
	host = HostOf(host)
	var found *Route
	h := step(fold(basis, host), 0xff) // as place.hash does
	for i := 0; i < len(path) && i < MaxPrefixBytes; i++ {
		if h = step(h, path[i]); path[i] != '/' {
			continue
		}
		if c, ok := t.book.routesByKey.find(mix(h), routeKey{host, path[:i+1]}); ok {
			found = c.of
		}
	}
	return found
}

// RouteByName is the route of that name; nil if there is none.
func (t *RoutingTable) RouteByName(name string) *Route {
	if e := t.book.entry(Key{Routes, name}); e != nil {
		return e.route
	}
	return nil
}

// Tenant is the one that holds a key; nil if none does, and for the empty key. Where two hold it, the one of the
// higher epoch has it, then that of the higher version, then the first by name.
func (t *RoutingTable) Tenant(key string) *Tenant {
	if c, _ := t.keys.get(word(key)); c != nil && key != "" {
		return c.of
	}
	return nil
}

// Service is the service of that name; nil if there is none.
func (t *RoutingTable) Service(name string) *Service {
	s, _ := t.services.get(word(name))
	return s
}

// Services goes through the services, in no order of use.
func (t *RoutingTable) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) { t.services.all(func(_ word, s *Service) bool { return yield(s) }) }
}

// ClientLimits is what clients may send.
func (t *RoutingTable) ClientLimits() ClientLimits { return t.bounds }

// HasTenants tells whether any tenant stands, so that requests need a key.
func (t *RoutingTable) HasTenants() bool { return t.tenants.size > 0 }

// TenantCount is the number of tenants that stand.
func (t *RoutingTable) TenantCount() int { return t.tenants.size }

// RouteCount is the number of routes that stand.
func (t *RoutingTable) RouteCount() int {
	if t.book == nil {
		return 0
	}
	return t.book.routes
}
