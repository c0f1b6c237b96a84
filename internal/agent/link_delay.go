package agent

import (
	"sync"
	"time"
)

const (
	linkDelayWindow     = 600 * time.Millisecond // all sources send at least one update in it
	linkDelayMinSamples = 2
	linkDelaySamples    = 32 // that are kept
)

// linkDelay estimates the queueing delay of packets at this machine's link, from the age of the control nodes' updates
// on arrival. The least age within a window counts, over all sources: while there is a queue at the link all updates
// are late, whereas those that one source or one partition delayed arrive beside fresh ones. Without updates the delay
// is not known: their absence is no sign of a queue. Safe for concurrent use.
type linkDelay struct {
	mu      sync.Mutex                    // guards the fields below
	samples [linkDelaySamples]delaySample // a ring
	next    int
}

type delaySample struct {
	at  time.Time // zero: none
	age time.Duration
}

// observe takes the age of an update that arrived at a time.
func (ld *linkDelay) observe(now time.Time, age time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.samples[ld.next] = delaySample{at: now, age: age}
	ld.next = (ld.next + 1) % len(ld.samples)
}

// current returns the estimate at a time, above 0; 0: it is not known.
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
