package proxy

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// TestMetrics checks the metrics of a proxy, that the servers metric follows the list of servers, and that the number
// of series does not depend on that list.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	s := &settings.Settings{
		Node:       "edge-1",
		Zone:       "z",
		Host:       "127.0.0.1",
		InnerFirst: 7000,
		Limits:     settings.Limits{MaxFDs: 1000},
	}
	p := New(settings.NewWatcher("", s), 5, logtest.Discard())
	r := metrics.NewRegistry(program)
	p.registerMetrics(r)
	text := func() string {
		var out strings.Builder
		is.NoErr(r.Write(&out))
		return out.String()
	}
	empty := text()
	for _, line := range []string{
		"mulleinrouter_proxy_ready 0", `mulleinrouter_proxy_requests_total{outcome="answered"} 0`,
		`mulleinrouter_proxy_servers{state="good"} 0`,
	} {
		is.True(strings.Contains(empty, line))
	}
	var list []decision.Backend
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, decision.Backend{ID: id, Group: "s", Serving: id != "c", Size: 2})
	}
	p.control.engine.SetBackends(decision.Backends{List: list})
	full := text()
	is.True(strings.Contains(full, `mulleinrouter_proxy_servers{state="unknown"} 2`))
	is.True(strings.Contains(full, `mulleinrouter_proxy_servers{state="leaving"} 1`))
	is.Equal(strings.Count(full, "\nmulleinrouter_"), strings.Count(empty, "\nmulleinrouter_"))
	t.Log("series:", strings.Count(full, "\nmulleinrouter_"))
}
