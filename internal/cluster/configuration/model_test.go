package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// model is a slow, plain model of a snapshot. It keeps all items in a map, and finds everything else by iterating over
// them.
type model map[Key]Item

func (m model) merge(items []Item) {
	for _, i := range items {
		if old, ok := m[i.Key]; !ok || i.Version > old.Version {
			m[i.Key] = i
		}
	}
}

// modelHistory is a plain model of the histories: the highest superseded versions of each key, the highest first.
type modelHistory map[Key][]Item

func (h modelHistory) has(i Item) (Item, bool) {
	n := slices.IndexFunc(h[i.Key], func(o Item) bool { return o.Version == i.Version })
	if n < 0 {
		return Item{}, false
	}
	return h[i.Key][n], true
}

// with adds one version, and reports whether it is new and high enough to be kept.
func (h modelHistory) with(i Item) bool {
	if _, ok := h.has(i); ok {
		return false
	}
	all := append(slices.Clone(h[i.Key]), i)
	slices.SortFunc(all, func(a, b Item) int { return int(b.Version) - int(a.Version) })
	h[i.Key] = all[:min(len(all), maxHistory)]
	_, kept := h.has(i)
	return kept
}

func (m model) routes() (list []*Route) {
	for _, i := range m {
		if r, err := ParseRoute(i); err == nil {
			list = append(list, &r)
		}
	}
	return list
}

func (m model) tenants() (list []*Tenant) {
	for _, i := range m {
		if x, err := ParseTenant(i); err == nil {
			list = append(list, &x)
		}
	}
	return list
}

// check returns the status of a call. The model merges the items if the status is 200.
func (m model) check(items []Item, history modelHistory) int {
	for _, i := range items {
		if _, err := parseItem(i); err != nil {
			return 400
		}
	}
	next, superseded, late := maps.Clone(m), maps.Clone(history), []Item(nil)
	for _, i := range items {
		old, ok := m[i.Key]
		switch {
		case !ok:
		case old.Version == i.Version:
			if !old.SameContent(i) {
				return 409
			}
		case old.Version < i.Version:
			superseded.with(old)
		default:
			if superseded.with(i) {
				late = append(late, i)
			}
			if was, ok := superseded.has(i); ok && !was.SameContent(i) {
				return 409
			}
		}
	}
	next.merge(items)
	for _, i := range late {
		r, err := ParseRoute(i)
		if err != nil {
			continue
		}
		for _, o := range next.routes() {
			if o.Name != r.Name && o.key() == r.key() {
				return 400
			}
		}
		if s, ok := next[Key{Services, r.Service}]; !ok || s.Deleted {
			return 400
		}
	}
	seen := map[routeKey]bool{}
	for _, r := range next.routes() {
		if seen[r.key()] {
			return 400
		}
		seen[r.key()] = true
		for _, s := range append([]WeightedService{{r.Service, 1}}, r.Split...) {
			if i, ok := next[Key{Services, s.Service}]; s.Service != "" && (!ok || i.Deleted) {
				return 400
			}
		}
	}
	maps.Copy(m, next)
	maps.Copy(history, superseded)
	return 200
}

func (m model) render() string {
	out := map[string]any{
		"routes":    map[string]json.RawMessage{},
		"customers": map[string]json.RawMessage{},
		"services":  map[string]json.RawMessage{},
	}
	for k, i := range m {
		if _, err := parseItem(i); err != nil || i.Deleted {
			continue
		}
		if k.Kind == Limits {
			out["limits"] = json.RawMessage(i.Body)
		} else {
			out[k.Kind.String()].(map[string]json.RawMessage)[k.Name] = i.Body
		}
	}
	b, _ := json.Marshal(out)
	return string(b)
}

// Hosts, path prefixes and API keys that random routes and tenants claim.
var (
	hosts = []string{"a", "b", "c"}
	paths = []string{"/", "/x/", "/x/y/", "/x/y/z/", "/q/"}
	keys  = []string{"k0", "k1", "k2", "k3", "k4"}
)

// route returns the name of the route of a request.
func (m model) route(host, path string) string {
	best := &Route{}
	for _, r := range m.routes() {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (len(r.Prefix) > len(best.Prefix) ||
			r.Prefix == best.Prefix && r.takesPrecedenceOver(best)) {
			best = r
		}
	}
	return best.Name
}

func (m model) tenant(key string) string {
	var best *Tenant
	for _, x := range m.tenants() {
		if slices.Contains(x.Keys, key) && (best == nil || x.takesPrecedenceOver(best)) {
			best = x
		}
	}
	if best == nil {
		return ""
	}
	return best.Name
}

// randomItem returns a random item from a small set, with a version above the given one, so that items often conflict.
// Most items of the same version have the same content.
func randomItem(r *rand.Rand, above int) Item {
	i := Item{Key: Key{Kind: Routes + Kind(r.IntN(4))}, Version: uint64(above + 1 + r.IntN(12))}
	content := rand.New(rand.NewPCG(i.Version, uint64(r.IntN(4)/3)))
	if i.Key.Kind != Limits {
		i.Key.Name = fmt.Sprint("n", r.IntN(6))
		i.Deleted = content.IntN(4) == 0
	}
	if i.Deleted {
		return i
	}
	service := fmt.Sprint("n", content.IntN(6))
	switch i.Key.Kind {
	case Routes:
		i.Body = fmt.Appendf(nil, `{"authority":"%s","pathPrefix":"%s",`+
			`"routeKind":"mutating","deadlineMs":%d,"backend":"%s"}`,
			hosts[content.IntN(3)], paths[(int(i.Key.Name[1])+content.IntN(2))%5], min(content.IntN(50), 1), service)
	case Tenants:
		i.Body = fmt.Appendf(nil, `{"apiKeys":["%s","%s"],"burst":%d}`,
			keys[content.IntN(5)], keys[content.IntN(5)], content.IntN(9))
	case Services:
		i.Body = fmt.Appendf(nil, `{"maxConns":%d}`, 1+content.IntN(99))
	case Limits:
		i.Body = fmt.Appendf(nil, `{"maxBodyBytes":%d}`, 1+content.IntN(99))
	}
	if content.IntN(30) == 0 {
		i.Body = []byte(`{"torn`)
	}
	return i
}

// requireMatch fails the test if a snapshot or a routing table differs from the model.
func requireMatch(t *testing.T, m model, b *Snapshot, table *RoutingTable) {
	t.Helper()
	is := is.New(t)
	var got, want any
	is.NoErr(json.Unmarshal(b.RenderJSON(), &got))
	is.NoErr(json.Unmarshal([]byte(m.render()), &want))
	is.Equal(got, want)
	is.Equal(b.Len(), len(m))
	for i := range b.All() {
		is.True(i.SameContent(m[i.Key]))
	}
	is.Equal(table.RouteCount(), len(m.routes()))
	is.Equal(table.TenantCount(), len(m.tenants()))
	for _, host := range hosts {
		for _, path := range paths {
			found := table.Route(host, path+"w")
			if found == nil {
				found = &Route{}
			}
			is.Equal(found.Name, m.route(host, path+"w"))
		}
	}
	for _, key := range keys {
		found := table.Tenant(key)
		if found == nil {
			found = &Tenant{}
		}
		is.Equal(found.Name, m.tenant(key))
	}
}
