package plans

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/decision"
)

// maxPending is the maximum number of revisions that are kept, including the one in force. It bounds memory. Operators
// reach it only by mistake.
const maxPending = 64

// Verdict is the result of offering a revision.
type Verdict int

const (
	// VerdictPending means that the revision was added and takes effect at its EffectiveAt.
	VerdictPending Verdict = iota
	// VerdictLate means that its EffectiveAt had passed when it was received, so it takes effect at once.
	VerdictLate
	// VerdictDuplicate means that the revision is known already.
	VerdictDuplicate
	// VerdictStale means that it is ignored, because a revision with a higher number is in force.
	VerdictStale
	// VerdictConflict means that a revision with the same number and other content is known. The one with the higher
	// digest is kept, unless the new one was committed, which always replaces the other.
	VerdictConflict
	// VerdictQueueFull means that it is ignored, because maxPending revisions are known.
	VerdictQueueFull
)

// verdictNames are the names in logs. They must not change, because the operators' documentation quotes them.
var verdictNames = [...]string{"announced", "late", "same", "older", "conflict", "full"}

func (v Verdict) String() string { return verdictNames[v] }

// State is the part of the catalogue that one ingress knows. It is not safe for concurrent use.
type State struct {
	base    map[string]*decision.Terms // terms of the settings' plans, used until a revision is in force
	retired map[string]*decision.Terms // last terms of superseded revisions' plans, which clients may still name
	known   []*compiledRevision        // ordered by number; the first one may be in force, the others are pending

	reportedUntil decision.Seconds  // time of the last call of Due, Unix time
	reported      *compiledRevision // the revision that was in force at that call
}

// NewState returns a state that has the plans of the settings and no revision.
func NewState(base []decision.Plan) *State {
	s := &State{base: map[string]*decision.Terms{}, retired: map[string]*decision.Terms{}}
	for _, p := range base {
		s.base[p.Name] = newTerms(p)
	}
	return s
}

// Offer adds a valid revision. Ingresses that receive the same revisions in any order agree on the one in force,
// because the highest number takes precedence, and among equal numbers the highest digest.
func (s *State) Offer(r Revision, now decision.Seconds) Verdict { return s.add(r, now, false) }

// Commit adds a revision that was announced by the lease holder. It replaces any other revision with its number.
func (s *State) Commit(r Revision, now decision.Seconds) Verdict { return s.add(r, now, true) }

func (s *State) add(r Revision, now decision.Seconds, committed bool) Verdict {
	digest := r.Digest()
	if c := s.inForce(now); c != nil && r.Number < c.Number {
		return VerdictStale
	}
	byNumber := func(c *compiledRevision, n uint64) int { return cmp.Compare(c.Number, n) }
	i, found := slices.BinarySearchFunc(s.known, r.Number, byNumber)
	if found {
		switch known := s.known[i].digest; {
		case digest == known:
			return VerdictDuplicate
		case digest > known || committed:
			s.known[i] = compile(r, digest)
		}
		return VerdictConflict
	}
	if len(s.known) >= maxPending {
		return VerdictQueueFull
	}
	s.known = slices.Insert(s.known, i, compile(r, digest))
	if r.EffectiveAt <= now {
		return VerdictLate
	}
	return VerdictPending
}

// InForce returns the number of the revision in force, or 0 if there is none and the plans of the settings apply.
func (s *State) InForce(now decision.Seconds) uint64 {
	if c := s.inForce(now); c != nil {
		return c.Number
	}
	return 0
}

// inForce returns the revision with the highest number among those whose EffectiveAt has passed, or nil if there is
// none. It removes the revisions with lower numbers, and keeps their plans' terms in retired.
func (s *State) inForce(now decision.Seconds) *compiledRevision {
	for i := len(s.known) - 1; i >= 0; i-- {
		if s.known[i].EffectiveAt <= now {
			s.retire(i)
			return s.known[0]
		}
	}
	return nil
}

// retire removes the first n revisions and keeps their plans' terms.
func (s *State) retire(n int) {
	for _, c := range s.known[:n] {
		for name, terms := range c.terms {
			s.retired[name] = terms
		}
	}
	s.known = slices.Delete(s.known, 0, n)
}

// Terms returns the terms of a member whose client names the plan tier, or nil if the plan is unknown. It returns the
// same pointer as long as the terms do not change.
func (s *State) Terms(member, tier string, now decision.Seconds) *decision.Terms {
	c := s.inForce(now)
	if c == nil {
		return s.base[tier]
	}
	if c.Authority == AuthorityCatalogue {
		if plan, ok := c.Members[member]; ok {
			tier = plan
		}
	}
	if terms := c.lookup(member, tier, now); terms != nil {
		return terms
	}
	// Clients that still name a removed plan are served under its last terms instead of being rejected.
	if terms := s.retired[tier]; terms != nil {
		return terms
	}
	return s.base[tier]
}

// Plans returns the names of the plans that clients may name, in order. They include those of pending revisions,
// because clients may name a new plan shortly before its revision takes effect at this ingress.
func (s *State) Plans() []string {
	var names []string
	add := func(m map[string]*decision.Terms) {
		for name := range m {
			names = append(names, name)
		}
	}
	add(s.base)
	add(s.retired)
	for _, c := range s.known {
		add(c.terms)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Due returns the terms that have changed since the last call, of the members that the catalogue lists, in order of
// members. The terms of other members are looked up at their next request.
func (s *State) Due(now decision.Seconds) (due []decision.Terms) {
	c, before, since := s.inForce(now), s.reported, s.reportedUntil
	s.reported, s.reportedUntil = c, now
	if c == nil || c.Authority != AuthorityCatalogue {
		return nil
	}
	add := func(member string) {
		if t := s.Terms(member, "", now); t != nil {
			due = append(due, decision.Terms{Customer: member, Plan: t.Plan, Tag: t.Tag})
		}
	}
	if c == before {
		for member, spans := range c.spans {
			if slices.ContainsFunc(spans, func(b span) bool { return b.changesWithin(since, now) }) {
				add(member)
			}
		}
	} else {
		for member := range c.Members {
			if c.differsFor(member, before) {
				add(member)
			}
		}
	}
	slices.SortFunc(due, func(a, b decision.Terms) int { return cmp.Compare(a.Customer, b.Customer) })
	return due
}

// differsFor reports whether a member's terms may differ from those in an earlier revision, which may be nil. It does
// not compare bookings, so it returns true for a member that has one in either revision.
func (c *compiledRevision) differsFor(member string, before *compiledRevision) bool {
	plan := c.Members[member]
	if before == nil || before.Members[member] != plan {
		return true
	}
	if before.terms[plan] == nil || before.terms[plan].Tag != c.terms[plan].Tag {
		return true
	}
	return len(before.spans[member])+len(c.spans[member]) > 0
}

// Next returns the time of the next known change of terms, or 0 if there is none.
func (s *State) Next(now decision.Seconds) (next decision.Seconds) {
	earlier := func(at decision.Seconds) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if c := s.inForce(now); c != nil {
		if i, _ := slices.BinarySearch(c.edges, now); i < len(c.edges) {
			// edges[i] may equal now. Then the next change is at edges[i+1].
			for _, at := range c.edges[i:min(i+2, len(c.edges))] {
				earlier(at)
			}
		}
	}
	for _, c := range s.known {
		earlier(c.EffectiveAt)
	}
	return next
}
