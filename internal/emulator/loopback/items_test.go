package loopback

import (
	"testing"
	"time"
)

// TestEncodePatch compares the bodies of calls with the format that the control nodes expect.
func TestEncodePatch(t *testing.T) {
	class := &requestClass{
		service:       "look",
		alternate:     "file",
		latencyTarget: 400 * time.Millisecond,
		deadline:      2 * time.Second,
	}
	r := &route{name: "r-1", host: "h.example", prefix: "/p/", class: class}
	customer := &tenant{name: "t1", rate: 10, burst: 20, keys: []string{"k1", "k2"}}
	for _, c := range []struct {
		name string
		item item
		want string
	}{
		{
			"route", r.item("look"),
			`{"remove":{"routes":[]},"upsert":{"routes":{"r-1":{"authority":"h.example","backend":"look",` +
				`"deadlineMs":2000,"generation":"0000000a","maxTries":2,"pathPrefix":"/p/","priority":1,` +
				`"public":false,"routeKind":"idempotent","targetMs":400}}}}`,
		},
		{
			"split route", r.splitItem(),
			`{"remove":{"routes":[]},"upsert":{"routes":{"r-1":{"authority":"h.example","deadlineMs":2000,` +
				`"generation":"0000000a","maxTries":2,"pathPrefix":"/p/","priority":1,"public":false,` +
				`"routeKind":"idempotent","targetMs":400,"weighted":[{"backend":"look","share":60},` +
				`{"backend":"file","share":40}]}}}}`,
		},
		{
			"tenant", customer.item(),
			`{"remove":{"routes":[]},"upsert":{"customers":{"t1":{"apiKeys":["k1","k2"],"burst":20,` +
				`"generation":"0000000a","priority":0,"ratePerS":10}}}}`,
		},
		{
			"removed route", item{section: routesSection, name: "r-1"},
			`{"remove":{"routes":[{"generation":"0000000a","name":"r-1"}]},"upsert":{}}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(encodePatch([]item{c.item.withVersion(10)})); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}
