package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// checkConfigurationReads reads the configuration from every node, and returns how many nodes answer. It checks that
// each answer contains the acknowledged version.
func (c *testCluster) checkConfigurationReads(acknowledged int) (answered int) {
	for addr := range c.nodes {
		status, text := c.call(addr, "GET", "/config", "")
		switch {
		case status == 503:
		case status != 200 || acknowledged > 0 &&
			!strings.Contains(text, fmt.Sprintf(`"generation":"%08x"`, acknowledged)):
			c.Fail()
		default:
			answered++
		}
	}
	return answered
}

// Three voters and a learner are partitioned into two halves, in each possible way. Meanwhile, no node returns an
// older configuration than the acknowledged one, or acknowledges anything without a majority of the voters. Afterwards,
// all nodes work as before.
func TestEvenPartition(t *testing.T) {
	for _, node := range []string{"x", "y", "z"} {
		t.Run("learner with "+node, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				links := &partitionableLinks{}
				c := newClusterOver(t, 3, links)
				c.start(fourthAddr, vfs.NewCrashableMem(), false)
				advance(3 * time.Second)
				version := 1
				c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", version)}, nil)), 200)
				advance(3 * time.Second)
				half := []string{c.seeds[strings.Index("xyz", node)], fourthAddr}
				all := append(slices.Clone(c.seeds), fourthAddr)
				separated := func(a, b string) bool { return slices.Contains(half, a) != slices.Contains(half, b) }
				links.setSevered(separated, all)
				for step := range 20 {
					for _, addr := range all {
						switch status := c.patch(addr, patchBody([]string{serviceJSON("s", version+1)}, nil)); {
						case status == 200 && !slices.Contains(half, addr):
							version++
						case status == 200:
							t.Errorf("step %d: %s acknowledges a change in the half with one voter", step, addr)
						}
						if slices.Contains(half, addr) && step > 1 {
							status, _ := c.call(addr, "DELETE", "/instances/i-1", "")
							c.Equal(status, 503)
						}
					}
					answered := c.checkConfigurationReads(version)
					c.True(step < 1 || answered >= 1)
					advance(400 * time.Millisecond)
				}
				c.True(version > 20)
				links.setSevered(func(string, string) bool { return false }, all)
				advance(contactBound)
				c.Equal(c.checkConfigurationReads(version), 4)
				c.Equal(c.patch(half[0], patchBody([]string{serviceJSON("s", version+1)}, nil)), 200)
				c.Equal(c.checkConfigurationReads(version+1), 4)
				c.stopAll()
			})
		})
	}
}

// All nodes lose power at the same moment and one disk is lost, right after a call was acknowledged: a change, a drain,
// or a departure without a drain before it. The acknowledged state survives whichever disk was lost.
func TestDiskLossDuringPowerLoss(t *testing.T) {
	for lost := range 3 {
		t.Run(fmt.Sprint("disk ", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				advance(2 * time.Second)
				version := 1
				c.Equal(c.patch(c.seeds[0], patchBody([]string{serviceJSON("s", version)}, nil)), 200)
				for i := range 3 {
					status, _ := c.call(c.seeds[i], "PUT", fmt.Sprint("/instances/i-", i), heartbeatJSON("serving", 1))
					c.Equal(status, 200)
				}
				advance(5 * time.Second)
				for round := range 3 {
					at := c.seeds[(lost+round)%3]
					version++
					c.Equal(c.patch(at, patchBody([]string{serviceJSON("s", version)}, nil)), 200)
					switch round {
					case 0:
						status, _ := c.call(at, "PUT", "/instances/i-0", heartbeatJSON("draining", 2))
						c.Equal(status, 200)
					case 1:
						status, _ := c.call(at, "DELETE", "/instances/i-1", "") // without a drain before
						c.Equal(status, 200)
					}
					disks := map[string]*vfs.MemFS{}
					for _, addr := range c.seeds {
						disks[addr] = c.remove(addr)
					}
					advance(time.Second)
					for n, addr := range c.seeds {
						if n == lost {
							c.start(addr, vfs.NewCrashableMem(), false)
						} else {
							c.start(addr, disks[addr], false)
						}
					}
					advance(8 * time.Second)
					c.Equal(c.checkConfigurationReads(version), 3)
					for _, addr := range c.seeds {
						draining, _ := c.nodes[addr].store.Instance("i-0")
						c.True(draining.Phase.String() == "draining" || draining.Phase.String() == "gone")
						if round >= 1 {
							removed, _ := c.nodes[addr].store.Instance("i-1")
							c.Equal(removed.Phase.String(), "gone")
						}
					}
				}
				c.stopAll()
			})
		})
	}
}
