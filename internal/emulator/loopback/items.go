package loopback

import (
	"encoding/json"
	"fmt"
	"slices"

	"mulleinrouter/internal/emulator/invariants"
)

// Sections of the configuration, with the names of PROTOCOL.md.
const (
	routesSection   = "routes"
	tenantsSection  = "customers"
	servicesSection = "services"
	limitsSection   = "limits"
)

const (
	healthPath = "/health"

	idempotentKind = "idempotent"
	mutatingKind   = "mutating" // kind of routes whose requests are executed at most once
)

// item is an item of the configuration in a call of the operator.
type item struct {
	section string
	name    string   // empty in limitsSection, which has one item
	body    itemBody // nil: the item is removed
	version uint64
}

// itemBody is the body of an item, which is one of the types below. Their JSON keys are in alphabetical order.
type itemBody interface {
	withGeneration(generation string) itemBody
}

type routeBody struct {
	Authority  string            `json:"authority"`
	Backend    string            `json:"backend,omitempty"`
	DeadlineMs int64             `json:"deadlineMs"`
	Generation string            `json:"generation,omitempty"`
	MaxTries   int               `json:"maxTries"`
	PathPrefix string            `json:"pathPrefix"`
	Priority   int               `json:"priority"`
	Public     bool              `json:"public"`
	RouteKind  string            `json:"routeKind"`
	TargetMs   int64             `json:"targetMs"`
	Weighted   []weightedService `json:"weighted,omitempty"` // used instead of Backend to split requests
}

type weightedService struct {
	Backend string `json:"backend"`
	Share   int    `json:"share"` // percent
}

type tenantBody struct {
	APIKeys    []string `json:"apiKeys"`
	Burst      float64  `json:"burst"`
	Generation string   `json:"generation,omitempty"`
	Priority   int      `json:"priority"`
	RatePerS   float64  `json:"ratePerS"`
}

