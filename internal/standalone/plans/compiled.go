package plans

import (
	"slices"

	"mulleinrouter/internal/decision"
)

// compiledRevision is a revision with indexes for lookups.
type compiledRevision struct {
	Revision
	digest string
	terms  map[string]*decision.Terms // by plan
	spans  map[string][]span          // by member, in order of time
	edges  []decision.Seconds         // starts and ends of bookings, in order, without duplicates
}

// span is a period in which the sum of a member's bookings is constant.
type span struct {
	from, to decision.Seconds
	rate     float64                    // sum of the booked rates, units per second
	terms    map[string]*decision.Terms // cached terms by plan, created at the first lookup
}

// covers reports whether a time is within the span.
func (s *span) covers(now decision.Seconds) bool { return s.from <= now && now < s.to }

// changesWithin reports whether the span begins or ends after since and not later than now.
func (s *span) changesWithin(since, now decision.Seconds) bool {
	return since < s.from && s.from <= now || since < s.to && s.to <= now
}

// newTerms returns the terms of a plan.
func newTerms(p decision.Plan) *decision.Terms { return &decision.Terms{Plan: p, Tag: p.Tag()} }

func compile(r Revision, digest string) *compiledRevision {
	c := &compiledRevision{
		Revision: r,
		digest:   digest,
		terms:    map[string]*decision.Terms{},
		spans:    map[string][]span{},
	}
	for _, p := range r.Plans {
		c.terms[p.Name] = newTerms(p)
	}
	byMember := map[string][]Booking{}
	for _, b := range r.Bookings {
		byMember[b.Member] = append(byMember[b.Member], b)
	}
	for member, bookings := range byMember {
		c.addSpans(member, bookings)
	}
	slices.Sort(c.edges)
	c.edges = slices.Compact(c.edges)
	return c
}

// addSpans splits a member's bookings into spans wherever one of them begins or ends, and adds up the rates in each.
func (c *compiledRevision) addSpans(member string, bookings []Booking) {
	var edges []decision.Seconds
	for _, b := range bookings {
		edges = append(edges, b.From, b.To)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	for i := range edges[:len(edges)-1] {
		rate := 0.0
		for _, b := range bookings {
			if b.From <= edges[i] && edges[i] < b.To {
				rate += b.Rate()
			}
		}
		if rate > 0 {
			c.spans[member] = append(c.spans[member], span{edges[i], edges[i+1], rate, map[string]*decision.Terms{}})
		}
	}
	c.edges = append(c.edges, edges...)
}

// lookup returns the terms of a member on a plan, including its bookings, or nil if the revision does not have the
// plan. It returns the same pointer as long as the terms do not change.
func (c *compiledRevision) lookup(member, plan string, now decision.Seconds) *decision.Terms {
	terms := c.terms[plan]
	if terms == nil || terms.Plan.Rate <= 0 { // a plan without a rate has no quota that a booking could raise
		return terms
	}
	for i := range c.spans[member] {
		if s := &c.spans[member][i]; s.covers(now) {
			return s.raised(plan, terms)
		}
	}
	return terms
}

// raised returns a plan's terms with the booked rate added to its rate, up to the plan's rate limit.
func (s *span) raised(plan string, terms *decision.Terms) *decision.Terms {
	if s.terms[plan] == nil {
		p := terms.Plan
		if p.Rate += s.rate; p.LimitRate > 0 {
			p.Rate = min(p.Rate, p.LimitRate)
		}
		s.terms[plan] = newTerms(p)
	}
	return s.terms[plan]
}
