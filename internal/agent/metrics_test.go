package agent

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/logging/logtest"
)

// TestMetrics checks that the number of series does not depend on the number of servers: an agent without servers
// exports as many series as an agent with a hundred servers.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	a := New(7, logtest.Discard())
	r := metrics.NewRegistry(program)
	a.registerMetrics(r)
	text := func() string {
		var b strings.Builder
		is.NoErr(r.Write(&b))
		return b.String()
	}
	empty := text()
	for _, line := range []string{
		"mulleinrouter_agent_ready 0", "mulleinrouter_agent_quorum 0",
		`mulleinrouter_agent_instances{phase="serving"} 0`,
		`mulleinrouter_agent_sources{state="known"} 0`,
	} {
		is.True(strings.Contains(empty, line))
	}
	for i := range 100 {
		a.store.MergeInstances([]registry.Instance{{
			ID:      "i-" + string(rune('0'+i)),
			Service: "s" + string(rune('0'+i)),
			Address: "10.0.0.1:1",
		}})
	}
	full := text()
	is.True(strings.Contains(full, `mulleinrouter_agent_instances{phase="serving"} 100`))
	is.Equal(strings.Count(full, "\nmulleinrouter_"), strings.Count(empty, "\nmulleinrouter_"))
	t.Log("series:", strings.Count(full, "\nmulleinrouter_"))
}

// TestLinkDelay checks that the delay is the lowest age of all sources' updates within a window. A queue at this
// machine's link raises it; late updates of one suspended source or after a healed partition do not.
func TestLinkDelay(t *testing.T) {
	const fresh, late = 3 * time.Millisecond, 2 * time.Second
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		ages []time.Duration // ages of updates that arrive every 200 ms, the last one 100 ms ago
		want time.Duration
	}{
		"no updates":                 {nil, 0},
		"one update":                 {[]time.Duration{late}, 0},
		"no queue":                   {[]time.Duration{fresh, fresh, fresh}, fresh},
		"a queue":                    {[]time.Duration{late, late + 1, late}, late},
		"one source is stopped":      {[]time.Duration{late, fresh, late}, fresh},
		"a healed partition":         {[]time.Duration{late, late, late, fresh}, fresh},
		"a queue that has drained":   {[]time.Duration{late, late, late, fresh, fresh, fresh, fresh}, fresh},
		"a queue after an idle time": {[]time.Duration{fresh, fresh, fresh, late, late, late}, late},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d linkDelay
			now := start
			for _, age := range c.ages {
				now = now.Add(200 * time.Millisecond)
				d.observe(now, age)
			}
			is.Equal(d.current(now.Add(100*time.Millisecond)), c.want)
			is.Equal(d.current(now.Add(time.Minute)), time.Duration(0)) // all samples are outside the window
		})
	}
}
