package plans

import (
	"cmp"
	"fmt"
	"slices"

	"mulleinrouter/internal/decision"
)

// mostPending bounds the revisions kept that do not hold yet: more than that are no plan but a mistake.
const mostPending = 64

// Verdict tells what became of a revision that was offered.
type Verdict int

// The verdicts.
const (
	VerdictPending Verdict = iota // kept; it holds from its time on
	VerdictLate                     // its time had come before it was heard: it holds at once
	VerdictDuplicate                     // known already
	VerdictStale                    // one with a higher number holds: passed over
	VerdictConflict                 // another content under a number that is known; the one with the higher digest counts
	VerdictQueueFull                     // too many are announced: passed over
)

var verdicts = [...]string{"announced", "late", "same", "older", "conflict", "full"}

func (v Verdict) String() string { return verdicts[v] }

// State is what one ingress knows of the catalogue. It is not safe for use by several goroutines at once.
type State struct {
	base    map[string]*decision.Terms // the plans of the settings, for a time before any revision holds
	retired map[string]*decision.Terms // plans that a revision took away: by header, members may still name them
	all     []*compiled                // by number; the first one may hold, the others do not yet
	told    decision.Seconds           // changes until then have been told
	was     *compiled                  // held then
}

// compiled is a revision made ready to be asked.
type compiled struct {
	Revision
	digest string
	terms  map[string]*decision.Terms // by plan
	spans  map[string][]span          // by member, in order
	edges  []decision.Seconds         // when any of them begins or ends, in order
}

// span is a stretch of time in which a member has booked the same rate.
type span struct {
	from, to decision.Seconds
	rate     float64
	terms    map[string]*decision.Terms // by plan, made when first asked for
}

// NewState returns a state that knows the plans of the settings only.
func NewState(base []decision.Plan) *State {
	s := &State{base: map[string]*decision.Terms{}, retired: map[string]*decision.Terms{}}
	for _, p := range base {
		s.base[p.Name] = &decision.Terms{Plan: p, Tag: p.Tag()}
	}
	return s
}

// Offer takes a valid revision. Whatever the order in which ingresses hear of revisions, they come to hold the
// same ones: the number decides, and under one number the digest.
func (s *State) Offer(r Revision, now decision.Seconds) Verdict { return s.offer(r, now, false) }

// Commit takes a revision that was announced: it holds in place of any other of its number.
func (s *State) Commit(r Revision, now decision.Seconds) Verdict { return s.offer(r, now, true) }

func (s *State) offer(r Revision, now decision.Seconds, settled bool) Verdict {
	digest, verdict := r.Digest(), VerdictPending
	if r.Holds <= now {
		verdict = VerdictLate
	}
	held := s.at(now)
	if held != nil && r.Number < held.Number {
		return VerdictStale
	}
	i, found := slices.BinarySearchFunc(s.all, r.Number, func(c *compiled, n uint64) int { return cmp.Compare(c.Number, n) })
	if found {
		if digest == s.all[i].digest {
			return VerdictDuplicate
		}
		verdict = VerdictConflict
		if digest < s.all[i].digest && !settled {
			return VerdictConflict
		}
		s.all[i] = compile(r, digest)
		return verdict
	}
	if len(s.all) >= mostPending {
		return VerdictQueueFull
	}
	s.all = slices.Insert(s.all, i, compile(r, digest))
	return verdict
}

// InForce is the number of the revision that holds; 0: none does, the settings do.
func (s *State) InForce(now decision.Seconds) uint64 {
	if c := s.at(now); c != nil {
		return c.Number
	}
	return 0
}

// at is the revision with the highest number of those whose time has come. Those below it are forgotten.
func (s *State) at(now decision.Seconds) *compiled {
	for i := len(s.all) - 1; i >= 0; i-- {
		if s.all[i].Holds <= now {
			if i > 0 {
				for _, c := range s.all[:i] {
					for name, t := range c.terms {
						s.retired[name] = t
					}
				}
				s.all = slices.Delete(s.all, 0, i)
			}
			return s.all[0]
		}
	}
	return nil
}

// Terms are those of a member whose client names a plan, now; nil: nobody knows such a plan. The same pointer
// comes back while they stay the same.
func (s *State) Terms(member, tier string, now decision.Seconds) *decision.Terms {
	c := s.at(now)
	if c == nil {
		return s.base[tier]
	}
	if c.Authority == AuthorityCatalogue {
		if plan, ok := c.Members[member]; ok {
			tier = plan
		}
	}
	return c.on(member, tier, now, s)
}

