package configuration

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
)

// goldenFile lists digests, positions, rendered snapshots and texts of rejections as commit 76a3bb5 produced them. They
// must not change: digests are stored on disk, positions are sent on the wire, and the others are part of the
// operators' API.
const goldenFile = "testdata/golden-76a3bb5.txt"

// goldenBodies are bodies whose digests are recorded.
var goldenBodies = []string{
	`{}`, `{"a":1,"b":[1.50,-0,2e3,true,null],"generation":"0000000a"}`,
	`{ "b" : "\u00e9\n" , "a" : {"generation":"1"} }`,
	`{"a":1e99999999999}`, `{"a":9007199254740993}`, `{"torn`, `[]`, `{"a":"😀\"\\"}`,
}

// goldenCalls is the number of random calls.
const goldenCalls = 5000

func TestGolden(t *testing.T) {
	recorded, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	got, want := strings.Split(goldenText(), "\n"), strings.Split(string(recorded), "\n")
	for n := range min(len(got), len(want)) {
		if got[n] != want[n] {
			t.Errorf("line %d:\ngot  %s\nwant %s", n+1, got[n], want[n])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d lines, want %d", len(got), len(want))
	}
}

// goldenText returns the text that is compared with goldenFile.
func goldenText() string {
	var out strings.Builder
	for _, body := range goldenBodies {
		fmt.Fprintf(&out, "digest %x %s\n", Item{Body: []byte(body)}.digest(), body)
	}
	fmt.Fprintf(&out, "digest %x\n", Item{Deleted: true}.digest())
	for kind := Routes; kind <= Limits; kind++ {
		for _, name := range []string{"", "a", "tenant ü", strings.Repeat("x", 300)} {
			key := Key{kind, name}
			fmt.Fprintf(&out, "position %x %v\n", key.Position(), key)
		}
	}
	texts := map[string]int{}
	all := fnv.New64a()
	rnd := rand.New(rand.NewPCG(11, 1))
	var snapshot *Snapshot
	for range goldenCalls {
		body := goldenCall(rnd)
		items, err := ReadPatch([]byte(body))
		if err == nil {
			var next *Snapshot
			if _, next, err = snapshot.Validate(items); err == nil && rnd.IntN(2) == 0 {
				snapshot = next
			}
		}
		text := describeError(err)
		texts[text]++
		fmt.Fprintf(all, "%s\n%s\n", text, snapshot.RenderJSON())
	}
	fmt.Fprintf(&out, "calls %x\n", all.Sum64())
	for _, text := range slices.Sorted(maps.Keys(texts)) {
		fmt.Fprintf(&out, "text %d %q\n", texts[text], text)
	}
	return out.String()
}

func describeError(err error) string {
	if err == nil {
		return "accepted"
	}
	var rejection *RejectionError
	if !errors.As(err, &rejection) {
		return "no rejection: " + err.Error()
	}
	return fmt.Sprint(rejection.Status, " ", rejection.Text)
}

// goldenFields lists valid and invalid fields of items by kind.
var goldenFields = map[Kind][]string{
	Routes: {
		`"authority":"A.example:80"`, `"authority":""`, `"pathPrefix":"/a/"`, `"pathPrefix":"/a"`, `"pathPrefix":"a/"`,
		`"routeKind":"idempotent"`, `"routeKind":"mutating"`, `"routeKind":"other"`, `"deadlineMs":1000`,
		`"deadlineMs":0`,
		`"deadlineMs":-1`, `"deadlineMs":"x"`, `"backend":"s1"`, `"backend":"s2"`, `"backend":7`,
		`"weighted":[{"backend":"s1","share":1}]`,
		`"weighted":[{"backend":"s1","share":0}]`, `"weighted":[7]`, `"weighted":[{"share":1}]`, `"weighted":{}`,
		`"priority":1e999`,
		`"public":1`, `"public":true`, `"maxTries":3`, `"targetMs":5`,
	},
	Tenants: {
		`"apiKeys":["k1","k2"]`, `"apiKeys":[1]`, `"apiKeys":1`, `"ratePerS":5.5`, `"ratePerS":-1`, `"burst":null`,
		`"priority":2`,
	},
	Services: {
		`"healthPath":"/h"`,
		`"healthPath":"h"`,
		`"healthPath":"/ h"`,
		`"maxConns":5`,
		`"maxConns":-5`,
		`"maxConns":[]`,
	},
	Limits: {`"maxBodyBytes":5`, `"maxHeaderBytes":-5`, `"headerTimeoutMs":1e99`, `"idleTimeoutMs":"x"`},
}

// goldenCall returns a random call. Some calls are malformed, and most of the others are rejected.
func goldenCall(rnd *rand.Rand) string {
	generation := fmt.Sprintf(`"generation":"%08x"`, 1+rnd.IntN(6))
	name := fmt.Sprintf("s%d", 1+rnd.IntN(3))
	kind := Routes + Kind(rnd.IntN(4))
	var body string
	if kind == Limits || rnd.IntN(5) > 0 {
		fields := []string{generation}
		if kind == Routes { // mostly valid
			fields = append(
				fields,
				`"authority":"a"`,
				`"pathPrefix":"/"`,
				`"deadlineMs":1`,
				`"routeKind":"mutating"`,
				`"backend":"s1"`,
			)
		}
		for range rnd.IntN(3) {
			field := goldenFields[kind][rnd.IntN(len(goldenFields[kind]))]
			key, _, _ := strings.Cut(field, ":")
			fields = slices.DeleteFunc(fields, func(f string) bool { return strings.HasPrefix(f, key) })
			fields = append(fields, field)
		}
		item := "{" + strings.Join(fields, ", ") + "}"
		if kind != Limits {
			item = fmt.Sprintf(`{"%s":%s}`, name, item)
		}
		body = fmt.Sprintf(`{"upsert":{"%s":%s}}`, kind, item)
	} else {
		body = fmt.Sprintf(`{"remove":{"%s":[{"name":"%s",%s}]}}`, kind, name, generation)
	}
	if rnd.IntN(10) == 0 {
		at := rnd.IntN(len(body))
		body = body[:at] + string(`{}[]",:\ 0e`[rnd.IntN(11)]) + body[at+1:]
	}
	return body
}
