package agent

import (
	"sync"
	"time"
)

const (
	// linkDelayWindow is the age up to which samples count. Every source sends at least one update in this time.
	linkDelayWindow     = 600 * time.Millisecond
	linkDelayMinSamples = 2  // fewest samples in the window for an estimate; with fewer, the delay is unknown
	linkDelaySamples    = 32 // number of samples kept, the newest ones of all sources
)

// linkDelay estimates the queueing delay of packets at this machine's link from the age of the control nodes' updates
// on arrival. The estimate is the lowest age within a window over all sources, because a queue at the link delays all
// updates, whereas a slow source or a partition delays only some of them. Without updates the delay is unknown, because
// their absence does not indicate a queue. A linkDelay is safe for concurrent use.
type linkDelay struct {
	mu      sync.Mutex                    // guards the fields below
	samples [linkDelaySamples]delaySample // ring buffer
	next    int                           // index of the sample that is overwritten next
}

type delaySample struct {
	at  time.Time     // time of arrival; zero: no sample
	age time.Duration // time from sending to arrival
}

// observe records the age of an update that arrived at the time now.
func (ld *linkDelay) observe(now time.Time, age time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.samples[ld.next] = delaySample{at: now, age: age}
	ld.next = (ld.next + 1) % len(ld.samples)
}

// current returns the estimate at the time now, which is at least 1 ns; 0 means that the delay is not known.
func (ld *linkDelay) current(now time.Time) time.Duration {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	least, count := time.Duration(0), 0
	for _, s := range ld.samples {
		if s.at.IsZero() || now.Sub(s.at) > linkDelayWindow {
			continue
		}
		if count++; count == 1 || s.age < least {
			least = s.age
		}
	}
	if count < linkDelayMinSamples {
		return 0
	}
	return max(least, time.Nanosecond)
}