func (c *compiled) on(member, plan string, now decision.Seconds, s *State) *decision.Terms {
	t := c.terms[plan]
	if t == nil {
		// Taken away while clients still name it: they are served by its last figures, not turned away.
		if t = s.retired[plan]; t == nil {
			return s.base[plan]
		}
		return t
	}
	for i := range c.spans[member] {
		if b := &c.spans[member][i]; b.from <= now && now < b.to && t.Plan.Rate > 0 {
			if b.terms[plan] == nil {
				p := t.Plan
				if p.Rate += b.rate; p.LimitRate > 0 {
					p.Rate = min(p.Rate, p.LimitRate)
				}
				b.terms[plan] = &decision.Terms{Plan: p, Tag: p.Tag()}
			}
			return b.terms[plan]
		}
	}
	return t
}

// Plans are the names of the plans that clients may name now.
func (s *State) Plans(now decision.Seconds) []string {
	var names []string
	add := func(m map[string]*decision.Terms) {
		for name := range m {
			names = append(names, name)
		}
	}
	add(s.base)
	add(s.retired)
	for _, c := range s.all {
		add(c.terms) // announced ones too: the front may be told a moment earlier
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Due tells the terms of the members that the catalogue lists and whose terms have changed since the last call.
// Others are told with their next request; without one they ask for nothing.
func (s *State) Due(now decision.Seconds) (due []decision.Terms) {
	c, was, since := s.at(now), s.was, s.told
	s.was, s.told = c, now
	if c == nil || c.Authority != AuthorityCatalogue {
		return nil
	}
	tell := func(member string) {
		if t := s.Terms(member, "", now); t != nil {
			due = append(due, decision.Terms{Customer: member, Plan: t.Plan, Tag: t.Tag})
		}
	}
	if c == was {
		for member, spans := range c.spans {
			if slices.ContainsFunc(spans, func(b span) bool { return since < b.from && b.from <= now || since < b.to && b.to <= now }) {
				tell(member)
			}
		}
	} else {
		for member, plan := range c.Members {
			if was == nil || was.Members[member] != plan || was.terms[plan] == nil || was.terms[plan].Tag != c.terms[plan].Tag ||
				len(was.spans[member])+len(c.spans[member]) > 0 {
				tell(member)
			}
		}
	}
	slices.SortFunc(due, func(a, b decision.Terms) int { return cmp.Compare(a.Customer, b.Customer) })
	return due
}

// Next is when terms change next by what is known now; 0: not at all.
func (s *State) Next(now decision.Seconds) (next decision.Seconds) {
	earlier := func(at decision.Seconds) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	if c := s.at(now); c != nil {
		if i, _ := slices.BinarySearch(c.edges, now); i < len(c.edges) {
			for _, at := range c.edges[i:min(i+2, len(c.edges))] { // one that is now, and the one after it
				earlier(at)
			}
		}
	}
	for _, c := range s.all {
		earlier(c.Holds)
	}
	return next
}

func compile(r Revision, digest string) *compiled {
	c := &compiled{Revision: r, digest: digest, terms: map[string]*decision.Terms{}, spans: map[string][]span{}}
	for _, p := range r.Plans {
		c.terms[p.Name] = &decision.Terms{Plan: p, Tag: p.Tag()}
	}
	byMember := map[string][]Booking{}
	for _, b := range r.Bookings {
		byMember[b.Member] = append(byMember[b.Member], b)
	}
	for member, list := range byMember {
		var at []decision.Seconds
		for _, b := range list {
			at = append(at, b.From, b.To)
		}
		slices.Sort(at)
		at = slices.Compact(at)
		for i := range at[:len(at)-1] {
			rate := 0.0
			for _, b := range list {
				if b.From <= at[i] && at[i] < b.To {
					rate += b.Rate()
				}
			}
			if rate > 0 {
				c.spans[member] = append(c.spans[member], span{at[i], at[i+1], rate, map[string]*decision.Terms{}})
			}
		}
		c.edges = append(c.edges, at...)
	}
	slices.Sort(c.edges)
	c.edges = slices.Compact(c.edges)
	return c
}

// String tells a booking as tables and logs show it.
func (b Booking) String() string {
	return fmt.Sprintf("%s: %g units for %s over %.0f s", b.ID, b.Units, b.Member, b.To-b.From)
}
