package shards

// waiter is a call that is answered once a batch is committed.
type waiter struct {
	batch uint64
	done  chan bool // capacity 1; receives whether the batch was committed in its term
}

// waiters are the calls of a shard that wait for a commit. The host's mutex guards them.
type waiters struct {
	all     []waiter
	changed chan struct{} // closed at the next commit and at the end of the term
}

// add returns a channel that receives true once a batch is committed, or false if the term ends before that.
func (w *waiters) add(seq uint64) <-chan bool {
	done := make(chan bool, 1)
	w.all = append(w.all, waiter{seq, done})
	return done
}

// commit answers the calls that wait for batches up to a number.
func (w *waiters) commit(seq uint64) {
	left := w.all[:0]
	for _, waiting := range w.all {
		if waiting.batch <= seq {
			waiting.done <- true
		} else {
			left = append(left, waiting)
		}
	}
	clear(w.all[len(left):])
	w.all = left
	w.notify()
}

// endTerm answers all calls with false, because it is not known whether their batches will be committed.
func (w *waiters) endTerm() {
	for _, waiting := range w.all {
		waiting.done <- false
	}
	w.all = nil
	w.notify()
}

func (w *waiters) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}
