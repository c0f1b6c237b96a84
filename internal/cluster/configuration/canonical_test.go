package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/big"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// value returns a body as the standard library decodes it, with numbers as exact fractions and without the top-level
// generation.
func value(t *testing.T, body string) any {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(body))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(body, err)
	}
	var exact func(v any) any
	exact = func(v any) any {
		switch v := v.(type) {
		case json.Number:
			r, ok := new(big.Rat).SetString(v.String())
			if !ok {
				t.Fatal(v)
			}
			return r.String()
		case []any:
			for n := range v {
				v[n] = exact(v[n])
			}
		case map[string]any:
			for k := range v {
				v[k] = exact(v[k])
			}
		}
		return v
	}
	v = exact(v)
	if m, ok := v.(map[string]any); ok {
		delete(m, "generation")
	}
	return v
}

// spell returns a random value as JSON. r determines the value, and how determines its spelling.
func spell(r, how *rand.Rand, depth int) string {
	space := func() string { return []string{"", "", " ", "\n\t"}[how.IntN(4)] }
	text := func(s string) string {
		var b strings.Builder
		for _, c := range s {
			if c == '"' || c == '\\' || how.IntN(6) == 0 {
				fmt.Fprintf(&b, `\u%04x`, c)
			} else {
				b.WriteRune(c)
			}
		}
		return `"` + b.String() + `"`
	}
	switch k := r.IntN(8); {
	case k < 2 && depth < 3 || depth == 0:
		var parts []string
		for i := range r.IntN(4) {
			parts = append(
				parts,
				space()+text(fmt.Sprint("é\"", i, r.IntN(3)))+space()+":"+space()+spell(r, how, depth+1)+space(),
			)
		}
		how.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		return "{" + strings.Join(parts, ",") + "}"
	case k < 3 && depth < 3:
		var parts []string
		for range r.IntN(3) {
			parts = append(parts, space()+spell(r, how, depth+1)+space())
		}
		return "[" + strings.Join(parts, ",") + "]"
	case k < 6:
		n := []string{"0", "1", "-1", "10", "105", "0.5", "1e3", "9007199254740993", "9007199254740992",
			"-2.50"}[r.IntN(10)]
		if !strings.Contains(n, "e") {
			switch how.IntN(4) {
			case 0:
				if !strings.Contains(n, ".") {
					n += ".0"
				}
				n += "0"
			case 1:
				n += "E+0"
			case 2:
				n += "e-00"
			}
		}
		return n
	case k < 7:
		return text([]string{"", "a", "a/b", "x\\y"}[r.IntN(4)])
	}
	return []string{"true", "false", "null"}[r.IntN(3)]
}

// Two bodies must have the same content exactly if the standard library decodes the same value from both, apart from
// the generation. Numbers are compared exactly.
func TestSameContentInAnySpelling(t *testing.T) {
	is := is.New(t)
	item := func(body string) Item { return Item{Key: Key{Services, "s"}, Version: 12, Body: []byte(body)} }
	for _, c := range []struct {
		a, b string
		same bool
	}{
		{`{"a":1,"b":2,"generation":"0000000c"}`, `{ "generation":"0000000C", "b":2.0, "a":10e-1}`, true},
		{`{"a":[1,2]}`, `{"a":[2,1]}`, false},
		{`{"a":0}`, `{"a":-0.0e5}`, true},
		{`{"a":1e999}`, `{"a":10e998}`, true},
		{`{"a":1e999}`, `{"a":2e999}`, false},
		{`{"a":1e99999999999}`, `{"a":1e99999999999}`, true},
		{`{"a":9007199254740993}`, `{"a":9007199254740992}`, false},
		{`{"a":{"generation":"1"}}`, `{"a":{"generation":"2"}}`, false}, // only the top-level one is the version
		{`{"a":null}`, `{}`, false},
		{`{"a":"1"}`, `{"a":1}`, false},
		{`{"a":"b\",\"c"}`, `{"a":"b","c":""}`, false},
		{`{"a":"\u002f\ud83d\ude00"}`, `{"a":"/😀"}`, true},
	} {
		is.Equal(item(c.a).SameContent(item(c.b)), c.same)
		is.Equal(item(c.a).digest() == item(c.b).digest(), c.same)
		is.True(bytes.Equal(canonicalBody(canonicalBody([]byte(c.a))), canonicalBody([]byte(c.a)))) // it is stable
	}
	different := 0
	for seed := range uint64(5000) {
		a := spell(rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), 0)
		b := spell(rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 3)), 0)
		other := spell(rand.New(rand.NewPCG(seed+1, 1)), rand.New(rand.NewPCG(seed, 3)), 0)
		if strings.Contains(a, `{`) && json.Valid([]byte(a)) && hasUniqueNames(a) {
			if !item(a).SameContent(item(b)) {
				t.Fatalf("seed %d: not the same:\n%s\n%s", seed, a, b)
			}
			want := reflect.DeepEqual(value(t, a), value(t, other))
			if hasUniqueNames(other) && item(a).SameContent(item(other)) != want {
				t.Fatalf("seed %d: %v expected:\n%s\n%s", seed, want, a, other)
			} else if !want {
				different++
			}
		}
	}
	is.True(different > 1000)
}

// hasUniqueNames reports whether the names in each object of a body are unique.
func hasUniqueNames(body string) bool {
	r := jsonReader{text: []byte(body)}
	_, err := r.value(0)
	return err == nil
}

// A client that repeats a successful call may spell it differently: the repeated call succeeds, and a call with other
// content under the same version is rejected.
func TestRepeatedCallInAnotherSpelling(t *testing.T) {
	is := is.New(t)
	first := `{"upsert":{"services":{"s":{"healthPath":"/h","maxConns":130,"protocol":"h1","generation":"0000000a"}},
		"routes":{"r":{"authority":"a","pathPrefix":"/","routeKind":"mutating","deadlineMs":1000,
			"weighted":[{"backend":"s","share":90}],"generation":"0000000a"}}}}`
	again := ` {"remove":{},"upsert":{"routes":{"r":{"generation":"0000000A",
		"weighted":[{"share":9e1,"backend":"\u0073"}],
		"deadlineMs":1000.0,"routeKind":"mutating","pathPrefix":"\/","authority":"a"}},"services":{"s":{"maxConns":13e1,
		"generation":"0000000A","protocol":"h1","healthPath":"/h"}}}}`
	items, err := ReadPatch([]byte(first))
	is.NoErr(err)
	_, snapshot, err := (*Snapshot)(nil).Validate(items)
	is.NoErr(err)
	items, err = ReadPatch([]byte(again))
	is.NoErr(err)
	changed, next, err := snapshot.Validate(items)
	is.NoErr(err)
	is.Equal(len(changed), 0)
	is.Equal(next, snapshot)
	status, _ := statusOf(snapshot, strings.Replace(again, "13e1", "13e2", 1))
	is.Equal(status, 409)
}
