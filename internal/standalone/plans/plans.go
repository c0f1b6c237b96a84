// Package plans decides which plan each member is on, and with what figures, while ingresses serve: revisions
// of a catalogue, the time from which each holds, and allowance booked ahead.
//
// It does no I/O and reads no clock: the host offers revisions as it hears of them, asks for the terms of a
// member at a time, and is told whose terms have changed. Times are Unix seconds, on the clock that ingresses
// share. Equal revisions give equal terms at all ingresses, whatever the order in which they were heard.
package plans

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"

	"mulleinrouter/internal/decision"
)

// Authority says who names a member's plan.
type Authority int

// The authorities: the client's X-Tier names the plan, or the catalogue does for the members that it lists.
const (
	AuthorityHeader Authority = iota
	AuthorityCatalogue
)

// Revision is one state of the catalogue, whole.
type Revision struct {
	Number       uint64           // from 1; the higher one wins from its time on
	Holds        decision.Seconds // from when it holds, Unix time; 0: from when it is heard
	Authority    Authority
	BookableRate float64 `json:"Bookable"` // units a second that all bookings may take together, at any instant
	Plans        []decision.Plan
	Members      map[string]string // plan by member
	Bookings     []Booking
}

// Booking is allowance that a member has been promised for a span, on top of its plan's quota.
type Booking struct {
	ID, Member string
	From, To   decision.Seconds // Unix time; To is no part of it
	Units      float64          // spread evenly over the span; what is unused lapses
}

// Rate is what the booking adds to the member's quota while it runs, in units a second.
func (b Booking) Rate() float64 { return b.Units / (b.To - b.From) }

// ValidationError is something wrong with a revision. Where names the place as a path, such as `plan.plus.rate`.
type ValidationError struct{ Where, Text string }

func (p ValidationError) Error() string { return p.Where + ": " + p.Text }

// Validate tells all that is wrong with a revision by itself; nil: nothing.
func (r *Revision) Validate() (all []ValidationError) {
	bad := func(text string, where ...string) { all = append(all, ValidationError{strings.Join(where, "."), text}) }
	if r.Number == 0 {
		bad("the number must be 1 or more", "revision")
	}
	if !finite(r.Holds) {
		bad("not a time", "holds")
	}
	if !finite(r.BookableRate) {
		bad("must be a number of units a second, 0 or more", "bookable_rate")
	}
	if len(r.Plans) == 0 {
		bad("a revision needs one plan at least", "plan")
	}
	byName := map[string]decision.Plan{}
	for _, p := range r.Plans {
		if _, twice := byName[p.Name]; twice || p.Name == "" || strings.ContainsAny(p.Name, " \t\r\n") {
			bad("a plan needs a name of its own, one word", "plan", p.Name)
		}
		byName[p.Name] = p
		for _, f := range figures(p) {
			if !finite(f.value) {
				bad("must be a number, 0 or more", "plan", p.Name, f.key)
			}
		}
		if p.Rate > 0 && p.Burst <= 0 {
			bad("a rate needs a burst above 0: a store that holds nothing lets nothing through", "plan", p.Name, "burst")
		}
		if p.LimitRate > 0 && p.LimitRate < p.Rate {
			bad(fmt.Sprintf("below the plan's rate of %g", p.Rate), "plan", p.Name, "ceiling_rate")
		}
		if p.LimitRate > 0 && p.LimitBurst <= 0 {
			bad("a ceiling needs a depth above 0", "plan", p.Name, "ceiling_depth")
		}
	}
	for _, m := range slices.Sorted(maps.Keys(r.Members)) {
		if !ValidMember(m) {
			bad("a member is 16 lower-case hexadecimal digits, below 2^33", "members", m)
		}
		if _, ok := byName[r.Members[m]]; !ok {
			bad(fmt.Sprintf("is on plan %q, which this revision does not have", r.Members[m]), "members", m)
		}
	}
	return append(all, r.checkBookings(byName)...)
}

