package invariants

import (
	"net/http"
	"slices"
	"strings"
)

// outcome is the part of a request's handling that depends on the configuration in force: the service that ran it, or
// the status of the rejection.
type outcome struct {
	service string // empty if the request was rejected
	status  int    // of the rejection: 401, 403 or 404
}

// selection is a choice of one version for each item that a request depends on. A nil version means that the item is
// absent.
type selection []*Version

// allows reports whether a request is handled with this outcome under a selection.
func (s selection) allows(a *Attempt, o outcome) bool {
	route, authorized := s.find(a)
	known := route != nil && (route.Public || authorized)
	switch {
	case o.service != "":
		return known && slices.Contains(route.Services, o.service)
	case o.status == http.StatusNotFound:
		return route == nil
	default: // 401, 403
		return route != nil && !known
	}
}

// find returns the route of a request, the one with the longest prefix, and whether a tenant holds the request's key.
func (s selection) find(a *Attempt) (route *Route, authorized bool) {
	for _, v := range s {
		if v == nil || v.Dropped {
			continue
		}
		if r := v.Route; r != nil && strings.HasPrefix(a.Target, r.Prefix) &&
			(route == nil || len(r.Prefix) > len(route.Prefix)) {
			route = r
		}
		if v.Tenant != nil && slices.Contains(v.Tenant.Keys, a.Key) {
			authorized = true
		}
	}
	return route, authorized
}

// serves reports whether a request may be for a route, by host and prefix.
func (r *Route) serves(a *Attempt) bool {
	return r.Host == a.Host && strings.HasPrefix(a.Target, r.Prefix)
}

// relevantItems returns the items that may concern a request: the routes that may serve it, and the tenants that held
// its key in any version.
func (c *checker) relevantItems(a *Attempt) (items []string) {
	relevant := func(v *Version) bool {
		return v.Route != nil && v.Route.serves(a) ||
			v.Tenant != nil && a.Key != "" && slices.Contains(v.Tenant.Keys, a.Key)
	}
	for item, versions := range c.versionsByItem {
		if slices.ContainsFunc(versions, relevant) {
			items = append(items, item)
		}
	}
	slices.Sort(items)
	return items
}

// explain tries every selection of versions that a filter accepts. It reports whether any of them allows a handling,
// and returns the lowest number of each item in those that do.
func (c *checker) explain(h handling, items []string, allowed versionFilter) (lowest map[string]uint64, ok bool) {
	lowest = map[string]uint64{}
	chosen := make(selection, len(items))
	var choose func(n int)
	choose = func(n int) {
		if n < len(items) {
			for _, v := range append([]*Version{nil}, c.versionsByItem[items[n]]...) {
				if allowed(items[n], v) {
					chosen[n] = v
					choose(n + 1)
				}
			}
			return
		}
		if !chosen.allows(h.attempt, h.outcome) {
			return
		}
		ok = true
		for i, v := range chosen {
			number := numberOf(v)
			if old, found := lowest[items[i]]; !found || number < old {
				lowest[items[i]] = number
			}
		}
	}
	choose(0)
	return lowest, ok
}

// explainable reports whether any selection that a filter accepts allows a handling.
func (c *checker) explainable(h handling, items []string, allowed versionFilter) bool {
	_, ok := c.explain(h, items, allowed)
	return ok
}
