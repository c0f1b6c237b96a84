package shard

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/mutants"
)

// Times of the lease, in seconds.
const (
	// LeaseTTL is how long a message that a voter has answered supports the lease, counted from its sending.
	LeaseTTL = 1.0
	// grantTTL is how long a voter votes for no other leader, counted from the receipt of a leader's message, and from
	// the start of its process. It exceeds LeaseTTL by more than two monotonic clocks differ over that time.
	grantTTL = 1.1
	// stepDownAfter is how long after the last message that a majority answered a leader steps down, counted from the
	// sending of that message or, if that is later, from the election. It exceeds LeaseTTL, so the lease has ended by
	// then.
	stepDownAfter = 1.3
)

// HoldsLease reports whether this replica may answer from its records at the time now: no other replica can be the
// leader, and this one has all batches that were ever committed.
func (r *Replica) HoldsLease(now float64) bool {
	if r.role != leader || r.commit < r.firstSeq {
		return false
	}
	if r.transferring && !mutants.On("shard/transfers-with-lease") {
		return false
	}
	return now < r.supportedSince(now)+LeaseTTL
}

// LeaseAge returns how long ago the newest message that a majority has answered was sent, in seconds. It is meaningful
// only at the leader.
func (r *Replica) LeaseAge(now float64) float64 { return now - r.supportedSince(now) }

// supportedSince returns the sending time of the newest message that a majority of the voters has answered. This
// replica counts as a voter that has answered at once.
func (r *Replica) supportedSince(now float64) float64 {
	return majorityValue(r, now, never, func(p *progress) float64 { return p.answered })
}

// majorityValue returns the greatest value that a majority of the voters has reached. The value of this replica is own,
// that of another voter is taken from its progress. A voter's value is none if this leader has no progress of the disk
// that the voter is listed with.
func majorityValue[T cmp.Ordered](r *Replica, own, none T, of func(*progress) T) T {
	values := make([]T, 0, len(r.voters))
	for _, voter := range r.voters {
		switch p := r.progress[voter.Addr]; {
		case voter == r.self:
			values = append(values, own)
		case p != nil && (p.disk == voter.Disk || mutants.On("shard/any-disk")):
			values = append(values, of(p))
		default:
			values = append(values, none)
		}
	}
	slices.Sort(values)
	return values[len(values)-consensus.Majority(len(values))]
}