func (r *Revision) checkBookings(byName map[string]decision.Plan) (all []ValidationError) {
	bad := func(text string, where ...string) { all = append(all, ValidationError{strings.Join(where, "."), text}) }
	ids := map[string]bool{}
	for _, b := range r.Bookings {
		if b.ID == "" || ids[b.ID] {
			bad("a booking needs a name of its own", "booking", b.ID)
		}
		ids[b.ID] = true
		if !ValidMember(b.Member) {
			bad("a member is 16 lower-case hexadecimal digits, below 2^33", "booking", b.ID, "member")
		}
		if !(b.From > 0 && b.From < b.To) || !finite(b.To) {
			bad("must end after it begins", "booking", b.ID, "to")
		}
		if !finite(b.Units) || b.Units == 0 {
			bad("must be more than 0", "booking", b.ID, "units")
		}
		if r.Authority == AuthorityCatalogue {
			if plan, listed := r.Members[b.Member]; !listed {
				bad("is not among the members that this revision lists", "booking", b.ID, "member")
			} else if byName[plan].Rate <= 0 {
				bad(fmt.Sprintf("its plan %q has no rate that could be raised", plan), "booking", b.ID, "member")
			}
		}
	}
	if len(all) > 0 {
		return all
	}
	if m := fit(r.Bookings, r.BookableRate); m != nil {
		// The first one that does not fit those before it is the one to blame. Fewer bookings never fit worse.
		n := sort.Search(len(r.Bookings)-1, func(i int) bool { return fit(r.Bookings[:i+1], r.BookableRate) != nil })
		bad(CheckCapacity(r.Bookings[:n], r.Bookings[n], r.BookableRate).Error(), "booking", r.Bookings[n].ID, "units")
	}
	if r.Authority == AuthorityCatalogue {
		all = append(all, r.checkCeilings(byName)...)
	}
	return all
}

// checkCeilings holds what a member has booked under its plan's ceiling: no booking is sold that cannot be used.
func (r *Revision) checkCeilings(byName map[string]decision.Plan) (all []ValidationError) {
	byMember := map[string][]Booking{}
	for _, b := range r.Bookings {
		before := byMember[b.Member]
		byMember[b.Member] = append(before, b)
		p := byName[r.Members[b.Member]]
		if p.LimitRate <= 0 {
			continue
		}
		if m := CheckCapacity(before, b, p.LimitRate-p.Rate); m != nil {
			all = append(all, ValidationError{"booking." + b.ID + ".units",
				fmt.Sprintf("with plan %q, at most %.0f units in this span stay under its ceiling", p.Name, m.Units)})
		}
	}
	return all
}

// CapacityError tells why a booking cannot be accepted, and what would fit.
type CapacityError struct {
	At    decision.Seconds // the instant with the least left
	Free  float64          // units a second left then
	Units float64          // the most that fits in the same span
	From  decision.Seconds // the earliest later begin from which the whole fits; 0: it never does
}

func (m *CapacityError) Error() string {
	text := fmt.Sprintf("at Unix time %.0f only %g units a second are left; %.0f units would fit in this span", m.At, math.Max(0, m.Free), m.Units)
	if m.From > 0 {
		text += fmt.Sprintf(", the whole from Unix time %.0f on", m.From)
	}
	return text
}

// CheckCapacity tells whether one more booking stays within the bookable rate (units a second) at every instant, together
// with those that are there; nil: it does.
func CheckCapacity(there []Booking, b Booking, bookable float64) *CapacityError {
	at, most := peak(there, b.From, b.To)
	if most+b.Rate() <= bookable*(1+1e-9) {
		return nil
	}
	m := &CapacityError{At: at, Free: bookable - most, Units: math.Floor(math.Max(0, bookable-most)*(b.To-b.From) + 1e-6)}
	// The sum falls only where a booking ends: nothing between such ends can be the earliest.
	ends := make([]decision.Seconds, 0, len(there))
	for _, o := range there {
		if o.To > b.From {
			ends = append(ends, o.To)
		}
	}
	slices.Sort(ends)
	for _, from := range slices.Compact(ends) {
		if _, most := peak(there, from, from+b.To-b.From); most+b.Rate() <= bookable*(1+1e-9) {
			m.From = from
			break
		}
	}
	return m
}

// fit tells whether bookings stay within the rate together, in one pass.
func fit(all []Booking, bookable float64) *CapacityError {
	if at, most := peak(all, math.Inf(-1), math.Inf(1)); most > bookable*(1+1e-9) {
		return &CapacityError{At: at, Free: bookable - most}
	}
	return nil
}

// peak is the largest sum of the bookings' rates within a span, and when it is first reached.
func peak(all []Booking, from, to decision.Seconds) (at decision.Seconds, most float64) {
	type step struct{ at, by float64 }
	var steps []step
	for _, b := range all {
		if b.From < to && b.To > from {
			steps = append(steps, step{max(b.From, from), b.Rate()}, step{b.To, -b.Rate()})
		}
	}
	// What ends makes room for what begins at the same instant.
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	at, sum := from, 0.0
	for _, s := range steps {
		if sum += s.by; s.at < to && sum > most {
			at, most = s.at, sum
		}
	}
	return at, most
}

