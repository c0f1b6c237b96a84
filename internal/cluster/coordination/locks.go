package coordination

import (
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/mutants"
)

// Margins that the leaseholder adds to a hold, the time for which an owner has a lock. The leaseholder counts a hold
// from the receipt of a call and its owner from the sending, which is earlier, so it ends earlier for the owner. The
// margins keep it so when the two clocks run at different rates.
const (
	holdMargin      = 0.05 // seconds
	holdMarginShare = 0.02 // fraction of the hold
	millisPerSecond = 1000.0
)

// lock is a lock that is held by an owner. The hold ends at expires, whether or not the record of the lock is deleted.
type lock struct {
	owner   string
	fence   uint64  // fencing token
	holdMs  uint64  // the longest requested hold, milliseconds; after a take-over the hold lasts this long
	expires float64 // end of the hold by this leaseholder's clock, in seconds
	seq     uint64  // number of the batch with the record; 0 means that the record is of an earlier term
}

func (l *lock) record() []byte { return newRecord().text(l.owner).number(l.fence).number(l.holdMs) }

// loadLock reads a lock at the start of a term. The former leaseholder may have renewed it at any time until then, and
// renewals are not recorded. Therefore the hold lasts for its full time from now.
func loadLock(r *recordReader, now float64) *lock {
	l := &lock{owner: r.text(), fence: r.number(), holdMs: r.number()}
	if mutants.On("coordination/lock-expires-at-take-over") {
		return l
	}
	l.extend(now, l.holdMs)
	return l
}

// extend makes a hold last for at least holdMs and the margins from now.
func (l *lock) extend(now float64, holdMs uint64) {
	hold := float64(holdMs) / millisPerSecond
	l.expires = max(l.expires, now+hold+holdMargin+holdMarginShare*hold)
}

// acquire gives a free lock to an owner, or prolongs the hold of its present owner. The fencing token is the number of
// the batch, which no earlier hold in the shard can have had.
func (t *Tables) acquire(r Request, now float64, next uint64) Outcome {
	l := t.locks[r.Name]
	switch {
	case l != nil && now < l.expires && l.owner == r.Owner:
		return t.prolong(r, l, now, next)
	case l != nil && now < l.expires:
		return Outcome{Result: Result{Code: Conflict}}
	case l == nil && t.full():
		return Outcome{Result: Result{Code: TooMany}}
	}
	fence := next
	if mutants.On("coordination/fence-from-memory") {
		fence = uint64(len(t.locks) + 1)
	}
	l = &lock{owner: r.Owner, fence: fence, holdMs: uint64(r.HoldMs), seq: next} //nolint:gosec // checked by the caller
	l.extend(now, l.holdMs)
	t.locks[r.Name] = l
	return Outcome{
		Result:       Result{Code: OK, Fence: l.fence},
		Writes:       []shard.Write{{Key: recordKey(prefixLock, r.Name), Value: l.record()}},
		CommitBefore: next,
	}
}

// renew prolongs a hold that has not ended.
func (t *Tables) renew(r Request, now float64, next uint64) Outcome {
	l := t.locks[r.Name]
	if l == nil || l.owner != r.Owner || l.fence != r.Fence || now >= l.expires {
		return Outcome{Result: Result{Code: Conflict}}
	}
	return t.prolong(r, l, now, next)
}

// prolong extends a hold. The extension must be replicated only if the new hold is longer than all before, because a
// take-over extends a hold by its longest recorded time.
func (t *Tables) prolong(r Request, l *lock, now float64, next uint64) Outcome {
	out := Outcome{Result: Result{Code: OK, Fence: l.fence}}
	holdMs := uint64(r.HoldMs) //nolint:gosec // checked by the caller
	l.extend(now, holdMs)
	if holdMs > l.holdMs {
		l.holdMs, l.seq = holdMs, next
		out.Writes = []shard.Write{{Key: recordKey(prefixLock, r.Name), Value: l.record()}}
	}
	out.CommitBefore = l.seq
	return out
}

// release ends the hold that the request names by its owner and fence. A delayed or duplicated call for a hold that has
// already ended has no effect. But a hold that acquire has prolonged keeps its fence, so a call that was sent before
// that and arrives late ends the prolonged hold.
func (t *Tables) release(r Request, next uint64) Outcome {
	l := t.locks[r.Name]
	if l == nil || l.owner != r.Owner || l.fence != r.Fence {
		return Outcome{Result: Result{Code: OK}}
	}
	delete(t.locks, r.Name)
	return Outcome{
		Result:       Result{Code: OK},
		Writes:       []shard.Write{{Key: recordKey(prefixLock, r.Name)}},
		CommitBefore: next,
	}
}
