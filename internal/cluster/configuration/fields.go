package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode/utf8"
)

// What one item may hold at most: far above what is of use, so that no single item can fill a machine.
const (
	MaxNameBytes     = 256     // bytes of a name
	MaxHostBytes     = 255     // bytes of a host
	MaxPrefixBytes   = 1024    // bytes of a path's prefix, and so of the part of a path that is looked at
	MaxKeyBytes      = 1024    // bytes of a tenant's key
	MaxKeys          = 10_000  // keys of a tenant
	MaxSplitServices = 1000    // services that a route splits over
	MaxBodyBytes     = 1 << 20 // bytes of an item's body
)

// Route is a route, as it is followed.
type Route struct {
	Name          string
	Host          string            // in lower case, without a port
	Prefix        string            // of the path; begins and ends with a slash
	Mutating      bool              // mutating: at most one run for each try of a client
	Deadline      float64           // seconds that a request may be held at most
	LatencyTarget float64           // seconds within which an answer earns its full worth; Deadline where none is given
	Priority      int               // 0 is the highest
	MaxAttempts   int               // servers that one try of a client may be sent to; at least 1
	Public        bool              // no key is needed
	Service       string            // its service, where Split is empty
	Split         []WeightedService // its services; goes before Service
	Version       uint64
	Epoch         uint64
}

// WeightedService is a service with its part of a route.
type WeightedService struct {
	Service string
	Weight  float64 // of the sum of all weights
}

// Tenant is a tenant, as requests are admitted by it.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int     // goes before the route's
	Rate     float64 // requests a second over all ingresses; 0: no limit
	Burst    float64 // requests beyond that
	Version  uint64
	Epoch    uint64
}

// Service is a service, as its servers are called.
type Service struct {
	Name           string
	Health         string // path that its servers answer probes on; empty: none is known
	MaxConnections int    // connections that one of its servers takes from all callers together; 0: not told
	Version        uint64
}

// ClientLimits is what a client may send and how long it may take. 0: no bound is given.
type ClientLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   float64 // seconds
}

// routeKey is where a route stands: no two may stand at the same one.
type routeKey struct{ host, prefix string }

func (p routeKey) hash() uint64 { return mix(fold(step(fold(basis, p.host), 0xff), p.prefix)) }

func (r *Route) key() routeKey { return routeKey{r.Host, r.Prefix} }

// names calls for each mention of a service.
func (r *Route) names(each func(service string)) {
	if r.Service != "" {
		each(r.Service)
	}
	for _, s := range r.Split {
		each(s.Service)
	}
}

// takesPrecedenceOver tells which of two routes has a place that both claim, while news of the one that left it is
// still on its way.
func (r *Route) takesPrecedenceOver(o *Route) bool {
	return cmp.Or(cmp.Compare(o.Epoch, r.Epoch), cmp.Compare(o.Version, r.Version), cmp.Compare(r.Name, o.Name)) < 0
}

// takesPrecedenceOver tells which of two tenants has a key that both hold.
func (t *Tenant) takesPrecedenceOver(o *Tenant) bool {
	return cmp.Or(cmp.Compare(o.Epoch, t.Epoch), cmp.Compare(o.Version, t.Version), cmp.Compare(t.Name, o.Name)) < 0
}

// ParseRoute reads a route that is set. Unknown fields are passed over. Errors are short texts that begin with the
// field.
func ParseRoute(i Item) (Route, error) {
	r, err := open(i, Routes)
	if err != nil {
		return Route{}, err
	}
	host := r.text("authority", math.MaxInt)
	route := Route{Name: i.Key.Name, Host: HostOf(host), Prefix: r.text("pathPrefix", MaxPrefixBytes), Deadline: r.seconds("deadlineMs"),
		LatencyTarget: r.seconds("targetMs"), Priority: r.whole("priority", math.MinInt32), MaxAttempts: max(r.whole("maxTries", math.MinInt32), 1),
		Public: r.flag("public"), Service: r.text("backend", MaxNameBytes), Version: i.Version, Epoch: i.Epoch}
	if route.LatencyTarget == 0 {
		route.LatencyTarget = route.Deadline
	}
	r.must(route.Host != "", "authority", "empty")
	r.must(len(route.Host) <= MaxHostBytes, "authority", "too long")
	r.must(strings.HasPrefix(route.Prefix, "/"), "pathPrefix", "does not begin with a slash")
	r.must(strings.HasSuffix(route.Prefix, "/"), "pathPrefix", "does not end with a slash")
	r.must(route.Deadline > 0, "deadlineMs", "must be above 0")
	switch kind := r.text("routeKind", MaxNameBytes); kind {
	case "idempotent":
	case "mutating":
		route.Mutating = true
	default:
		r.must(false, "routeKind", fmt.Sprintf("%.40q is neither idempotent nor mutating", kind))
	}
	shares, given := r.list("weighted", MaxSplitServices)
	r.must(given || route.Service != "", "backend", "missing, and so is weighted")
	var sum float64
	for n, v := range shares {
		s := r.within("weighted", n, v)
		share := WeightedService{Service: s.text("backend", MaxNameBytes), Weight: s.amount("share")}
		s.must(share.Service != "", "backend", "missing")
		sum += share.Weight
		route.Split = append(route.Split, share)
		if r.err == nil {
			r.err = s.err
		}
	}
	r.must(!given || sum > 0, "weighted", "the sum of its shares must be above 0")
	r.must(!math.IsInf(sum, 0), "weighted", "the sum of its shares is too large")
	return route, r.err
}

