package plans

import (
	"cmp"
	"slices"

	"mulleinrouter/internal/decision"
)

// maxPending bounds the revisions that are known and not yet in force; more of them can only be a mistake.
const maxPending = 64

// Verdict says what became of a revision that was offered.
type Verdict int

const (
	// VerdictPending means: kept; it takes effect when its time comes.
	VerdictPending Verdict = iota
	// VerdictLate means: its time had come before it was received; it takes effect at once.
	VerdictLate
	// VerdictDuplicate means: known already.
	VerdictDuplicate
	// VerdictStale means: ignored, because one with a higher number is in force.
	VerdictStale
	// VerdictConflict means: its number is known with another content; the one with the higher digest counts.
	VerdictConflict
	// VerdictQueueFull means: ignored, because too many are pending.
	VerdictQueueFull
)

// verdictNames are the words of logs, which operators' pages quote.
var verdictNames = [...]string{"announced", "late", "same", "older", "conflict", "full"}

func (v Verdict) String() string { return verdictNames[v] }

// State is what one ingress knows of the catalogue. It is not safe for use by several goroutines at once.
type State struct {
	base    map[string]*decision.Terms // the plans of the settings, for a time before any revision is in force
	retired map[string]*decision.Terms // plans that a revision removed: clients may still name them by header
	known   []*compiled                // by number; the first one may be in force, the others are pending

	reportedUntil decision.Seconds // Due has returned the changes until then
	reported      *compiled        // the revision that was in force then
}

// NewState returns a state that knows the plans of the settings only.
func NewState(base []decision.Plan) *State {
	s := &State{base: map[string]*decision.Terms{}, retired: map[string]*decision.Terms{}}
	for _, p := range base {
		s.base[p.Name] = newTerms(p)
	}
	return s
}

// Offer adds a valid revision. Whatever the order in which ingresses receive revisions, they come to agree on the
// one in force: the number decides, and under one number the digest.
func (s *State) Offer(r Revision, now decision.Seconds) Verdict { return s.add(r, now, false) }

// Commit adds a revision that was announced under a lease: it replaces any other of its number.
func (s *State) Commit(r Revision, now decision.Seconds) Verdict { return s.add(r, now, true) }

func (s *State) add(r Revision, now decision.Seconds, committed bool) Verdict {
	digest := r.Digest()
	if c := s.inForce(now); c != nil && r.Number < c.Number {
		return VerdictStale
	}
	byNumber := func(c *compiled, n uint64) int { return cmp.Compare(c.Number, n) }
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

// InForce is the number of the revision in force; 0: there is none, and the plans of the settings count.
func (s *State) InForce(now decision.Seconds) uint64 {
	if c := s.inForce(now); c != nil {
		return c.Number
	}
	return 0
}

// inForce is the revision with the highest number of those whose time has come; nil: there is none. It forgets those
// with lower numbers, except for their plans.
func (s *State) inForce(now decision.Seconds) *compiled {
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

// Terms are those of a member whose client names a plan; nil: the plan is unknown. The same pointer comes back
// while the terms stay the same.
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
	// The plan was removed while clients still name it: they are served by its last figures, not rejected.
	if terms := s.retired[tier]; terms != nil {
		return terms
	}
	return s.base[tier]
}

// Plans are the names of the plans that clients may name, in order. Those of pending revisions are among them:
// clients may learn of a revision a moment earlier than this ingress puts it into force.
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

// Due returns the terms of members that the catalogue lists and whose terms have changed since the last call, in
// order of members. Other members' terms are looked up with their next request.
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

// differsFor returns whether a member's terms may differ from those of another revision, which may be nil.
func (c *compiled) differsFor(member string, before *compiled) bool {
	plan := c.Members[member]
	if before == nil || before.Members[member] != plan {
		return true
	}
	if before.terms[plan] == nil || before.terms[plan].Tag != c.terms[plan].Tag {
		return true
	}
	return len(before.spans[member])+len(c.spans[member]) > 0
}

// Next is when terms change next, as far as is known now; 0: never.
func (s *State) Next(now decision.Seconds) (next decision.Seconds) {
	earlier := func(at decision.Seconds) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if c := s.inForce(now); c != nil {
		if i, _ := slices.BinarySearch(c.edges, now); i < len(c.edges) {
			for _, at := range c.edges[i:min(i+2, len(c.edges))] { // the edge may be now: the one after it counts then
				earlier(at)
			}
		}
	}
	for _, c := range s.known {
		earlier(c.EffectiveAt)
	}
	return next
}
