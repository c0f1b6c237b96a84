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
	// prolongations is the number of times that the owner has been answered about the hold after its grant. A hold of
	// an earlier term begins with 1, because renewals are not recorded.
	prolongations uint64
}

func (l *lock) record() []byte { return newRecord().text(l.owner).number(l.fence).number(l.holdMs) }

// loadLock reads a lock at the start of a term. The former leaseholder may have renewed it at any time until then, and
// renewals are not recorded. Therefore the hold lasts for its full time from now.
func loadLock(r *recordReader, now float64) *lock {
	l := &lock{owner: r.text(), fence: r.number(), holdMs: r.number(), prolongations: 1}
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
		Result:       Result{Code: OK, Fence: l.fence, Hold: t.holdState(l)},
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
	l.prolongations++
	out := Outcome{Result: Result{Code: OK, Fence: l.fence, Hold: t.holdState(l)}}
	holdMs := uint64(r.HoldMs) //nolint:gosec // checked by the caller
	l.extend(now, holdMs)
	if holdMs > l.holdMs {
		l.holdMs, l.seq = holdMs, next
		out.Writes = []shard.Write{{Key: recordKey(prefixLock, r.Name), Value: l.record()}}
	}
	out.CommitBefore = l.seq
	return out
}

// holdState returns the present state of a hold.
func (t *Tables) holdState(l *lock) *HoldState {
	return &HoldState{Term: t.term, Prolongations: l.prolongations}
}

// release ends the hold that the request names by its owner and fence. A delayed or duplicated call for a hold that has
// already ended has no effect.
//
// Prolonging a hold does not change its fence, so the fence does not show whether a release was sent before or after a
// prolongation. A release that was sent before it must have no effect, because the owner has counted itself the holder
// since. Therefore the release of a prolonged hold gets Unconfirmed, unless its caller is known to have sent it after
// the last prolongation. Only a caller that still waits for the answer, and so has not prolonged the hold since, can
// confirm the release.
func (t *Tables) release(r Request, now float64, next uint64) Outcome {
	l := t.locks[r.Name]
	if l == nil || l.owner != r.Owner || l.fence != r.Fence {
		return Outcome{Result: Result{Code: OK}}
	}
	if now < l.expires && !t.sentAfterProlongations(r, l) {
		return Outcome{Result: Result{Code: Unconfirmed, Hold: t.holdState(l)}}
	}
	delete(t.locks, r.Name)
	return Outcome{
		Result:       Result{Code: OK},
		Writes:       []shard.Write{{Key: recordKey(prefixLock, r.Name)}},
		CommitBefore: next,
	}
}

// sentAfterProlongations reports whether a release was sent after all calls that have prolonged a hold. A hold that was
// only granted has none: its owner can have learned the fence only from the grant.
func (t *Tables) sentAfterProlongations(r Request, l *lock) bool {
	if l.prolongations == 0 || mutants.On("coordination/delayed-release-ends-hold") {
		return true
	}
	return r.SentAfter != nil && *r.SentAfter == *t.holdState(l)
}
