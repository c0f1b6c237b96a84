package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/metrics"
)

// Checks the metrics of a control node that is in contact with a majority, and after it has lost contact.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		advance(2 * time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 1)}, nil)), 200)
		status, _ := c.call(c.seeds[0], "PUT", "/instances/i-1", heartbeatJSON("serving", 1))
		c.Equal(status, 200)
		status, _ = c.call(c.seeds[0], "PUT", "/nothing/i-1", "{}")
		c.Equal(status, 404)
		n := c.nodes[c.seeds[0]].Node
		r := metrics.NewRegistry(program)
		n.registerMetrics(r)
		text := func() string {
			var b strings.Builder
			c.NoErr(r.Write(&b))
			return b.String()
		}
		withContact := text()
		for _, line := range []string{
			"mulleinrouter_control_contact 1",
			"mulleinrouter_control_voter 1",
			"mulleinrouter_control_voters 3",
			"mulleinrouter_control_config_epoch 1",
			"mulleinrouter_control_changes_chosen_total 1",
			`mulleinrouter_control_operator_calls_total{status="2xx"} 1`,
			`mulleinrouter_control_server_calls_total{status="2xx"} 1`,
			"mulleinrouter_control_unknown_calls_total 1",
			`mulleinrouter_control_instances{phase="serving"} 1`,
			"mulleinrouter_control_disk_stalled 0",
		} {
			if !strings.Contains(withContact, line+"\n") {
				t.Errorf("%q is missing in\n%s", line, withContact)
			}
		}
		c.remove(c.seeds[1])
		c.remove(c.seeds[2])
		advance(3 * time.Second)
		c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", 2)}, nil)), 503)
		withoutContact := text()
		c.True(strings.Contains(withoutContact, "mulleinrouter_control_contact 0\n"))
		c.True(strings.Contains(withoutContact, "mulleinrouter_control_ready 0\n"))
		c.True(strings.Contains(withoutContact, `mulleinrouter_control_operator_calls_total{status="5xx"} 1`))
		c.Equal(strings.Count(withoutContact, "\nmulleinrouter_"), strings.Count(withContact, "\nmulleinrouter_"))
		t.Log("series:", strings.Count(withContact, "\nmulleinrouter_"))
		c.stopAll()
	})
}