// ParseTenant reads a tenant that is set, as ParseRoute reads a route.
func ParseTenant(i Item) (Tenant, error) {
	r, err := open(i, Tenants)
	if err != nil {
		return Tenant{}, err
	}
	tenant := Tenant{Name: i.Key.Name, Priority: r.whole("priority", math.MinInt32), Rate: r.amount("ratePerS"), Burst: r.amount("burst"),
		Version: i.Version, Epoch: i.Epoch}
	keys, _ := r.list("apiKeys", MaxKeys)
	if len(keys) > 0 {
		tenant.Keys = make([]string, 0, len(keys))
	}
	for n, v := range keys {
		key, ok := v.(string)
		r.must(ok && len(key) <= MaxKeyBytes, fmt.Sprintf("apiKeys.%d", n), "not a text, or too long")
		tenant.Keys = append(tenant.Keys, key)
	}
	return tenant, r.err
}

// ParseService reads a service that is set, as ParseRoute reads a route.
func ParseService(i Item) (Service, error) {
	r, err := open(i, Services)
	if err != nil {
		return Service{}, err
	}
	s := Service{Name: i.Key.Name, Health: r.text("healthPath", MaxPrefixBytes), MaxConnections: r.whole("maxConns", 0), Version: i.Version}
	r.must(s.Health == "" || s.Health[0] == '/' && !strings.ContainsFunc(s.Health, func(c rune) bool { return c <= ' ' || c >= 0x7f }),
		"healthPath", "not a path") // probes carry it as it is
	return s, r.err
}

// ParseClientLimits reads the limits, as ParseRoute reads a route.
func ParseClientLimits(i Item) (ClientLimits, error) {
	r, err := open(i, Limits)
	if err != nil {
		return ClientLimits{}, err
	}
	b := ClientLimits{HeaderBytes: r.whole("maxHeaderBytes", 0), BodyBytes: r.whole("maxBodyBytes", 0), HeaderTime: r.seconds("headerTimeoutMs"),
		IdleTime: r.seconds("idleTimeoutMs")}
	return b, r.err
}

// HostOf is the host of an authority or of a Host header, as routes are compared by it: in lower case, without the
// port.
func HostOf(authority string) string {
	if i := strings.LastIndexByte(authority, ':'); i > strings.LastIndexByte(authority, ']') {
		authority = authority[:i]
	}
	return strings.ToLower(authority)
}

// checkName tells what is wrong with the name of an item. Control characters are: the names of tenants go into headers.
func checkName(k Key) error {
	switch {
	case k.Kind == Limits && k.Name != "":
		return errors.New("the limits have no name")
	case k.Kind == Limits:
		return nil
	case k.Kind < Routes || k.Kind > Limits:
		return errors.New("unknown kind")
	case k.Name == "" || len(k.Name) > MaxNameBytes:
		return errors.New("the name is empty or too long")
	case !utf8.ValidString(k.Name) || strings.ContainsFunc(k.Name, func(c rune) bool { return c < ' ' || c == 0x7f }):
		return errors.New("the name has characters that no name may have")
	}
	return nil
}

// reader reads fields of an object by their paths, and keeps the first thing that is wrong. A field that is null is
// not given.
type reader struct {
	at   string // path of the object, with a point behind it; empty at the top
	from map[string]any
	err  error
}

func open(i Item, kind Kind) (*reader, error) {
	switch err := checkName(i.Key); {
	case err != nil:
		return nil, err
	case i.Key.Kind != kind || i.Deleted:
		return nil, errors.New("another kind, or dropped")
	case len(i.Body) > MaxBodyBytes:
		return nil, errors.New("too long")
	}
	t := jsonReader{b: i.Body}
	v, err := t.value(0)
	if err == nil {
		err = t.end()
	}
	if err != nil {
		return nil, err
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("not an object")
	}
	return &reader{from: m}, nil
}

func (r *reader) must(ok bool, path, what string) {
	if !ok && r.err == nil {
		r.err = errors.New(r.at + path + ": " + what)
	}
}

// within is the reader of the object that is the nth of a list.
func (r *reader) within(path string, n int, v any) *reader {
	m, ok := v.(map[string]any)
	in := &reader{at: fmt.Sprintf("%s%s.%d.", r.at, path, n), from: m}
	r.must(ok, fmt.Sprintf("%s.%d", path, n), "not an object")
	return in
}

func (r *reader) text(path string, most int) string {
	v := r.from[path]
	s, ok := v.(string)
	r.must(ok || v == nil, path, "not a text")
	r.must(len(s) <= most, path, "too long")
	return s
}

func (r *reader) flag(path string) bool {
	v := r.from[path]
	b, ok := v.(bool)
	r.must(ok || v == nil, path, "neither true nor false")
	return b
}

func (r *reader) list(path string, most int) ([]any, bool) {
	v := r.from[path]
	l, ok := v.([]any)
	r.must(ok || v == nil, path, "not a list")
	r.must(len(l) <= most, path, "too long")
	return l, ok
}

func (r *reader) number(path string, least float64) float64 {
	v := r.from[path]
	f, ok := v.(float64)
	r.must(ok || v == nil, path, "not a number")
	r.must(!math.IsInf(f, 0), path, "too large")
	r.must(f >= least, path, "below 0")
	return f
}

// amount is a number that is not below 0; a fraction may be part of it.
func (r *reader) amount(path string) float64 { return r.number(path, 0) }

// seconds is a span that is given in milliseconds; beyond 30 years it is 30 years.
func (r *reader) seconds(path string) float64 { return min(r.number(path, 0)/1000, 1e9) }

// whole is a number without its fraction, within 32 bits.
func (r *reader) whole(path string, least float64) int {
	return int(min(max(r.number(path, least), math.MinInt32), math.MaxInt32))
}
