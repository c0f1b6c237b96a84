package control

import (
	"context"
	"fmt"
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

// releaseScenario is an order of events around a release that waits in a frozen node. Its owner prolongs the hold at
// another node, and counts itself the holder since.
type releaseScenario struct {
	frozen  int           // index of the frozen node among those of delayedReleases
	freeze  time.Duration // how long the node is frozen
	prolong string        // method of the call that prolongs the hold
	before  time.Duration // timeout of the release, after which the owner makes that call
}

// Guards against a release that a frozen node keeps and that ends a later hold, whatever node is frozen, for however
// long, and by whatever call the owner prolongs the hold. A release that is sent afterwards frees the lock at once.
func TestReleaseKeptByFrozenNode(t *testing.T) {
	for frozen := range 3 {
		for _, freeze := range []time.Duration{100, 400, 900, 1600, 2500, 5000, 12000} {
			for _, prolong := range []string{"POST", "PUT"} {
				for _, before := range []time.Duration{20 * time.Millisecond, time.Second} {
					s := releaseScenario{frozen, freeze * time.Millisecond, prolong, before}
					t.Run(fmt.Sprint(s.frozen, s.freeze, s.prolong, s.before), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, s.run)
					})
				}
			}
		}
	}
}

func (s releaseScenario) run(t *testing.T) {
	a := newApplications(t, 1)
	defer a.stopAll()
	advance(3 * time.Second)
	nodes := slices.Clone(a.seeds)
	leaseholder := slices.Index(nodes, leaseholderOfLockL(a.testCluster))
	nodes[0], nodes[leaseholder] = nodes[leaseholder], nodes[0] // index 0 is the leaseholder
	frozen, other := nodes[s.frozen], nodes[(s.frozen+1)%len(nodes)]
	callFor := func(timeout time.Duration, addr, method, body string) (status int, text string) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return followRedirects(addr, "/locks/l", func(addr, path string) (int, string, string) {
			return a.sendTo(ctx, addr, method, path, body)
		})
	}
	call := func(addr, method, body string) (status int, text string) {
		return callFor(time.Second, addr, method, body)
	}
	const hold = 30 * time.Second
	acquisition := fmt.Sprintf(`{"owner":"a","holdMs":%d}`, hold.Milliseconds())
	status, granted := call(frozen, "POST", acquisition)
	a.Equal(status, 200)
	release := strings.TrimSuffix(granted, "}") + `,"owner":"a"}`
	a.mu.Lock()
	a.pausing[frozen] = time.Now().Add(s.freeze)
	a.mu.Unlock()
	advance(time.Millisecond)
	callFor(s.before, frozen, "DELETE", release)
	advance(time.Millisecond)
	body := acquisition
	if s.prolong == "PUT" {
		body = strings.TrimSuffix(granted, "}") + fmt.Sprintf(`,"owner":"a","holdMs":%d}`, hold.Milliseconds())
	}
	for status = 0; status != 200 && status != 409; advance(50 * time.Millisecond) {
		status, granted = call(other, s.prolong, body)
	}
	advance(s.freeze + 5*time.Second)
	if status == 409 { // the release came first, and the owner does not count itself the holder
		return
	}
	rival := `{"owner":"b","holdMs":4000}`
	if status, text := call(other, "POST", rival); status != 409 {
		t.Fatalf("b requests the lock during the hold of a: got %d %s, want 409", status, text)
	}
	if s.prolong == "POST" {
		release = strings.TrimSuffix(granted, "}") + `,"owner":"a"}`
	}
	if status, text := call(frozen, "DELETE", release); status != 200 {
		t.Errorf("release after the last prolongation: got %d %s, want 200", status, text)
	}
	if status, text := call(other, "POST", rival); status != 200 {
		t.Errorf("b requests the lock after its release: got %d %s, want 200", status, text)
	}
}
