package decision

import (
	"cmp"
	"slices"
)

// queueTimeFraction is the part of the latency target that a request waits for a backend at most, unless its
// class has a time of its own.
const queueTimeFraction = 0.4

// dispatch starts the first attempt of a request, or queues it until a backend can take it.
func (g *Gateway) dispatch(r *request) {
	b := g.selectBackend(r)
	switch {
	case b != nil:
		g.startAttempt(r, b)
	case g.now >= r.queueDeadline():
		// No later tick would come in time.
		g.reject(r)
	default:
		g.queue = append(g.queue, r)
	}
}

// queueDeadline is when a request that finds no backend is to be rejected.
func (r *request) queueDeadline() Seconds {
	wait := cmp.Or(r.class.MaxQueueTime, queueTimeFraction*r.class.LatencyTarget)
	return min(r.arrivedAt+wait, r.targetAt, r.deadline-2*tickInterval)
}

// dispatchQueued forwards queued requests, and rejects those that have waited too long.
func (g *Gateway) dispatchQueued() {
	if len(g.queue) == 0 {
		return
	}
	waiting := g.queue
	g.queue = nil
	// The most valuable first; among equals the newest: what has waited long would be late anyway.
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, r := range waiting {
		switch {
		case r.answered:
		case len(g.queue) > 0 && g.now < r.queueDeadline():
			g.queue = append(g.queue, r) // there was no capacity for a more valuable one
		default:
			g.dispatch(r)
		}
	}
}
