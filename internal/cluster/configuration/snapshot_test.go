package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// crowded is a key whose hashes collide in whole or in their low bits.
type crowded int

func (c crowded) hash() uint64 { return uint64(c%7) << 60 }

func TestTrieIsAMapThatNeverChanges(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	type snapshot struct {
		trie trie[crowded, int]
		want map[crowded]int
	}
	var kept []snapshot
	var now trie[crowded, int]
	want, e := map[crowded]int{}, new(edit)
	for n := range 4000 {
		if k := crowded(r.IntN(60)); r.IntN(2) == 0 {
			now, want[k] = now.with(e, k, n), n
		} else {
			now = now.without(e, k)
			delete(want, k)
		}
		if n%40 == 0 { // an edit ends once what it made is seen
			kept = append(kept, snapshot{now, maps.Clone(want)})
			e = new(edit)
		}
	}
	for _, s := range kept {
		got := map[crowded]int{}
		s.trie.all(func(k crowded, v int) bool { got[k] = v; return true })
		is.True(maps.Equal(got, s.want))
		is.Equal(s.trie.size, len(s.want))
		for k := range crowded(60) {
			v, ok := s.trie.get(k)
			is.Equal(v, s.want[k])
			_, stands := s.want[k]
			is.Equal(ok, stands)
		}
	}
}

const sample = ` {"upsert" : {"routes":{"r-1":{"authority":"A.example:80","pathPrefix":"/a/","routeKind":"idempotent","deadlineMs":1000.5, "targetMs":400,
	"priority":2,"weighted":[{"backend":"s1","share":90},{"backend":"s2","share":0.5}],"maxTries":2,"public":true,"x":[1e2,-0, null,"\u00e9\n é \"{ "],"generation":"0000000a"}},
	"customers":{"t\"1":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":94.5,"burst":9,"generation":"00000007"}},
	"services":{"s1":{"healthPath":"/health","maxConns":130,"generation":"00000007"},"s2":{"generation":"00000008"}},
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"generation":"0000FFff"}},
	"remove":{"routes":[{"name":"r-old","generation":"00000009","why":"old"}],"customers":[],"services":[]}}
`

func TestReadsBackWhatWasSent(t *testing.T) {
	is := is.New(t)
	items, err := ReadPatch([]byte(sample))
	is.NoErr(err)
	changed, book, err := (*Snapshot)(nil).Validate(items)
	is.NoErr(err)
	is.Equal(len(changed), 6)
	is.Equal(book.Len(), 6)
	var sent struct{ Upsert json.RawMessage }
	is.NoErr(json.Unmarshal([]byte(sample), &sent))
	var want bytes.Buffer
	is.NoErr(json.Compact(&want, sent.Upsert))
	is.Equal(string(book.RenderJSON()), want.String())
	is.Equal(string((*Snapshot)(nil).RenderJSON()), `{"routes":{},"customers":{},"services":{}}`)

	table := NewRoutingTable().With(book, changed)
	route := table.Route("a.EXAMPLE:8388", "/a/b")
	is.Equal(*route, Route{Name: "r-1", Host: "a.example", Prefix: "/a/", Deadline: 1.0005, LatencyTarget: 0.4, Priority: 2, MaxAttempts: 2, Public: true,
		Split: []WeightedService{{"s1", 90}, {"s2", 0.5}}, Version: 10})
	is.Equal(*table.Tenant("k2"), Tenant{Name: `t"1`, Keys: []string{"k1", "k2"}, Priority: 1, Rate: 94.5, Burst: 9, Version: 7})
	is.Equal(*table.Service("s1"), Service{Name: "s1", Health: "/health", MaxConnections: 130, Version: 7})
	is.Equal(table.ClientLimits(), ClientLimits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTime: 3, IdleTime: 15})
	is.Equal(table.RouteByName("r-1"), route)
	is.Equal([]int{table.RouteCount(), table.TenantCount(), len(slices.Collect(table.Services()))}, []int{1, 1, 2})
	for _, path := range []string{"", "/", "/a", "a/", "/b/a/"} {
		is.Equal(table.Route("a.example", path), nil)
	}
	is.Equal(NewRoutingTable().Route("a.example", "/a/"), nil)
	is.Equal(testing.AllocsPerRun(10, func() { table.Route("a.example:80", "/a/b/c/d"); table.Tenant("k1") }), 0.0)
}

