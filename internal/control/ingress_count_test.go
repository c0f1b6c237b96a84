package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/transport"
)

// renewLeases renews the leases of ingresses at all nodes for a span of time.
func (c *testCluster) renewLeases(ingresses int, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); advance(400 * time.Millisecond) {
		for _, node := range c.nodes {
			for n := range ingresses {
				node.ingresses.Renew(&transport.Hello{Node: fmt.Sprint("edge-", n), Zone: "z"}, true)
			}
		}
	}
}

// Guards against a part of a quota that is granted twice: ingresses that return together divide quotas by the recent
// number of ingresses, so control nodes that are killed while these are down must not forget it, nor their successors.
func TestRecentIngressCountSurvivesRestarts(t *testing.T) {
	const all, left = 11, 4
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		check := func(after string) {
			c.Helper()
			for addr, node := range c.nodes {
				if got := node.recentIngressCount(); got != all {
					t.Errorf("after %s: %s reports %d recent ingresses, want %d", after, addr, got, all)
				}
			}
		}
		c.renewLeases(all, 5*time.Second)
		c.renewLeases(left, 5*time.Second)
		check("a loss of ingresses")
		disks := c.crashAll()
		for addr, disk := range disks {
			c.start(addr, disk, false)
		}
		c.renewLeases(left, 8*time.Second)
		check("a loss of power of all control nodes")
		c.remove(c.seeds[0])
		c.start(c.seeds[0], newDisk(), false)
		c.renewLeases(left, 8*time.Second)
		check("a lost disk")
	})
}
