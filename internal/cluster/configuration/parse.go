package configuration

import (
	"fmt"
	"math"
	"strings"
)

// ParseRoute parses the body of a route that is not deleted. Unknown fields are ignored. Errors are short texts; one
// about a field begins with the path of the field.
func ParseRoute(i Item) (Route, error) {
	f, err := openBody(i, Routes)
	if err != nil {
		return Route{}, err
	}
	route := Route{
		Name:          i.Key.Name,
		Host:          HostOf(f.text("authority", math.MaxInt)),
		Prefix:        f.text("pathPrefix", MaxPrefixBytes),
		Deadline:      f.seconds("deadlineMs"),
		LatencyTarget: f.seconds("targetMs"),
		Priority:      f.integer("priority", math.MinInt32),
		MaxAttempts:   max(f.integer("maxTries", math.MinInt32), 1),
		Public:        f.flag("public"),
		Service:       f.text("backend", MaxNameBytes),
		Version:       i.Version,
		Epoch:         i.Epoch,
	}
	if route.LatencyTarget == 0 {
		route.LatencyTarget = route.Deadline
	}
	f.require(route.Host != "", "authority", "empty")
	f.require(len(route.Host) <= MaxHostBytes, "authority", "too long")
	f.require(strings.HasPrefix(route.Prefix, "/"), "pathPrefix", "does not begin with a slash")
	f.require(strings.HasSuffix(route.Prefix, "/"), "pathPrefix", "does not end with a slash")
	f.require(route.Deadline > 0, "deadlineMs", "must be above 0")
	route.Mutating = f.mutating()
	route.Split = f.split(route.Service)
	return route, f.err
}

// mutating reads the kind of a route and reports whether it is mutating.
func (f *fieldReader) mutating() bool {
	switch kind := f.text("routeKind", MaxNameBytes); kind {
	case "idempotent":
		return false
	case "mutating":
		return true
	default:
		f.require(false, "routeKind", fmt.Sprintf("%.40q is neither idempotent nor mutating", kind))
		return false
	}
}

// split reads the weighted services of a route. They may be missing only if the route names a single service.
func (f *fieldReader) split(service string) (split []WeightedService) {
	list, given := f.list("weighted", MaxSplitServices)
	f.require(given || service != "", "backend", "missing, and so is weighted")
	var sum float64
	for n, v := range list {
		element := f.element("weighted", n, v)
		weighted := WeightedService{Service: element.text("backend", MaxNameBytes), Weight: element.amount("share")}
		element.require(weighted.Service != "", "backend", "missing")
		sum += weighted.Weight
		split = append(split, weighted)
		if f.err == nil {
			f.err = element.err
		}
	}
	f.require(!given || sum > 0, "weighted", "the sum of its shares must be above 0")
	f.require(!math.IsInf(sum, 0), "weighted", "the sum of its shares is too large")
	return split
}

// ParseTenant parses the body of a tenant, by the rules of ParseRoute.
func ParseTenant(i Item) (Tenant, error) {
	f, err := openBody(i, Tenants)
	if err != nil {
		return Tenant{}, err
	}
	tenant := Tenant{
		Name:     i.Key.Name,
		Priority: f.integer("priority", math.MinInt32),
		Rate:     f.amount("ratePerS"),
		Burst:    f.amount("burst"),
		Version:  i.Version,
		Epoch:    i.Epoch,
	}
	keys, _ := f.list("apiKeys", MaxKeys)
	if len(keys) > 0 {
		tenant.Keys = make([]string, 0, len(keys))
	}
	for n, v := range keys {
		key, ok := v.(string)
		f.require(ok && len(key) <= MaxKeyBytes, fmt.Sprintf("apiKeys.%d", n), "not a text, or too long")
		tenant.Keys = append(tenant.Keys, key)
	}
	return tenant, f.err
}

// ParseService parses the body of a service, by the rules of ParseRoute.
func ParseService(i Item) (Service, error) {
	f, err := openBody(i, Services)
	if err != nil {
		return Service{}, err
	}
	service := Service{
		Name:           i.Key.Name,
		Health:         f.text("healthPath", MaxPrefixBytes),
		MaxConnections: f.integer("maxConns", 0),
		Version:        i.Version,
	}
	f.require(isHealthPath(service.Health), "healthPath", "not a path")
	return service, f.err
}

// isHealthPath reports whether a path can be put unchanged into the request line of a health check. It may be empty.
func isHealthPath(path string) bool {
	notInPath := func(c rune) bool { return c <= ' ' || c >= 0x7f }
	return path == "" || path[0] == '/' && !strings.ContainsFunc(path, notInPath)
}

// ParseClientLimits parses the body of the limits, by the rules of ParseRoute.
func ParseClientLimits(i Item) (ClientLimits, error) {
	f, err := openBody(i, Limits)
	if err != nil {
		return ClientLimits{}, err
	}
	limits := ClientLimits{
		HeaderBytes: f.integer("maxHeaderBytes", 0),
		BodyBytes:   f.integer("maxBodyBytes", 0),
		HeaderTime:  f.seconds("headerTimeoutMs"),
		IdleTime:    f.seconds("idleTimeoutMs"),
	}
	return limits, f.err
}