// statusOf is the status that a call gets on top of a snapshot.
func statusOf(b *Snapshot, body string) (int, string) {
	items, err := ReadPatch([]byte(body))
	if err == nil {
		_, _, err = b.Validate(items)
	}
	if err == nil {
		return 200, ""
	}
	return err.(*RejectionError).Status, err.(*RejectionError).Text
}

func TestEachKindOfInvalidCallIsRefused(t *testing.T) {
	is := is.New(t)
	first, err := ReadPatch([]byte(sample))
	is.NoErr(err)
	_, book, err := (*Snapshot)(nil).Validate(first)
	is.NoErr(err)
	route := func(old, new string) string {
		r := `"authority":"b.example","pathPrefix":"/b/","routeKind":"mutating","deadlineMs":1,"backend":"s1","generation":"0000000b"`
		return `{"upsert":{"routes":{"r-2":{` + strings.Replace(r, old, new, 1) + `}}}}`
	}
	up := func(sections string) string { return `{"upsert":{` + sections + `}}` }
	for _, c := range []struct {
		body   string
		status int
		text   string // part of it
	}{
		{route("", ""), 200, ""},
		{route(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":1},{"backend":"s2","share":0}]`), 200, ""},
		{`{}`, 200, ""},
		{sample, 200, ""},
		{up(`"customers":{"t\"1":{"apiKeys":["other"],"generation":"00000006"}}`), 200, ""}, // an older one
		{`{"upsert":{"services":{"s3":{"generation":"00000007"}}},"remove":{"services":[{"name":"s3","generation":"00000009"}]}}`, 200, ""},
		{up(`"customers":{"t\"1":{"apiKeys":["other"],"generation":"00000007"}}`), 409, "says something else"},
		{`{"remove":{"customers":[{"name":"t\"1","generation":"00000007"}]}}`, 409, "says something else"},
		{route(`s1`, `nosuch`), 400, `routes "r-2": unknown service "nosuch"`},
		{route(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":1},{"backend":"nosuch","share":0}]`), 400, `unknown service "nosuch"`},
		{route(`"backend":"s1"`, `"backend":"nosuch","weighted":[{"backend":"s1","share":1}]`), 400, `unknown service "nosuch"`},
		{`{"remove":{"services":[{"name":"s2","generation":"00000009"}]}}`, 400, "routes name it"},
		{route(`"b.example","pathPrefix":"/b/"`, `"A.example","pathPrefix":"/a/"`), 400, "the same host and prefix"},
		{route(`"deadlineMs":1,`, ``), 400, "deadlineMs: must be above 0"},
		{route(`"deadlineMs":1`, `"deadlineMs":0`), 400, "deadlineMs"},
		{route(`"deadlineMs":1`, `"deadlineMs":-5`), 400, "deadlineMs"},
		{route(`"deadlineMs":1`, `"deadlineMs":"1"`), 400, "deadlineMs: not a number"},
		{route(`"deadlineMs":1`, `"deadlineMs":1e999`), 400, "deadlineMs: too large"},
		{strings.Replace(route(`"deadlineMs":1`, `"deadlineMs":0`), "0000000b", "00000000", 1), 400, "deadlineMs"},
		{route(`"/b/"`, `"b/"`), 400, "does not begin with a slash"},
		{route(`"/b/"`, `"/b"`), 400, "does not end with a slash"},
		{route(`"/b/"`, `""`), 400, "pathPrefix"},
		{route(`"b.example"`, `""`), 400, "authority: empty"},
		{route(`"b.example"`, `"`+strings.Repeat("h", 300)+`"`), 400, "authority: too long"},
		{route(`mutating`, `other`), 400, "routeKind"},
		{route(`"routeKind":"mutating",`, ``), 400, "routeKind"},
		{route(`"backend":"s1",`, ``), 400, "backend: missing"},
		{route(`"backend":"s1"`, `"weighted":[]`), 400, "weighted"},
		{route(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":0}]`), 400, "above 0"},
		{route(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":3},{"backend":"s2","share":-1}]`), 400, "weighted.1.share: below 0"},
		{route(`"backend":"s1"`, `"weighted":[{"share":3}]`), 400, "weighted.0.backend: missing"},
		{route(`"backend":"s1"`, `"weighted":[3]`), 400, "weighted.0: not an object"},
		{route(`"backend":"s1"`, `"backend":"s1","public":1`), 400, "public"},
		{route(`0000000b`, `b`), 400, "generation"},
		{route(`"0000000b"`, `11`), 400, "generation"},
		{route(`,"generation":"0000000b"`, ``), 400, "generation"},
		{route(`"deadlineMs":1`, `"deadlineMs":1,"deadlineMs":2`), 400, "given twice"},
		{up(`"customers":{"t":{"apiKeys":"k","generation":"00000007"}}`), 400, "apiKeys: not a list"},
		{up(`"customers":{"t":{"apiKeys":[7],"generation":"00000007"}}`), 400, "apiKeys.0"},
		{up(`"customers":{"t\r\nX: y":{"generation":"00000007"}}`), 400, "no name may have"},
		{up(`"services":{"":{"generation":"00000007"}}`), 400, "name"},
		{up(`"services":{"s":{"healthPath":"/a b","generation":"00000007"}}`), 400, "healthPath"},
		{up(`"services":{"s":{"generation":"00000007"},"s":{"maxConns":1,"generation":"00000007"}}`), 400, "given twice"},
		{up(`"services":{"s":{"generation":"00000007"},"s":{"maxConns":1,"generation":"00000008"}}`), 400, "given twice"},
		{up(`"services":{"s":{"generation":"00000007"},"s":{"generation":"00000007"}}`), 200, ""},
		{`{"upsert":{"services":{"s":{"generation":"00000007"}}},"remove":{"services":[{"name":"s","generation":"00000007"}]}}`, 400, "given twice"},
		{up(`"limits":{"maxBodyBytes":-1,"generation":"0001ffff"}`), 400, "maxBodyBytes: below 0"},
		{up(`"services":[]`), 400, "no object"},
		{up(`"services":null`), 400, "no object"},
		{up(`"others":{}`), 400, "unknown"},
		{`{"remove":{"limits":[]}}`, 400, "unknown"},
		{`{"remove":{"routes":[{"generation":"00000007"}]}}`, 400, "no name"},
		{`{"remove":{"routes":{}}}`, 400, "no list"},
		{`{"other":{}}`, 400, "unknown"},
		{`{"upsert":{},"upsert":{}}`, 400, "twice"},
		{`{} {}`, 400, "more than one value"},
		{``, 400, "no object"}, {`[]`, 400, "no object"}, {`{"upsert":{}`, 400, "no comma"}, {"{\"upsert\":{\"\xff\":{}}}", 400, "UTF-8"},
	} {
		status, text := statusOf(book, c.body)
		if status != c.status || !strings.Contains(text, c.text) || strings.Contains(text, "\n") {
			t.Errorf("%s\n\t-> %d %q, want %d %q", c.body, status, text, c.status, c.text)
		}
	}
}

// The standard library is the slow model of the reader: what either takes, the other does too, and reads the same.
func TestMutatedBodiesAreReadAsTheStandardLibraryDoes(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	pieces := []string{`"`, `\`, `{`, `}`, `[`, `]`, `,`, `:`, ` `, "\n", `0`, `-`, `.`, `e`, `true`, `null`, `\ud83d\ude00`, `\u12`, `\ud800`, "\x00", "é", `1e5`}
	same := 0
	for range 4_000 {
		b := []byte(sample)
		for range 1 + r.IntN(3) {
			at, cut := r.IntN(len(b)), r.IntN(4)
			b = slices.Concat(b[:at], []byte(pieces[r.IntN(len(pieces))]), b[min(len(b), at+cut):])
		}
		statusOf(nil, string(b)) // it must not panic
		read := jsonReader{b: b}
		got, err := read.value(0)
		if err == nil {
			err = read.end()
		}
		var want any
		if wrong := json.Unmarshal(b, &want); json.Valid(b) != (err == nil) {
			if err == nil || !strings.Contains(err.Error(), "twice") && !strings.Contains(err.Error(), "UTF-8") && !strings.Contains(err.Error(), "deep") {
				t.Fatalf("%s\n\tstandard library: %v, here: %v", b, wrong, err)
			}
		} else if wrong == nil { // out of range, a number is well only here
			var compact bytes.Buffer
			_ = json.Compact(&compact, b)
			if x, y := fmt.Sprint(got), fmt.Sprint(want); x != y || !bytes.Equal(compacted(b), compact.Bytes()) {
				t.Fatalf("%s\n\tstandard library: %s\n\there: %s", b, y, x)
			}
			same++
		}
	}
	if same < 100 {
		t.Fatalf("only %d bodies were valid", same)
	}
}

// model is the slow plain model of a snapshot: all items in a map, everything else found by going through them.
type model map[Key]Item

func (m model) merge(items []Item) {
	for _, i := range items {
		if old, ok := m[i.Key]; !ok || i.Version > old.Version {
			m[i.Key] = i
		}
	}
}

// gone is the plain model of what is overtaken: of each name the highest versions, the highest first.
type gone map[Key][]Item

func (g gone) has(i Item) (Item, bool) {
	n := slices.IndexFunc(g[i.Key], func(o Item) bool { return o.Version == i.Version })
	if n < 0 {
		return Item{}, false
	}
	return g[i.Key][n], true
}

// with notes one more, and tells whether it is new.
func (g gone) with(i Item) bool {
	if _, ok := g.has(i); ok {
		return false
	}
	all := append(slices.Clone(g[i.Key]), i)
	slices.SortFunc(all, func(a, b Item) int { return int(b.Version) - int(a.Version) })
	g[i.Key] = all[:min(len(all), maxHistory)]
	_, kept := g.has(i)
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

// check is the status of a call; the model holds it afterwards only where that is 200.
func (m model) check(items []Item, past gone) int {
	for _, i := range items {
		if _, err := readItem(i); err != nil {
			return 400
		}
	}
	next, left, late := maps.Clone(m), maps.Clone(past), []Item(nil)
	for _, i := range items {
		old, ok := m[i.Key]
		switch {
		case !ok:
		case old.Version == i.Version:
			if !old.SameContent(i) {
				return 409
			}
		case old.Version < i.Version:
			left.with(old)
		default:
			if left.with(i) {
				late = append(late, i)
			}
			if was, ok := left.has(i); ok && !was.SameContent(i) {
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
	maps.Copy(past, left)
	return 200
}

func (m model) render() string {
	out := map[string]any{"routes": map[string]json.RawMessage{}, "customers": map[string]json.RawMessage{}, "services": map[string]json.RawMessage{}}
	for k, i := range m {
		if _, err := readItem(i); err != nil || i.Deleted {
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

var hosts, paths, keys = []string{"a", "b", "c"}, []string{"/", "/x/", "/x/y/", "/x/y/z/", "/q/"}, []string{"k0", "k1", "k2", "k3", "k4"}

func (m model) route(host, path string) string {
	best := &Route{}
	for _, r := range m.routes() {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (len(r.Prefix) > len(best.Prefix) || r.Prefix == best.Prefix && r.takesPrecedenceOver(best)) {
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

// draw draws an item out of a small world, so that items clash often. One version of an item mostly says one thing.
func draw(r *rand.Rand, above int) Item {
	i := Item{Key: Key{Kind: Routes + Kind(r.IntN(4))}, Version: uint64(above + 1 + r.IntN(12))}
	says := rand.New(rand.NewPCG(i.Version, uint64(r.IntN(4)/3)))
	if i.Key.Kind != Limits {
		i.Key.Name = fmt.Sprint("n", r.IntN(6))
		i.Deleted = says.IntN(4) == 0
	}
	if i.Deleted {
		return i
	}
	service := fmt.Sprint("n", says.IntN(6))
	switch i.Key.Kind {
	case Routes:
		i.Body = fmt.Appendf(nil, `{"authority":"%s","pathPrefix":"%s","routeKind":"mutating","deadlineMs":%d,"backend":"%s"}`,
			hosts[says.IntN(3)], paths[(int(i.Key.Name[1])+says.IntN(2))%5], min(says.IntN(50), 1), service)
	case Tenants:
		i.Body = fmt.Appendf(nil, `{"apiKeys":["%s","%s"],"burst":%d}`, keys[says.IntN(5)], keys[says.IntN(5)], says.IntN(9))
	case Services:
		i.Body = fmt.Appendf(nil, `{"maxConns":%d}`, 1+says.IntN(99))
	case Limits:
		i.Body = fmt.Appendf(nil, `{"maxBodyBytes":%d}`, 1+says.IntN(99))
	}
	if says.IntN(30) == 0 {
		i.Body = []byte(`{"torn`)
	}
	return i
}

func agree(t *testing.T, m model, b *Snapshot, table *RoutingTable) {
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

func TestBookAgreesWithThePlainModel(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	taken := map[int]int{}
	for range 16 {
		m, table := model{}, NewRoutingTable()
		var b *Snapshot
		past := gone{}
		for step := range 40 {
			items := make([]Item, 1+r.IntN(4))
			for n := range items {
				items[n] = draw(r, step/3)
			}
			slices.SortFunc(items, func(a, b Item) int { return a.Key.Compare(b.Key) })
			items = slices.CompactFunc(items, func(a, b Item) bool { return a.Key == b.Key }) // of one name, ReadPatch leaves one
			status := m.check(items, past)
			changed, next, err := b.Validate(items)
			if err != nil {
				is.Equal(err.(*RejectionError).Status, status)
			} else {
				is.Equal(status, 200)
				merged, same := b.Merge(changed)
				is.Equal(merged.RenderJSON(), next.RenderJSON())
				is.Equal(changed, same)
				b, table = next, table.With(next, changed)
				agree(t, m, b, table)
				for i := range merged.All() {
					var want *History
					for _, old := range past[i.Key] {
						want = want.with(old)
					}
					is.Equal(i.History, want)
				}
				same, again, err := b.Validate(items) // an order that was taken is taken again, and changes nothing
				is.NoErr(err)
				is.Equal(len(same), 0)
				is.Equal(again, b)
			}
			taken[status]++
		}
	}
	is.True(min(taken[200], taken[400], taken[409]) > 20) // the world is neither too tame nor too wild
}

func TestMergeConvergesWhateverTheOrder(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 8))
	for range 40 {
		says := map[string]Item{}
		for range 60 { // one version of a name says one thing, and was chosen at one epoch
			i := draw(r, r.IntN(9))
			i.Epoch = uint64(r.IntN(4))
			says[fmt.Sprint(i.Key, i.Version)] = i
		}
		items := slices.SortedFunc(maps.Values(says), func(a, b Item) int { return a.Key.Compare(b.Key) })
		m := model{}
		m.merge(items)
		var first []Item
		for range 4 {
			r.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
			var b *Snapshot
			var changed []Item
			table := NewRoutingTable()
			for rest := items; len(rest) > 0; {
				n := min(len(rest), 1+r.IntN(5))
				b, changed = b.Merge(rest[:n])
				table, rest = table.With(b, changed), rest[n:]
			}
			agree(t, m, b, table)
			all := slices.Collect(b.All())
			is.True(first == nil || slices.EqualFunc(all, first, Item.SameContent))
			first = all
			is.Equal(b.serviceReferences.size, len(func() map[string]bool {
				named := map[string]bool{}
				for _, r := range m.routes() {
					named[r.Service] = true
				}
				return named
			}()))
		}
	}
}

func TestWhoHasWhatTwoClaim(t *testing.T) {
	is := is.New(t)
	say := func(kind Kind, name string, version, epoch uint64) Item {
		return Item{Key: Key{kind, name}, Version: version, Epoch: epoch, Body: []byte(
			`{"authority":"a","pathPrefix":"/","routeKind":"mutating","deadlineMs":1,"backend":"s","apiKeys":["k"]}`)}
	}
	winners := []string{"b", "d", "c", "a"} // the first has the highest epoch, the next the higher version, and the last are told by name
	for kind := Routes; kind <= Tenants; kind++ {
		items := []Item{say(kind, "a", 3, 1), say(kind, "c", 3, 2), say(kind, "d", 9, 2), say(kind, "b", 1, 5), say(kind, "e", 3, 1)}
		book, changed := (*Snapshot)(nil).Merge(items)
		table := NewRoutingTable().With(book, changed)
		for _, name := range append(winners, "e") {
			if kind == Routes {
				is.Equal(table.Route("a", "/").Name, name)
			} else {
				is.Equal(table.Tenant("k").Name, name)
			}
			again := slices.Clone(items)
			for n := range again {
				again[n].Body = []byte(`{}`) // an equal version has no effect, whatever it says
			}
			same, none := book.Merge(again)
			is.True(same == book && none == nil)
			book, changed = book.Merge([]Item{{Key: Key{kind, name}, Version: 10, Deleted: true}})
			table = table.With(book, changed)
		}
		is.True(table.Route("a", "/") == nil && table.Tenant("k") == nil && !table.HasTenants() && table.RouteCount() == 0)
		is.Equal(book.routesByKey.size+book.serviceReferences.size+table.keys.size+table.tenants.size, 0)
	}
}

func world(tenants int) []Item {
	items := []Item{{Key: Key{Services, "s"}, Version: 1, Body: []byte(`{"maxConns":9}`)}}
	for n := range min(tenants, 45_000) {
		items = append(items, Item{Key: Key{Routes, fmt.Sprint("r", n)}, Version: 1, Body: fmt.Appendf(nil,
			`{"authority":"h%d.example","pathPrefix":"/p%d/","routeKind":"mutating","deadlineMs":900,"backend":"s","generation":"00000001"}`, n/9, n)})
	}
	for n := range tenants {
		items = append(items, Item{Key: Key{Tenants, fmt.Sprint("t", n)}, Version: 1, Body: fmt.Appendf(nil,
			`{"apiKeys":["ka%d","kb%d"],"priority":1,"ratePerS":94,"burst":94,"generation":"00000001"}`, n, n)})
	}
	return items
}

func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		items := world(n)
		book, changed := (*Snapshot)(nil).Merge(items)
		table := NewRoutingTable().With(book, changed)
		route, tenant := items[5], items[len(items)-1]
		name := func(s string) string { return fmt.Sprintf("%s/%d", s, n) }
		b.Run(name("load"), func(b *testing.B) {
			for b.Loop() {
				book, changed := (*Snapshot)(nil).Merge(items)
				NewRoutingTable().With(book, changed)
			}
		})
		b.Run(name("check"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route.Version++
				if _, book, _ = book.Validate([]Item{route}); book == nil {
					b.Fatal("refused")
				}
			}
		})
		b.Run(name("tenant"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tenant.Version++
				book, changed = book.Merge([]Item{tenant})
				table = table.With(book, changed)
			}
		})
		b.Run(name("lookup"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.Route("h11.example:80", "/p100/abcdef") == nil || table.Tenant("kb77") == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
