package control

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/coordination"
)

// shardOfLock returns the number of a lock's shard.
func shardOfLock(c *testCluster, lock string) uint32 {
	return c.nodes[c.seeds[0]].shards.ShardOf(coordination.Request{Kind: coordination.AcquireLock, Name: lock})
}

// leaseholderOfLockL returns the node that holds the lease of the shard of lock "l", or "" if there is none. It is the
// only node that answers calls to that shard by itself.
func leaseholderOfLockL(c *testCluster) string {
	for _, addr := range c.seeds {
		for _, status := range c.nodes[addr].shards.Status() {
			if status.Lease && status.Number == shardOfLock(c, "l") {
				return addr
			}
		}
	}
	return ""
}

// otherLockInShardOfL returns the name of another lock in the shard of lock "l".
func otherLockInShardOfL(c *testCluster) string {
	for n := 0; ; n++ {
		if name := fmt.Sprint("sibling-", n); shardOfLock(c, name) == shardOfLock(c, "l") {
			return name
		}
	}
}

// callWithin makes a call and returns its status, or 0 if it was not answered within a second.
func (c *testCluster) callWithin(addr, method, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	c.nodes[addr].api.HTTPServer().Handler.ServeHTTP(w, r)
	if ctx.Err() != nil {
		return 0
	}
	return w.Code
}

// isolatedLeaseholder isolates a leaseholder from the other nodes, in one direction or both, and returns the answers
// that it or another node must not have given. The other nodes grant the lock once the holder's time has passed, and
// when the links are restored, the former leaseholder answers as they do.
func isolatedLeaseholder(t *testing.T, severed func(isolated, from, to string) bool) (wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		links := &partitionableLinks{}
		c := newCoordinationClusterOver(t, links)
		defer c.stopAll()
		advance(3 * time.Second)
		expect := func(what string, got int, want ...int) {
			if !slices.Contains(want, got) {
				wrong = append(wrong, fmt.Sprintf("%s: got %d, want one of %v", what, got, want))
			}
		}
		isolated := leaseholderOfLockL(c)
		status, fence := c.call(isolated, "POST", "/locks/l", `{"owner":"a","holdMs":2000}`)
		expect("acquire", status, 200)
		sibling := otherLockInShardOfL(c)
		status, siblingFence := c.call(isolated, "POST", "/locks/"+sibling, `{"owner":"a","holdMs":2000}`)
		expect("acquire a lock of the same shard", status, 200)
		siblingRenewal := strings.TrimSuffix(siblingFence, "}") + `,"owner":"a","holdMs":2000}`
		renewal := strings.TrimSuffix(fence, "}") + `,"owner":"a","holdMs":2000}`
		links.setSevered(func(from, to string) bool { return severed(isolated, from, to) }, c.seeds)
		advance(50 * time.Millisecond)
		expect("renewal under the lease", c.callWithin(isolated, "PUT", "/locks/l", renewal), 200)
		expect("another lock without a majority",
			c.callWithin(isolated, "POST", "/locks/l", `{"owner":"b","holdMs":2000}`), 409)
		expect("a longer hold without a majority",
			c.callWithin(isolated, "POST", "/locks/l", `{"owner":"a","holdMs":2500}`), 0, 503, 504)
		advance(120 * time.Millisecond) // the shard's lease has just expired
		expect("renewal after the lease",
			c.callWithin(isolated, "PUT", "/locks/"+sibling, siblingRenewal), 0, 503, 504)
		advance(4 * time.Second)
		for _, addr := range c.seeds {
			if addr != isolated {
				expect("the lock after the time, at "+addr,
					c.callWithin(addr, "POST", "/locks/l", `{"owner":"b","holdMs":60000}`), 200)
			}
		}
		expect("renewal of the lost lock", c.callWithin(isolated, "PUT", "/locks/l", renewal), 0, 503, 504, 409)
		links.setSevered(func(string, string) bool { return false }, c.seeds)
		advance(3 * time.Second)
		expect("the former leaseholder", c.callWithin(isolated, "POST", "/locks/l", `{"owner":"a","holdMs":2000}`), 409)
		expect("the holder, there", c.callWithin(isolated, "POST", "/locks/l", `{"owner":"b","holdMs":2000}`), 200)
	})
	return wrong
}

// isolations are the directions in which a node can be isolated, by name.
var isolations = map[string]func(isolated, from, to string) bool{
	"both ways": func(isolated, from, to string) bool { return from == isolated || to == isolated },
	"receives":  func(isolated, from, _ string) bool { return from == isolated },
	"sends":     func(isolated, _, to string) bool { return to == isolated },
}

// An isolated leaseholder answers from memory while its lease lasts. Afterwards it rejects calls or does not answer
// them. It never confirms a call that needs a majority.
func TestIsolatedLeaseholder(t *testing.T) {
	for name, severed := range isolations {
		t.Run(name, func(t *testing.T) {
			for _, w := range isolatedLeaseholder(t, severed) {
				t.Error(w)
			}
		})
	}
}

// One disk is lost while all nodes lose power and restart. Locks that were acknowledged survive, and the node with the
// new disk votes again, so that the next disk may be lost.
func TestLocksSurviveLostDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCoordinationCluster(t)
		defer c.stopAll()
		advance(3 * time.Second)
		_, fence := c.call(c.seeds[0], "POST", "/locks/l", `{"owner":"a","holdMs":60000}`)
		for round, lost := range c.seeds {
			disks := c.crashAll()
			for _, addr := range c.seeds {
				if addr == lost {
					disks[addr] = newDisk()
				}
				c.start(addr, disks[addr], false)
			}
			advance(8 * time.Second)
			for _, addr := range c.seeds {
				status, again := c.call(addr, "POST", "/locks/l", `{"owner":"a","holdMs":60000}`)
				c.Equal(status, 200)
				c.Equal(again, fence)
				if status, body := c.call(addr, "POST", "/numbers/n", "{}"); status != 200 {
					t.Errorf("round %d: a number at %s: %d %s", round, addr, status, body)
				}
			}
		}
	})
}
