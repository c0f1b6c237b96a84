package proxy

import (
	"math"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/traffic"
)

// A machine whose link or processor is offered more than its capacity serves nobody in time if it takes all: every
// request shares the link with all others, and each is late when its last byte has come. Such a machine sheds load
// where clients connect. A connection that is refused before its client has sent anything costs a packet each way, and
// the others find the link that they need.
const (
	shedInterval = 100 * time.Millisecond // between two steps of the control loop
	shedLoad     = 0.85                   // of the link's capacity: with more, a queue builds up
	increaseLoad = 0.7                    // of the link's capacity: with less, more may be admitted
	shedDelay    = 150 * time.Millisecond // a queue of that delay is more than a burst
	blockedDelay = time.Second            // with that delay nothing that is admitted now would be answered in time
	shedDecrease = 0.85                   // of the admitted share, for each step under too much load
	// of the admitted share, for each step in which everything is late already
	blockDecrease = 0.6
	shedIncrease  = 1.02                    // of the admitted share, for each step with capacity left
	minShare      = 0.03                    // or nothing would show that there is capacity again
	maxSteps      = 10.0                    // that are made up for at once, where admitted was not called meanwhile
	linkDelayTTL  = 1200 * time.Millisecond // for which an observed delay is valid
	// freshDelay is for how long a small delay shows that no queue stands: updates come about every 400 ms, and those
	// that would tell of a queue are in it.
	freshDelay      = 600 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
)

// shedder decides which share of new connections is admitted: multiplicative decrease while the link is overloaded or a
// queue stands at it, slower increase while there is capacity. It does no I/O, and reads no clock but that of its
// caller. Safe for concurrent use.
type shedder struct {
	counter *traffic.Counter

	mu         sync.Mutex // guards the fields below
	load       *traffic.Load
	startedAt  time.Time     // the first step
	steppedAt  time.Time     // the last one
	share      float64       // admitted, of new connections; 1: all
	delay      time.Duration // of the link, as last observed
	observedAt time.Time
}

// newShedder returns a shedder for a link of so many megabits a second in each direction; 0: not known.
func newShedder(linkMbps float64) *shedder {
	return &shedder{
		counter: new(traffic.Counter),
		load:    traffic.NewLoad(linkMbps * bytesPerMegabit),
		share:   1,
	}
}

// observe takes the delay of the link as the agent knows it at a time. One that is not known is no evidence.
func (s *shedder) observe(now time.Time, delay time.Duration, known bool) {
	if !known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.observedAt = delay, now
}

// standingDelay returns the delay of the link where a queue stands there, as far as is known; else 0.
func (s *shedder) standingDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay <= shedDelay || now.Sub(s.observedAt) > linkDelayTTL {
		return 0
	}
	return s.delay
}

// nothingEstablished tells that no connection was established while the address was open for a while: whatever the
// load, the queue at the link is longer than that, unless an update has just come through without delay. Then no client
// came, and a machine that nobody uses must open again.
func (s *shedder) nothingEstablished(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay <= shedDelay && now.Sub(s.observedAt) <= freshDelay {
		return
	}
	s.share = max(minShare, s.share*blockDecrease)
}

// admitted returns the share of new connections to admit now. Call it about every shedInterval.
func (s *shedder) admitted(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt, s.steppedAt = now, now
	}
	if now.Sub(s.steppedAt) < shedInterval {
		return s.share
	}
	steps := min(now.Sub(s.steppedAt).Seconds()/shedInterval.Seconds(), maxSteps)
	s.steppedAt = now
	in, out := s.counter.Totals()
	load, delay := s.load.Update(now.Sub(s.startedAt).Seconds(), in, out), s.delay
	if now.Sub(s.observedAt) > linkDelayTTL {
		delay = 0
	}
	switch {
	case delay > blockedDelay:
		s.share = max(minShare, s.share*math.Pow(blockDecrease, steps))
	case load > shedLoad || delay > shedDelay:
		s.share = max(minShare, s.share*math.Pow(shedDecrease, steps))
	case load < increaseLoad:
		s.share = min(1, s.share*math.Pow(shedIncrease, steps))
	}
	return s.share
}
