package proxy

import (
	"math"
	"sync"
	"time"

	"mulleinrouter/internal/dataplane/traffic"
)

// A machine whose link or processor is offered more load than its capacity serves no request in time if it admits all,
// because all requests share the link and each one is late when its last byte arrives. Such a machine sheds load at the
// address that clients connect to. A connection that is refused before its client has sent any data costs one packet in
// each direction, and leaves the capacity of the link to the admitted connections.
const (
	shedInterval  = 100 * time.Millisecond // time between two steps of the control loop
	shedLoad      = 0.85                   // share of the link's capacity above which a queue builds up
	increaseLoad  = 0.7                    // share of the link's capacity below which more may be admitted
	shedDelay     = 150 * time.Millisecond // queueing delay, longer than a burst causes, above which load is shed
	criticalDelay = time.Second            // queueing delay above which no newly admitted request is answered in time
	shedDecrease  = 0.85                   // factor of the admitted share for each overloaded step
	// criticalDecrease is the factor of the admitted share for each step in which all requests are already late.
	criticalDecrease = 0.6
	shedIncrease     = 1.02                    // factor of the admitted share for each step with spare capacity
	minShare         = 0.03                    // lowest admitted share; with none, recovery would not be noticed
	maxCatchUpSteps  = 10.0                    // missed steps that one call of admitted makes up for
	linkDelayTTL     = 1200 * time.Millisecond // time for which an observed delay is valid; an older one counts as none
	// freshDelayTTL is the time for which a low delay is evidence that there is no queue. Updates are sent about every
	// 400 ms, and at least every 500 ms (transport.KeepaliveInterval). If none has arrived for longer, those that would
	// show a queue may be waiting in it.
	freshDelayTTL   = 600 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
)

// shedder decides which share of new connections is admitted. The share decreases multiplicatively while the link is
// overloaded or has a queue, and increases more slowly while there is spare capacity. A shedder performs no I/O and
// gets the time from its caller. It is safe for concurrent use.
type shedder struct {
	counter *traffic.Counter

	mu         sync.Mutex // guards the fields below
	load       *traffic.Load
	startedAt  time.Time     // time of the first step
	steppedAt  time.Time     // time of the last step
	share      float64       // admitted share of new connections; 1: all
	delay      time.Duration // last observed queueing delay of the link
	observedAt time.Time     // time of the last observation of delay
}

// newShedder returns a shedder for a link with a capacity of linkMbps megabits per second in each direction; 0: not
// known.
func newShedder(linkMbps float64) *shedder {
	return &shedder{
		counter: new(traffic.Counter),
		load:    traffic.NewLoad(linkMbps * bytesPerMegabit),
		share:   1,
	}
}

// observe records the queueing delay of the link that the agent reported. A delay that is not known is ignored.
func (s *shedder) observe(now time.Time, delay time.Duration, known bool) {
	if !known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.observedAt = delay, now
}

// standingDelay returns the delay of the link if a recent observation shows a standing queue, or else 0.
func (s *shedder) standingDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay <= shedDelay || now.Sub(s.observedAt) > linkDelayTTL {
		return 0
	}
	return s.delay
}

// observeNoConnection lowers the admitted share after an open period in which no connection was established. Whatever
// the load, the queue at the link must then be longer than the open period. The exception is that an update has just
// arrived without delay: then no client has connected, and the share is kept, because an unused machine must admit all
// connections again.
func (s *shedder) observeNoConnection(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay <= shedDelay && now.Sub(s.observedAt) <= freshDelayTTL {
		return
	}
	s.share = max(minShare, s.share*criticalDecrease)
}

// admitted returns the share of new connections to admit now. It must be called about every shedInterval.
func (s *shedder) admitted(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt, s.steppedAt = now, now
	}
	if now.Sub(s.steppedAt) < shedInterval {
		return s.share
	}
	steps := min(now.Sub(s.steppedAt).Seconds()/shedInterval.Seconds(), maxCatchUpSteps)
	s.steppedAt = now
	in, out := s.counter.Totals()
	load, delay := s.load.Update(now.Sub(s.startedAt).Seconds(), in, out), s.delay
	if now.Sub(s.observedAt) > linkDelayTTL {
		delay = 0
	}
	switch {
	case delay > criticalDelay:
		s.share = max(minShare, s.share*math.Pow(criticalDecrease, steps))
	case load > shedLoad || delay > shedDelay:
		s.share = max(minShare, s.share*math.Pow(shedDecrease, steps))
	case load < increaseLoad:
		s.share = min(1, s.share*math.Pow(shedIncrease, steps))
	}
	return s.share
}
