package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "locks": a control node freezes and the release of a lock waits in it. Its owner acquires the lock again at
// another node before the frozen one wakes: half of the owners died just after they had sent the release and have
// started again under their name, the others had a second of silence.
const (
	lockCount    = 12
	lockHold     = 6000 * time.Millisecond
	lockFreeze   = 1600 * time.Millisecond
	lockSilence  = time.Second            // after which a caller moves to another node
	lockDeath    = 100 * time.Millisecond // from sending the release to the death of the caller
	lockRebirth  = 900 * time.Millisecond // from its death to its first call after that
	lockPollFor  = 5 * time.Second        // for which the other caller asks for the lock
	lockPollWait = 150 * time.Millisecond // between two of its calls
)

// hold is a time in which a caller counts itself the holder: from the 200 until holdMs after the sending.
type hold struct {
	owner      string
	fence      uint64
	from, till time.Time
}

// lockCaller is a stand-in for an application.
type lockCaller struct {
	owner string
	lock  string
	r     *record
}

// call makes one call at one control node. It returns the status, 0 without an answer, and the time of sending.
func (c *lockCaller) call(
	method, addr string, fence uint64, body map[string]any, timeout time.Duration,
) (status int, got uint64, sentAt time.Time) {
	body["owner"] = c.owner
	if fence != 0 {
		body["fence"] = fence
	}
	text, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, "http://"+addr+"/locks/"+c.lock, strings.NewReader(string(text)))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	sentAt = time.Now()
	answer, err := client.Do(request)
	if err == nil {
		status = answer.StatusCode
		var reply struct {
			Fence uint64 `json:"fence"`
		}
		json.NewDecoder(answer.Body).Decode(&reply)
		answer.Body.Close()
		got = reply.Fence
	}
	c.r.add("%s: %s %s %s at %s: %d fence %d", c.owner, method, c.lock, text, addr, status, got)
	return status, got, sentAt
}

// acquire asks for the lock at the addresses in turn until it is granted or the limit has passed.
func (c *lockCaller) acquire(addrs []string, holdFor, limit time.Duration) (h hold, ok bool) {
	for began, n := time.Now(), 0; time.Since(began) < limit; n++ {
		status, fence, sentAt := c.call("POST", addrs[n%len(addrs)], 0, map[string]any{"holdMs": holdFor.Milliseconds()}, lockSilence)
		if till := sentAt.Add(holdFor); status == 200 && time.Now().Before(till) {
			return hold{c.owner, fence, time.Now(), till}, true
		}
		time.Sleep(lockPollWait)
	}
	return hold{}, false
}

func locksCase(root string, r *record, fault bool) (int, error) {
	cl, err := newCluster(root, 3, 3, "base,drain,config,cost,retry,recover,health,pool,coord,tenants,quota")
	if err != nil {
		return failed, err
	}
	defer cl.stop()
	if err := cl.start(); err != nil {
		return failed, err
	}
	if err := cl.operate(tenantConfiguration()); err != nil {
		return failed, err
	}
	if err := cl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond)
	r.add("the system is ready; fault: %v", fault)
	frozen := cl.core[0]
	first := frozen.addr(cl, portControl)
	others := []string{cl.core[1].addr(cl, portControl), cl.core[2].addr(cl, portControl)}

	// Each first caller holds its lock.
	callers := make([]*lockCaller, lockCount)
	fences := make([]uint64, lockCount)
	for n := range callers {
		callers[n] = &lockCaller{owner: fmt.Sprintf("a%d", n), lock: fmt.Sprintf("l%d", n), r: r}
		h, ok := callers[n].acquire([]string{first}, lockHold, 5*time.Second)
		if !ok {
			return failed, fmt.Errorf("lock %d is not granted before the fault", n)
		}
		fences[n] = h.fence
	}
	if fault {
		frozen.process("control").signal(syscall.SIGSTOP)
		r.add("%s freezes", frozen.name)
	}
	began := time.Now()
	var mu sync.Mutex
	overlaps, again, second := 0, 0, 0
	var group sync.WaitGroup
	for n, c := range callers {
		group.Go(func() {
			time.Sleep(50 * time.Millisecond)
			// The caller gives the lock back at its node, and wants it again afterwards.
			if dies := n%2 == 0; dies {
				c.call("DELETE", first, fences[n], map[string]any{}, lockDeath)
				r.add("%s dies, and starts again %v later", c.owner, lockRebirth)
				time.Sleep(lockRebirth)
			} else {
				c.call("DELETE", first, fences[n], map[string]any{}, lockSilence)
			}
			mine, ok := c.acquire(others, lockHold, 2*time.Second)
			if !ok {
				return
			}
			mu.Lock()
			again++
			mu.Unlock()
			other := &lockCaller{owner: fmt.Sprintf("b%d", n), lock: c.lock, r: r}
			theirs, ok := other.acquire(others, 3*time.Second, lockPollFor)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			second++
			if theirs.from.Before(mine.till) {
				overlaps++
				r.add("TWO HOLDERS of %s: %s with fence %d counts itself holder for another %.3f s when %s gets fence %d",
					c.lock, mine.owner, mine.fence, mine.till.Sub(theirs.from).Seconds(), theirs.owner, theirs.fence)
			}
		})
	}
	if fault {
		time.Sleep(time.Until(began.Add(lockFreeze)))
		frozen.process("control").signal(syscall.SIGCONT)
		r.add("%s wakes", frozen.name)
	}
	group.Wait()
	summary := fmt.Sprintf("of %d locks: %d acquired again by their owner, %d then by another, %d with two holders at one moment",
		lockCount, again, second, overlaps)
	r.add("%s", summary)
	fmt.Println(summary)
	switch {
	case again < lockCount/2:
		return failed, fmt.Errorf("too few locks are acquired again")
	case overlaps > 0:
		return broken, nil
	}
	return passed, nil
}
