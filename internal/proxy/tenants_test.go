package proxy

import (
	"fmt"
	"slices"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
)

// Guards against requests that are served with an invalid key after the last tenant was removed, as if there had never
// been a tenant. A proxy that starts after the removal must decide in the same way.
func TestKeysAfterTheLastTenantIsRemoved(t *testing.T) {
	const remove = `{"remove":{"customers":[{"name":"t1","generation":"0000ffff"},` +
		`{"name":"t2","generation":"0000ffff"}]}}`
	const head = "GET /a/x HTTP/1.1\nHost: one.example\nX-Attempt-Id: i\nX-Time-Left-Ms: 900"
	const back = `{"upsert":{"customers":{"t1":{"apiKeys":["k1"],"generation":"00010000"}}}}`
	const noTenants = `{"upsert":{"services":{"s":{"healthPath":"/","generation":"00000001"}},"routes":{"r":{` +
		`"authority":"one.example","pathPrefix":"/","routeKind":"idempotent","deadlineMs":1000,"backend":"s",` +
		`"generation":"00000001"}}}}`
	for name, c := range map[string]struct {
		patches  []string
		accepted map[string]bool // by the value of Authorization
	}{
		"two tenants": {[]string{testConfig}, map[string]bool{"Token k1": true, "Token never": false, "": false}},
		"all removed": {
			[]string{testConfig, remove},
			map[string]bool{"Token k1": false, "Token k3": false, "Token never": false, "Token ": false, "": true},
		},
		"one is back": {
			[]string{testConfig, remove, back},
			map[string]bool{"Token k1": true, "Token k3": false, "Token never": false, "": false},
		},
		"there never was one": {[]string{noTenants}, map[string]bool{"Token never": true, "": true}},
	} {
		for _, restarted := range []bool{false, true} {
			for authorization, want := range c.accepted {
				t.Run(fmt.Sprintf("%s, restarted %v, %q", name, restarted, authorization), func(t *testing.T) {
					translator := newTestTranslator(t, true, true)
					applyPatches(t, translator, c.patches, restarted)
					request := requestHead(t, head)
					if authorization != "" {
						request.Header.Set("Authorization", authorization)
					}
					_, _, rejection := translator.parse(request)
					if got := rejection == nil; got != want || !got && rejection.Status != 401 {
						t.Errorf("got %+v, want it accepted: %v", rejection, want)
					}
				})
			}
		}
	}
}

// applyPatches sets the configuration that results from calls of the operator: one after the other or, for a proxy that
// has just started, all items at once.
func applyPatches(t *testing.T, translator *translator, patches []string, atOnce bool) {
	t.Helper()
	table, snapshot := configuration.NewRoutingTable(), new(configuration.Snapshot)
	for _, patch := range patches {
		items, err := configuration.ReadPatch([]byte(patch))
		if err != nil {
			t.Fatal(err)
		}
		next, changed := snapshot.Merge(items)
		table, snapshot = table.With(next, changed), next
	}
	if atOnce {
		table = configuration.NewRoutingTable().With(snapshot, slices.Collect(snapshot.All()))
	}
	translator.control.table.Store(table)
}
