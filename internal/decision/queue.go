package decision

import (
	"cmp"
	"slices"
)

// queueTimeFraction is the longest time that a request waits for a backend, as a share of the latency target,
// unless its class sets MaxQueueTime. The rest of the target is left for the answer of the backend.
const queueTimeFraction = 0.4

// waitingValues holds the values of the most valuable queued requests of a group; 0: none is queued.
// Requests of low priority may use only a part of the backends' limits, so a queued one blocks only other
// requests of low priority.
type waitingValues struct{ usual, lowPriority float64 }

func (w *waitingValues) add(r *request) {
	if r.lowPriority {
		w.lowPriority = max(w.lowPriority, r.value)
	} else {
		w.usual = max(w.usual, r.value)
	}
}

// highestAhead returns the value of the most valuable queued request that could use any capacity that this
// one could use.
func (w *waitingValues) highestAhead(r *request) float64 {
	if r.lowPriority {
		return max(w.usual, w.lowPriority)
	}
	return w.usual
}

// blocks reports whether a request stays in the queue without a search for a backend. It does if a queued
// request that is at least as valuable could use the same capacity, or if this request earns nothing any
// more. A request that earns nothing leaves the capacity to later arrivals, and uses what is free at its
// queue deadline.
func (w *waitingValues) blocks(r *request) bool { return r.value <= w.highestAhead(r) }

// dispatch starts the first attempt of a request. If no backend has capacity, it queues the request, or
// rejects it once its queue deadline has come. No request overtakes a more valuable queued one of its group.
func (g *Gateway) dispatch(r *request) {
	var b *backend
	if r.pool.waiting.highestAhead(r) <= r.value {
		b = g.selectBackend(r)
	}
	switch {
	case b != nil:
		g.startAttempt(r, b)
	case g.now >= r.queueDeadline():
		g.reject(r)
	default:
		g.enqueue(r)
	}
}

// dispatchArrival dispatches a request that has just been admitted, after the more valuable queued ones:
// capacity that has become free since the last tick belongs to those first.
func (g *Gateway) dispatchArrival(r *request) {
	if r.pool.waiting.highestAhead(r) <= r.value {
		g.dispatch(r)
		return
	}
	g.enqueue(r)
	g.dispatchQueued()
}

func (g *Gateway) enqueue(r *request) {
	g.queue = append(g.queue, r)
	r.pool.waiting.add(r)
}

// queueDeadline returns the time at which a request is rejected if no backend has capacity: when its longest
// wait or its latency target has passed, and at the latest two ticks before the client's deadline.
func (r *request) queueDeadline() Seconds {
	wait := cmp.Or(r.class.MaxQueueTime, queueTimeFraction*r.class.LatencyTarget)
	return min(r.arrivedAt+wait, r.targetAt, r.deadline-2*tickInterval)
}

// dispatchQueued forwards queued requests, and rejects those that have passed their queue deadline.
func (g *Gateway) dispatchQueued() {
	if len(g.queue) == 0 {
		return
	}
	waiting := g.queue
	g.queue = nil
	for _, p := range g.pools {
		p.waiting = waitingValues{}
	}
	// The most valuable request comes first. Among requests of equal value, the newest comes first, because
	// one that has waited long would be late anyway.
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, r := range waiting {
		switch {
		case r.answered:
		case r.pool.waiting.blocks(r) && g.now < r.queueDeadline():
			g.enqueue(r)
		default:
			g.dispatch(r)
		}
	}
}
