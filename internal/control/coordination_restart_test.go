package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/coordination"
)

// restartedCaller is a cluster in which a node has been killed and started again, while a watch that its former
// process had forwarded is pending at the leaseholder. The former process had forwarded nothing else, so if the
// processes number their calls alike, the reply to that watch has the number of the first call that the new process
// forwards.
type restartedCaller struct {
	*testCluster
	leaseholder string // of two shards, whose numbers are watched and other
	caller      string // the restarted node
	third       string
	watched     uint32
	other       uint32
}

const watchOfFormerProcess = 4 * time.Second // for which the watch of the former process may be pending

func newRestartedCaller(t *testing.T) *restartedCaller {
	c := &restartedCaller{testCluster: newCoordinationCluster(t)}
	advance(10 * time.Second) // each lease is at its preferred voter then, and stays there
	c.findLeaseholder()
	c.put(c.group(c.watched), "v1")
	c.put(c.group(c.other), "w1")
	c.watch(c.group(c.watched), watchOfFormerProcess)
	advance(100 * time.Millisecond)
	c.start(c.caller, c.crash(c.caller), false)
	advance(2 * time.Second)
	return c
}

// findLeaseholder finds a node that is the leaseholder of two shards.
func (c *restartedCaller) findLeaseholder() {
	for n, addr := range c.seeds {
		var led []uint32
		for _, status := range c.nodes[addr].shards.Status() {
			if status.Lease {
				led = append(led, status.Number)
			}
		}
		if len(led) >= 2 {
			c.leaseholder, c.caller, c.third = addr, c.seeds[(n+1)%3], c.seeds[(n+2)%3]
			c.watched, c.other = led[0], led[1]
			return
		}
	}
	c.t.Fatal("no node is the leaseholder of two shards")
}

// group returns the name of a group of cells in a shard.
func (c *restartedCaller) group(shard uint32) string {
	for n := 0; ; n++ {
		name := fmt.Sprintf("g%d.", n)
		request := coordination.Request{Kind: coordination.Watch, Name: name}
		if c.nodes[c.leaseholder].shards.ShardOf(request) == shard {
			return name
		}
	}
}

// put puts a value into cell a of a group, through the leaseholder.
func (c *restartedCaller) put(group, value string) {
	c.Helper()
	status, _ := c.call(c.leaseholder, "PUT", "/cells/"+group+"a", fmt.Sprintf(`{"payload":%q}`, value))
	c.Equal(status, 200)
}

// watch sends the caller a watch of a group after its first revision. The channel receives the answer.
func (c *restartedCaller) watch(group string, wait time.Duration) <-chan string {
	return c.callInBackground("GET", fmt.Sprintf("/watch/%s?after=1&waitMs=%d", group, wait.Milliseconds()), "")
}

// callInBackground sends the caller a call. The channel receives the status and the answer.
func (c *restartedCaller) callInBackground(method, path, body string) <-chan string {
	answer := make(chan string, 1)
	go func() {
		status, text := c.call(c.caller, method, path, body)
		answer <- fmt.Sprint(status, " ", text)
	}()
	return answer
}

// setStalled stalls the disks of the leaseholder and the third node, so that nothing is committed, or ends the stall.
func (c *restartedCaller) setStalled(stalled bool) {
	for _, addr := range []string{c.leaseholder, c.third} {
		c.nodes[addr].stallingDisk.setStalled(stalled)
	}
}

// transfer transfers the lease of a shard to the caller.
func (c *restartedCaller) transfer(shard uint32) {
	body := fmt.Sprintf(`{"shard":%d,"to":%q}`, shard, c.caller)
	if status, text := c.call(c.leaseholder, "POST", "/shards/transfer", body); status != 200 {
		c.t.Fatal("transfer: ", status, text)
	}
}

// repliesOfFormerProcess returns the answers that callers of a restarted node got and must not get: the results of
// calls that its former process had forwarded.
func repliesOfFormerProcess(t *testing.T) (wrong []string) {
	run := func(name string, scenario func(c *restartedCaller) (got, want string)) {
		synctest.Test(t, func(t *testing.T) {
			c := newRestartedCaller(t)
			defer c.stopAll()
			defer c.setStalled(false)
			if got, want := scenario(c); got != want {
				wrong = append(wrong, fmt.Sprintf("%s: got %s, want %s", name, got, want))
			}
		})
	}
	run("watch of another group", func(c *restartedCaller) (got, want string) {
		answer := c.watch(c.group(c.other), 3*time.Second)
		advance(100 * time.Millisecond)
		c.put(c.group(c.watched), "v2") // completes the watch of the former process
		advance(100 * time.Millisecond)
		c.put(c.group(c.other), "w2")
		event := fmt.Sprintf(`{"name":"%sa","payload":"w2","revision":2}`, c.group(c.other))
		return <-answer, `200 {"log":[` + event + `],"revision":2}`
	})
	run("lock", func(c *restartedCaller) (got, want string) {
		advance(watchOfFormerProcess - 2500*time.Millisecond) // the watch of the former process ends in 0.4 s
		c.setStalled(true)
		lock := "l"
		for n := 0; shardOfLock(c.testCluster, lock) != c.other; n++ {
			lock = fmt.Sprint("l", n)
		}
		answer := c.callInBackground("POST", "/locks/"+lock, `{"owner":"a","holdMs":5000}`)
		got, _, _ = strings.Cut(<-answer, " ")
		return got, "504"
	})
	run("put, the watch was not executed", func(c *restartedCaller) (got, want string) {
		c.setStalled(true)
		answer := c.callInBackground("PUT", "/cells/"+c.group(c.other)+"b", `{"payload":"w2"}`)
		advance(20 * time.Millisecond)
		c.transfer(c.watched) // ends the watch of the former process as not executed
		advance(5 * time.Millisecond)
		c.transfer(c.other) // a repetition of the put is not executed either
		got, _, _ = strings.Cut(<-answer, " ")
		c.setStalled(false)
		advance(3 * time.Second)
		if _, text := c.call(c.caller, "GET", "/cells/"+c.group(c.other)+"b", ""); !strings.Contains(text, "w2") {
			return "the put had no effect: " + text, "504"
		}
		return got, "504"
	})
	return wrong
}

// Guards against a control node that was restarted and takes the reply to a call of its former process for the reply to
// a call of its own with the same number. Callers got events of another group, and 503 for a put that had an effect.
func TestRestartedNodeDropsRepliesToFormerProcess(t *testing.T) {
	for _, w := range repliesOfFormerProcess(t) {
		t.Error(w)
	}
}