type serviceBody struct {
	Generation string `json:"generation,omitempty"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLSMode    bool   `json:"tlsMode"`
}

type limitsBody struct {
	Generation      string `json:"generation,omitempty"`
	HeaderTimeoutMs int    `json:"headerTimeoutMs"`
	IdleTimeoutMs   int    `json:"idleTimeoutMs"`
	MaxBodyBytes    int    `json:"maxBodyBytes"`
	MaxHeaderBytes  int    `json:"maxHeaderBytes"`
}

func (rb routeBody) withGeneration(generation string) itemBody {
	rb.Generation = generation
	return rb
}

func (tb tenantBody) withGeneration(generation string) itemBody {
	tb.Generation = generation
	return tb
}

func (sb serviceBody) withGeneration(generation string) itemBody {
	sb.Generation = generation
	return sb
}

func (lb limitsBody) withGeneration(generation string) itemBody {
	lb.Generation = generation
	return lb
}

// key returns the name of an item that is unique over all sections.
func (i item) key() string {
	if i.section == limitsSection {
		return limitsSection + "/"
	}
	return i.section + "/" + i.name
}

// withVersion returns the item with a version, which is also set in its body.
func (i item) withVersion(version uint64) item {
	i.version = version
	if i.body != nil {
		i.body = i.body.withGeneration(formatVersion(version))
	}
	return i
}

func formatVersion(version uint64) string { return fmt.Sprintf("%08x", version) }

// body returns the body of the route when its requests go to the given service.
func (r *route) body(service string) routeBody {
	b := routeBody{
		Authority:  r.host,
		Backend:    service,
		DeadlineMs: r.class.deadline.Milliseconds(),
		MaxTries:   2,
		PathPrefix: r.prefix,
		Priority:   1,
		Public:     r.public,
		RouteKind:  idempotentKind,
		TargetMs:   r.class.latencyTarget.Milliseconds(),
	}
	if r.class.atMostOnce {
		b.RouteKind = mutatingKind
	}
	return b
}

func (r *route) item(service string) item { return r.itemOf(r.body(service)) }

func (r *route) itemOf(b routeBody) item {
	return item{section: routesSection, name: r.name, body: b}
}

// item returns the item of a tenant with its current keys.
func (t *tenant) item() item {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.itemWithKeys(t.keys)
}

func (t *tenant) itemWithKeys(keys []string) item {
	return item{
		section: tenantsSection,
		name:    t.name,
		body:    tenantBody{APIKeys: slices.Clone(keys), RatePerS: t.rate, Burst: t.burst},
	}
}

// initialItems returns the items of the operator's first call.
func (cl *cluster) initialItems() (items []item) {
	for name := range cl.services {
		items = append(items, item{
			section: servicesSection,
			name:    name,
			body:    serviceBody{HealthPath: healthPath, MaxConns: maxServerConns, Protocol: "h1"},
		})
	}
	for _, c := range cl.classes {
		for _, r := range cl.live[c] {
			items = append(items, r.item(c.service))
		}
	}
	for _, t := range cl.tenants {
		items = append(items, t.item())
	}
	return append(items, item{
		section: limitsSection,
		body: limitsBody{
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
			MaxBodyBytes:    64 << 20,
			MaxHeaderBytes:  16384,
		},
	})
}

// configPatch is the body of PATCH /config.
type configPatch struct {
	Remove map[string][]removedItem `json:"remove"` // by section
	Upsert upsertedItems            `json:"upsert"`
}

type removedItem struct {
	Generation string `json:"generation"`
	Name       string `json:"name"`
}

type upsertedItems struct {
	Tenants  map[string]itemBody `json:"customers,omitempty"` // by name, as in all maps here
	Limits   itemBody            `json:"limits,omitempty"`
	Routes   map[string]itemBody `json:"routes,omitempty"`
	Services map[string]itemBody `json:"services,omitempty"`
}

func (u *upsertedItems) add(i item) {
	switch i.section {
	case tenantsSection:
		u.Tenants[i.name] = i.body
	case limitsSection:
		u.Limits = i.body
	case routesSection:
		u.Routes[i.name] = i.body
	case servicesSection:
		u.Services[i.name] = i.body
	}
}

// encodePatch returns the body of a call that submits items.
func encodePatch(items []item) []byte {
	patch := configPatch{
		Remove: map[string][]removedItem{routesSection: {}},
		Upsert: upsertedItems{
			Tenants:  map[string]itemBody{},
			Routes:   map[string]itemBody{},
			Services: map[string]itemBody{},
		},
	}
	for _, i := range items {
		if i.body != nil {
			patch.Upsert.add(i)
			continue
		}
		removed := removedItem{Name: i.name, Generation: formatVersion(i.version)}
		patch.Remove[i.section] = append(patch.Remove[i.section], removed)
	}
	text, err := json.Marshal(patch)
	if err != nil {
		panic(err) // cannot happen: all bodies can be encoded
	}
	return text
}

// decodeItems decodes the answer to GET /config, and returns the bodies by the key of their item.
func decodeItems(text []byte) (map[string]any, error) {
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	items := map[string]any{}
	for section, content := range document {
		if section == limitsSection {
			items[limitsSection+"/"] = content
			continue
		}
		named, ok := content.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("section %s is not a JSON object", section)
		}
		for name, body := range named {
			items[section+"/"+name] = body
		}
	}
	return items, nil
}

// recordedVersion returns the record of an item for package invariants.
func recordedVersion(i item, valid bool, at invariants.Seconds) *invariants.Version {
	v := &invariants.Version{
		Item:    i.key(),
		Number:  i.version,
		Dropped: i.body == nil,
		Valid:   valid,
		Sent:    at,
		Acked:   invariants.Never,
	}
	if i.body == nil {
		return v
	}
	text, _ := json.Marshal(i.body)
	json.Unmarshal(text, &v.Body)
	switch body := i.body.(type) {
	case routeBody:
		v.Route = recordedRoute(body)
	case tenantBody:
		v.Tenant = &invariants.Tenant{
			Name:  i.name,
			Keys:  slices.Clone(body.APIKeys),
			Rate:  body.RatePerS,
			Burst: body.Burst,
		}
	}
	return v
}

func recordedRoute(body routeBody) *invariants.Route {
	r := &invariants.Route{Host: body.Authority, Prefix: body.PathPrefix, Public: body.Public}
	if body.Backend != "" {
		r.Services = []string{body.Backend}
	}
	for _, part := range body.Weighted {
		r.Services = append(r.Services, part.Backend)
	}
	return r
}
