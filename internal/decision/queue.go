package decision

import (
	"cmp"
	"slices"
)

// queueTimeFraction is the part of the latency target that a request waits for a backend at most, unless its
// class has a time of its own.
const queueTimeFraction = 0.4

// waitingValues are the values of the most valuable requests of a group that wait for a backend; 0: none
// waits. Those of low priority may use a part of the backends' limits, and hold up only others of low
// priority.
type waitingValues struct{ usual, lowPriority float64 }

func (w *waitingValues) add(r *request) {
	if r.lowPriority {
		w.lowPriority = max(w.lowPriority, r.value)
	} else {
		w.usual = max(w.usual, r.value)
	}
}

// before returns the value of the most valuable request that finds capacity wherever this one does.
func (w *waitingValues) before(r *request) float64 {
	if r.lowPriority {
		return max(w.usual, w.lowPriority)
	}
	return w.usual
}

// holdsUp reports whether a request stays in the queue without a look for a backend: one as valuable that
// finds capacity wherever this one does waits, or this one earns nothing any more. The latter leaves capacity
// to what may yet arrive, and takes what there is at its deadline.
func (w *waitingValues) holdsUp(r *request) bool { return r.value <= w.before(r) }

// dispatch starts the first attempt of a request, or queues it until a backend can take it. No request goes
// before a more valuable one of its group that waits.
func (g *Gateway) dispatch(r *request) {
	var b *backend
	if r.pool.waiting.before(r) <= r.value {
		b = g.selectBackend(r)
	}
	switch {
	case b != nil:
		g.startAttempt(r, b)
	case g.now >= r.queueDeadline():
		// No later tick would come in time.
		g.reject(r)
	default:
		g.enqueue(r)
	}
}

// dispatchArrival dispatches a request that has just been admitted, after those that wait and are more
// valuable: what capacity there is may have become free since the last tick.
func (g *Gateway) dispatchArrival(r *request) {
	if r.pool.waiting.before(r) <= r.value {
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
	for _, p := range g.pools {
		p.waiting = waitingValues{}
	}
	// The most valuable first; among equals the newest: what has waited long would be late anyway.
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, r := range waiting {
		switch {
		case r.answered:
		case r.pool.waiting.holdsUp(r) && g.now < r.queueDeadline():
			g.enqueue(r)
		default:
			g.dispatch(r)
		}
	}
}