// Digest is a word for all that a revision says, its number included. Equal revisions have equal ones.
func (r *Revision) Digest() string {
	h := fnv.New64a()
	fmt.Fprint(h, r.Number, r.Holds, r.Authority, r.BookableRate)
	for _, p := range slices.SortedFunc(slices.Values(r.Plans), func(a, b decision.Plan) int { return cmp.Compare(a.Name, b.Name) }) {
		fmt.Fprint(h, "|", planDigestText(p))
	}
	for _, m := range slices.Sorted(maps.Keys(r.Members)) {
		fmt.Fprint(h, "|", m, "=", r.Members[m])
	}
	for _, b := range slices.SortedFunc(slices.Values(r.Bookings), func(a, b Booking) int { return cmp.Compare(a.ID, b.ID) }) {
		fmt.Fprint(h, "|", b)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// planDigestText is a plan as it enters a digest. The words are part of the format: ingresses of all versions
// compare digests, so they do not follow the names of the fields.
func planDigestText(p decision.Plan) string {
	return fmt.Sprintf("{Name:%v Rate:%v Burst:%v Open:%v Price:%v ExcessWorth:%v BeyondCosts:%v "+
		"CeilingRate:%v CeilingDepth:%v CeilingSlack:%v}",
		p.Name, p.Rate, p.Burst, p.MaxInFlight, p.ValueWeight, p.ExcessValue, p.ExcessCost,
		p.LimitRate, p.LimitBurst, p.LimitSlack)
}

// Change is one difference between two revisions.
type Change struct {
	What, Name string // plan, member, booking or setting
	From, To   string // empty: not there
}

// Diff tells what differs from revision a to b, in a fixed order.
func Diff(a, b *Revision) (all []Change) {
	words := func(r *Revision) map[[2]string]string {
		m := map[[2]string]string{
			{"setting", "holds"}:         fmt.Sprintf("%.3f", r.Holds),
			{"setting", "authority"}:     r.Authority.String(),
			{"setting", "bookable_rate"}: fmt.Sprint(r.BookableRate),
		}
		for _, p := range r.Plans {
			m[[2]string{"plan", p.Name}] = FormatPlan(p)
		}
		for member, plan := range r.Members {
			m[[2]string{"member", member}] = plan
		}
		for _, x := range r.Bookings {
			m[[2]string{"booking", x.ID}] = fmt.Sprintf("%s: %g units from %.0f to %.0f", x.Member, x.Units, x.From, x.To)
		}
		return m
	}
	from, to := words(a), words(b)
	for key, was := range from {
		if is := to[key]; is != was {
			all = append(all, Change{key[0], key[1], was, is})
		}
	}
	for key, is := range to {
		if _, was := from[key]; !was {
			all = append(all, Change{key[0], key[1], "", is})
		}
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Or(cmp.Compare(a.What, b.What), cmp.Compare(a.Name, b.Name)) })
	return all
}

// figure is one of a plan's, under its key in files.
type figure struct {
	key   string
	value float64
}

func figures(p decision.Plan) []figure {
	return []figure{{"rate", p.Rate}, {"burst", p.Burst}, {"open", float64(p.MaxInFlight)}, {"price", p.ValueWeight}, {"excess_worth", p.ExcessValue},
		{"beyond_costs", p.ExcessCost}, {"ceiling_rate", p.LimitRate}, {"ceiling_depth", p.LimitBurst}, {"ceiling_slack", p.LimitSlack}}
}

// FormatPlan tells a plan's figures in a line, those that are there.
func FormatPlan(p decision.Plan) string {
	var words []string
	for _, f := range figures(p) {
		if f.value != 0 {
			words = append(words, fmt.Sprintf("%s=%g", f.key, f.value))
		}
	}
	return strings.Join(words, " ")
}

// String is the word for an authority in files and tables.
func (a Authority) String() string {
	if a == AuthorityCatalogue {
		return "catalogue"
	}
	return "header"
}

// ValidMember tells whether a word names a member: 16 hexadecimal digits, lower case, below 2^33 (PROTOCOL).
func ValidMember(s string) bool {
	return len(s) == 16 && strings.Trim(s, "0123456789abcdef") == "" && strings.HasPrefix(s, "0000000") && (s[7] == '0' || s[7] == '1')
}

func finite(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
