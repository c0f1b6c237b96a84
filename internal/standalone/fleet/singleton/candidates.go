package singleton

import (
	"cmp"
	"slices"
)

// candidate is an ingress that waits for a role.
type candidate struct {
	identity    Identity
	zone        string
	load        float64 // 0 to 1
	requestedAt Seconds // time of the last request
}

// expired reports whether the candidate has not requested the role for too long.
func (c candidate) expired(now Seconds) bool { return now > c.requestedAt+candidateTimeout }

// compareCandidates orders the candidates for a free role: the preferred zone first, then the smaller load in steps
// of a tenth, then the name. The order does not apply to a role that is held, because holders are not preempted.
func compareCandidates(a, b candidate, preferredZone string) int {
	return cmp.Or(
		-cmp.Compare(zoneRank(a, preferredZone), zoneRank(b, preferredZone)),
		cmp.Compare(int(a.load*10), int(b.load*10)),
		cmp.Compare(a.identity.Name, b.identity.Name),
	)
}

// zoneRank is 1 for a candidate in the preferred zone, else 0.
func zoneRank(c candidate, preferredZone string) int {
	if preferredZone != "" && c.zone == preferredZone {
		return 1
	}
	return 0
}

// upsertCandidate replaces the queue's entry with the same identity, or adds one if the queue is not full.
func upsertCandidate(queue []candidate, added candidate) []candidate {
	i := slices.IndexFunc(queue, func(c candidate) bool { return c.identity == added.identity })
	switch {
	case i >= 0:
		queue[i] = added
	case len(queue) < maxCandidates:
		queue = append(queue, added)
	}
	return queue
}

// removeCandidate removes an identity from the queue.
func removeCandidate(queue []candidate, identity Identity) []candidate {
	return slices.DeleteFunc(queue, func(c candidate) bool { return c.identity == identity })
}

// removeExpired removes the candidates that have not requested the role for too long.
func removeExpired(queue []candidate, now Seconds) []candidate {
	return slices.DeleteFunc(queue, func(c candidate) bool { return c.expired(now) })
}
