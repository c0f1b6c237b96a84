package shard

import (
	"slices"

	"mulleinrouter/internal/cluster/consensus"
)

// silentAfter is the time without an answer, in seconds, after which a voter that is to be removed counts as down. It
// is then removed before new voters are added, because it no longer helps to form a majority. It is shorter than the
// silence after which the electorate replaces a voter, so that the shards follow a replacement at once.
const silentAfter = 1.5

// Reconcile makes the leaseholder change the voters towards a target. Each batch changes one voter, so that majorities
// of subsequent sets intersect (Ongaro, 4.1). The next change waits until the one before is committed.
func (r *Replica) Reconcile(target []consensus.Voter, now float64) {
	if len(target) == 0 || !r.HoldsLease(now) {
		return
	}
	r.learners = slices.DeleteFunc(slices.Clone(target), func(v consensus.Voter) bool {
		return slices.Contains(r.voters, v)
	})
	if r.votersSeq > r.commit {
		return
	}
	if voters := r.nextVoters(target, now); voters != nil {
		r.append(Batch{Voters: voters}, now)
	}
}

// HasVoters reports whether the voters are those of a target, in any order.
func (r *Replica) HasVoters(target []consensus.Voter) bool {
	if len(r.voters) != len(target) {
		return false
	}
	return !slices.ContainsFunc(r.voters, func(v consensus.Voter) bool { return !slices.Contains(target, v) })
}

// nextVoters returns the next set of voters on the way to a target; nil means no change now. A voter whose disk was
// replaced, or that does not answer, is removed first, because it does not help to form a majority.
func (r *Replica) nextVoters(target []consensus.Voter, now float64) []consensus.Voter {
	leaving := slices.DeleteFunc(slices.Clone(r.voters), func(v consensus.Voter) bool {
		return slices.Contains(target, v)
	})
	for _, v := range leaving {
		replaced := slices.ContainsFunc(target, func(o consensus.Voter) bool { return o.Addr == v.Addr })
		p := r.progress[v.Addr]
		silent := v != r.self && (p == nil || now > p.answered+silentAfter)
		if replaced || silent {
			return r.without(v)
		}
	}
	for _, v := range r.learners {
		if p := r.progress[v.Addr]; p != nil && p.disk == v.Disk && p.matched >= r.commit && p.matched > 0 {
			return append(slices.Clone(r.voters), v)
		}
	}
	if len(leaving) == 0 || len(r.learners) > 0 {
		return nil // a voter that answers is only removed once all learners are voters
	}
	for _, v := range leaving {
		if v != r.self {
			return r.without(v)
		}
	}
	for _, v := range target {
		// A leader does not remove itself but transfers the leadership to the first voter that can take it over.
		r.TransferTo(v.Addr, now)
	}
	return nil
}

// without returns the voters except one; nil if no voter would be left.
func (r *Replica) without(v consensus.Voter) []consensus.Voter {
	voters := slices.DeleteFunc(slices.Clone(r.voters), func(o consensus.Voter) bool { return o == v })
	if len(voters) == 0 {
		return nil
	}
	return voters
}
