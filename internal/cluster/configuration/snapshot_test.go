package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = ` {"upsert" : {"routes":{"r-1":{"authority":"A.example:80","pathPrefix":"/a/",` +
	`"routeKind":"idempotent","deadlineMs":1000.5, "targetMs":400,
	"priority":2,"weighted":[{"backend":"s1","share":90},{"backend":"s2","share":0.5}],"maxTries":2,` +
	`"public":true,"x":[1e2,-0, null,"\u00e9\n é \"{ "],"generation":"0000000a"}},
	"customers":{"t\"1":{"apiKeys":["k1","k2"],"priority":1,"ratePerS":94.5,"burst":9,"generation":"00000007"}},
	"services":{"s1":{"healthPath":"/health","maxConns":130,"generation":"00000007"},"s2":{"generation":"00000008"}},
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,` +
	`"idleTimeoutMs":15000,"generation":"0000FFff"}},
	"remove":{"routes":[{"name":"r-old","generation":"00000009","why":"old"}],"customers":[],"services":[]}}
`

// The sample must be rendered as it was sent, and the routing table must find its items without an allocation.
func TestPatchRoundTrip(t *testing.T) {
	is := is.New(t)
	items, err := ReadPatch([]byte(sample))
	is.NoErr(err)
	changed, snapshot, err := (*Snapshot)(nil).Validate(items)
	is.NoErr(err)
	is.Equal(len(changed), 6)
	is.Equal(snapshot.Len(), 6)
	var sent struct{ Upsert json.RawMessage }
	is.NoErr(json.Unmarshal([]byte(sample), &sent))
	var want bytes.Buffer
	is.NoErr(json.Compact(&want, sent.Upsert))
	is.Equal(string(snapshot.RenderJSON()), want.String())
	is.Equal(string((*Snapshot)(nil).RenderJSON()), `{"routes":{},"customers":{},"services":{}}`)

	table := NewRoutingTable().With(snapshot, changed)
	route := table.Route("a.EXAMPLE:8388", "/a/b")
	is.Equal(*route, Route{Name: "r-1", Host: "a.example", Prefix: "/a/", Deadline: 1.0005, LatencyTarget: 0.4,
		Priority: 2, MaxAttempts: 2, Public: true,
		Split: []WeightedService{{"s1", 90}, {"s2", 0.5}}, Version: 10})
	is.Equal(*table.Tenant("k2"), Tenant{
		Name:     `t"1`,
		Keys:     []string{"k1", "k2"},
		Priority: 1,
		Rate:     94.5,
		Burst:    9,
		Version:  7,
	})
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

// statusOf returns the status and the text of the answer to a call after a snapshot.
func statusOf(b *Snapshot, body string) (int, string) {
	items, err := ReadPatch([]byte(body))
	if err == nil {
		_, _, err = b.Validate(items)
	}
	if err == nil {
		return 200, ""
	}
	var rejection *RejectionError
	if !errors.As(err, &rejection) {
		return 0, err.Error()
	}
	return rejection.Status, rejection.Text
}

// routeCall returns a call that sets a valid route, with one part of its body replaced.
func routeCall(old, replacement string) string {
	body := `"authority":"b.example","pathPrefix":"/b/","routeKind":"mutating",` +
		`"deadlineMs":1,"backend":"s1","generation":"0000000b"`
	return `{"upsert":{"routes":{"r-2":{` + strings.Replace(body, old, replacement, 1) + `}}}}`
}

// upsertCall returns a call that sets the items of some sections.
func upsertCall(sections string) string { return `{"upsert":{` + sections + `}}` }

// callCase is a call after the sample, and the expected answer.
type callCase struct {
	body   string
	status int
	text   string // part of the answer's text
}

// acceptedCalls returns valid calls.
func acceptedCalls() []callCase {
	return []callCase{
		{routeCall("", ""), 200, ""},
		{routeCall(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":1},{"backend":"s2","share":0}]`), 200, ""},
		{`{}`, 200, ""},
		{sample, 200, ""},
		{upsertCall(`"customers":{"t\"1":{"apiKeys":["other"],"generation":"00000006"}}`), 200, ""}, // an older version
		{
			`{"upsert":{"services":{"s3":{"generation":"00000007"}}},` +
				`"remove":{"services":[{"name":"s3","generation":"00000009"}]}}`,
			200,
			"",
		},
		{upsertCall(`"services":{"s":{"generation":"00000007"},"s":{"generation":"00000007"}}`), 200, ""},
	}
}

// conflictingCalls returns calls that are valid by themselves but conflict with the sample.
func conflictingCalls() []callCase {
	return []callCase{
		{upsertCall(`"customers":{"t\"1":{"apiKeys":["other"],"generation":"00000007"}}`), 409, "says something else"},
		{`{"remove":{"customers":[{"name":"t\"1","generation":"00000007"}]}}`, 409, "says something else"},
		{routeCall(`s1`, `nosuch`), 400, `routes "r-2": unknown service "nosuch"`},
		{
			routeCall(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":1},{"backend":"nosuch","share":0}]`),
			400,
			`unknown service "nosuch"`,
		},
		{
			routeCall(`"backend":"s1"`, `"backend":"nosuch","weighted":[{"backend":"s1","share":1}]`),
			400,
			`unknown service "nosuch"`,
		},
		{`{"remove":{"services":[{"name":"s2","generation":"00000009"}]}}`, 400, "routes name it"},
		{routeCall(`"b.example","pathPrefix":"/b/"`, `"A.example","pathPrefix":"/a/"`), 400,
			"the same host and prefix"},
	}
}

// callsWithInvalidRoutes returns calls that set a route that is invalid by itself.
func callsWithInvalidRoutes() []callCase {
	return []callCase{
		{routeCall(`"deadlineMs":1,`, ``), 400, "deadlineMs: must be above 0"},
		{routeCall(`"deadlineMs":1`, `"deadlineMs":0`), 400, "deadlineMs"},
		{routeCall(`"deadlineMs":1`, `"deadlineMs":-5`), 400, "deadlineMs"},
		{routeCall(`"deadlineMs":1`, `"deadlineMs":"1"`), 400, "deadlineMs: not a number"},
		{routeCall(`"deadlineMs":1`, `"deadlineMs":1e999`), 400, "deadlineMs: too large"},
		{strings.Replace(routeCall(`"deadlineMs":1`, `"deadlineMs":0`), "0000000b", "00000000", 1), 400, "deadlineMs"},
		{routeCall(`"/b/"`, `"b/"`), 400, "does not begin with a slash"},
		{routeCall(`"/b/"`, `"/b"`), 400, "does not end with a slash"},
		{routeCall(`"/b/"`, `""`), 400, "pathPrefix"},
		{routeCall(`"b.example"`, `""`), 400, "authority: empty"},
		{routeCall(`"b.example"`, `"`+strings.Repeat("h", 300)+`"`), 400, "authority: too long"},
		{routeCall(`mutating`, `other`), 400, "routeKind"},
		{routeCall(`"routeKind":"mutating",`, ``), 400, "routeKind"},
		{routeCall(`"backend":"s1",`, ``), 400, "backend: missing"},
		{routeCall(`"backend":"s1"`, `"weighted":[]`), 400, "weighted"},
		{routeCall(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":0}]`), 400, "above 0"},
		{
			routeCall(`"backend":"s1"`, `"weighted":[{"backend":"s1","share":3},{"backend":"s2","share":-1}]`),
			400,
			"weighted.1.share: below 0",
		},
		{routeCall(`"backend":"s1"`, `"weighted":[{"share":3}]`), 400, "weighted.0.backend: missing"},
		{routeCall(`"backend":"s1"`, `"weighted":[3]`), 400, "weighted.0: not an object"},
		{routeCall(`"backend":"s1"`, `"backend":"s1","public":1`), 400, "public"},
		{routeCall(`0000000b`, `b`), 400, "generation"},
		{routeCall(`"0000000b"`, `11`), 400, "generation"},
		{routeCall(`,"generation":"0000000b"`, ``), 400, "generation"},
		{routeCall(`"deadlineMs":1`, `"deadlineMs":1,"deadlineMs":2`), 400, "given twice"},
	}
}

// callsWithInvalidItems returns calls that set an item of another kind that is invalid by itself.
func callsWithInvalidItems() []callCase {
	return []callCase{
		{upsertCall(`"customers":{"t":{"apiKeys":"k","generation":"00000007"}}`), 400, "apiKeys: not a list"},
		{upsertCall(`"customers":{"t":{"apiKeys":[7],"generation":"00000007"}}`), 400, "apiKeys.0"},
		{upsertCall(`"customers":{"t\r\nX: y":{"generation":"00000007"}}`), 400, "no name may have"},
		{upsertCall(`"services":{"":{"generation":"00000007"}}`), 400, "name"},
		{upsertCall(`"services":{"s":{"healthPath":"/a b","generation":"00000007"}}`), 400, "healthPath"},
		{
			upsertCall(`"services":{"s":{"generation":"00000007"},"s":{"maxConns":1,"generation":"00000007"}}`),
			400,
			"given twice",
		},
		{
			upsertCall(`"services":{"s":{"generation":"00000007"},"s":{"maxConns":1,"generation":"00000008"}}`),
			400,
			"given twice",
		},
		{
			`{"upsert":{"services":{"s":{"generation":"00000007"}}},` +
				`"remove":{"services":[{"name":"s","generation":"00000007"}]}}`,
			400,
			"given twice",
		},
		{upsertCall(`"limits":{"maxBodyBytes":-1,"generation":"0001ffff"}`), 400, "maxBodyBytes: below 0"},
	}
}

// callsWithInvalidSyntax returns calls that cannot be parsed.
func callsWithInvalidSyntax() []callCase {
	return []callCase{
		{upsertCall(`"services":[]`), 400, "no object"},
		{upsertCall(`"services":null`), 400, "no object"},
		{upsertCall(`"others":{}`), 400, "unknown"},
		{`{"remove":{"limits":[]}}`, 400, "unknown"},
		{`{"remove":{"routes":[{"generation":"00000007"}]}}`, 400, "no name"},
		{`{"remove":{"routes":{}}}`, 400, "no list"},
		{`{"other":{}}`, 400, "unknown"},
		{`{"upsert":{},"upsert":{}}`, 400, "twice"},
		{`{} {}`, 400, "more than one value"},
		{``, 400, "no object"},
		{`[]`, 400, "no object"},
		{`{"upsert":{}`, 400, "no comma"},
		{"{\"upsert\":{\"\xff\":{}}}", 400, "UTF-8"},
	}
}

// Each call after the sample must get the expected status, and an invalid one a text of one line that names the reason.
func TestInvalidCallsAreRejected(t *testing.T) {
	is := is.New(t)
	first, err := ReadPatch([]byte(sample))
	is.NoErr(err)
	_, snapshot, err := (*Snapshot)(nil).Validate(first)
	is.NoErr(err)
	for _, group := range []struct {
		name  string
		cases []callCase
	}{
		{"accepted", acceptedCalls()},
		{"contradictions and references", conflictingCalls()},
		{"routes", callsWithInvalidRoutes()},
		{"other items", callsWithInvalidItems()},
		{"syntax", callsWithInvalidSyntax()},
	} {
		t.Run(group.name, func(t *testing.T) {
			for _, c := range group.cases {
				status, text := statusOf(snapshot, c.body)
				if status != c.status || !strings.Contains(text, c.text) || strings.Contains(text, "\n") {
					t.Errorf("%s\n\t-> %d %q, want %d %q", c.body, status, text, c.status, c.text)
				}
			}
		})
	}
}

// The JSON reader must accept the same texts as the standard library, apart from its stricter rules on duplicate names,
// UTF-8 and depth, and must return the same values.
func TestMutatedBodiesMatchStandardLibrary(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	fragments := []string{
		`"`, `\`, `{`, `}`, `[`, `]`, `,`, `:`, ` `, "\n", `0`, `-`, `.`, `e`, `true`, `null`,
		`\ud83d\ude00`, `\u12`, `\ud800`, "\x00", "é", `1e5`,
	}
	same := 0
	for range 4_000 {
		b := []byte(sample)
		for range 1 + r.IntN(3) {
			at, cut := r.IntN(len(b)), r.IntN(4)
			b = slices.Concat(b[:at], []byte(fragments[r.IntN(len(fragments))]), b[min(len(b), at+cut):])
		}
		statusOf(nil, string(b)) // it must not panic
		read := jsonReader{text: b}
		got, err := read.value(0)
		if err == nil {
			err = read.end()
		}
		var want any
		if wrong := json.Unmarshal(b, &want); json.Valid(b) != (err == nil) {
			if err == nil || !strings.Contains(err.Error(), "twice") && !strings.Contains(err.Error(), "UTF-8") &&
				!strings.Contains(err.Error(), "deep") {
				t.Fatalf("%s\n\tstandard library: %v, here: %v", b, wrong, err)
			}
		} else if wrong == nil { // only the standard library rejects numbers out of range
			var compact bytes.Buffer
			_ = json.Compact(&compact, b)
			if x, y := fmt.Sprint(got), fmt.Sprint(want); x != y || !bytes.Equal(compactJSON(b), compact.Bytes()) {
				t.Fatalf("%s\n\tstandard library: %s\n\there: %s", b, y, x)
			}
			same++
		}
	}
	if same < 100 {
		t.Fatalf("only %d bodies were valid", same)
	}
}

// Random calls must get the status that the model gives them, and leave the model's items and histories.
func TestSnapshotMatchesModel(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 6))
	statuses := map[int]int{}
	for range 16 {
		m, table := model{}, NewRoutingTable()
		var b *Snapshot
		history := modelHistory{}
		for step := range 40 {
			items := make([]Item, 1+r.IntN(4))
			for n := range items {
				items[n] = randomItem(r, step/3)
			}
			slices.SortFunc(items, func(a, b Item) int { return a.Key.Compare(b.Key) })
			sameKey := func(a, b Item) bool { return a.Key == b.Key }
			items = slices.CompactFunc(items, sameKey) // one item per key, as ReadPatch returns them
			status := m.check(items, history)
			changed, next, err := b.Validate(items)
			if err != nil {
				var rejection *RejectionError
				is.True(errors.As(err, &rejection))
				is.Equal(rejection.Status, status)
			} else {
				is.Equal(status, 200)
				merged, same := b.Merge(changed)
				is.Equal(merged.RenderJSON(), next.RenderJSON())
				is.Equal(changed, same)
				b, table = next, table.With(next, changed)
				requireMatch(t, m, b, table)
				for i := range merged.All() {
					var want *History
					for _, old := range history[i.Key] {
						want = want.with(old)
					}
					is.Equal(i.History, want)
				}
				same, again, err := b.Validate(items) // a repeated call succeeds, and changes nothing
				is.NoErr(err)
				is.Equal(len(same), 0)
				is.Equal(again, b)
			}
			statuses[status]++
		}
	}
	is.True(min(statuses[200], statuses[400], statuses[409]) > 20) // each status occurs often
}

// Replicas that merge the same items in another order or in other groups must end with the same snapshot.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 8))
	for range 40 {
		content := map[string]Item{}
		for range 60 { // each version of a key has a single content and epoch
			i := randomItem(r, r.IntN(9))
			i.Epoch = uint64(r.IntN(4))
			content[fmt.Sprint(i.Key, i.Version)] = i
		}
		items := slices.SortedFunc(maps.Values(content), func(a, b Item) int { return a.Key.Compare(b.Key) })
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
			requireMatch(t, m, b, table)
			all := slices.Collect(b.All())
			is.True(first == nil || slices.EqualFunc(all, first, Item.SameContent))
			first = all
			services := map[string]bool{}
			for _, route := range m.routes() {
				services[route.Service] = true
			}
			is.Equal(b.serviceReferences.size, len(services))
		}
	}
}

// When the winner of a contested route or API key is deleted, the claim that is next in precedence must take over.
func TestPrecedenceOfClaims(t *testing.T) {
	is := is.New(t)
	item := func(kind Kind, name string, version, epoch uint64) Item {
		return Item{Key: Key{kind, name}, Version: version, Epoch: epoch, Body: []byte(
			`{"authority":"a","pathPrefix":"/","routeKind":"mutating","deadlineMs":1,"backend":"s","apiKeys":["k"]}`)}
	}
	// b has the highest epoch, d has a higher version than c, c has a higher epoch than a and e, and a sorts before e.
	winners := []string{"b", "d", "c", "a"}
	for kind := Routes; kind <= Tenants; kind++ {
		items := []Item{
			item(kind, "a", 3, 1),
			item(kind, "c", 3, 2),
			item(kind, "d", 9, 2),
			item(kind, "b", 1, 5),
			item(kind, "e", 3, 1),
		}
		snapshot, changed := (*Snapshot)(nil).Merge(items)
		table := NewRoutingTable().With(snapshot, changed)
		for _, name := range append(winners, "e") {
			if kind == Routes {
				is.Equal(table.Route("a", "/").Name, name)
			} else {
				is.Equal(table.Tenant("k").Name, name)
			}
			again := slices.Clone(items)
			for n := range again {
				again[n].Body = []byte(`{}`) // an equal version has no effect, whatever its content
			}
			same, none := snapshot.Merge(again)
			is.True(same == snapshot && none == nil)
			snapshot, changed = snapshot.Merge([]Item{{Key: Key{kind, name}, Version: 10, Deleted: true}})
			table = table.With(snapshot, changed)
		}
		is.True(table.Route("a", "/") == nil && table.Tenant("k") == nil && !table.HasTenants() &&
			table.RouteCount() == 0)
		is.Equal(snapshot.routesByKey.size+snapshot.serviceReferences.size+table.keys.size+table.tenants.size, 0)
	}
}

// manyItems returns a configuration with a service, the given number of tenants, and as many routes, but at most
// maxRoutes.
func manyItems(tenants int) []Item {
	const maxRoutes, routesPerHost = 45_000, 9
	items := []Item{{Key: Key{Services, "s"}, Version: 1, Body: []byte(`{"maxConns":9}`)}}
	for n := range min(tenants, maxRoutes) {
		body := fmt.Appendf(nil, `{"authority":"h%d.example","pathPrefix":"/p%d/","routeKind":"mutating",`+
			`"deadlineMs":900,"backend":"s","generation":"00000001"}`, n/routesPerHost, n)
		items = append(items, Item{Key: Key{Routes, fmt.Sprint("r", n)}, Version: 1, Body: body})
	}
	for n := range tenants {
		body := fmt.Appendf(nil, `{"apiKeys":["ka%d","kb%d"],"priority":1,"ratePerS":94,"burst":94,`+
			`"generation":"00000001"}`, n, n)
		items = append(items, Item{Key: Key{Tenants, fmt.Sprint("t", n)}, Version: 1, Body: body})
	}
	return items
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		items := manyItems(n)
		snapshot, changed := (*Snapshot)(nil).Merge(items)
		table := NewRoutingTable().With(snapshot, changed)
		route, tenant := items[5], items[len(items)-1]
		name := func(s string) string { return fmt.Sprintf("%s/%d", s, n) }
		b.Run(name("load"), func(b *testing.B) {
			for b.Loop() {
				snapshot, changed := (*Snapshot)(nil).Merge(items)
				NewRoutingTable().With(snapshot, changed)
			}
		})
		b.Run(name("check"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route.Version++
				if _, snapshot, _ = snapshot.Validate([]Item{route}); snapshot == nil {
					b.Fatal("refused")
				}
			}
		})
		b.Run(name("tenant"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tenant.Version++
				snapshot, changed = snapshot.Merge([]Item{tenant})
				table = table.With(snapshot, changed)
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
