package control

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a delayed release that ends a later hold of the same owner, so that two owners hold one lock. The link
// from a node to the leaseholder is severed, and a release that the node forwards gets no answer. The owner acquires
// the lock again at another node and gets its former fence, because the leaseholder does not know of the release. When
// the link is restored, the release arrives with that fence.
func TestDelayedReleaseEndsNoLaterHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := &partitionableLinks{}
		c := newCoordinationClusterOver(t, links)
		defer c.stopAll()
		advance(3 * time.Second)
		leaseholder := leaseholderOfLockL(c)
		others := slices.DeleteFunc(slices.Clone(c.seeds), func(addr string) bool { return addr == leaseholder })
		cutOff, connected := others[0], others[1]
		status, fence := c.call(connected, "POST", "/locks/l", `{"owner":"a","holdMs":4000}`)
		c.Equal(status, 200)
		links.setSevered(func(from, to string) bool { return from == cutOff && to == leaseholder }, c.seeds)
		release := strings.TrimSuffix(fence, "}") + `,"owner":"a"}`
		if status := c.callWithin(cutOff, "DELETE", "/locks/l", release); status == 200 {
			t.Fatal("the release was answered over a severed link")
		}
		status, _ = c.call(connected, "POST", "/locks/l", `{"owner":"a","holdMs":4000}`)
		c.Equal(status, 200)
		links.setSevered(func(string, string) bool { return false }, c.seeds)
		advance(300 * time.Millisecond)
		if status, body := c.call(connected, "POST", "/locks/l", `{"owner":"b","holdMs":4000}`); status != 409 {
			t.Errorf("b requests the lock during the hold of a: got %d %s, want 409", status, body)
		}
	})
}
